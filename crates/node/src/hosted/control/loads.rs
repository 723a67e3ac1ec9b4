//! Loads of engines, polled from the engines or copied from other nodes.
//!
//! A few nodes of each availability zone poll the engines of their zone, busy ones more often than
//! idle ones; the other nodes copy the reports from them. If each node polled each engine, the
//! number of polls would grow with the number of nodes. A node that requests loads again gets only
//! the reports that the peer received since the previous request; the reports of all engines of a
//! fleet of 3,000 would take 180 KB each time.

use super::copy::{CHUNK_BYTES, Scope};
use adapter::report::Report;
use catalog::Endpoint;
use catalog::bounds::{Amount, Factor, OutOfBounds};
use catalog::endpoint::Span;
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use steer::load::Load;
use tokio::time::Instant;

/// Fraction of an engine's KV capacity in use from which it is polled at `BUSY_POLL_INTERVAL`.
const BUSY_UTILIZATION: f32 = 0.3;
/// Interval of polls of a busy engine: twice the time by which its report lags behind.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of polls of any other engine.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1500);
/// Age at which a report is discarded.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Age up to which a report takes precedence over the endpoint's row in the store, which is written
/// about once a second and read about as often.
const MAX_OVERLAY_AGE: Duration = Duration::from_millis(1500);
/// Approximate size of an encoded report.
const ENCODED_REPORT_BYTES: usize = 40;
/// Maximum number of reports in one response to a peer.
const MAX_RESPONSE_ROWS: usize = CHUNK_BYTES / ENCODED_REPORT_BYTES;
/// Maximum size of an encoded list of reports that is decoded.
const MAX_ENCODED_BYTES: usize = 4 << 20;

/// Encoded form of [`Figures`]; `from` is inclusive and `to` exclusive.
#[derive(Serialize, Deserialize)]
struct RawFigures {
    used: f32,
    #[serde(rename = "room")]
    capacity: f32,
    #[serde(rename = "pace")]
    slowdown: f32,
    queued: u32,
    from: u32,
    to: u32,
}

/// The part of a report that is kept and sent between nodes: KV memory in use and its capacity,
/// slowdown, number of queued requests, and the layers held.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Figures {
    used: f32,
    capacity: f32,
    slowdown: f32,
    queued: u32,
    span: Span,
}

impl From<&Report> for Figures {
    fn from(report: &Report) -> Self {
        Self {
            used: report.kv_used as f32,
            capacity: report.kv_capacity as f32,
            slowdown: report.slowdown as f32,
            queued: report.queued,
            span: report.span,
        }
    }
}

impl From<Figures> for RawFigures {
    fn from(figures: Figures) -> Self {
        Self {
            used: figures.used,
            capacity: figures.capacity,
            slowdown: figures.slowdown,
            queued: figures.queued,
            from: figures.span.from,
            to: figures.span.to,
        }
    }
}

impl TryFrom<RawFigures> for Figures {
    type Error = OutOfBounds;

    fn try_from(raw: RawFigures) -> std::result::Result<Self, OutOfBounds> {
        Amount::try_from(f64::from(raw.used))?;
        Amount::try_from(f64::from(raw.capacity))?;
        Factor::try_from(f64::from(raw.slowdown))?;
        Ok(Self {
            used: raw.used,
            capacity: raw.capacity,
            slowdown: raw.slowdown,
            queued: raw.queued,
            span: Span::try_from((raw.from, raw.to))?,
        })
    }
}

/// A report with its origin.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Row {
    /// Estimated time at which the engine gave the report.
    at: Instant,
    /// Change number of the list at which the report was added.
    number: u64,
    /// Whether this node polled the engine itself.
    own: bool,
    figures: Figures,
}

/// Response to a peer that requests loads.
#[derive(Serialize, Deserialize)]
struct Changes {
    rows: Vec<Raw>,
    /// Change number up to which the peer knows the list after applying `rows`.
    last: u64,
}

/// Change number up to which the list of a peer is known here, and when it was last received.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    last: u64,
    at: Instant,
}

/// A report as sent between nodes. It carries its age instead of a time, since the clocks of nodes
/// differ.
#[derive(Serialize, Deserialize)]
struct Raw {
    run: String,
    age_ms: u32,
    /// `None` if the run is unresponsive.
    figures: Option<RawFigures>,
}

