//! `publish --wait`: waits until every listed node has a version in force.

use crate::admin::Admin;
use crate::failure::{Result, failed};
use crate::output::Output;
use bundle::fleet::Fleet;
use eyre::{WrapErr, eyre};
use serde::Serialize;
use std::io::{self, IsTerminal, Write};
use std::time::{Duration, Instant};

/// Admin path of the versions in force on all nodes.
const FLEET_PATH: &str = "/admin/v1/fleet";

/// Time between two requests for the state of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of nodes named in the progress line.
const MAX_LISTED_NODES: usize = 4;

/// Number of listed nodes that have a version in force, and the nodes that don't.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Progress {
    number: u64,
    nodes: usize,
    in_force: usize,
    behind: Vec<String>,
}

impl Progress {
    fn new(fleet: &Fleet, number: u64) -> Self {
        let behind: Vec<String> = fleet.behind(number).map(ToString::to_string).collect();
        let nodes = fleet.listed().count();
        Self {
            number,
            nodes,
            in_force: nodes - behind.len(),
            behind,
        }
    }

    /// Whether every listed node has the version in force. An empty list is not a result yet.
    fn is_done(&self) -> bool {
        self.nodes > 0 && self.behind.is_empty()
    }

    /// Formats the progress as one line.
    fn format_line(&self, elapsed: Duration) -> String {
        let Self {
            number,
            nodes,
            in_force,
            behind,
        } = self;
        let seconds = elapsed.as_secs_f64();
        let mut line = format!("version {number}: in force on {in_force} of {nodes} nodes");
        if !behind.is_empty() {
            let listed: Vec<&str> = behind
                .iter()
                .take(MAX_LISTED_NODES)
                .map(String::as_str)
                .collect();
            let more = if behind.len() > MAX_LISTED_NODES {
                ", ..."
            } else {
                ""
            };
            line += &format!(", waiting for {}{more}", listed.join(", "));
        }
        line + &format!(" ({seconds:.1} s)")
    }
}

/// Polls the fleet until every listed node has version `number` in force, for up to `limit`; shows
/// progress on stderr.
pub async fn run(admin: Admin, number: u64, limit: Duration, output: Output) -> Result {
    let start = Instant::now();
    let mut last = None;
    let mut error = None;
    while start.elapsed() < limit {
        match fetch_progress(admin, number).await {
            Ok(progress) => {
                show(&progress, last.as_ref(), start.elapsed(), output);
                if progress.is_done() {
                    end_line(output);
                    return Ok(());
                }
                last = Some(progress);
            }
            Err(e) => error = Some(e),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    end_line(output);
    let message = match (last, error) {
        (Some(progress), _) => eyre!("time limit passed: {}", progress.format_line(limit)),
        (None, Some(e)) => e.wrap_err("time limit passed"),
        (None, None) => eyre!("time limit passed"),
    };
    Err(failed(message))
}

/// Fetches the progress from the node at `admin`.
async fn fetch_progress(admin: Admin, number: u64) -> eyre::Result<Progress> {
    let body = admin.get(FLEET_PATH).await?;
    let fleet: Fleet =
        serde_json::from_slice(&body).wrap_err("decoding the node's view of the fleet")?;
    Ok(Progress::new(&fleet, number))
}

/// Shows progress on stderr: on a terminal by overwriting the line, else with one line per change.
fn show(progress: &Progress, last: Option<&Progress>, elapsed: Duration, output: Output) {
    let changed = last != Some(progress);
    let mut err = io::stderr();
    let _ = match output {
        Output::Json if changed => {
            let json = serde_json::to_string(progress).unwrap_or_default();
            writeln!(err, "{json}")
        }
        Output::Text if err.is_terminal() => {
            write!(err, "\r\x1b[K{}", progress.format_line(elapsed)).and_then(|()| err.flush())
        }
        Output::Text if changed => writeln!(err, "{}", progress.format_line(elapsed)),
        _ => Ok(()),
    };
}

/// Ends the progress line on a terminal.
fn end_line(output: Output) {
    if output == Output::Text && io::stderr().is_terminal() {
        let _ = writeln!(io::stderr());
    }
}
