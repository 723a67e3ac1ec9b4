//! `wigeonctl`: the operators' command line.
//!
//! Inputs are files, the log service and a node's admin listener. Results go to stdout as text or
//! JSON, progress and errors to stderr. The exit code is 0 if the command succeeded, 1 if it failed
//! or another version won the race, and 2 for invalid input. The tool never prompts, so that
//! scripts can run it.

mod admin;
mod check;
mod cli;
mod diff;
mod explain;
mod failure;
mod files;
mod history;
mod keygen;
mod line;
mod losses;
mod output;
mod publish;
mod restore;
mod show;
mod sign;
mod source;
mod tail;
mod wait;

use clap::ArgMatches;
use failure::Result;
use output::Output;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let output = Output::from_args(&matches);
    match run(&matches, output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.show_failure(&failure);
            failure.code()
        }
    }
}

/// Dispatches to the subcommand given on the command line.
async fn run(matches: &ArgMatches, output: Output) -> Result {
    match matches.subcommand() {
        Some(("keygen", args)) => keygen::run(args, output),
        Some(("check", args)) => check::run(args, output),
        Some(("diff", args)) => diff::run(args, output),
        Some(("sign", args)) => sign::run(args, output).await,
        Some(("publish", args)) => publish::run(args, output).await,
        Some(("restore", args)) => restore::run(args, output).await,
        Some(("explain", args)) => explain::run(args, output),
        Some(("losses", args)) => losses::run(args, output),
        Some(("status", args)) => show::status(args, output).await,
        Some(("history", args)) => history::run(args, output).await,
        Some(("dump", args)) => show::dump(args, output).await,
        _ => unreachable!("clap requires a subcommand"),
    }
}
