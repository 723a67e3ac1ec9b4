//! Results of pending orders and watched replicas.

use super::{Covered, Pending, Roll};
use crate::Now;
use crate::roll::action::Cause;
use crate::roll::coverage::Coverage;
use crate::roll::plan::next::has_begun;
use crate::roll::view::{Health, View};
use std::collections::BTreeMap;

/// End of a pending order.
enum End {
    /// The endpoint reports the state that the order names.
    Ready,
    /// The endpoint is leaving or is no longer in the bundle.
    Gone,
    /// The order failed.
    Failed(Cause),
}

impl Roll {
    pub(super) fn settle_pending(&mut self, now: Now, view: &View) {
        let pending = std::mem::take(&mut self.pending);
        for (name, pending) in pending {
            match self.order_end(now, view, &name, &pending) {
                None => drop(self.pending.insert(name, pending)),
                Some(End::Ready) if pending.order.fetches_weights() => {
                    self.watched.insert(name, now);
                }
                Some(End::Failed(cause)) if self.is_new_replica(&pending) => {
                    self.record_failure(now, &name, cause)
                }
                Some(End::Ready | End::Gone | End::Failed(_)) => {}
            }
        }
        self.check_watched(now, view);
    }

    /// Updates the times since which the desired version of each model is covered. From then on
    /// nodes start requests only on that version.
    pub(super) fn update_coverage(&mut self, now: Now, view: &View) {
        let mut covered = BTreeMap::new();
        let coverage = Coverage::new(view, |_| false);
        for model in &view.bundle.models {
            if !coverage.is_complete_in(&model.name, &model.version) {
                continue;
            }
            let before = self
                .covered
                .get(&model.name)
                .filter(|c| c.version == model.version);
            let since = before.map_or(now, |c| c.since);
            let version = model.version.clone();
            covered.insert(model.name.clone(), Covered { version, since });
        }
        self.covered = covered;
    }

    fn order_end(&self, now: Now, view: &View, name: &str, pending: &Pending) -> Option<End> {
        let Some(endpoint) = view.bundle.endpoint(name) else {
            return Some(End::Gone);
        };
        match view.health(endpoint) {
            Health::Leaving => return Some(End::Gone),
            Health::Down => return Some(End::Failed(Cause::Died)),
            Health::Up => {}
        }
        if view
            .report(endpoint)
            .is_some_and(|report| pending.order.is_fulfilled(report))
        {
            return Some(End::Ready);
        }
        let late = now >= pending.first_sent + self.settings.load_timeout;
        // An order of an older bundle stays pending while its load may still be in progress.
        let lost = pending.bundle_number != self.bundle_number
            && now >= pending.last_sent + self.settings.resend_interval
            && !has_begun(view, endpoint, &pending.order);
        (late || lost).then_some(End::Failed(Cause::Late))
    }

    /// Returns whether the order loads a new replica of the current bundle.
    fn is_new_replica(&self, pending: &Pending) -> bool {
        pending.bundle_number == self.bundle_number && pending.order.fetches_weights()
    }

    /// Records a failure for each watched replica whose endpoint went down, and ends the watch of
    /// replicas after the soak time.
    fn check_watched(&mut self, now: Now, view: &View) {
        let soak = self.settings.soak;
        let watched = std::mem::take(&mut self.watched);
        for (name, since) in watched {
            let health = view.bundle.endpoint(&name).map(|id| view.health(id));
            match health {
                Some(Health::Down) => self.record_failure(now, &name, Cause::Unstable),
                Some(Health::Up) if now < since + soak => drop(self.watched.insert(name, since)),
                _ => {}
            }
        }
    }
}
