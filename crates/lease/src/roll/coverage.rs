//! Layers of each model that ready endpoints hold.

use crate::roll::report::Holding;
use crate::roll::view::View;
use bundle::id::EndpointId;
use std::collections::BTreeMap;
use std::ops::Range;

/// Number of endpoints that hold each layer ready, by model and version.
///
/// Versions are counted separately, since a token computed by layers of two versions is wrong.
#[derive(Clone, Debug, Default)]
pub struct Coverage<'a> {
    models: BTreeMap<&'a str, BTreeMap<&'a str, Vec<u32>>>,
}

impl<'a> Coverage<'a> {
    /// Counts the holdings of the group's endpoints that are up, except those that `skip` selects.
    pub fn new(view: &View<'a>, skip: impl Fn(EndpointId) -> bool) -> Self {
        let mut coverage = Self::default();
        let endpoints = view.up().filter(|id| !skip(*id));
        for holding in endpoints
            .flat_map(|id| view.holdings(id))
            .filter(|holding| holding.ready)
        {
            let Some(model) = view.bundle.model(&holding.model) else {
                continue;
            };
            let layers = usize::from(view.bundle.models[usize::from(model)].layers);
            let versions = coverage.models.entry(&holding.model).or_default();
            let counts = versions
                .entry(&holding.version)
                .or_insert_with(|| vec![0; layers]);
            counts[layer_range(holding, layers)]
                .iter_mut()
                .for_each(|count| *count += 1);
        }
        coverage
    }

    /// Removes the holdings of an endpoint from the counts.
    pub fn remove(&mut self, holdings: impl Iterator<Item = &'a Holding>) {
        for holding in holdings.filter(|holding| holding.ready) {
            let versions = self.models.get_mut(holding.model.as_str());
            let Some(counts) = versions.and_then(|v| v.get_mut(holding.version.as_str())) else {
                continue;
            };
            let range = layer_range(holding, counts.len());
            counts[range]
                .iter_mut()
                .for_each(|count| *count = count.saturating_sub(1));
        }
    }

    /// Returns whether all layers of the model are covered in any one version.
    pub fn is_complete(&self, model: &str) -> bool {
        let versions = self.models.get(model);
        versions.is_some_and(|versions| versions.values().any(|counts| is_covered(counts)))
    }

    /// Returns whether all layers of the model are covered in this version.
    pub fn is_complete_in(&self, model: &str, version: &str) -> bool {
        let counts = self
            .models
            .get(model)
            .and_then(|versions| versions.get(version));
        counts.is_some_and(|counts| is_covered(counts))
    }

    /// Returns whether all layers of the model would be covered in any one version without the
    /// endpoint that has these `holdings`.
    pub fn is_complete_without(&self, model: &str, holdings: &[&Holding]) -> bool {
        let Some(versions) = self.models.get(model) else {
            return false;
        };
        versions.iter().any(|(version, counts)| {
            let affected = holdings
                .iter()
                .filter(|h| h.model == model && h.version == *version);
            let is_sole_holder = |h: &&&Holding| counts[layer_range(h, counts.len())].contains(&1);
            is_covered(counts) && !affected.into_iter().any(|h| is_sole_holder(&h))
        })
    }
}

fn is_covered(counts: &[u32]) -> bool {
    !counts.is_empty() && counts.iter().all(|count| *count > 0)
}

/// Returns the layers of a holding, limited to those of the model.
fn layer_range(holding: &Holding, layers: usize) -> Range<usize> {
    let to = usize::from(holding.to).min(layers);
    usize::from(holding.from).min(to)..to
}
