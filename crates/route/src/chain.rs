//! Validation of chains: the endpoints that run one attempt must cover the model's layers exactly
//! once.

use crate::action::Hop;
use crate::finding::Fault;
use crate::request::Target;
use bundle::Bundle;
use bundle::id::{Layer, ModelId};

/// Returns every fault of a chain for `target`. Uses the bundle only and shares no code with the
/// planner, so that a fault of the planner can't hide itself.
pub fn check(bundle: &Bundle, target: Target, hops: &[Hop]) -> Vec<Fault> {
    match target {
        Target::Model(model, _) => check_layers(bundle, model, hops),
        Target::Service(service) => {
            let fits = |h: &Hop| {
                let row = bundle.endpoints.get(h.endpoint as usize);
                row.is_some_and(|e| e.services.contains(&service)) && h.from == 0 && h.to == 0
            };
            let misfits = hops
                .iter()
                .filter(|h| !fits(h))
                .map(|h| Fault::Span(h.endpoint));
            let count = (hops.len() != 1).then_some(Fault::Count(hops.len() as u64, 1));
            misfits.chain(count).collect()
        }
    }
}

fn check_layers(bundle: &Bundle, model: ModelId, hops: &[Hop]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut boundary: Layer = 0;
    for hop in hops {
        if hop.from != boundary || hop.to <= hop.from {
            faults.push(Fault::Gap(hop.from, boundary));
        }
        let row = bundle.endpoints.get(hop.endpoint as usize);
        let holds = row.is_some_and(|e| {
            e.spans
                .iter()
                .any(|s| s.model == model && s.from <= hop.from && hop.to <= s.to)
        });
        if !holds {
            faults.push(Fault::Span(hop.endpoint));
        }
        boundary = hop.to;
    }
    let all = bundle.models.get(model as usize).map_or(0, |m| m.layers);
    if boundary != all || hops.is_empty() {
        faults.push(Fault::Gap(boundary, all));
    }
    faults
}
