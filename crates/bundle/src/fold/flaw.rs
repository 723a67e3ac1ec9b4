//! What must hold of a fold at all times.

use super::Fold;
use crate::id::Number;
use crate::verify;

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A peer's head is kept though the fold of the log has got as far.
    Overtaken(Number),
    /// The numbers of the history don't rise after this one.
    History(Number),
    /// The last entry of the history isn't the head.
    Last(Number),
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
    pub fn check(&self) -> Vec<Flaw> {
        let mut flaws = Vec::new();
        self.check_numbers(&mut flaws);
        if let Some(limit) = self.rewound.filter(|limit| *limit <= self.next) {
            flaws.push(Flaw::Rewound(limit));
        }
        if let Some(gap) = self.gap.filter(|gap| *gap > self.next) {
            flaws.push(Flaw::Gap(gap));
        }
        flaws
    }

    /// As [`Fold::check`], and recomputes the digest and checks of the bundle in force.
    pub fn check_all(&self) -> Vec<Flaw> {
        let mut flaws = self.check();
        let Some(head) = self.head() else {
            return flaws;
        };
        if head.sections.digest() != head.digest {
            flaws.push(Flaw::Digest(head.number));
        }
        if verify::verify(&head.sections).findings.failed() {
            flaws.push(Flaw::Invalid(head.number));
        }
        flaws
    }

    /// Checks the order of numbers.
    fn check_numbers(&self, flaws: &mut Vec<Flaw>) {
        if let (Some(base), Some(ahead)) = (&self.base.known, &self.ahead.known)
            && ahead.bundle.number <= base.bundle.number
        {
            flaws.push(Flaw::Overtaken(ahead.bundle.number));
        }
        let numbers: Vec<Number> = self.history().map(|e| e.number).collect();
        let falling = numbers.windows(2).filter(|w| w[0] >= w[1]);
        flaws.extend(falling.map(|w| Flaw::History(w[0])));
        if let Some(head) = self.head()
            && numbers.last() != Some(&head.number)
        {
            flaws.push(Flaw::Last(head.number));
        }
    }
}
