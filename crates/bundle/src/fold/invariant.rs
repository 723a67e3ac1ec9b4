//! What must hold of a fold at all times.

use super::Fold;
use crate::id::Number;
use crate::verify;

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A peer's head is kept though the fold of the log has got as far.
    Overtaken(Number),
    /// The numbers of the history don't rise after this one.
    HistoryOrder(Number),
    /// The last entry of the history isn't the head.
    HistoryEnd(Number),
    /// The sections in force don't have the digest in force.
    Digest(Number),
    /// The sections in force aren't a valid bundle.
    Invalid(Number),
    /// The reader is to go back, but not to an earlier offset.
    Rewound(u64),
    /// A gap that starts after the next offset.
    Gap(u64),
}

impl Fold {
    /// Everything that is wrong with the state; empty if all is well. Cheap.
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

    /// As [`Fold::check`], and recomputes the digest and checks of the bundle in force.
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

    /// Checks the order of numbers.
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
