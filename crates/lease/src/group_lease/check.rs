//! Invariants of a lease table, checked apart from the code that keeps them.

use crate::Now;
use crate::group_lease::Group;
use crate::group_lease::table::Table;
use std::fmt;

/// An invariant that does not hold, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The group.
    pub group: Group,
    /// What does not hold.
    pub text: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group {:x}: {}", self.group, self.text)
    }
}

impl Table {
    /// All invariants that do not hold.
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
                report("the lease does not last from when its record was sent");
            }
            if tenure.fence >= self.next {
                report("the fencing number has not been read");
            }
            if state.last_valid().is_some_and(|valid| tenure.fence > valid) {
                report("the fencing number is not that of a record that counts");
            }
            if state.rank.is_none() {
                report("held and not wanted");
            }
        }
        findings
    }
}
