//! Probes of endpoints whose connections broke: an endpoint that refuses a new one has ended.
//!
//! A broken connection alone doesn't show it. The endpoint may have given up one response, or only
//! the connection was reset. The address of a machine that lost power or is cut off does not respond,
//! which says nothing about the process. Nor does a refusal if the other endpoints refuse as well: then
//! this node has lost its paths.

use crate::reach;
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

/// Whether the endpoint has ended; `None` while the probe runs.
type Outcome = Option<bool>;

/// Recent probes by address.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    recent: RefCell<HashMap<SocketAddr, (Instant, watch::Receiver<Outcome>)>>,
}

impl Probes {
    /// Returns whether the endpoint at `addr` has ended: it refuses connections, and one of the
    /// endpoints that `others` returns accepts them. Without others, its refusal suffices. Concurrent
    /// calls share a probe. Must be called within a [`tokio::task::LocalSet`].
    pub(crate) async fn has_ended(
        &self,
        addr: SocketAddr,
        others: impl FnOnce() -> Vec<SocketAddr>,
    ) -> bool {
        let mut outcome = self.outcome(addr, others);
        // The sender is dropped only after the outcome, or with the runtime.
        let ended = outcome.wait_for(Option::is_some).await;
        ended.is_ok_and(|ended| *ended == Some(true))
    }

    fn outcome(
        &self,
        addr: SocketAddr,
        others: impl FnOnce() -> Vec<SocketAddr>,
    ) -> watch::Receiver<Outcome> {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, (started, _)| started.elapsed() < MAX_PROBE_AGE);
        if let Some((_, outcome)) = recent.get(&addr) {
            return outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        recent.insert(addr, (Instant::now(), outcome.clone()));
        let others = others();
        tokio::task::spawn_local(async move {
            let ended = refuses_connections(addr).await
                && (others.is_empty() || reach::any_accepts(&others).await);
            sender.send_replace(Some(ended));
        });
        outcome
    }
}

async fn refuses_connections(addr: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}
