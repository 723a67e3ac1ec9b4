//! What the instance list says of endpoints' instances.
//!
//! The list lags and can be out. An instance that it calls leaving, or that was in it and is not
//! any more, gets no new work. One that was never in it may be newer than the list: it gets work,
//! and the routers find out by themselves if it does not answer. An empty answer is taken for a
//! list that has lost its content, not for a fleet that has gone.

use platform::instance::{Instance, State};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The newest answer of the list, and whom it has ever named.
#[derive(Debug, Default)]
pub struct InstanceList {
    states: BTreeMap<String, State>,
    seen: BTreeSet<String>,
}

impl InstanceList {
    /// Takes an answer; whether anything changed.
    pub fn update(&mut self, instances: &[Instance]) -> bool {
        if instances.is_empty() {
            return false;
        }
        let entries = instances.iter().map(|i| (i.name.clone(), i.state));
        let states: BTreeMap<_, _> = entries.collect();
        let changed = states != self.states;
        self.seen.extend(states.keys().cloned());
        self.states = states;
        changed
    }

    /// Whether an instance gets new work.
    pub fn accepts_work(&self, instance: &str) -> bool {
        match self.states.get(instance) {
            Some(State::Live) => true,
            Some(State::Leaving) => false,
            None => !self.seen.contains(instance),
        }
    }

    /// Forgets whom it has ever named, except for `kept`: instances come and go for years.
    pub fn retain_seen<'a>(&mut self, kept: impl Iterator<Item = &'a str>) {
        let kept: BTreeSet<&str> = kept.collect();
        self.seen.retain(|name| kept.contains(name.as_str()));
    }
}

impl fmt::Display for InstanceList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, state) in &self.states {
            writeln!(f, "{name} {state}")?;
        }
        Ok(())
    }
}
