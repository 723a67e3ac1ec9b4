//! Summary of how the callers' requests of a run ended.

use crate::observation::{Observations, Outcome, Sent};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Requests that ended alike.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    requests: usize,
    /// Sum of the times for which their callers waited. A caller sends its next request only after
    /// that, so a longer wait means fewer requests.
    waited: Duration,
    longest: Duration,
}

/// Requests by kind and outcome.
pub struct Summary {
    groups: BTreeMap<(&'static str, String), Group>,
}

impl Summary {
    /// Counts the requests whose ids begin with `prefix`.
    pub fn new(observed: &Observations, prefix: &str) -> Self {
        let mut groups: BTreeMap<_, Group> = BTreeMap::new();
        let requests = observed.requests.iter();
        for (_, sent) in requests.filter(|(id, _)| id.starts_with(prefix)) {
            let Some((ended, outcome)) = &sent.end else {
                continue;
            };
            let group = groups.entry((kind(sent), label(outcome))).or_default();
            let waited = *ended - sent.at;
            group.requests += 1;
            group.waited += waited;
            group.longest = group.longest.max(waited);
        }
        Self { groups }
    }
}

fn kind(sent: &Sent) -> &'static str {
    match sent.at_most_once {
        true => "once",
        false => "chat",
    }
}

fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response {
            status,
            complete,
            error,
        } => {
            let cut = if *complete { "" } else { ", cut" };
            let error = error.as_ref().map_or(String::new(), |e| format!(", {e}"));
            format!("{}{cut}{error}", status.as_u16())
        }
        Outcome::NoResponse => "no response".to_owned(),
        Outcome::GivenUp => "given up by the caller".to_owned(),
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((kind, outcome), group) in &self.groups {
            writeln!(
                f,
                "  {kind} {outcome}: {} requests, waited {:.2} s in total, {:.2} s at most",
                group.requests,
                group.waited.as_secs_f64(),
                group.longest.as_secs_f64()
            )?;
        }
        Ok(())
    }
}
