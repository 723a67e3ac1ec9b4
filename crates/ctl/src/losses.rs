//! Where requests were lost, from the log lines of nodes on standard input.
//!
//! Each request that ended is accounted for once: on time, or late, refused, broken off, failed or
//! given up by its caller, with one cause. Output is a table of causes and one of their counts over
//! time, or both as JSON; a chart of the second one; or the causes of two runs beside each other.
//! Requests whose end no line tells are counted apart, and so are losses whose cause the lines do not
//! show, requests that the catalog does not allow, and lines that can't be read.

mod cause;
mod chart;
mod compare;
mod request;

use crate::failure::{Result, input};
use crate::line::{Reader, Skipped};
use crate::output::Output;
use cause::Cause;
use clap::ArgMatches;
use compare::Comparison;
use eyre::WrapErr;
use request::{Limits, Request};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Reads standard input, or two files, and prints the tables.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let number = |name: &str| *args.get_one::<u64>(name).expect("it has a default");
    let limits = Limits {
        head_time: Duration::from_millis(number("head")),
        pause: Duration::from_millis(number("pause")),
    };
    let interval = Duration::from_secs(number("every"));
    if let Some(files) = args.get_many::<PathBuf>("compare") {
        let runs = files.map(|file| Losses::read(open(file)?, &limits, interval));
        let runs: Vec<Losses> = runs.collect::<Result<_>>()?;
        output.show(&Comparison::new(&runs[0], &runs[1]));
        return Ok(());
    }
    let input = Reader::new(std::io::stdin().lock(), "standard input");
    let losses = Losses::read(input, &limits, interval)?;
    output.show(&losses);
    match args.get_one::<PathBuf>("svg") {
        Some(file) => chart::write(&losses, file),
        None => Ok(()),
    }
}

/// Lines of a file.
fn open(file: &Path) -> Result<Reader<BufReader<File>>> {
    let name = file.display().to_string();
    let opened = File::open(file).wrap_err_with(|| name.clone());
    Ok(Reader::new(BufReader::new(opened.map_err(input)?), name))
}

/// All requests of one cause.
#[derive(Debug, Default, Serialize)]
struct Total {
    count: u64,
    /// Time past the limits, over all of them, in milliseconds.
    over_ms: u64,
}

/// The losses by cause, and over time.
#[derive(Debug, Serialize)]
struct Losses {
    /// Requests whose end is told.
    ended: u64,
    /// Those that no catalog allows: without a route, or with a key that no team has.
    denied: u64,
    /// Requests that were sent and whose end is not told: their node died, or its lines were dropped.
    #[serde(rename = "untold")]
    unfinished: u64,
    /// Seconds of an interval.
    #[serde(rename = "every")]
    interval_s: u64,
    causes: BTreeMap<Cause, Total>,
    /// Counts by the interval in which requests came, since the first of them, in seconds.
    intervals: BTreeMap<u64, BTreeMap<Cause, u64>>,
    #[serde(rename = "unread")]
    skipped: Skipped,
}

impl Losses {
    fn read<R: BufRead>(mut lines: Reader<R>, limits: &Limits, interval: Duration) -> Result<Self> {
        let mut requests: BTreeMap<String, Request> = BTreeMap::new();
        for line in lines.by_ref() {
            let id = line.text("id");
            if !id.is_empty() {
                requests.entry(id.to_owned()).or_default().record(&line);
            }
        }
        let start = requests.values().filter_map(Request::received_at).min();
        let start = start.unwrap_or_default();
        let mut losses = Self {
            ended: 0,
            denied: 0,
            unfinished: 0,
            interval_s: interval.as_secs().max(1),
            causes: BTreeMap::new(),
            intervals: BTreeMap::new(),
            skipped: lines.finish()?,
        };
        for request in requests.values() {
            losses.add(request, limits, start);
        }
        Ok(losses)
    }

    fn add(&mut self, request: &Request, limits: &Limits, start: u64) {
        let Some(received_at) = request.received_at() else {
            self.unfinished += 1;
            return;
        };
        self.ended += 1;
        let Some((cause, over)) = request.loss(limits) else {
            return;
        };
        if cause.is_denied() {
            self.denied += 1;
            return;
        }
        let total = self.causes.entry(cause).or_default();
        total.count += 1;
        total.over_ms += over.as_millis() as u64;
        let second = (received_at - start) / 1000;
        let interval = self.intervals.entry(second - second % self.interval_s);
        *interval.or_default().entry(cause).or_default() += 1;
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost: u64 = self.causes.values().map(|s| s.count).sum();
        writeln!(
            f,
            "{} requests ended, {lost} of them lost or late; {} without an end",
            self.ended, self.unfinished
        )?;
        writeln!(
            f,
            "{} without a route or with an unknown key, not among the lost; {}",
            self.denied, self.skipped
        )?;
        writeln!(f, "\n{:>7} {:>9}  cause", "count", "over, s")?;
        let mut causes: Vec<_> = self.causes.iter().collect();
        causes.sort_by_key(|(cause, total)| (std::cmp::Reverse(total.count), **cause));
        for (cause, total) in causes {
            let over = Duration::from_millis(total.over_ms).as_secs_f64();
            writeln!(f, "{:>7} {over:>9.1}  {cause}", total.count)?;
        }
        writeln!(f, "\n{:>7}  losses by cause", "second")?;
        for (second, counts) in &self.intervals {
            let counts = counts.iter().map(|(cause, n)| format!("{n} {cause}"));
            let counts: Vec<_> = counts.collect();
            writeln!(f, "{second:>7}  {}", counts.join("; "))?;
        }
        Ok(())
    }
}
