//! Scarce resources of a service when a request finds no target, for the log line of its refusal.

use crate::Timestamp;
use crate::row::Row;
use catalog::Layer;
use std::time::Duration;

/// Known state of a service when no target was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scarcity {
    /// Number of endpoints of the service.
    pub known: usize,
    /// Number of available endpoints.
    pub available: usize,
    /// Layer with the least free capacity, by the available endpoint with the most of it; `None`
    /// for a plain service.
    pub layer: Option<Layer>,
    /// Free fraction of that endpoint's capacity; 0 if no available endpoint holds the layer.
    pub free: f64,
    /// Utilization of the busiest link between zones.
    pub link: f64,
    /// Age of the oldest load report of the available endpoints.
    pub age: Duration,
}

impl Scarcity {
    /// Measures the scarcity over the rows of a service whose model has `layers` layers.
    pub(crate) fn measure(
        now: Timestamp,
        nodes: f64,
        residence: Duration,
        rows: &[&Row],
        layers: Layer,
    ) -> Self {
        let available: Vec<&&Row> = rows.iter().filter(|r| r.is_available(now)).collect();
        let free =
            |row: &Row| (1.0 - row.used(now, nodes, residence) / row.capacity.max(1.0)).max(0.0);
        let max_free = |layer: Layer| {
            let own = available.iter().filter(|r| r.endpoint.span.contains(layer));
            own.map(|r| free(r)).fold(0.0, f64::max)
        };
        let by_layer = (0..layers).map(|l| (max_free(l), l));
        let scarcest = by_layer.min_by(|a, b| a.0.total_cmp(&b.0));
        let ages = available.iter().filter_map(|r| r.load.map(|l| l.age(now)));
        Self {
            known: rows.len(),
            available: available.len(),
            layer: scarcest.map(|(_, layer)| layer),
            free: scarcest.map_or(0.0, |(free, _)| free),
            link: 0.0,
            age: ages.max().unwrap_or_default(),
        }
    }
}
