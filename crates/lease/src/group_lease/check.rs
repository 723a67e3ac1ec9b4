//! Checks of a lease table's invariants, independent of the code that maintains them.

use crate::Now;
use crate::group_lease::Group;
use crate::group_lease::table::Table;
use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Group concerned.
    pub group: Group,
    /// Description of the violation.
    pub text: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group {:x}: {}", self.group, self.text)
    }
}

impl Table {
    /// Returns all violated invariants.
    pub fn check(&self, now: Now) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (group, state) in &self.groups {
            let mut report = |text| {
                findings.push(Finding {
                    group: *group,
                    text,
                })
            };
            let Some(tenure) = state.tenure else { continue };
            if tenure.expiry > now + self.settings.term {
                report("the lease lasts longer than its term");
            }
            if tenure.expiry != tenure.sent + self.settings.term {
                report("the term of the lease does not start when its record was sent");
            }
            if tenure.fence >= self.next {
                report("the record with the offset of the fencing number has not been read");
            }
            if state.last_valid().is_some_and(|valid| tenure.fence > valid) {
                report("the fencing number is higher than the offset of the last valid record");
            }
            if state.rank.is_none() {
                report("the lease is held but this node is no candidate for it");
            }
        }
        findings
    }
}
