//! What is scarce when a request finds no target, for the line that explains its refusal.

use crate::Timestamp;
use crate::row::Row;
use catalog::Layer;
use std::time::Duration;

/// What a worker believed of a service when it had no target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scarcity {
    /// Endpoints of the service.
    pub known: usize,
    /// Those in use.
    pub available: usize,
    /// The layer whose roomiest endpoint in use has the least room; nothing for a plain service.
    pub layer: Option<Layer>,
    /// Part of that endpoint's memory that is free; 0 if no endpoint in use holds the layer.
    pub free: f64,
    /// Part of the fullest pipe between zones that is used.
    pub link: f64,
    /// Age of the oldest report of load among those in use.
    pub age: Duration,
}

impl Scarcity {
    /// What is scarce among these rows of a service, whose model has so many layers.
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
