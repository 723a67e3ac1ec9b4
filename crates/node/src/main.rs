//! The `wigeonshelf` binary: parses the command line, loads the settings and runs a node until a
//! signal ends it.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use node::process::Process;
use node::settings::{self, Settings, Source};
use node::{hosted, logging, process};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for missing or invalid settings. Nothing was started.
const EXIT_INVALID_SETTINGS: u8 = 2;

const CONFIG_ARG: &str = "config";
const MEMORY_ARG: &str = "memory";
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
    let memory = Arg::new(MEMORY_ARG)
        .long("memory")
        .value_name("SIZE")
        .value_parser(memory)
        .help("Memory of the machine, such as 260MB; overrides [limits] memory of the file");
    let check = Command::new(CHECK_COMMAND)
        .about("Checks the settings and prints every finding, without starting a node")
        .arg(config.clone().required(true))
        .arg(memory.clone());
    Command::new("wigeonshelf")
        .version(clap::crate_version!())
        .about("Entry node of a router for pipelines over mixed accelerators")
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .arg(config)
        .arg(memory)
        .subcommand(check)
}

/// Returns where the settings come from; the exit code if the command line does not say.
fn source(matches: &ArgMatches) -> std::result::Result<Source, ExitCode> {
    let Some(file) = matches.get_one::<PathBuf>(CONFIG_ARG) else {
        eprintln!("--config is missing");
        return Err(ExitCode::from(EXIT_INVALID_SETTINGS));
    };
    Ok(Source {
        file: file.clone(),
        memory: matches.get_one::<String>(MEMORY_ARG).cloned(),
    })
}

/// Checks the text of the memory of the machine.
fn memory(text: &str) -> settings::value::Result<String> {
    settings::value::memory(text).map(|_| text.to_owned())
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
    let source = match source(matches) {
        Ok(source) => source,
        Err(code) => return code,
    };
    let name = match hosted::settings::is_hosted(&source.file) {
        true => report_findings(hosted::settings::load(&source)).map(|s| s.name),
        false => report_findings(settings::load(&source)).map(|s| s.node.name),
    };
    match name {
        Ok(name) => {
            println!("the settings of node {name} are valid");
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn run_hosted(source: Source) -> ExitCode {
    let settings = match report_findings(hosted::settings::load(&source)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match hosted::process::run(source, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> ExitCode {
    let source = match source(matches) {
        Ok(source) => source,
        Err(code) => return code,
    };
    if hosted::settings::is_hosted(&source.file) {
        return run_hosted(source);
    }
    let settings = match report_findings(settings::load(&source)) {
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
    process.abort().await;
    shutdown.serving.kill.cancel();
}
