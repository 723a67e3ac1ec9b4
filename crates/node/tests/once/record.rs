//! What ran, against what callers observed.

use crate::caller::Thing;
use crate::standin::process::BODY;
use crate::standin::requester::End;
use std::collections::BTreeMap;

/// Violations of one run, by what they concern.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests that ran more than once.
    pub twice: Vec<String>,
    /// Requests that ran though their callers were promised that they did not.
    pub refused: Vec<String>,
    /// Things that ran more than once, though none of their requests did.
    pub things: Vec<String>,
    /// Successes whose body is not that of the endpoint.
    pub cut: Vec<String>,
    /// Number of attempts by how they ended.
    ends: BTreeMap<String, usize>,
}

impl Record {
    /// Compares the ids of all runs with the callers' attempts.
    pub fn new(things: &[Thing], runs: &[String]) -> Self {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for id in runs {
            *counts.entry(id).or_default() += 1;
        }
        let count = |id: &str| counts.get(id).copied().unwrap_or(0);
        let mut record = Self::default();
        for thing in things {
            for (id, node, end) in &thing.attempts {
                *record.ends.entry(label(*end)).or_default() += 1;
                if count(id) > 1 {
                    let times = count(id);
                    record
                        .twice
                        .push(format!("{id} at {node} ran {times} times: {end:?}"));
                }
                if matches!(end, End::Response { status: 200, length, .. } if *length != BODY.len())
                {
                    record.cut.push(format!("{id} at {node}: {end:?}"));
                }
                if end.is_promise() && count(id) > 0 {
                    record.refused.push(format!("{id} at {node} ran: {end:?}"));
                }
            }
            let total: usize = thing.attempts.iter().map(|(id, ..)| count(id)).sum();
            if total > 1 && thing.attempts.iter().all(|(id, ..)| count(id) <= 1) {
                record.things.push(format!("{:?}", thing.attempts));
            }
        }
        record
    }

    /// Returns whether nothing is wrong.
    pub fn is_clean(&self) -> bool {
        let all = [&self.twice, &self.refused, &self.things, &self.cut];
        all.iter().all(|found| found.is_empty())
    }

    /// Returns whether any request was served; without that the run shows nothing.
    pub fn has_served(&self) -> bool {
        self.ends.contains_key("200")
    }

    /// Prints the number of attempts by how they ended, and all violations.
    pub fn print(&self, title: &str) {
        println!("{title}: {:?}", self.ends);
        let all = [
            ("twice", &self.twice),
            ("refused", &self.refused),
            ("thing", &self.things),
            ("cut", &self.cut),
        ];
        for (what, found) in all {
            found
                .iter()
                .for_each(|line| println!("{title}: {what}: {line}"));
        }
    }
}

fn label(end: End) -> String {
    match end {
        End::Response { status, .. } => status.to_string(),
        other => format!("{other:?}"),
    }
}
