//! State of the endpoints' instances according to the instance list.
//!
//! The list lags behind the fleet and can be unavailable. An instance that is listed as leaving, or
//! that was listed before and no longer is, gets no new work. An instance that was never listed may
//! be newer than the list, so it gets work; the routers detect it if it does not answer. An empty
//! list is ignored: the service has more likely lost its data than the fleet all its instances.

use platform::instance::{Instance, State};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The last list that was read, and the names of all instances that were ever listed.
#[derive(Debug, Default)]
pub struct InstanceList {
    states: BTreeMap<String, State>,
    seen: BTreeSet<String>,
}

impl InstanceList {
    /// Replaces the list. Returns whether an instance was added, removed or changed its state.
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

    /// Returns whether an instance may get new work.
    pub fn accepts_work(&self, instance: &str) -> bool {
        match self.states.get(instance) {
            Some(State::Live) => true,
            Some(State::Leaving) => false,
            None => !self.seen.contains(instance),
        }
    }

    /// Forgets the names of instances that were once listed, except for `kept`. Without this, the
    /// set of names would grow for as long as the node runs.
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
