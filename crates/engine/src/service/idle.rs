//! Connections to services that are kept between calls.

use super::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest time a connection is kept; servers commonly close theirs after five seconds.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Most connections kept to one service endpoint.
const MAX_CONNECTIONS: usize = 32;

/// Kept connections, the last one used first.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    kept: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl IdleConnections {
    /// A kept connection that is still open, as far as this side knows.
    pub(super) fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut kept = self.lock();
        let list = kept.get_mut(&addr)?;
        list.retain(|(since, c)| since.elapsed() < MAX_IDLE_TIME && c.sender.is_ready());
        list.pop().map(|(_, connection)| connection)
    }

    /// Keeps a connection that is ready for another call.
    pub(super) fn put(&self, connection: Connection) {
        let mut kept = self.lock();
        let list = kept.entry(connection.addr).or_default();
        list.retain(|(since, c)| since.elapsed() < MAX_IDLE_TIME && c.sender.is_ready());
        if list.len() < MAX_CONNECTIONS && connection.sender.is_ready() {
            list.push((Instant::now(), connection));
        }
    }

    /// Drops the connections to an endpoint.
    pub(crate) fn drop_connections(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<(Instant, Connection)>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
