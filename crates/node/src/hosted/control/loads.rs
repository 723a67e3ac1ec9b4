//! Loads that engines report.
//!
//! Few nodes of each availability zone ask the engines of their zone, often where there is much
//! under way and seldom where there is not; the others take the answers from them. Each node asking
//! each engine would cost the number of nodes times as many questions. A node that takes answers
//! again gets those that the giver learned since: all of 3,000 engines' would be 180 KB each time.

use super::copy::{CHUNK_BYTES, Scope};
use adapter::report::Report;
use catalog::Endpoint;
use catalog::endpoint::Span;
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use steer::load::Load;
use tokio::time::Instant;

/// Part of an engine's room from which it is asked often.
const BUSY_UTILIZATION: f32 = 0.3;
/// Time between two questions to a busy engine: twice what its report lags behind.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two questions to any other.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1500);
/// Time after which a report is forgotten.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Age up to which a report goes before the endpoint's own row, which is written every second or
/// so and read about as often.
const MAX_OVERLAY_AGE: Duration = Duration::from_millis(1500);
/// Bytes of a report between nodes, about.
const ENCODED_REPORT_BYTES: usize = 40;
/// Reports that a peer gets at once.
const MAX_RESPONSE_ROWS: usize = CHUNK_BYTES / ENCODED_REPORT_BYTES;
/// Longest list that is read.
const MAX_ENCODED_BYTES: usize = 4 << 20;

/// What is kept of a report, as nodes also send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Figures {
    used: f32,
    room: f32,
    pace: f32,
    queued: u32,
    from: u32,
    to: u32,
}

impl From<&Report> for Figures {
    fn from(report: &Report) -> Self {
        Self {
            used: report.kv_used as f32,
            room: report.kv_capacity as f32,
            pace: report.slowdown as f32,
            queued: report.queued,
            from: report.span.from,
            to: report.span.to,
        }
    }
}

/// A report, and when it was given.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Row {
    at: Instant,
    /// Number of this change of the list.
    number: u64,
    /// Whether this node asked the engine itself.
    own: bool,
    figures: Figures,
}

/// What a peer gets.
#[derive(Serialize, Deserialize)]
struct Changes {
    rows: Vec<Raw>,
    /// Number of the last change among them.
    last: u64,
}

/// How far a peer's list is known, and when that was learned.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    last: u64,
    at: Instant,
}

/// A report between nodes. Clocks of nodes differ, so its age is sent and not its time.
#[derive(Serialize, Deserialize)]
struct Raw {
    run: String,
    age_ms: u32,
    /// Nothing if the run does not answer.
    figures: Option<Figures>,
}

/// The newest report of each run.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    rows: BTreeMap<String, Row>,
    /// Number of the last change.
    last: u64,
    progress: BTreeMap<(SocketAddr, Scope), PeerProgress>,
    /// When each run was last asked by this node.
    last_polls: BTreeMap<String, Instant>,
    /// How often in a row each run did not answer this node, and when it last did not.
    misses: BTreeMap<String, Misses>,
    /// Runs that other nodes found silent, and until when that counts.
    reported_unresponsive: BTreeMap<String, Instant>,
}

/// Questions that were not answered.
#[derive(Clone, Copy, Debug)]
struct Misses {
    count: u32,
    at: Instant,
}

/// Questions in a row without an answer from which an engine counts as silent. One may be lost.
const UNRESPONSIVE_MISSES: u32 = 2;
/// How long it counts that another node found an engine silent.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(2500);