/// The newest report of each run.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    rows: BTreeMap<String, Row>,
    /// Number of the last change of `rows`.
    last: u64,
    /// How far the lists of peers are known.
    progress: BTreeMap<(SocketAddr, Scope), PeerProgress>,
    /// When this node last polled each run.
    last_polls: BTreeMap<String, Instant>,
    /// Unanswered polls of each run since its last answer.
    misses: BTreeMap<String, Misses>,
    /// Runs that other nodes found unresponsive, with the time at which this information expires.
    reported_unresponsive: BTreeMap<String, Instant>,
    /// Runs that announced in a report to this node that they leave.
    leaving: BTreeSet<String>,
}

/// Consecutive polls without an answer, and the time of the last one.
#[derive(Clone, Copy, Debug)]
struct Misses {
    count: u32,
    at: Instant,
}

/// Number of consecutive unanswered polls from which an engine counts as unresponsive. A single one
/// may have been lost.
const UNRESPONSIVE_MISSES: u32 = 2;
/// Time for which an engine counts as unresponsive after another node reported it so.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(2500);

impl Loads {
    /// Records a report that this node has just received from the engine itself.
    pub fn record(&mut self, now: Instant, run: &str, report: &Report) {
        self.insert(run.to_owned(), now, true, Figures::from(report));
        self.misses.remove(run);
        self.reported_unresponsive.remove(run);
        if report.leaving {
            self.leaving.insert(run.to_owned());
        }
    }

    fn insert(&mut self, run: String, at: Instant, own: bool, figures: Figures) {
        self.last += 1;
        let number = self.last;
        let row = Row {
            at,
            number,
            own,
            figures,
        };
        self.rows.insert(run, row);
    }

    /// Returns the change number up to which the list of a peer is known here in a scope; 0 if it
    /// is unknown.
    pub fn known_change(&self, peer: SocketAddr, scope: Scope) -> u64 {
        self.progress.get(&(peer, scope)).map_or(0, |h| h.last)
    }

    /// Records that an engine did not answer a poll of this node.
    pub fn record_miss(&mut self, now: Instant, run: &str) {
        let misses = self.misses.entry(run.to_owned());
        let misses = misses.or_insert(Misses { count: 0, at: now });
        misses.count += 1;
        misses.at = now;
    }

    /// Forgets the polls that were not answered.
    pub fn forget_misses(&mut self) {
        self.misses.clear();
    }

    /// Returns the runs that are unresponsive, as found by this node or reported by others.
    pub fn unresponsive(&self) -> BTreeSet<String> {
        let own = self
            .misses
            .iter()
            .filter(|(_, m)| m.count >= UNRESPONSIVE_MISSES);
        let own = own.map(|(run, _)| run.clone());
        own.chain(self.reported_unresponsive.keys().cloned())
            .collect()
    }

    /// Returns the runs that announced to this node that they leave, while their reports are kept.
    pub fn leaving(&self) -> BTreeSet<String> {
        self.leaving.clone()
    }

    /// Returns whether the last report of a run shows KV memory in use.
    pub fn in_use(&self, run: &str) -> bool {
        self.rows.get(run).is_some_and(|row| row.figures.used > 0.0)
    }

    /// Returns whether a run announced to this node that it leaves.
    pub fn is_leaving(&self, run: &str) -> bool {
        self.leaving.contains(run)
    }

    /// Records that a run announced in an answer to this node that it leaves.
    pub fn record_leaving(&mut self, run: &str) {
        self.leaving.insert(run.to_owned());
    }

    /// Returns whether a run is to be polled for its load now; if so, records the poll.
    pub fn due(&mut self, now: Instant, run: &str) -> bool {
        let due = self.is_due(now, run);
        if due {
            self.last_polls.insert(run.to_owned(), now);
        }
        due
    }

    /// Returns whether a run is to be polled for its load now.
    pub fn is_due(&self, now: Instant, run: &str) -> bool {
        let figures = self.rows.get(run).map(|r| r.figures);
        let busy = figures.is_some_and(|f| f.used > f.capacity * BUSY_UTILIZATION);
        let frequent = busy || self.misses.contains_key(run);
        let period = if frequent {
            BUSY_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        let last = self.last_polls.get(run);
        last.is_none_or(|&at| now >= at + period)
    }

    /// Discards expired entries.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.at + REPORT_TTL);
        self.leaving.retain(|run| self.rows.contains_key(run));
        self.last_polls.retain(|_, at| now < *at + REPORT_TTL);
        self.misses.retain(|_, misses| now < misses.at + REPORT_TTL);
        self.reported_unresponsive.retain(|_, until| now < *until);
        self.progress
            .retain(|_, progress| now < progress.at + REPORT_TTL);
    }

