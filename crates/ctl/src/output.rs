//! Output of commands: results as text or JSON on stdout, errors on stderr.

use crate::failure::Failure;
use bundle::finding::Findings;
use clap::ArgMatches;
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
    pub fn show<T: Display + Serialize>(self, value: &T) {
        match self {
            Self::Text => write_line(&mut io::stdout(), value),
            Self::Json => write_line(&mut io::stdout(), to_json(value)),
        }
    }

    /// Writes the reason of a failure to stderr.
    pub fn show_failure(self, failure: &Failure) {
        let none = Findings::default();
        let (error, findings) = match failure {
            Failure::Input(report) | Failure::Failed(report) => (format!("{report:#}"), &none),
            Failure::Findings(findings) => ("the bundle is wrong".into(), findings),
        };
        match self {
            Self::Text => write_line(
                &mut io::stderr(),
                format_args!("error: {error}\n{findings}"),
            ),
            Self::Json => {
                let findings = findings.rows();
                write_line(&mut io::stderr(), to_json(&Error { error, findings }));
            }
        }
    }
}

/// Serializes a value to JSON.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Writes one line. Write errors are ignored: a reader that closes the pipe early (`| head`) is not
/// a failure of the command.
fn write_line(to: &mut impl Write, text: impl Display) {
    let text = text.to_string();
    let _ = writeln!(to, "{}", text.trim_end());
}
