//! Input of a roll's step.

use crate::roll::report::{Holding, Report};
use bundle::Bundle;
use bundle::id::{EndpointId, Number, ZoneId};
use std::time::Duration;

/// Health of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The endpoint is live and answers.
    #[default]
    Up,
    /// The endpoint is leaving. It gets no orders, and its departure is no failure.
    Leaving,
    /// The endpoint is gone or does not answer.
    Down,
}

/// Rate of fetches that the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Number of fetches that may start per minute.
    pub per_minute: u32,
    /// Number of fetches that may be in progress at once.
    pub at_once: u32,
}

impl Rate {
    /// Returns the minimum time between the starts of two fetches.
    pub fn spacing(&self) -> Duration {
        Duration::from_secs(60) / self.per_minute.max(1)
    }
}

/// A view of the group's endpoints.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// Availability zones of the group, in the order of the roll.
    pub zones: &'a [ZoneId],
    /// Last report of each endpoint of the bundle.
    pub reports: &'a [Option<Report>],
    /// Health of each endpoint of the bundle.
    pub health: &'a [Health],
    /// Rate of fetches that the weight store allows this group.
    pub rate: Rate,
    /// Number of the last bundle whose roll was stopped, or 0.
    pub stopped: Number,
}

impl<'a> View<'a> {
    /// Returns the endpoint's health, or [`Health::Down`] if it is unknown.
    pub fn health(&self, endpoint: EndpointId) -> Health {
        let health = self.health.get(endpoint as usize);
        health.copied().unwrap_or(Health::Down)
    }

    /// Returns the endpoint's last report.
    pub fn report(&self, endpoint: EndpointId) -> Option<&'a Report> {
        self.reports.get(endpoint as usize)?.as_ref()
    }

    /// Returns the holdings that the endpoint reports.
    pub fn holdings(&self, endpoint: EndpointId) -> impl Iterator<Item = &'a Holding> {
        let report = self.report(endpoint);
        report.into_iter().flat_map(|report| &report.holdings)
    }

    /// Returns the name of the endpoint.
    pub fn name(&self, endpoint: EndpointId) -> &'a str {
        &self.bundle.endpoints[endpoint as usize].name
    }

    /// Returns the endpoints of the group that are up and have reported.
    pub fn up(&self) -> impl Iterator<Item = EndpointId> + '_ {
        (0..self.bundle.endpoints.len() as EndpointId).filter(|id| {
            let in_group = self
                .zones
                .contains(&self.bundle.endpoints[*id as usize].zone);
            in_group && self.health(*id) == Health::Up && self.report(*id).is_some()
        })
    }

    /// Returns the availability zone of the endpoint.
    pub fn zone(&self, endpoint: EndpointId) -> ZoneId {
        self.bundle.endpoints[endpoint as usize].zone
    }
}
