//! Connects to endpoints to tell their failure from that of this node's paths; see [`steer::paths`].

use crate::dialect::Dialect;
use crate::worker::Worker;
use catalog::endpoint::Run;
use futures::stream::{FuturesUnordered, StreamExt};
use journal::event::Event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steer::paths::{Evidence, MIN_SAMPLE};
use steer::transition::Transition;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a connection, as for those that carry requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of endpoints that are connected to at first. The others of a sample follow if none of these
/// accepts, so that an endpoint that fails costs few connections to others.
const FIRST_BATCH: usize = 2;
/// Pause between two checks of a service.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl<D: Dialect> Worker<D> {
    /// Returns whether this node is isolated from the endpoints of a service.
    pub(crate) fn is_isolated(&self, service: &str) -> bool {
        self.paths.borrow().is_isolated(service)
    }

    /// Records that no connection to an endpoint of a service could be established, or that one does
    /// not respond. Must be called within a [`tokio::task::LocalSet`].
    pub(crate) fn suspect_paths(&self, service: &str) {
        if self.paths.borrow_mut().suspect(service) {
            self.start_checks(service);
        }
    }

    /// Holds back the report of a failing endpoint until a check has ended.
    pub(crate) fn hold(&self, service: &str, run: Run) {
        if self.paths.borrow_mut().hold(service, run) {
            self.start_checks(service);
        }
    }

    /// Checks the paths to a service until no further check is due.
    fn start_checks(&self, service: &str) {
        let Some(worker) = self.me.upgrade() else {
            return;
        };
        let service = service.to_owned();
        worker.paths.borrow_mut().begin(&service);
        tokio::task::spawn_local(async move {
            while worker.check(&service).await {
                tokio::time::sleep(CHECK_INTERVAL).await;
                worker.paths.borrow_mut().begin(&service);
            }
        });
    }

    /// Checks the paths to a service once. Returns whether another check is due.
    async fn check(self: &Rc<Self>, service: &str) -> bool {
        let sample = self.with_selector(|selector, _| selector.sample(service));
        let evidence = match sample.len() < MIN_SAMPLE {
            true => Evidence::Unknown,
            false if any_accepts(&sample).await => Evidence::Reached,
            false => Evidence::Unreached,
        };
        let outcome = self.paths.borrow_mut().end(service, evidence);
        for run in outcome.failing {
            self.send(Transition::Down(run));
        }
        if let Some(isolated) = outcome.changed {
            self.record_isolation(service, isolated, sample.len());
        }
        let isolated = evidence == Evidence::Unreached;
        if isolated || outcome.changed.is_some() {
            // Repeated while it lasts, since control drops what is not renewed.
            self.send(Transition::Isolation {
                service: service.to_owned(),
                isolated,
            });
        }
        outcome.again
    }

    fn record_isolation(&self, service: &str, isolated: bool, sampled: usize) {
        self.metrics.record_isolation(service, isolated);
        self.journal.record(Event::Dependency {
            name: format!("endpoints of {service}"),
            up: !isolated,
            detail: match isolated {
                true => format!("none of {sampled} accepts a connection"),
                false => "an endpoint accepts connections".to_owned(),
            },
        });
        if !isolated {
            self.with_selector(|selector, _| selector.forget_failures(service));
            self.notify_capacity();
        }
    }
}

/// Returns whether any of these endpoints accepts a connection.
pub(crate) async fn any_accepts(addrs: &[SocketAddr]) -> bool {
    let (first, others) = addrs.split_at(FIRST_BATCH.min(addrs.len()));
    for batch in [first, others] {
        let mut connecting: FuturesUnordered<_> = batch.iter().map(|a| accepts(*a)).collect();
        while let Some(accepted) = connecting.next().await {
            if accepted {
                return true;
            }
        }
    }
    false
}

async fn accepts(addr: SocketAddr) -> bool {
    matches!(
        timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await,
        Ok(Ok(_))
    )
}
