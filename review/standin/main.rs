//! Cases of the review that run against node processes: `standin CASE ROOT RECORD TROUBLE`.
//!
//! Writes what was sent, answered and run to the file `RECORD`. Without disruption if `TROUBLE` is 0. Exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod drain;
mod endpoint;
mod http;
mod memory;
mod node;
mod platform;
mod record;
mod store;
mod trials;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Broken(String),
    Held(String),
    Failed(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record, trouble] = args.as_slice() else {
        eprintln!("usage: standin CASE ROOT RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let trouble = trouble != "0";
    let settings = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    if std::fs::create_dir_all(&settings).is_err() {
        return ExitCode::from(2);
    }
    let record = record::Record::create(&record);
    let outcome = match case.as_str() {
        "crash" => crash::run(&root, &settings, &record, trouble),
        "drain" => drain::run(&root, &settings, &record, trouble),
        "memory" => memory::run(&root, &settings, &record, trouble),
        "trials" => trials::run(&root, &settings, &record, trouble),
        _ => Outcome::Failed(format!("no case {case}")),
    };
    let _ = std::fs::remove_dir_all(&settings);
    let (code, text) = match outcome {
        Outcome::Broken(text) => (1, format!("BROKEN: {text}")),
        Outcome::Held(text) => (0, format!("held: {text}")),
        Outcome::Failed(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
