//! Probes of endpoints whose connections broke: an endpoint that refuses a new one has ended.
//!
//! A broken connection alone doesn't show it. The endpoint may have given up one response, or only
//! the connection was reset. The address of a machine that lost power or is cut off does not respond,
//! which says nothing about the process. Nor does a refusal if all other endpoints refuse as well: then
//! this node may have lost its paths. What a probe can't tell, later evidence does; see
//! [`steer::crash::Cases`].

use crate::reach;
use catalog::endpoint::Run;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Timeout of a probe. A refusal takes one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Age up to which the outcome of a probe is reused. All connections of an endpoint that ends break
/// at the same time.
const MAX_PROBE_AGE: Duration = Duration::from_millis(250);

/// What a probe shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The endpoint refuses connections, and another one accepts them.
    Ended,
    /// The endpoint refuses connections, and so do the others.
    Refused,
    /// Nothing: an endpoint that accepts connections may have started again, and one that does not
    /// respond may be out of reach.
    Nothing,
}

/// Other endpoints, which show whether this node has paths.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    /// Endpoints of the same service.
    pub(crate) beside: Vec<SocketAddr>,
    /// Endpoints of other services.
    pub(crate) elsewhere: Vec<SocketAddr>,
}

impl Witnesses {
    /// Returns whether this node has paths to endpoints; also if there is no witness.
    async fn confirm_paths(&self) -> bool {
        let none = self.beside.is_empty() && self.elsewhere.is_empty();
        none || reach::any_accepts(&self.beside).await || reach::any_accepts(&self.elsewhere).await
    }
}

/// What a probe that has begun shows; `None` while it runs.
type Outcome = watch::Receiver<Option<Finding>>;

/// Recent probes by run.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    recent: RefCell<HashMap<Run, (Instant, Outcome)>>,
}

impl Probes {
    /// Probes a run at `addr`. Concurrent calls share a probe. Must be called within a
    /// [`tokio::task::LocalSet`].
    pub(crate) async fn probe(
        &self,
        run: &Run,
        addr: SocketAddr,
        witnesses: impl FnOnce() -> Witnesses,
    ) -> Finding {
        let mut outcome = self.outcome(run, addr, witnesses);
        // The sender is dropped only after the outcome, or with the runtime.
        let found = outcome.wait_for(Option::is_some).await;
        let found = found.ok().and_then(|finding| *finding);
        found.unwrap_or(Finding::Nothing)
    }

    fn outcome(
        &self,
        run: &Run,
        addr: SocketAddr,
        witnesses: impl FnOnce() -> Witnesses,
    ) -> Outcome {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, (started, _)| started.elapsed() < MAX_PROBE_AGE);
        if let Some((_, outcome)) = recent.get(run) {
            return outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        recent.insert(run.clone(), (Instant::now(), outcome.clone()));
        let witnesses = witnesses();
        tokio::task::spawn_local(async move {
            let finding = match refuses_connections(addr).await {
                true if witnesses.confirm_paths().await => Finding::Ended,
                true => Finding::Refused,
                false => Finding::Nothing,
            };
            sender.send_replace(Some(finding));
        });
        outcome
    }
}

async fn refuses_connections(addr: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}
