//! What a roll sees.

use crate::roll::report::{Holding, Report};
use bundle::Bundle;
use bundle::id::{EndpointId, Number, ZoneId};
use std::time::Duration;

/// Whether an endpoint is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It is live and answers.
    #[default]
    Up,
    /// It leaves; it gets no orders, and that it goes is no failure.
    Leaving,
    /// It is gone or does not answer.
    Down,
}

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Fetches started per minute.
    pub per_minute: u32,
    /// Fetches that run at once.
    pub at_once: u32,
}

impl Rate {
    /// Least time between two starts.
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
    /// By endpoint of the bundle: its last report.
    pub reports: &'a [Option<Report>],
    /// By endpoint of the bundle: whether it is there.
    pub health: &'a [Health],
    /// What the weight store allows this group.
    pub rate: Rate,
    /// Number of the bundle whose roll was last stopped.
    pub stopped: Number,
}

impl<'a> View<'a> {
    /// The endpoint's health; unknown ones count as gone.
    pub fn health(&self, endpoint: EndpointId) -> Health {
        let health = self.health.get(endpoint as usize);
        health.copied().unwrap_or(Health::Down)
    }

    /// The endpoint's report.
    pub fn report(&self, endpoint: EndpointId) -> Option<&'a Report> {
        self.reports.get(endpoint as usize)?.as_ref()
    }

    /// What the endpoint reports that it holds.
    pub fn holdings(&self, endpoint: EndpointId) -> impl Iterator<Item = &'a Holding> {
        let report = self.report(endpoint);
        report.into_iter().flat_map(|report| &report.holdings)
    }

    /// Name of the endpoint.
    pub fn name(&self, endpoint: EndpointId) -> &'a str {
        &self.bundle.endpoints[endpoint as usize].name
    }

    /// Endpoints of the group that are there and have reported.
    pub fn up(&self) -> impl Iterator<Item = EndpointId> + '_ {
        (0..self.bundle.endpoints.len() as EndpointId).filter(|id| {
            let in_group = self
                .zones
                .contains(&self.bundle.endpoints[*id as usize].zone);
            in_group && self.health(*id) == Health::Up && self.report(*id).is_some()
        })
    }

    /// The endpoint's availability zone.
    pub fn zone(&self, endpoint: EndpointId) -> ZoneId {
        self.bundle.endpoints[endpoint as usize].zone
    }
}
