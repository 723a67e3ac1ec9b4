//! What is scarce when a request finds no target, for the line that explains its refusal.

use crate::Now;
use crate::row::Row;
use catalog::Layer;
use std::time::Duration;

/// What a worker believed of a service when it had no target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scarcity {
    /// Endpoints of the service.
    pub known: usize,
    /// Those in use.
    pub open: usize,
    /// The layer whose roomiest endpoint in use has the least room; nothing for a plain service.
    pub layer: Option<Layer>,
    /// Part of that endpoint's memory that is free; 0 if no endpoint in use holds the layer.
    pub free: f64,
    /// Part of the fullest pipe between zones that is used.
    pub pipe: f64,
    /// Age of the oldest report of load among those in use.
    pub age: Duration,
}

impl Scarcity {
    /// What is scarce among these rows of a service, whose model has so many layers.
    pub(crate) fn of(now: Now, nodes: f64, stay: Duration, rows: &[&Row], layers: Layer) -> Self {
        let open: Vec<&&Row> = rows.iter().filter(|r| r.open(now)).collect();
        let free = |row: &Row| (1.0 - row.used(now, nodes, stay) / row.room.max(1.0)).max(0.0);
        let roomiest = |layer: Layer| {
            let own = open.iter().filter(|r| r.endpoint.span.holds(layer));
            own.map(|r| free(r)).fold(0.0, f64::max)
        };
        let rooms = (0..layers).map(|l| (roomiest(l), l));
        let scarcest = rooms.min_by(|a, b| a.0.total_cmp(&b.0));
        let ages = open.iter().filter_map(|r| r.known.map(|k| k.age(now)));
        Self {
            known: rows.len(),
            open: open.len(),
            layer: scarcest.map(|(_, layer)| layer),
            free: scarcest.map_or(0.0, |(free, _)| free),
            pipe: 0.0,
            age: ages.max().unwrap_or_default(),
        }
    }
}
