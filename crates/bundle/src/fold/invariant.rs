//! Invariants of a fold.

use super::Fold;
use crate::id::Number;
use crate::verify;

/// Violation of an invariant; carries the number or offset concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A peer's head is still kept although the fold of the log has reached its number.
    Overtaken(Number),
    /// The number after this one in the history is not higher.
    HistoryOrder(Number),
    /// The last entry of the history is not the head with this number.
    HistoryEnd(Number),
    /// The sections in force do not match the digest in force.
    Digest(Number),
    /// The sections in force are not a valid bundle.
    Invalid(Number),
    /// The offset from which reading went back is not after the next offset.
    Rewound(u64),
    /// The first retained offset of a gap is after the next offset.
    Gap(u64),
}

impl Fold {
    /// Returns all violations of the invariants that are cheap to check.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_numbers(&mut violations);
        if let Some(limit) = self.rewound_from.filter(|limit| *limit <= self.next) {
            violations.push(Violation::Rewound(limit));
        }
        if let Some(gap) = self.gap.filter(|gap| *gap > self.next) {
            violations.push(Violation::Gap(gap));
        }
        violations
    }

    /// Like [`Fold::check`], and also recomputes the digest of the bundle in force and verifies it.
    pub fn check_all(&self) -> Vec<Violation> {
        let mut violations = self.check();
        let Some(head) = self.head() else {
            return violations;
        };
        if head.sections.digest() != head.digest {
            violations.push(Violation::Digest(head.number));
        }
        if verify::verify(&head.sections).findings.has_errors() {
            violations.push(Violation::Invalid(head.number));
        }
        violations
    }

    /// Checks the order of the numbers of heads and history.
    fn check_numbers(&self, violations: &mut Vec<Violation>) {
        if let (Some(base), Some(ahead)) = (&self.base.head, &self.ahead.head)
            && ahead.bundle.number <= base.bundle.number
        {
            violations.push(Violation::Overtaken(ahead.bundle.number));
        }
        let numbers: Vec<Number> = self.history().map(|e| e.number).collect();
        let falling = numbers.windows(2).filter(|w| w[0] >= w[1]);
        violations.extend(falling.map(|w| Violation::HistoryOrder(w[0])));
        if let Some(head) = self.head()
            && numbers.last() != Some(&head.number)
        {
            violations.push(Violation::HistoryEnd(head.number));
        }
    }
}
