//! `wigeonctl explain`: the timeline of one request, from nodes' log lines on standard input.
//!
//! Lines of all nodes may arrive in any order and with any text before the JSON object, such as a
//! node's name and a time. Beside the request's own lines, the timeline includes the state changes
//! shortly before and during the request that may have influenced its routing: those of the
//! endpoints that it was sent to, and those of nodes and their dependencies.

use crate::failure::{Result, failed};
use crate::line::{Line, Reader};
use crate::output::Output;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of state changes in a timeline; the latest ones are kept.
const MAX_STATE_CHANGES: usize = 12;
/// Time before the request's first line in which state changes are included, in milliseconds.
const LOOKBACK_MS: u64 = 10_000;

impl Line {
    /// Whether the line belongs to request `id`.
    fn is_about(&self, id: &str) -> bool {
        self.text("id") == id
    }

    /// Returns the runs of the endpoints in the `stages` field, whose entries are `run=layers`.
    fn runs(&self) -> impl Iterator<Item = &str> {
        let stages = self.text("stages").split(',');
        stages.filter_map(|stage| stage.rsplit_once('=').map(|(run, _)| run))
    }

    /// Whether the line records a state change that can influence the routing of a request whose
    /// attempts used the endpoints with these runs.
    fn is_relevant_change(&self, runs: &BTreeSet<&str>) -> bool {
        match self.event.as_str() {
            "endpoint" | "order" => runs.contains(self.text("run")),
            "dependency" | "catalog" | "reload" | "start" | "stop" | "overflow" => true,
            _ => false,
        }
    }

    /// Formats the line for output, with its time relative to `start` (both Unix milliseconds).
    fn describe(&self, start: u64) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "id");
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text:?}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let offset = self.time as i64 - start as i64;
        format!(
            "{offset:>7} ms  {:<10} {}  {}",
            self.event,
            fields.join(" "),
            self.prefix
        )
    }
}

/// Reads standard input and prints the timeline of the request.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let id: &String = args.get_one("id").expect("clap requires it");
    let mut reader = Reader::new(std::io::stdin().lock(), "standard input");
    let lines: Vec<Line> = reader.by_ref().collect();
    reader.finish()?;
    let timeline = timeline(lines, id).ok_or_else(|| {
        failed(eyre::eyre!(
            "no log line has the request id {id}; another node may have handled the request, or \
             its lines were dropped"
        ))
    })?;
    output.show(&timeline)
}

/// Formatted log lines of a request and of the state changes around it, in order of time.
#[derive(Debug, Serialize)]
struct Timeline {
    lines: Vec<String>,
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

/// Builds the timeline of request `id`; `None` if no line has this id.
fn timeline(mut lines: Vec<Line>, id: &str) -> Option<Timeline> {
    lines.sort_by_key(|l| l.time);
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_about(id)).collect();
    let (start, end) = (own.first()?.time, own.last()?.time);
    let runs: BTreeSet<&str> = own.iter().flat_map(|l| l.runs()).collect();
    let in_window = |l: &&Line| l.time + LOOKBACK_MS >= start && l.time <= end;
    let changes: Vec<&Line> = lines
        .iter()
        .filter(in_window)
        .filter(|l| !l.is_about(id) && l.is_relevant_change(&runs))
        .collect();
    let skipped = changes.len().saturating_sub(MAX_STATE_CHANGES);
    let mut selected: Vec<&Line> = changes.into_iter().skip(skipped).chain(own).collect();
    selected.sort_by_key(|l| l.time);
    let lines = selected.into_iter().map(|l| l.describe(start)).collect();
    Some(Timeline { lines })
}
