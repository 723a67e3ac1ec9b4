//! `wigeonctl losses`: late and lost requests by cause, from nodes' log lines.
//!
//! Each request that ended is counted once: as on time, or as late, refused, broken off, failed or
//! abandoned by its caller, with exactly one cause. The output is a table of causes and a table of
//! their counts over time, or both as JSON; optionally a chart of the counts over time; or the
//! causes of two runs side by side. The counts can also be given by the size of the prompts. Counted separately are requests without a line for their end,
//! losses whose cause the lines don't show, requests that the catalog doesn't allow, and lines that
//! can't be parsed.

mod cause;
mod chart;
mod compare;
mod request;
mod size;

use crate::failure::{Result, input};
use crate::line::{Reader, Skipped};
use crate::output::Output;
use cause::Cause;
use clap::ArgMatches;
use compare::Comparison;
use eyre::WrapErr;
use request::{Limits, Request};
use serde::Serialize;
use size::Sizes;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Reads standard input, or the two files given with `--compare`, and prints the tables.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let number = |name: &str| *args.get_one::<u64>(name).expect("clap sets a default");
    let limits = Limits {
        head_time: Duration::from_millis(number("head")),
        pause: Duration::from_millis(number("pause")),
    };
    let interval = Duration::from_secs(number("every"));
    if let Some(files) = args.get_many::<PathBuf>("compare") {
        let runs = files.map(|file| Losses::read(open(file)?, &limits, interval, false));
        let runs: Vec<Losses> = runs.collect::<Result<_>>()?;
        return output.show(&Comparison::new(&runs[0], &runs[1]));
    }
    let input = Reader::new(std::io::stdin().lock(), "standard input");
    let losses = Losses::read(input, &limits, interval, args.get_flag("by-size"))?;
    output.show(&losses)?;
    match args.get_one::<PathBuf>("svg") {
        Some(file) => chart::write(&losses, file),
        None => Ok(()),
    }
}

/// Opens a file of log lines.
fn open(file: &Path) -> Result<Reader<BufReader<File>>> {
    let name = file.display().to_string();
    let opened = File::open(file).wrap_err_with(|| name.clone());
    Ok(Reader::new(BufReader::new(opened.map_err(input)?), name))
}

/// Totals of the requests with one cause.
#[derive(Debug, Default, Serialize)]
struct Total {
    count: u64,
    /// Sum of the times by which they exceeded a limit, in milliseconds.
    over_ms: u64,
}

/// Losses of one run, by cause and over time.
#[derive(Debug, Serialize)]
struct Losses {
    /// Requests with a line for their end.
    ended: u64,
    /// Of these, requests that the catalog doesn't allow: without a route, or with a key of no
    /// team.
    denied: u64,
    /// Requests without a line for their end: their node crashed, or its lines were dropped.
    #[serde(rename = "untold")]
    unfinished: u64,
    /// Length of an interval, in seconds.
    #[serde(rename = "every")]
    interval_s: u64,
    causes: BTreeMap<Cause, Total>,
    /// Counts by the interval in which requests were received. The key is the interval's start in
    /// seconds since the first request.
    intervals: BTreeMap<u64, BTreeMap<Cause, u64>>,
    /// Counts by the size of the prompts, if requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    sizes: Option<Sizes>,
    #[serde(rename = "unread")]
    skipped: Skipped,
}

impl Losses {
    /// Reads all lines and classifies their requests.
    fn read<R: BufRead>(
        mut lines: Reader<R>,
        limits: &Limits,
        interval: Duration,
        by_size: bool,
    ) -> Result<Self> {
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
            sizes: by_size.then(|| Sizes::count(requests.values(), limits)),
            skipped: lines.finish()?,
        };
        for request in requests.values() {
            losses.add(request, limits, start);
        }
        Ok(losses)
    }

    /// Counts one request; `start` is the time of the first request in Unix milliseconds.
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
        match &self.sizes {
            Some(sizes) => write!(f, "\n{sizes}"),
            None => Ok(()),
        }
    }
}
