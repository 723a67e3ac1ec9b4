//! The `wigeonshelf` binary: parses the command line, loads the settings and runs a node until a
//! signal ends it.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use node::process::Process;
use node::settings::{self, Settings};
use node::{hosted, logging, process};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for missing or invalid settings. Nothing was started.
const EXIT_INVALID_SETTINGS: u8 = 2;

const CONFIG_ARG: &str = "config";
const CHECK_COMMAND: &str = "check";

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some((CHECK_COMMAND, matches)) => check(matches),
        _ => run(&matches),
    }
}

fn command() -> Command {
    let config = Arg::new(CONFIG_ARG)
        .long("config")
        .short('c')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in INI format");
    let check = Command::new(CHECK_COMMAND)
        .about("Checks the settings and prints every finding, without starting a node")
        .arg(config.clone().required(true));
    Command::new("wigeonshelf")
        .version(clap::crate_version!())
        .about("Entry node of a router for pipelines over mixed accelerators")
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .arg(config)
        .subcommand(check)
}

/// Loads the settings. On failure, prints every finding to standard error and returns the exit
/// code.
fn load(matches: &ArgMatches) -> std::result::Result<Settings, ExitCode> {
    let Some(file) = matches.get_one::<PathBuf>(CONFIG_ARG) else {
        eprintln!("--config is missing");
        return Err(ExitCode::from(EXIT_INVALID_SETTINGS));
    };
    report_findings(settings::load(file))
}

/// Unwraps checked settings. On failure, prints their findings to standard error and returns the
/// exit code.
fn report_findings<T>(checked: settings::Result<T>) -> std::result::Result<T, ExitCode> {
    checked.map_err(|findings| {
        findings.iter().for_each(|finding| eprintln!("{finding}"));
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

fn check(matches: &ArgMatches) -> ExitCode {
    if let Some(file) = hosted_file(matches) {
        return match load_hosted(&file) {
            Ok(settings) => {
                println!("the settings of node {} are valid", settings.name);
                ExitCode::SUCCESS
            }
            Err(code) => code,
        };
    }
    match load(matches) {
        Ok(settings) => {
            println!("the settings of node {} are valid", settings.node.name);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

/// Returns the settings file if it belongs to a node on a platform's store.
fn hosted_file(matches: &ArgMatches) -> Option<PathBuf> {
    let file = matches.get_one::<PathBuf>(CONFIG_ARG)?;
    hosted::settings::is_hosted(file).then(|| file.clone())
}

fn load_hosted(file: &Path) -> std::result::Result<hosted::settings::Settings, ExitCode> {
    report_findings(hosted::settings::load(file))
}

fn run_hosted(file: &Path) -> ExitCode {
    let settings = match load_hosted(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match hosted::process::run(file, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(file) = hosted_file(matches) {
        return run_hosted(&file);
    }
    let settings = match load(matches) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> Result<()> {
    logging::start(&settings.logging)?;
    // Signals are handled before callers are accepted: by default they would kill the process.
    let runtime = process::runtime()?;
    let signals = runtime.block_on(async { Signals::listen() })?;
    let process = Process::start(settings)?;
    log::info!(
        "node {} serves callers on {}, peers on {}, admin on {}",
        process.name,
        process.callers,
        process.peers,
        process.admin
    );
    runtime.block_on(drain_on_signal(&process, signals));
    process.join()
}

/// The signals that end a node.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Handles the signals from now on; must be called within a runtime.
    fn listen() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// Waits for a signal, then drains the node. A second signal aborts the requests in flight.
async fn drain_on_signal(process: &Process, mut signals: Signals) {
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    log::info!("draining; a second signal aborts the requests in flight");
    let shutdown = process.shutdown();
    let leaving = process.leave();
    tokio::select! {
        () = leaving => log::info!("drain ended: no request is in flight, or the finish time has elapsed"),
        _ = signals.terminate.recv() => log::warn!("received a second signal; aborting the requests in flight"),
        _ = signals.interrupt.recv() => log::warn!("received a second signal; aborting the requests in flight"),
    }
    shutdown.serving.kill.cancel();
}
