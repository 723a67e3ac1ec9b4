//! Checks of a roll's invariants, independent of the code that maintains them.

use crate::roll::plan::Roll;
use crate::roll::view::View;
use std::collections::BTreeSet;

impl Roll {
    /// Returns descriptions of all violated invariants.
    pub fn check(&self, view: &View) -> Vec<String> {
        let mut findings = Vec::new();
        let changes = self.pending().values();
        let changes = changes.filter(|p| p.order.fetches_weights() && !p.repair && !p.adopted);
        let zones: BTreeSet<_> = changes.map(|pending| pending.zone).collect();
        if zones.len() > 1 {
            findings.push(format!("loads in several zones {zones:?} at once"));
        }
        for (name, pending) in self.pending() {
            if pending.last_sent < pending.first_sent {
                findings.push(format!(
                    "{name}: the last sending of the order is before the first"
                ));
            }
            if pending.bundle_number > view.bundle.number {
                findings.push(format!(
                    "{name}: the order is of a bundle that is not in force yet"
                ));
            }
        }
        findings
    }
}
