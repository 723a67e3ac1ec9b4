//! Table of models, and the check that endpoints cover their layers.

use super::fields::Fields;
use crate::endpoint::{Endpoint, Span};
use crate::finding::Findings;
use crate::id::{Layer, ModelId};
use crate::model::Model;
use crate::section::{Kind, is_name};
use crate::sections::Sections;
use std::collections::BTreeSet;

/// Builds the table; an adapter with an invalid name is an error.
pub(super) fn table(sections: &Sections, findings: &mut Findings) -> Vec<Model> {
    let mut rows = Vec::new();
    for section in sections.of_kind(Kind::Model) {
        let mut fields = Fields::new(section, findings);
        let adapters = fields.list("adapters");
        for bad in adapters.iter().filter(|a| !is_name(a)) {
            fields.error("adapters", format_args!("`{bad:.80}` is no name"));
        }
        rows.push(Model {
            name: fields.name(),
            version: fields.text("version").unwrap_or_default().into(),
            layers: fields.count("layers"),
            context: fields.count("context"),
            adapters: adapters.into_iter().map(String::from).collect(),
        });
    }
    rows
}

/// Checks that for each model a chain of spans covers all layers exactly once, in order.
pub(super) fn check_coverage(
    sections: &Sections,
    models: &[Model],
    endpoints: &[Endpoint],
    findings: &mut Findings,
) {
    let mut spans: Vec<BTreeSet<(Layer, Layer)>> = vec![BTreeSet::new(); models.len()];
    let all = endpoints.iter().flat_map(|e| &e.spans);
    for Span { model, from, to } in all {
        if let Some(ranges) = spans.get_mut(usize::from(*model)) {
            ranges.insert((*from, *to));
        }
    }
    for (i, section) in sections.of_kind(Kind::Model).enumerate() {
        let (Some(model), Some(ranges)) = (models.get(i), spans.get(i)) else {
            return;
        };
        let mut fields = Fields::new(section, findings);
        match coverage_gap(model, ranges) {
            Some(message) => fields.error("layers", message),
            None => warn_unusable(&mut fields, model, ranges),
        }
    }
}

/// Returns a message about where the chains from layer 0 end, if none reaches the last layer.
fn coverage_gap(model: &Model, ranges: &BTreeSet<(Layer, Layer)>) -> Option<String> {
    let layers = model.layers;
    if ranges.is_empty() {
        return Some("no endpoint serves any layer of it".into());
    }
    let reached = reachable_ends(ranges);
    if layers == 0 || reached.contains(&layers) {
        return None;
    }
    let end = reached.last().copied().unwrap_or_default();
    let overlap = ranges.iter().find(|(from, to)| *from < end && end < *to);
    Some(match overlap {
        Some((from, to)) => format!(
            "no chain of spans covers 0..{layers}: chains end at {end}, and {from}..{to} overlaps \
             them"
        ),
        None => format!("no chain of spans covers 0..{layers}: gap after {end}"),
    })
}

/// Warns of spans that no complete chain can use; their accelerators would stay idle.
fn warn_unusable(fields: &mut Fields<'_>, model: &Model, ranges: &BTreeSet<(Layer, Layer)>) {
    let reached = reachable_ends(ranges);
    let mut useful = BTreeSet::from([model.layers]);
    let mut unusable = Vec::new();
    for (from, to) in ranges.iter().rev() {
        if useful.contains(to) && reached.contains(from) {
            useful.insert(*from);
        } else {
            unusable.push((from, to));
        }
    }
    for (from, to) in unusable.into_iter().rev() {
        fields.warn(
            "layers",
            format_args!("no whole chain can use the span {from}..{to}"),
        );
    }
}

/// Returns the layers at which a chain of spans from layer 0 can end; `ranges` are sorted by their
/// start.
fn reachable_ends(ranges: &BTreeSet<(Layer, Layer)>) -> BTreeSet<Layer> {
    let mut reached = BTreeSet::from([0]);
    for (from, to) in ranges {
        if reached.contains(from) {
            reached.insert(*to);
        }
    }
    reached
}

/// Parses `MODEL A..B`; `id` returns the id of a model name. Returns `Err(None)` if the model is
/// unknown, and a message for any other error.
pub(super) fn span(
    text: &str,
    models: &[Model],
    id: impl Fn(&str) -> Option<ModelId>,
) -> Result<Span, Option<String>> {
    let (name, range) = text.split_once(' ').ok_or_else(|| Some(not_a_span(text)))?;
    let (from, to) = range
        .split_once("..")
        .ok_or_else(|| Some(not_a_span(text)))?;
    let from = from.trim().parse().map_err(|_| Some(not_a_span(text)))?;
    let to = to.trim().parse().map_err(|_| Some(not_a_span(text)))?;
    let model = id(name).ok_or(None)?;
    if from >= to {
        return Err(Some(format!("`{text:.80}` holds no layer")));
    }
    let layers = models.get(usize::from(model)).map_or(0, |m| m.layers);
    if layers > 0 && to > layers {
        return Err(Some(format!(
            "`{text:.80}` goes past the model's {layers} layers"
        )));
    }
    Ok(Span { model, from, to })
}

/// Returns the message for a span that can't be parsed.
fn not_a_span(text: &str) -> String {
    format!("`{text:.80}` is not a span such as `menu 0..16`")
}
