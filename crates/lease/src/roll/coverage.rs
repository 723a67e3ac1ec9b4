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
        let mut cover = Self::default();
        let endpoints = view.up().filter(|id| !skip(*id));
        for held in endpoints
            .flat_map(|id| view.holdings(id))
            .filter(|held| held.ready)
        {
            let Some(model) = view.bundle.model(&held.model) else {
                continue;
            };
            let layers = usize::from(view.bundle.models[usize::from(model)].layers);
            let versions = cover.models.entry(&held.model).or_default();
            let counts = versions
                .entry(&held.version)
                .or_insert_with(|| vec![0; layers]);
            counts[range(held, layers)]
                .iter_mut()
                .for_each(|count| *count += 1);
        }
        cover
    }

    /// Removes the holdings of an endpoint from the counts.
    pub fn remove(&mut self, held: impl Iterator<Item = &'a Holding>) {
        for held in held.filter(|held| held.ready) {
            let versions = self.models.get_mut(held.model.as_str());
            let Some(counts) = versions.and_then(|v| v.get_mut(held.version.as_str())) else {
                continue;
            };
            let range = range(held, counts.len());
            counts[range]
                .iter_mut()
                .for_each(|count| *count = count.saturating_sub(1));
        }
    }

    /// Returns whether all layers of the model are covered in any one version.
    pub fn is_complete(&self, model: &str) -> bool {
        let versions = self.models.get(model);
        versions.is_some_and(|versions| versions.values().any(|counts| all(counts)))
    }

    /// Returns whether all layers of the model are covered in this version.
    pub fn is_complete_in(&self, model: &str, version: &str) -> bool {
        let counts = self
            .models
            .get(model)
            .and_then(|versions| versions.get(version));
        counts.is_some_and(|counts| all(counts))
    }

    /// Returns whether all layers of the model would be covered in any one version without the
    /// endpoint that has the holdings `held`.
    pub fn is_complete_without(&self, model: &str, held: &[&Holding]) -> bool {
        let Some(versions) = self.models.get(model) else {
            return false;
        };
        versions.iter().any(|(version, counts)| {
            let mine = held
                .iter()
                .filter(|h| h.model == model && h.version == *version);
            let alone = |h: &&&Holding| counts[range(h, counts.len())].contains(&1);
            all(counts) && !mine.into_iter().any(|h| alone(&h))
        })
    }
}

fn all(counts: &[u32]) -> bool {
    !counts.is_empty() && counts.iter().all(|count| *count > 0)
}

/// Returns the layers of a holding, limited to those of the model.
fn range(held: &Holding, layers: usize) -> Range<usize> {
    let to = usize::from(held.to).min(layers);
    usize::from(held.from).min(to)..to
}
