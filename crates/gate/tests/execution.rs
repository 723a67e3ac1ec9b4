//! Permits and refusals, by drawn sequences of outcomes.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use catalog::kind::{Kind, Stream};
use gate::execution::{Attempt, Denial, Disproof, Ledger, Permit};
use gate::pool::Error;
use gate::refusal::{Reason, Refusal};

/// Number of drawn sequences, and of random bytes for each.
const SEQUENCES: u64 = 2_000;
const BYTES: u64 = 256;

/// A request whose permits and attempts are held in every possible order.
struct Request {
    ledger: Ledger,
    kind: Kind,
    max_attempts: u32,
    permits: Vec<Permit>,
    /// Attempts whose outcome is open.
    attempts: Vec<Attempt>,
    /// Number of attempts that were dropped without evidence.
    dropped: usize,
    /// Whether the caller was promised that the request was not executed.
    promised: bool,
}

impl Request {
    fn draw(u: &mut Unstructured<'_>) -> Result<Self> {
        let stream = |resumable| {
            Kind::Stream(Stream {
                resumable,
                pause: None,
            })
        };
        let kind = *u.choose(&[
            Kind::Idempotent,
            Kind::AtMostOnce,
            stream(true),
            stream(false),
        ])?;
        let max_attempts = u.int_in_range(1..=4)?;
        Ok(Self {
            ledger: Ledger::new(kind, max_attempts),
            kind,
            max_attempts,
            permits: Vec::new(),
            attempts: Vec::new(),
            dropped: 0,
            promised: false,
        })
    }

    /// Returns the number of attempts that may run or may have run.
    fn in_doubt(&self) -> usize {
        self.permits.len() + self.attempts.len() + self.dropped
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=6)? {
            0 | 1 => self.ask(),
            2 if !self.permits.is_empty() => {
                let at = u.choose_index(self.permits.len())?;
                self.attempts.push(self.permits.remove(at).begin());
            }
            3 if !self.permits.is_empty() => {
                let at = u.choose_index(self.permits.len())?;
                drop(self.permits.remove(at));
            }
            4 if !self.attempts.is_empty() => {
                let at = u.choose_index(self.attempts.len())?;
                let unsent = Disproof::of_failure(Error::Unsent).unwrap();
                self.permits.push(self.attempts.remove(at).disprove(unsent));
            }
            5 if !self.attempts.is_empty() => {
                let at = u.choose_index(self.attempts.len())?;
                drop(self.attempts.remove(at));
                self.dropped += 1;
            }
            6 => self.refuse(),
            _ => {}
        }
        let possible = self.attempts.len() + self.dropped;
        assert_eq!(self.ledger.possible_runs() as usize, possible);
        Ok(())
    }

    fn ask(&mut self) {
        let in_doubt = self.in_doubt();
        let repeatable = self.kind.repeatable() && in_doubt < self.max_attempts as usize;
        let expected = !self.promised && (in_doubt == 0 || repeatable);
        match self.ledger.permit() {
            Ok(permit) => {
                self.permits.push(permit);
                assert!(expected, "{in_doubt} in doubt, promised {}", self.promised);
            }
            Err(denial) => {
                assert!(!expected, "{denial:?} with {in_doubt} in doubt");
                assert_eq!(denial == Denial::Refused, self.promised);
            }
        }
    }

    fn refuse(&mut self) {
        let promise = Refusal::new(Reason::Unavailable);
        let refusal = self.ledger.refuse(promise, Reason::OutcomeUnknown);
        let promised = refusal == promise;
        assert_eq!(promised, self.in_doubt() == 0);
        self.promised |= promised;
    }
}

// Guards against a second permit while a request that runs at most once may have run, against a promise
// while it may have run or still may, and against permits after a promise.
#[test]
fn permits_and_promises_never_contradict_each_other() {
    for sequence in 0..SEQUENCES {
        let property = |u: &mut Unstructured<'_>| {
            let mut request = Request::draw(u)?;
            while !u.is_empty() {
                request.step(u)?;
            }
            Ok(())
        };
        arbtest(property).seed((sequence << 32) | BYTES);
    }
}

// Guards against evidence from a connection that broke after the request was written.
#[test]
fn a_broken_connection_disproves_nothing() {
    assert_eq!(Disproof::of_failure(Error::Broken), None);
    for error in [Error::Refused, Error::Unreachable, Error::Unsent] {
        assert!(Disproof::of_failure(error).is_some(), "{error}");
    }
}
