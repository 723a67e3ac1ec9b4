//! Permits and refusals, by drawn sequences of outcomes.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use catalog::kind::{Kind, Stream};
use gate::execution::{Attempt, Denial, Disproof, Ledger, Permit};
use gate::kept;
use gate::pool::Error;
use gate::refusal::{Reason, Refusal};
use hyper::body::Body;
use memory::content::Content;
use std::rc::Rc;

/// Number of drawn sequences, and of random bytes for each.
const SEQUENCES: u64 = 2_000;
const DRAWN_BYTES: u64 = 256;
/// Body of the request.
const BODY: &str = "body";

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
    body: Rc<kept::Body>,
    /// Whether the body was dropped.
    released: bool,
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
        let body = Rc::new(kept::Body::new(Content::from(Bytes::from(BODY))));
        Ok(Self {
            ledger: Ledger::new(kind, max_attempts, body.clone()),
            body,
            released: false,
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
        match u.int_in_range(0..=7)? {
            0 | 1 => self.ask(),
            2 if !self.permits.is_empty() => {
                let at = u.choose_index(self.permits.len())?;
                let (attempt, body) = self.permits.remove(at).begin();
                let length = body.size_hint().exact();
                assert_eq!(length, Some(BODY.len() as u64), "sent without its body");
                self.attempts.push(attempt);
            }
            3 if !self.permits.is_empty() => {
                let at = u.choose_index(self.permits.len())?;
                drop(self.permits.remove(at));
            }
            4 if !self.attempts.is_empty() => {
                let at = u.choose_index(self.attempts.len())?;
                let unsent = Disproof::of_failure(Error::Unsent).unwrap();
                let permit = self.attempts.remove(at).disprove(unsent);
                assert_eq!(permit.is_err(), self.released);
                self.permits.extend(permit);
            }
            5 if !self.attempts.is_empty() => {
                let at = u.choose_index(self.attempts.len())?;
                drop(self.attempts.remove(at));
                self.dropped += 1;
            }
            6 => self.refuse(),
            7 => {
                self.body.release(1);
                self.released = true;
            }
            _ => {}
        }
        let possible = self.attempts.len() + self.dropped;
        assert_eq!(self.ledger.possible_runs() as usize, possible);
        Ok(())
    }

    fn ask(&mut self) {
        let in_doubt = self.in_doubt();
        let repeatable = self.kind.repeatable() && in_doubt < self.max_attempts as usize;
        let expected = !self.promised && !self.released && (in_doubt == 0 || repeatable);
        match self.ledger.permit() {
            Ok(permit) => {
                self.permits.push(permit);
                assert!(expected, "{in_doubt} in doubt, promised {}", self.promised);
            }
            Err(denial) => {
                assert!(!expected, "{denial:?} with {in_doubt} in doubt");
                assert_eq!(denial == Denial::Refused, self.promised);
                assert!(denial != Denial::BodyDropped || self.released);
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
// while it may have run or still may, against permits after a promise or without a body, and against a permit
// whose body is dropped before it is used.
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
        arbtest(property).seed((sequence << 32) | DRAWN_BYTES);
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

// Guards against a memory budget that counts on a body which a permit holds.
#[test]
fn a_body_is_in_use_until_its_permit_and_its_sending_end() {
    let body = Rc::new(kept::Body::new(Content::from(Bytes::from(BODY))));
    let ledger = Ledger::new(Kind::Idempotent, 2, body.clone());
    assert!(!body.is_in_use());
    let permit = ledger.permit().unwrap();
    assert!(body.is_in_use());
    let (_attempt, sent) = permit.begin();
    assert!(body.is_in_use());
    drop(sent);
    assert!(!body.is_in_use());
}
