//! Stand-ins of the platform, of replicas and of requesters for the cases of the second review. The first argument
//! names the case, the second one the file of its record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod client;
mod http;
mod kept_body;
mod model;
mod node;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE")
        .is_ok_and(|t| t == "0")
        .then_some(false)
        .unwrap_or(true);
    let record = record::Record::create(&PathBuf::from(file));
    let name = format!("wigeonshelf-review-{}", std::process::id());
    let temporary = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&temporary).unwrap();
    let held = match case.as_str() {
        "kept-body" => kept_body::run(&temporary, &record, trouble),
        _ => None,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
