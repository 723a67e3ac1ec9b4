//! Exhaustive search for the cheapest chain that accepts work.

use super::{Choice, Load};
use bundle::id::ZoneId;

/// Cheapest path found to a layer boundary in a zone.
#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    stage: usize,
    zone: ZoneId,
}

impl<L: Load> Choice<'_, L> {
    /// Returns the cheapest chain over all stages by dynamic programming over the layer boundaries;
    /// `None` if no chain accepts work.
    pub fn search(&self) -> Option<Vec<usize>> {
        let graph = self.graph;
        let mut bests: Vec<Option<Best>> = vec![None; graph.port_count()];
        for &boundary in graph.layer_boundaries() {
            for stage in graph.stages_from(boundary) {
                self.relax(&mut bests, stage);
            }
        }
        let last = graph.stages.iter().filter(|s| s.to == graph.layers);
        let ends =
            last.filter_map(|s| bests[graph.port_after(s)].map(|b| (b.cost, graph.port_after(s))));
        let (_, end) = ends.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(self.trace(&bests, end))
    }

    fn relax(&self, bests: &mut [Option<Best>], stage: usize) {
        let row = &self.graph.stages[stage];
        let arrivals = self.arrivals(bests, row.from);
        let costs =
            arrivals.filter_map(|(base, zone)| Some((base + self.cost(zone, stage)?, zone)));
        let Some((cost, zone)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        let port = &mut bests[self.graph.port_after(row)];
        if port.is_none_or(|b| cost < b.cost) {
            *port = Some(Best { cost, stage, zone });
        }
    }

    /// Returns the costs and zones from which a stage that starts at `layer` can be reached.
    fn arrivals<'b>(
        &'b self,
        bests: &'b [Option<Best>],
        layer: u16,
    ) -> impl Iterator<Item = (f64, ZoneId)> + 'b {
        let start = (layer == 0).then_some((0.0, self.zone));
        let ports = self.graph.ports_at(layer).filter(move |_| layer > 0);
        start
            .into_iter()
            .chain(ports.filter_map(|(p, z)| bests[p].map(|b| (b.cost, z))))
    }

    fn trace(&self, bests: &[Option<Best>], end: usize) -> Vec<usize> {
        let mut chain = Vec::new();
        let mut port = end;
        while let Some(best) = bests[port] {
            chain.push(best.stage);
            let from = self.graph.stages[best.stage].from;
            if from == 0 {
                break;
            }
            let before = self.graph.ports_at(from).find(|&(_, z)| z == best.zone);
            port = before.map_or(0, |(p, _)| p);
        }
        chain.reverse();
        chain
    }
}
