//! A stand-in for the weight store, reduced to the rate limit that nodes request from it.

use crate::fault::{Answer, Faults, Server, Service, lock};
use bytes::Bytes;
use http::{Request, StatusCode};
use platform::format::{Allowed, RATE_PATH};
use platform::weights::Rate;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A running weight store; dropping it stops the server.
#[derive(Debug)]
pub struct Weights {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Fault switches of the server.
    pub faults: Arc<Faults>,
    store: Arc<Store>,
    _server: Server,
}

impl Weights {
    /// Starts a weight store that allows loads at `rate`.
    pub async fn start(addr: SocketAddr, rate: Rate) -> io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let store = Arc::new(Store {
            rate: Mutex::new(rate),
        });
        let server = Server::start(addr, faults.clone(), store.clone()).await?;
        Ok(Self {
            addr: server.addr,
            faults,
            store,
            _server: server,
        })
    }

    /// Changes the allowed rate.
    pub fn set_rate(&self, rate: Rate) {
        *lock(&self.store.rate) = rate;
    }
}

#[derive(Debug)]
struct Store {
    rate: Mutex<Rate>,
}

impl Service for Store {
    async fn answer(&self, request: Request<Bytes>) -> Answer {
        if request.uri().path() != RATE_PATH {
            return Answer::new(StatusCode::NOT_FOUND, "");
        }
        let rate = *lock(&self.rate);
        Answer::json(&Allowed::from(rate))
    }
}
