//! The story of one request, from the log lines of nodes on standard input.
//!
//! Lines of all nodes may come in any order and with any text before the JSON object, such as a
//! node's name and a time. Beside the request's own lines, the last changes before it of what its
//! node depends on and of the endpoints that it was sent to are part of the story: they are the
//! changes that decided.

use crate::failure::{Result, failed};
use crate::line::{Line, Reader};
use crate::output::Output;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// Changes of belief before the request that are shown, at the most.
const MAX_STATE_CHANGES: usize = 12;
/// Milliseconds before the request from which on changes of belief are shown.
const LOOKBACK_MS: u64 = 10_000;

impl Line {
    fn is_about(&self, id: &str) -> bool {
        self.text("id") == id
    }

    /// Whether it changes what decides about a request that used these stages.
    fn is_relevant_change(&self, stages: &str) -> bool {
        match self.event.as_str() {
            "endpoint" | "order" => {
                let run = self.text("run");
                !run.is_empty() && stages.contains(run)
            }
            "dependency" | "catalog" | "reload" | "start" | "stop" | "overflow" => true,
            _ => false,
        }
    }

    /// The line for a reader, with its time after `start`.
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

/// Reads standard input and prints the story.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let id: &String = args.get_one("id").expect("clap requires it");
    let mut reader = Reader::new(std::io::stdin().lock(), "standard input");
    let lines: Vec<Line> = reader.by_ref().collect();
    reader.finish()?;
    let timeline = timeline(lines, id).ok_or_else(|| {
        failed(eyre::eyre!(
            "no line is about {id}; another node may have had it, or its lines were dropped"
        ))
    })?;
    output.show(&timeline);
    Ok(())
}

/// A request's story, a line each.
#[derive(Debug, Serialize)]
struct Timeline {
    lines: Vec<String>,
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

/// The lines of a request in the order of their times; nothing if there are none.
fn timeline(mut lines: Vec<Line>, id: &str) -> Option<Timeline> {
    lines.sort_by_key(|l| l.time);
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_about(id)).collect();
    let (start, end) = (own.first()?.time, own.last()?.time);
    let stages: Vec<&str> = own.iter().map(|l| l.text("stages")).collect();
    let stages = stages.join(",");
    let in_window = |l: &&Line| l.time + LOOKBACK_MS >= start && l.time <= end;
    let changes: Vec<&Line> = lines
        .iter()
        .filter(in_window)
        .filter(|l| !l.is_about(id) && l.is_relevant_change(&stages))
        .collect();
    let skipped = changes.len().saturating_sub(MAX_STATE_CHANGES);
    let mut selected: Vec<&Line> = changes.into_iter().skip(skipped).chain(own).collect();
    selected.sort_by_key(|l| l.time);
    let lines = selected.into_iter().map(|l| l.describe(start)).collect();
    Some(Timeline { lines })
}
