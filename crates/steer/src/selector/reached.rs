//! Endpoints that tell a failure of another one from a failure of this node's paths.

use super::Selector;
use crate::Timestamp;
use crate::health::Health;
use crate::paths::SAMPLE;
use crate::row::Row;
use catalog::endpoint::{Run, State};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which the connections of endpoints that are lost together take to break. An endpoint that
/// failed earlier than that says nothing about a later failure of another one.
const COMMON_LOSS_TIME: Duration = Duration::from_millis(250);

impl Selector {
    /// Returns the name of the service of an endpoint; `None` if it is not registered.
    pub fn service_of(&self, run: &Run) -> Option<&str> {
        let row = self.index.get(run).map(|&at| &self.rows[at]);
        row.map(|row| row.endpoint.service.as_str())
    }

    /// Returns the addresses of up to [`SAMPLE`] endpoints of a service at random, those that don't
    /// fail here first.
    pub fn sample(&mut self, service: &str) -> Vec<SocketAddr> {
        self.sample_rows(|row| row.endpoint.service == service)
    }

    /// Returns the addresses of up to [`SAMPLE`] other endpoints of the service of `run` at random,
    /// without those that had failed before the endpoints that are failing now.
    pub fn sample_beside(&mut self, now: Timestamp, run: &Run) -> Vec<SocketAddr> {
        let Some(service) = self.service_of(run).map(str::to_owned) else {
            return Vec::new();
        };
        let recent = now.saturating_sub(COMMON_LOSS_TIME);
        self.sample_rows(|row| {
            let failing_since = row.health.failing_since();
            row.endpoint.service == service
                && row.endpoint.run != *run
                && failing_since.is_none_or(|since| since >= recent)
        })
    }

    /// Returns the addresses of up to [`SAMPLE`] endpoints of other services than that of `run` at random,
    /// those that don't fail here first.
    pub fn sample_elsewhere(&mut self, run: &Run) -> Vec<SocketAddr> {
        let service = self.service_of(run).map(str::to_owned);
        self.sample_rows(|row| Some(&row.endpoint.service) != service.as_ref())
    }

    /// Returns the runs that are registered at an address.
    pub fn runs_at(&self, addr: SocketAddr) -> Vec<Run> {
        let rows = self.rows.iter().filter(|row| row.endpoint.addr == addr);
        rows.map(|row| row.endpoint.run.clone()).collect()
    }

    fn sample_rows(&mut self, include: impl Fn(&Row) -> bool) -> Vec<SocketAddr> {
        let rng = &mut self.rng;
        let serving = |row: &&Row| row.endpoint.state == State::Ready && !row.leaving;
        let rows = self.rows.iter().filter(serving).filter(|row| include(row));
        let mut keyed: Vec<(bool, u32, SocketAddr)> = rows
            .map(|row| {
                let fails = row.reported_failed || row.health.failures() > 0;
                (fails, rng.random(), row.endpoint.addr)
            })
            .collect();
        keyed.sort_unstable();
        let addrs = keyed.into_iter().map(|(.., addr)| addr);
        addrs.take(SAMPLE).collect()
    }

    /// Forgets the failures of the endpoints of a service, since they were those of this node's paths.
    pub fn forget_failures(&mut self, service: &str) {
        let rows = self.rows.iter_mut();
        for row in rows.filter(|row| row.endpoint.service == service) {
            row.health = Health::default();
            row.suspected_since = None;
            row.failure_published = false;
        }
    }
}