impl Loads {
    /// Takes a report in that was just given.
    pub fn record(&mut self, now: Instant, run: &str, report: &Report) {
        self.insert(run.to_owned(), now, true, Figures::from(report));
        self.misses.remove(run);
        self.reported_unresponsive.remove(run);
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

    /// The last change of a scope of a peer's list that is known here.
    pub fn known_change(&self, peer: SocketAddr, scope: Scope) -> u64 {
        self.progress.get(&(peer, scope)).map_or(0, |h| h.last)
    }

    /// An engine did not answer this node.
    pub fn record_miss(&mut self, now: Instant, run: &str) {
        let misses = self.misses.entry(run.to_owned());
        let misses = misses.or_insert(Misses { count: 0, at: now });
        misses.count += 1;
        misses.at = now;
    }

    /// Runs that do not answer.
    pub fn unresponsive(&self) -> BTreeSet<String> {
        let own = self
            .misses
            .iter()
            .filter(|(_, m)| m.count >= UNRESPONSIVE_MISSES);
        let own = own.map(|(run, _)| run.clone());
        own.chain(self.reported_unresponsive.keys().cloned())
            .collect()
    }

    /// Whether a run should be asked now; if so, it counts as asked.
    pub fn due(&mut self, now: Instant, run: &str) -> bool {
        let figures = self.rows.get(run).map(|r| r.figures);
        let busy = figures.is_some_and(|f| f.used > f.room * BUSY_UTILIZATION);
        let frequent = busy || self.misses.contains_key(run);
        let period = if frequent {
            BUSY_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        let due = self
            .last_polls
            .get(run)
            .is_none_or(|&at| now >= at + period);
        if due {
            self.last_polls.insert(run.to_owned(), now);
        }
        due
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.at + REPORT_TTL);
        self.last_polls.retain(|_, at| now < *at + REPORT_TTL);
        self.misses.retain(|_, misses| now < misses.at + REPORT_TTL);
        self.reported_unresponsive.retain(|_, until| now < *until);
        self.progress
            .retain(|_, progress| now < progress.at + REPORT_TTL);
    }

    /// The oldest reports for a peer that knows the changes up to `known`, in about [`CHUNK`] bytes,
    /// and all silent runs; the peer gets the rest when it asks next. A peer that
    /// asks several nodes takes from each what that one asked for itself: with all that each knows,
    /// 21 nodes with 1,000 engines sent 6.5 MB a second between zones.
    ///
    /// A peer that knows of later changes than there are learned them before this node started
    /// anew, and gets all. Were there as many again by then, it would miss some until the engines
    /// are next asked, at most [`SELDOM`] later.
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
                figures: Some(row.figures),
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

    /// Takes a peer's reports in; whether any is new.
    pub fn merge(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        scope: Scope,
        bytes: &[u8],
    ) -> Result<bool> {
        let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
        let (changes, used): (Changes, usize) = bincode::serde::decode_from_slice(bytes, config)?;
        ensure!(used == bytes.len(), "trailing bytes");
        let last = changes.last;
        self.progress
            .insert((peer, scope), PeerProgress { last, at: now });
        let mut new = false;
        for raw in changes.rows {
            let Some(figures) = raw.figures else {
                // Only what this node did not hear itself of late is taken.
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

    /// What workers are told.
    pub fn view(&self, now: Instant, start: Instant) -> BTreeMap<String, Load> {
        let load = |row: &Row| Load {
            stamp: (row.at - start).as_micros() as u64,
            used: row.figures.used.into(),
            slowdown: row.figures.pace.into(),
            queued: row.figures.queued,
            age: now - row.at,
        };
        let rows = self.rows.iter();
        rows.map(|(run, row)| (run.clone(), load(row))).collect()
    }

    /// The endpoint with the layers that it reported, if that is newer than its row.
    pub fn overlay(&self, now: Instant, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let row = self.rows.get(&endpoint.run.to_string());
        if let Some(row) = row.filter(|r| now < r.at + MAX_OVERLAY_AGE) {
            let Figures { from, to, .. } = row.figures;
            endpoint.span = Span { from, to };
        }
        endpoint
    }
}

/// Two copies of one report differ by the time that they were on their way.
const DUPLICATE_TOLERANCE: Duration = Duration::from_millis(50);
