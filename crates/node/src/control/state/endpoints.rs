//! Load reports of endpoints, and leases and rolls of endpoint groups.

use super::State;
use crate::control::rolls::Source;
use engine::load::Report;
use entry::core::ControlEvent;
use lease::group_lease::Event;
use std::sync::Arc;

impl State {
    /// Records the result of a poll, and forwards a load report to the workers.
    pub(super) fn handle_load_report(&mut self, name: &Arc<str>, report: Option<Report>) {
        let Some(report) = report else {
            self.endpoints.record_unanswered(name);
            return;
        };
        let load = route::load::Report {
            running: report.running,
            waiting: report.waiting,
            inter_token: report.inter_token,
            age: report.age,
        };
        for ring in &mut self.control_events {
            let _ = ring.push(ControlEvent::Load(name.clone(), load));
        }
        if self.endpoints.record_report(name, report) {
            self.dirty = true;
        }
    }

    /// Handles an event of the lease stream or a tick.
    pub(super) fn handle_lease_event(&mut self, event: Event) {
        let now = self.now();
        self.rolls.handle(now, event);
    }

    /// Requests leases and advances the rolls of those that this node holds. A leaving node
    /// releases its leases instead.
    pub(super) fn step_rolls(&mut self) {
        let now = self.now();
        let Some(bundle) = self.fold.head().cloned() else {
            return;
        };
        if self.leaving {
            return self.rolls.release_leases(now);
        }
        let roster = self.group.roster();
        self.rolls
            .request_leases(now, self.group.me(), &bundle, roster);
        if !self.rolls.holds_any(now) {
            return;
        }
        let rows = bundle.endpoints.iter();
        let health = rows.map(|e| {
            let accepts_work = self.instance_list.accepts_work(&e.instance);
            self.endpoints.health(&e.name, accepts_work)
        });
        let health: Vec<_> = health.collect();
        let reports = self.endpoints.reports(&bundle);
        let source = Source {
            bundle: &bundle,
            reports: &reports,
            health: &health,
        };
        self.rolls.step(now, &source);
    }
}
