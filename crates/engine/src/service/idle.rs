//! Idle connections to services, kept for later calls.

use super::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time that a connection stays idle. Servers commonly close idle connections after five
/// seconds.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of idle connections to an endpoint.
const MAX_CONNECTIONS: usize = 32;

/// Idle connections by endpoint. The most recently used one is reused first.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_addr: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl IdleConnections {
    /// Takes an idle connection that is still open as far as this node knows.
    pub(super) fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut by_addr = self.lock();
        let list = by_addr.get_mut(&addr)?;
        list.retain(|(since, c)| since.elapsed() < MAX_IDLE_TIME && c.sender.is_ready());
        list.pop().map(|(_, connection)| connection)
    }

    /// Keeps a connection that is ready for another call, unless the endpoint already has
    /// [`MAX_CONNECTIONS`] idle connections.
    pub(super) fn put(&self, connection: Connection) {
        let mut by_addr = self.lock();
        let list = by_addr.entry(connection.addr).or_default();
        list.retain(|(since, c)| since.elapsed() < MAX_IDLE_TIME && c.sender.is_ready());
        if list.len() < MAX_CONNECTIONS && connection.sender.is_ready() {
            list.push((Instant::now(), connection));
        }
    }

    /// Drops the idle connections to an endpoint.
    pub(crate) fn drop_connections(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<(Instant, Connection)>>> {
        self.by_addr.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
