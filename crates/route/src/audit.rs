//! Audit of a router's events and actions, independent of the code that decides.
//!
//! Keeps a small record of each live request, built from events and actions alone, and reports
//! every action that violates a guarantee to the caller. Each router audits itself.

use crate::action::{Action, Hop};
use crate::chain;
use crate::event::Event;
use crate::finding::{Fault, Finding, Place};
use crate::outcome::Outcome;
use crate::request::{Id, Target};
use crate::{Attempt, view::View};
use bundle::Bundle;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Record of one live request.
#[derive(Clone, Debug)]
struct Record {
    target: Target,
    repeatable: bool,
    fingerprint: u64,
    attempt: Attempt,
    running: bool,
    complete: bool,
    sent: bool,
    left: bool,
}

/// Records of all live requests.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    bundle: Arc<Bundle>,
    available: Vec<bool>,
    condemned: BTreeSet<u64>,
    records: BTreeMap<Id, Record>,
}

impl Audit {
    /// Records an event before the router handles it.
    pub fn event(&mut self, event: &Event) {
        match event {
            Event::View(view) => self.view(view),
            Event::Arrive(request) => {
                let record = Record {
                    target: request.target,
                    repeatable: request.repeatable,
                    fingerprint: request.fingerprint,
                    attempt: 0,
                    running: false,
                    complete: false,
                    sent: false,
                    left: false,
                };
                self.records.entry(request.id).or_insert(record);
            }
            Event::Committed(id, attempt) => {
                if let Some(record) = self.current(*id, *attempt) {
                    record.repeatable = false;
                }
            }
            Event::Finished(id, attempt) => {
                if let Some(record) = self.current(*id, *attempt) {
                    record.complete = true;
                    record.running = false;
                    record.sent = true;
                }
            }
            Event::Failed(id, attempt, failure) => {
                if let Some(record) = self.current(*id, *attempt) {
                    record.running = false;
                    record.sent |= failure.sent;
                }
            }
            Event::Left(id) => {
                self.records
                    .get_mut(id)
                    .into_iter()
                    .for_each(|l| l.left = true);
            }
            _ => {}
        }
    }

    fn current(&mut self, id: Id, attempt: Attempt) -> Option<&mut Record> {
        self.records
            .get_mut(&id)
            .filter(|l| l.running && l.attempt == attempt)
    }

    fn view(&mut self, view: &View) {
        let bundle = view.bundle.clone();
        for record in self.records.values_mut() {
            record.target = renamed(&self.bundle, &bundle, record.target);
        }
        self.bundle = bundle;
        self.available.clone_from(&view.available);
        self.condemned.extend(&view.condemned);
    }

    /// Records an action; returns the invariants that it violates.
    pub fn action(&mut self, action: &Action) -> Vec<Finding> {
        match action {
            Action::Start(id, attempt, hops) => self.start(*id, *attempt, hops),
            Action::Cancel(id, attempt) => self.cancel(*id, *attempt),
            Action::Refuse(id, _) => self.end(*id, Outcome::NotRun),
            Action::Finish(id, outcome) => self.end(*id, *outcome),
            Action::Observe(crate::action::Observation::Condemned(fingerprint)) => {
                self.condemned.insert(*fingerprint);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn start(&mut self, id: Id, attempt: Attempt, hops: &[Hop]) -> Vec<Finding> {
        let at = |fault| Finding {
            place: Place::Request(id, attempt),
            fault,
        };
        let Some(record) = self.records.get_mut(&id).filter(|l| !l.left) else {
            return vec![at(Fault::Ended)];
        };
        let mut faults = chain::check(&self.bundle, record.target, hops);
        if record.running || attempt <= record.attempt {
            faults.push(Fault::Twice);
        }
        if record.sent && !record.repeatable {
            faults.push(Fault::Repeated);
        }
        if self.condemned.contains(&record.fingerprint) {
            faults.push(Fault::Condemned);
        }
        let unavailable = |h: &&Hop| {
            !self
                .available
                .get(h.endpoint as usize)
                .copied()
                .unwrap_or(false)
        };
        faults.extend(
            hops.iter()
                .filter(unavailable)
                .map(|h| Fault::Closed(h.endpoint)),
        );
        record.attempt = attempt;
        record.running = true;
        faults.into_iter().map(at).collect()
    }

    fn cancel(&mut self, id: Id, attempt: Attempt) -> Vec<Finding> {
        let place = Place::Request(id, attempt);
        let Some(record) = self.current(id, attempt) else {
            return vec![Finding {
                place,
                fault: Fault::Ended,
            }];
        };
        record.running = false;
        record.sent = true;
        Vec::new()
    }

    fn end(&mut self, id: Id, outcome: Outcome) -> Vec<Finding> {
        let Some(record) = self.records.remove(&id).filter(|l| !l.left) else {
            return vec![Finding {
                place: Place::Request(id, 0),
                fault: Fault::Ended,
            }];
        };
        let mut faults = Vec::new();
        if record.running {
            faults.push(Fault::Twice);
        }
        match outcome {
            Outcome::Complete if !record.complete => faults.push(Fault::Partial),
            Outcome::NotRun if record.sent => faults.push(Fault::Sent),
            _ => {}
        }
        let place = Place::Request(id, record.attempt);
        faults
            .into_iter()
            .map(|fault| Finding { place, fault })
            .collect()
    }

    /// Forgets a request whose caller disconnected, after all actions of that event. Reports a
    /// finding if an attempt of it still runs.
    pub fn end_left(&mut self, event: &Event) -> Vec<Finding> {
        let Event::Left(id) = event else {
            return Vec::new();
        };
        let Some(record) = self.records.remove(id) else {
            return Vec::new();
        };
        let place = Place::Request(*id, record.attempt);
        record
            .running
            .then_some(Finding {
                place,
                fault: Fault::Twice,
            })
            .into_iter()
            .collect()
    }

    /// Returns the number of live requests.
    pub fn live_count(&self) -> usize {
        self.records.len()
    }
}

/// Returns the target of the same name in a new bundle, or an id out of range if there is none.
fn renamed(old: &Bundle, new: &Bundle, target: Target) -> Target {
    match target {
        Target::Model(model, adapter) => {
            let name = old.models.get(model as usize).map(|m| m.name.as_str());
            let model = name.and_then(|n| new.model(n)).unwrap_or(u16::MAX);
            Target::Model(model, adapter)
        }
        Target::Service(service) => {
            let name = old.services.get(service as usize).map(|s| s.name.as_str());
            Target::Service(name.and_then(|n| new.service(n)).unwrap_or(u16::MAX))
        }
    }
}
