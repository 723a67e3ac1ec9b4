//! Output of commands: results as text or JSON on stdout, errors on stderr.

use crate::failure::{Failure, Result, failed};
use bundle::finding::Findings;
use clap::ArgMatches;
use eyre::WrapErr;
use serde::Serialize;
use std::fmt::Display;
use std::io::{self, Write};

/// Output format, selected with `--output`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Text for people.
    Text,
    /// One JSON value, for scripts.
    Json,
}

/// JSON form of a failure.
#[derive(Serialize)]
struct Error<'a> {
    error: String,
    findings: &'a [bundle::finding::Finding],
}

impl Output {
    /// Returns the format selected on the command line.
    pub fn from_args(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Text,
        }
    }

    /// Writes `value` to stdout, as text or JSON.
    pub fn show<T: Display + Serialize>(self, value: &T) -> Result {
        let text = match self {
            Self::Text => value.to_string(),
            Self::Json => to_json(value),
        };
        show_bytes(text.as_bytes())
    }

    /// Writes the reason of a failure to stderr.
    pub fn show_failure(self, failure: &Failure) {
        let none = Findings::default();
        let (error, findings) = match failure {
            Failure::Input(report) | Failure::Failed(report) => (format!("{report:#}"), &none),
            Failure::Findings(findings) => ("the bundle is wrong".into(), findings),
        };
        let text = match self {
            Self::Text => format!("error: {error}\n{findings}"),
            Self::Json => to_json(&Error {
                error,
                findings: findings.rows(),
            }),
        };
        // There is no other place to report that stderr can't be written.
        let _ = writeln!(io::stderr(), "{}", text.trim_end());
    }
}

/// Serializes a value to JSON.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Writes bytes to stdout, unchanged but for trailing white space, which becomes one newline. A
/// reader that closes the pipe early (`| head`) is not a failure of the command.
pub fn show_bytes(bytes: &[u8]) -> Result {
    let written = write(&[bytes.trim_ascii_end(), b"\n"].concat());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => report(written),
    }
}

/// Writes bytes to stdout that must not be lost. A closed pipe is a failure, too.
pub fn write_all(bytes: &[u8]) -> Result {
    report(write(bytes))
}

/// Writes and flushes. Without the flush, an error of the rest would be ignored at the end of the
/// process.
fn write(bytes: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    stdout.write_all(bytes)?;
    stdout.flush()
}

fn report(written: io::Result<()>) -> Result {
    written.wrap_err("writing to stdout").map_err(failed)
}
