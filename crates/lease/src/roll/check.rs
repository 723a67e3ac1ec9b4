//! Invariants of a roll, checked apart from the code that keeps them.

use crate::roll::plan::Roll;
use crate::roll::view::View;
use std::collections::BTreeSet;

impl Roll {
    /// All invariants that do not hold.
    pub fn check(&self, view: &View) -> Vec<String> {
        let mut findings = Vec::new();
        let changes = self.pending().values();
        let changes = changes.filter(|p| p.order.fetches_weights() && !p.repair && !p.adopted);
        let zones: BTreeSet<_> = changes.map(|pending| pending.zone).collect();
        if zones.len() > 1 {
            findings.push(format!("loads in zones {zones:?} at once"));
        }
        for (name, pending) in self.pending() {
            if pending.last_sent < pending.first_sent {
                findings.push(format!("{name}: given before it was first given"));
            }
            if pending.number > view.bundle.number {
                findings.push(format!("{name}: serves a bundle that is not in force"));
            }
        }
        findings
    }
}
