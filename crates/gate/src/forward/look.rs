//! What to do about an answer that does not go on.
//!
//! The head of a chain knows which stage its requests wait for. A node that hears nothing asks it:
//! a named stage is replaced in the chain that is under way, which costs the tokens that the new
//! stage reads again and no further attempt; a head that does not answer is given up; and an
//! answer that is only slow is left alone, so that load is not doubled where there is too much.

use super::Run;
use super::attempt::Held;
use crate::dialect::{Dialect, RerouteOutcome, StatusReport};
use crate::worker::Worker;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steer::Selector;
use steer::target::Target;
use tokio::time::{Instant, timeout};

/// Silence before the first event after which the head is asked.
pub(crate) const FIRST: Duration = Duration::from_millis(350);
/// Silence between two events after which the head is asked.
pub(crate) const NEXT: Duration = Duration::from_millis(260);
/// Time until it is asked again: what its account is old, and a little.
pub(crate) const AGAIN: Duration = Duration::from_millis(220);
/// Longest wait for its account.
const ANSWER: Duration = Duration::from_millis(250);
/// Time for which one account serves all requests of a head.
const FRESH: Duration = Duration::from_millis(100);
/// Silence after which a head that does not answer is given up. One lost packet is sent again
/// within this time.
const DEAF: Duration = Duration::from_millis(550);
/// Silence after which an answer is given up although nothing is known to be wrong: callers leave
/// after two seconds, and another chain needs some time.
const LONGEST: Duration = Duration::from_millis(1500);

/// Stages of one chain that are replaced in a row, at the most.
const MOST_REPLACED: usize = 4;

/// What came of a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// It may go on.
    Wait,
    /// It is given up.
    Lost(&'static str),
}

/// An engine's account, and how old it is.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    at: Instant,
    account: Option<Rc<StatusReport>>,
}

impl<D: Dialect> Worker<D> {
    /// The account of an engine, not much older than [`FRESH`].
    async fn account(&self, addr: SocketAddr) -> Option<Rc<StatusReport>> {
        let known = self.accounts.borrow().get(&addr).cloned();
        let fresh = known.as_ref().is_some_and(|k| k.at.elapsed() < FRESH);
        let account = known.and_then(|k| k.account);
        if fresh {
            return account;
        }
        // Those that come meanwhile take the old account instead of asking too.
        self.keep(addr, account);
        let asked = timeout(ANSWER, self.dialect.status_report(addr)).await;
        let account = asked.ok().flatten().map(Rc::new);
        self.keep(addr, account.clone());
        account
    }

    fn keep(&self, addr: SocketAddr, account: Option<Rc<StatusReport>>) {
        let at = Instant::now();
        let known = Known { at, account };
        self.accounts.borrow_mut().insert(addr, known);
    }
}

impl<D: Dialect> Run<D> {
    /// Asks the head of a silent answer what it waits for. Dropped before its end, it changes
    /// nothing, so that an event which comes meanwhile is passed on at once.
    pub(crate) async fn ask(&self, target: &Target) -> Option<Rc<StatusReport>> {
        match target.head().span.is_empty() {
            true => None,
            false => self.worker.account(target.head().addr).await,
        }
    }

    /// Decides about an answer that has been silent for `silent`, by its head's account.
    pub(crate) async fn look(
        &self,
        held: &mut Held<D>,
        account: Option<Rc<StatusReport>>,
        silent: Duration,
    ) -> Look {
        let chain = !held.target.head().span.is_empty();
        if !chain && self.job.kind().stream().is_none() {
            return Look::Wait;
        }
        if silent > LONGEST {
            return Look::Lost("fell silent");
        }
        let Some(account) = account else {
            return match chain && silent > DEAF {
                true => Look::Lost("the head does not answer"),
                false => Look::Wait,
            };
        };
        let own = account.stalls.iter().find(|s| s.request == self.job.id());
        match own {
            Some(stall) => self.detour(held, stall.blocked_on).await,
            None => Look::Wait,
        }
    }

    /// Replaces the stage that a request waits for.
    async fn detour(&self, held: &mut Held<D>, culprit: SocketAddr) -> Look {
        if !held.target.stages.iter().any(|s| s.addr == culprit) {
            // An account from before the last detour.
            return Look::Wait;
        }
        self.worker
            .steer(|steer, now| steer.report_failed(now, culprit));
        match self.replace_all(held, culprit).await {
            Some(RerouteOutcome::Done) => Look::Wait,
            Some(_) => Look::Lost("a stage is dead, and the head can't replace it"),
            None => Look::Lost("a stage is dead, and nothing replaces it"),
        }
    }

    /// Moves an answer off a stage that is about to go and still serves. Where that fails the answer
    /// goes on as it is.
    pub(crate) async fn evacuate(&self, held: &mut Held<D>, culprit: SocketAddr) {
        let before = held.target.stages.clone();
        if self.replace_all(held, culprit).await == Some(RerouteOutcome::Done) {
            return;
        }
        held.target.stages = before;
        let need = self.job.need();
        self.worker
            .steer(|steer, _| steer.revert_reroute(&held.target, &need));
    }

    /// Replaces a stage, and each further one that the head names as missing meanwhile: endpoints die, and
    /// give up layers, together.
    async fn replace_all(&self, held: &mut Held<D>, culprit: SocketAddr) -> Option<RerouteOutcome> {
        let mut done = self.replace(held, culprit).await?;
        for _ in 1..MOST_REPLACED {
            let RerouteOutcome::Missing(next) = done else {
                break;
            };
            self.worker
                .steer(|steer, now| steer.report_missing(now, next));
            done = self.replace(held, next).await?;
        }
        Some(done)
    }

    /// Takes another endpoint for a stage and orders the head to go on over it; nothing if no endpoint
    /// can.
    async fn replace(&self, held: &mut Held<D>, culprit: SocketAddr) -> Option<RerouteOutcome> {
        let need = self.job.need();
        let service = self.service_now();
        let target = &held.target;
        let detour =
            |steer: &mut Selector, now| steer.reroute(now, target, service?, &need, culprit);
        let stages = self.worker.steer(detour).ok()?;
        let crossings = self.crossings(&stages);
        self.story.detour(culprit, &stages, crossings);
        held.target.stages = stages;
        let order = self
            .worker
            .dialect
            .reroute(self.job.id(), &held.target.stages);
        Some(order.await)
    }
}
