//! Loads that engines report.
//!
//! One node of each availability zone asks the engines of its zone, often where there is much
//! under way and seldom where there is not; the others take the answers from it. Each node asking
//! each engine would cost the number of nodes times as many questions.

use adapter::report::Report;
use catalog::Endpoint;
use catalog::endpoint::Span;
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use steer::load::Load;
use tokio::time::Instant;

/// Part of an engine's room from which it is asked often.
const BUSY: f64 = 0.3;
/// Time between two questions to a busy engine: twice what its report lags behind.
const OFTEN: Duration = Duration::from_millis(400);
/// Time between two questions to any other.
const SELDOM: Duration = Duration::from_millis(1500);
/// Time after which a report is forgotten.
const KEEP: Duration = Duration::from_secs(4);
/// Age up to which a report goes before the endpoint's own row, which is written every second or
/// so and read about as often.
const FRESH: Duration = Duration::from_millis(1500);
/// Longest list that is read.
const LONGEST: usize = 4 << 20;

/// What is kept of a report, as nodes also send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Figures {
    used: f64,
    room: f64,
    pace: f64,
    queued: u32,
    from: u32,
    to: u32,
}

impl From<&Report> for Figures {
    fn from(report: &Report) -> Self {
        Self {
            used: report.used,
            room: report.room,
            pace: report.pace,
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
    figures: Figures,
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
    /// When each run was last asked by this node.
    asked: BTreeMap<String, Instant>,
    /// How often in a row each run did not answer this node, and when it last did not.
    missed: BTreeMap<String, Missed>,
    /// Runs that other nodes found silent, and until when that counts.
    told: BTreeMap<String, Instant>,
}

/// Questions that were not answered.
#[derive(Clone, Copy, Debug)]
struct Missed {
    count: u32,
    at: Instant,
}

/// Questions in a row without an answer from which an engine counts as silent. One may be lost.
const SILENT: u32 = 2;
/// How long it counts that another node found an engine silent.
const TOLD: Duration = Duration::from_millis(2500);

impl Loads {
    /// Takes a report in that was just given.
    pub fn reported(&mut self, now: Instant, run: &str, report: &Report) {
        let figures = Figures::from(report);
        let row = Row { at: now, figures };
        self.rows.insert(run.to_owned(), row);
        self.missed.remove(run);
        self.told.remove(run);
    }

    /// An engine did not answer this node.
    pub fn missed(&mut self, now: Instant, run: &str) {
        let missed = self.missed.entry(run.to_owned());
        let missed = missed.or_insert(Missed { count: 0, at: now });
        missed.count += 1;
        missed.at = now;
    }

    /// Runs that do not answer.
    pub fn silent(&self) -> BTreeSet<String> {
        let own = self.missed.iter().filter(|(_, m)| m.count >= SILENT);
        let own = own.map(|(run, _)| run.clone());
        own.chain(self.told.keys().cloned()).collect()
    }

    /// Whether a run should be asked now; if so, it counts as asked.
    pub fn due(&mut self, now: Instant, run: &str) -> bool {
        let figures = self.rows.get(run).map(|r| r.figures);
        let busy = figures.is_some_and(|f| f.used > f.room * BUSY);
        let doubted = busy || self.missed.contains_key(run);
        let period = if doubted { OFTEN } else { SELDOM };
        let due = self.asked.get(run).is_none_or(|&at| now >= at + period);
        if due {
            self.asked.insert(run.to_owned(), now);
        }
        due
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.at + KEEP);
        self.asked.retain(|_, at| now < *at + KEEP);
        self.missed.retain(|_, missed| now < missed.at + KEEP);
        self.told.retain(|_, until| now < *until);
    }

    /// All reports for a peer.
    pub fn encode(&self, now: Instant) -> Result<Vec<u8>> {
        let rows = self.rows.iter().map(|(run, row)| Raw {
            run: run.clone(),
            age_ms: (now - row.at).as_millis() as u32,
            figures: Some(row.figures),
        });
        let silent = self.silent().into_iter().map(|run| Raw {
            run,
            age_ms: 0,
            figures: None,
        });
        let raws: Vec<Raw> = rows.chain(silent).collect();
        let config = bincode::config::standard();
        Ok(bincode::serde::encode_to_vec(&raws, config)?)
    }

    /// Takes a peer's reports in; whether any is new.
    pub fn take(&mut self, now: Instant, bytes: &[u8]) -> Result<bool> {
        let config = bincode::config::standard().with_limit::<LONGEST>();
        let (raws, used): (Vec<Raw>, usize) = bincode::serde::decode_from_slice(bytes, config)?;
        ensure!(used == bytes.len(), "trailing bytes");
        let mut new = false;
        for raw in raws {
            let Some(figures) = raw.figures else {
                // Only what this node did not hear itself of late is taken.
                if !self.asked.contains_key(&raw.run) {
                    self.told.insert(raw.run, now + TOLD);
                }
                continue;
            };
            let at = now.checked_sub(Duration::from_millis(raw.age_ms.into()));
            let Some(at) = at else {
                continue;
            };
            let known = self.rows.get(&raw.run);
            if known.is_some_and(|k| k.at + SAME >= at) || now >= at + KEEP {
                continue;
            }
            new = true;
            self.rows.insert(raw.run, Row { at, figures });
        }
        Ok(new)
    }

    /// What workers are told.
    pub fn view(&self, now: Instant, start: Instant) -> BTreeMap<String, Load> {
        let load = |row: &Row| Load {
            stamp: (row.at - start).as_micros() as u64,
            used: row.figures.used,
            pace: row.figures.pace,
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
        if let Some(row) = row.filter(|r| now < r.at + FRESH) {
            let Figures { from, to, .. } = row.figures;
            endpoint.span = Span { from, to };
        }
        endpoint
    }
}

/// Two copies of one report differ by the time that they were on their way.
const SAME: Duration = Duration::from_millis(50);
