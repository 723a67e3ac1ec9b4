//! Invariants of a lease table, checked apart from the code that keeps them.

use crate::Now;
use crate::hold::Group;
use crate::hold::table::Table;
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
        for (group, seat) in &self.seats {
            let mut found = |text| {
                findings.push(Finding {
                    group: *group,
                    text,
                })
            };
            let Some(mine) = seat.mine else { continue };
            if mine.expiry > now + self.settings.term {
                found("the lease lasts longer than its term");
            }
            if mine.expiry != mine.sent + self.settings.term {
                found("the lease does not last from when its record was sent");
            }
            if mine.fence >= self.next {
                found("the fencing number has not been read");
            }
            if seat.sure().is_some_and(|sure| mine.fence > sure) {
                found("the fencing number is not that of a record that counts");
            }
            if seat.rank.is_none() {
                found("held and not wanted");
            }
        }
        findings
    }
}
