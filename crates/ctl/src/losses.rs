//! Where requests were lost, from the log lines of nodes on standard input.
//!
//! Each request that ended is accounted for once: on time, or late, refused, broken off, failed or
//! given up by its caller, with one cause. Output is a table of causes and one of their counts over
//! time, or both as JSON; a chart of the second one; or the causes of two runs beside each other.
//! Requests whose end no line tells are counted apart, and so are losses whose cause the lines do not
//! show, requests that the catalog does not allow, and lines that can't be read.

mod account;
mod cause;
mod chart;
mod compare;

use crate::failure::{Result, input};
use crate::line::{Reader, Unread};
use crate::output::Output;
use account::{Account, Limits};
use cause::Cause;
use clap::ArgMatches;
use compare::Comparison;
use eyre::WrapErr;
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
        head: Duration::from_millis(number("head")),
        pause: Duration::from_millis(number("pause")),
    };
    let every = Duration::from_secs(number("every"));
    if let Some(files) = args.get_many::<PathBuf>("compare") {
        let runs = files.map(|file| Losses::of(open(file)?, &limits, every));
        let runs: Vec<Losses> = runs.collect::<Result<_>>()?;
        output.show(&Comparison::of(&runs[0], &runs[1]));
        return Ok(());
    }
    let input = Reader::new(std::io::stdin().lock(), "standard input");
    let losses = Losses::of(input, &limits, every)?;
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
struct Sum {
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
    untold: u64,
    /// Seconds of an interval.
    every: u64,
    causes: BTreeMap<Cause, Sum>,
    /// Counts by the interval in which requests came, since the first of them, in seconds.
    intervals: BTreeMap<u64, BTreeMap<Cause, u64>>,
    unread: Unread,
}

impl Losses {
    fn of<R: BufRead>(mut lines: Reader<R>, limits: &Limits, every: Duration) -> Result<Self> {
        let mut accounts: BTreeMap<String, Account> = BTreeMap::new();
        for line in lines.by_ref() {
            let id = line.text("id");
            if !id.is_empty() {
                accounts.entry(id.to_owned()).or_default().take(&line);
            }
        }
        let start = accounts.values().filter_map(Account::came).min();
        let start = start.unwrap_or_default();
        let mut losses = Self {
            ended: 0,
            denied: 0,
            untold: 0,
            every: every.as_secs().max(1),
            causes: BTreeMap::new(),
            intervals: BTreeMap::new(),
            unread: lines.end()?,
        };
        for account in accounts.values() {
            losses.add(account, limits, start);
        }
        Ok(losses)
    }

    fn add(&mut self, account: &Account, limits: &Limits, start: u64) {
        let Some(came) = account.came() else {
            self.untold += 1;
            return;
        };
        self.ended += 1;
        let Some((cause, over)) = account.loss(limits) else {
            return;
        };
        if cause.denied() {
            self.denied += 1;
            return;
        }
        let sum = self.causes.entry(cause).or_default();
        sum.count += 1;
        sum.over_ms += over.as_millis() as u64;
        let second = (came - start) / 1000;
        let interval = self.intervals.entry(second - second % self.every);
        *interval.or_default().entry(cause).or_default() += 1;
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost: u64 = self.causes.values().map(|s| s.count).sum();
        writeln!(
            f,
            "{} requests ended, {lost} of them lost or late; {} without an end",
            self.ended, self.untold
        )?;
        writeln!(
            f,
            "{} without a route or with an unknown key, not among the lost; {}",
            self.denied, self.unread
        )?;
        writeln!(f, "\n{:>7} {:>9}  cause", "count", "over, s")?;
        let mut causes: Vec<_> = self.causes.iter().collect();
        causes.sort_by_key(|(cause, sum)| (std::cmp::Reverse(sum.count), **cause));
        for (cause, sum) in causes {
            let over = Duration::from_millis(sum.over_ms).as_secs_f64();
            writeln!(f, "{:>7} {over:>9.1}  {cause}", sum.count)?;
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