    /// Encodes the unresponsive runs and the oldest reports that a peer lacks which knows the
    /// changes up to `known`, in about [`CHUNK_BYTES`]; the peer gets the rest with its next
    /// requests. A peer that requests loads from several nodes uses [`Scope::Own`]: with
    /// [`Scope::All`], 21 nodes with 1,000 engines send 6.5 MB a second between zones.
    ///
    /// A peer with a `known` above the last change received it before this node restarted, and gets
    /// all reports. If the list has already grown beyond `known` again, the peer misses some
    /// reports until the engines are polled next, at most `IDLE_POLL_INTERVAL` later.
    pub fn encode(&self, now: Instant, scope: Scope, known: u64) -> Result<Vec<u8>> {
        let known = if known > self.last { 0 } else { known };
        let included = |row: &Row| row.number > known && (row.own || scope == Scope::All);
        let rows = self.rows.iter().filter(|(_, row)| included(row));
        let mut rows: Vec<(&String, &Row)> = rows.collect();
        rows.sort_unstable_by_key(|(_, row)| row.number);
        let last = match rows.get(MAX_RESPONSE_ROWS) {
            Some(_) => rows[MAX_RESPONSE_ROWS - 1].1.number,
            None => self.last,
        };
        let rows = rows
            .into_iter()
            .take(MAX_RESPONSE_ROWS)
            .map(|(run, row)| Raw {
                run: run.clone(),
                age_ms: (now - row.at).as_millis() as u32,
                figures: Some(row.figures.into()),
            });
        let unresponsive = self.unresponsive().into_iter().map(|run| Raw {
            run,
            age_ms: 0,
            figures: None,
        });
        let changes = Changes {
            rows: rows.chain(unresponsive).collect(),
            last,
        };
        let config = bincode::config::standard();
        Ok(bincode::serde::encode_to_vec(&changes, config)?)
    }

    /// Merges an encoded list of reports from a peer. Returns whether any report is new.
    pub fn merge(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        scope: Scope,
        bytes: &[u8],
    ) -> Result<bool> {
        let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
        let (changes, used): (Changes, usize) = bincode::serde::decode_from_slice(bytes, config)?;
        ensure!(used == bytes.len(), "trailing bytes after a list of loads");
        let last = changes.last;
        self.progress
            .insert((peer, scope), PeerProgress { last, at: now });
        let mut new = false;
        for raw in changes.rows {
            let Some(figures) = raw.figures else {
                // The peer's information counts only for runs that this node has not polled itself
                // recently.
                if !self.last_polls.contains_key(&raw.run) {
                    self.reported_unresponsive
                        .insert(raw.run, now + UNRESPONSIVE_TTL);
                }
                continue;
            };
            let at = now.checked_sub(Duration::from_millis(raw.age_ms.into()));
            let Some(at) = at else {
                continue;
            };
            let figures = match Figures::try_from(figures) {
                Ok(figures) => figures,
                Err(error) => {
                    log::warn!("unusable load of {} from peer {peer}: {error}", raw.run);
                    continue;
                }
            };
            let existing = self.rows.get(&raw.run);
            if existing.is_some_and(|k| k.at + DUPLICATE_TOLERANCE >= at) || now >= at + REPORT_TTL
            {
                continue;
            }
            new = true;
            self.insert(raw.run, at, false, figures);
        }
        Ok(new)
    }

    /// Returns the loads for the workers' view. `start` is the time from which stamps count.
    pub fn view(&self, now: Instant, start: Instant) -> BTreeMap<String, Load> {
        let load = |row: &Row| Load {
            stamp: (row.at - start).as_micros() as u64,
            used: row.figures.used.into(),
            slowdown: row.figures.slowdown.into(),
            queued: row.figures.queued,
            age: now - row.at,
        };
        let rows = self.rows.iter();
        rows.map(|(run, row)| (run.clone(), load(row))).collect()
    }

    /// Returns the endpoint with the layers of its last report in place of those of its row, if the
    /// report is recent.
    pub fn overlay(&self, now: Instant, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let row = self.rows.get(&endpoint.run.to_string());
        if let Some(row) = row.filter(|r| now < r.at + MAX_OVERLAY_AGE) {
            endpoint.span = row.figures.span;
        }
        endpoint
    }
}

/// Time by which the estimated times of two copies of the same report may differ, because of the
/// time that they take to arrive.
const DUPLICATE_TOLERANCE: Duration = Duration::from_millis(50);
