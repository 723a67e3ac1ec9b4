//! A stand-in for the platform's instance list.

use crate::fault::{Answer, Faults, Server, Service, lock};
use bytes::Bytes;
use http::{Request, StatusCode};
use platform::format::{INSTANCES_PATH, Instances, Item};
use platform::instance::Instance;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// A running instance list; dropping it stops the server.
#[derive(Debug)]
pub struct List {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Fault switches of the server.
    pub faults: Arc<Faults>,
    store: Arc<Store>,
    _server: Server,
}

impl List {
    /// Starts a list that shows `instances`.
    pub async fn start(addr: SocketAddr, instances: Vec<Instance>) -> io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let store = Arc::new(Store::default());
        lock(&store.state).shown = instances;
        let server = Server::start(addr, faults.clone(), store.clone()).await?;
        Ok(Self {
            addr: server.addr,
            faults,
            store,
            _server: server,
        })
    }

    /// Sets the delay until the list shows a change; applies to later changes.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.store.state).lag = lag;
    }

    /// Changes the instances; the list shows the change after its lag.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut state = lock(&self.store.state);
        let due = Instant::now() + state.lag;
        state.changes.push((due, instances));
    }
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    shown: Vec<Instance>,
    /// Pending changes, with the time at which the list shows them.
    changes: Vec<(Instant, Vec<Instance>)>,
}

#[derive(Debug, Default)]
struct Store {
    state: Mutex<State>,
}

impl Service for Store {
    async fn answer(&self, request: Request<Bytes>) -> Answer {
        if request.uri().path() != INSTANCES_PATH {
            return Answer::new(StatusCode::NOT_FOUND, "");
        }
        let mut state = lock(&self.state);
        let now = Instant::now();
        while state.changes.first().is_some_and(|(due, _)| *due <= now) {
            state.shown = state.changes.remove(0).1;
        }
        Answer::json(&Instances {
            instances: state.shown.iter().map(Item::from).collect(),
        })
    }
}
