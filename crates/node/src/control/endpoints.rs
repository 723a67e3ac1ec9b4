//! Load reports of endpoints. They are stored by name, since ids change with each bundle.

use bundle::Bundle;
use bundle::id::{EndpointId, ModelId};
use engine::load::Report;
use lease::roll::{self, Health, Holding};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Number of consecutive unanswered polls after which an endpoint counts as down.
const UNANSWERED_POLLS_UNTIL_DOWN: u32 = 3;

/// Last report and poll failures of one endpoint.
#[derive(Clone, Debug, Default)]
struct Row {
    report: Option<Report>,
    unanswered_polls: u32,
}

/// Table of the reports of all endpoints.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// Records a report. Returns whether the models that the endpoint holds have changed.
    pub fn record_report(&mut self, name: &str, report: Report) -> bool {
        let row = self.rows.entry(name.to_owned()).or_default();
        row.unanswered_polls = 0;
        let before = row.report.as_ref().map(|r| &r.models);
        let changed = before != Some(&report.models);
        row.report = Some(report);
        changed
    }

    /// Records that an endpoint did not answer a poll.
    pub fn record_unanswered(&mut self, name: &str) {
        let row = self.rows.entry(name.to_owned()).or_default();
        row.unanswered_polls = row.unanswered_polls.saturating_add(1);
        if row.unanswered_polls >= UNANSWERED_POLLS_UNTIL_DOWN {
            row.report = None;
        }
    }

    /// Removes endpoints that are not in the bundle.
    pub fn retain(&mut self, bundle: &Bundle) {
        let kept: BTreeSet<&str> = bundle.endpoints.iter().map(|e| e.name.as_str()).collect();
        self.rows.retain(|name, _| kept.contains(name.as_str()));
    }

    /// Returns the reports in the form that rolls use, in the order of the bundle's endpoints.
    pub fn reports(&self, bundle: &Bundle) -> Vec<Option<roll::Report>> {
        let rows = bundle.endpoints.iter();
        rows.map(|e| self.report(&e.name).map(to_roll_report))
            .collect()
    }

    /// Returns the health of an endpoint. An endpoint that was never polled counts as up unless its
    /// instance is leaving.
    pub fn health(&self, name: &str, accepts_work: bool) -> Health {
        let unanswered = self.rows.get(name).map_or(0, |r| r.unanswered_polls);
        match (unanswered >= UNANSWERED_POLLS_UNTIL_DOWN, accepts_work) {
            (true, _) => Health::Down,
            (false, false) => Health::Leaving,
            (false, true) => Health::Up,
        }
    }

    /// Returns the version that serves new requests, for each model of the bundle. It is the
    /// bundle's version once ready endpoints hold all its layers. Until then it is the highest
    /// version, in text order, of which they hold all layers, or the bundle's version if there is
    /// none. The tokens of one answer never come from two versions.
    pub fn serving_versions(&self, bundle: &Bundle) -> Vec<String> {
        let models = (0..).zip(&bundle.models);
        models
            .map(|(id, model)| self.serving_version(bundle, id, &model.version))
            .collect()
    }

    fn serving_version(&self, bundle: &Bundle, model: ModelId, desired: &str) -> String {
        if self.is_covered(bundle, model, desired) {
            return desired.to_owned();
        }
        let name = &bundle.models[usize::from(model)].name;
        let held = self.rows.values().filter_map(|r| r.report.as_ref());
        let held = held.flat_map(|r| &r.models).filter(|m| m.model == *name);
        let versions: BTreeSet<&str> = held.map(|m| m.version.as_str()).collect();
        let other = versions
            .into_iter()
            .rev()
            .find(|v| self.is_covered(bundle, model, v));
        other.unwrap_or(desired).to_owned()
    }

    /// Returns whether the ready endpoints together hold all layers of a version.
    fn is_covered(&self, bundle: &Bundle, model: ModelId, version: &str) -> bool {
        let layers = bundle.models[usize::from(model)].layers;
        let ids = 0..bundle.endpoints.len();
        let spans = |id: &usize| bundle.endpoints[*id].spans.iter();
        let ready: Vec<_> = ids
            .filter(|id| spans(id).any(|s| s.model == model))
            .filter(|id| self.serves(bundle, *id as EndpointId, model, version))
            .flat_map(|id| &bundle.endpoints[id].spans)
            .filter(|s| s.model == model)
            .collect();
        let mut covered = 0;
        while covered < layers {
            let next = ready
                .iter()
                .filter(|s| s.from <= covered)
                .map(|s| s.to)
                .max();
            match next {
                Some(to) if to > covered => covered = to,
                _ => return false,
            }
        }
        true
    }

    /// Returns whether an endpoint serves all its spans of a model in this version. An endpoint
    /// without a report is assumed to serve the bundle's version, since it refuses a request that
    /// it can't execute before any of it is executed.
    pub fn serves(&self, bundle: &Bundle, id: EndpointId, model: ModelId, version: &str) -> bool {
        let endpoint = &bundle.endpoints[id as usize];
        let row = &bundle.models[usize::from(model)];
        let Some(report) = self.report(&endpoint.name) else {
            return version == row.version;
        };
        let mut spans = endpoint.spans.iter().filter(|s| s.model == model);
        spans.all(|s| {
            report.models.iter().any(|m| {
                let same_version = m.model == row.name && m.version == version;
                same_version && m.ready && m.from <= s.from && m.to >= s.to
            })
        })
    }

    fn report(&self, name: &str) -> Option<&Report> {
        self.rows.get(name)?.report.as_ref()
    }
}

/// Converts a report to the form that rolls use.
fn to_roll_report(report: &Report) -> roll::Report {
    let holdings = report.models.iter().map(|m| Holding {
        model: m.model.clone(),
        version: m.version.clone(),
        adapters: m.adapters.clone(),
        from: m.from,
        to: m.to,
        ready: m.ready,
    });
    roll::Report {
        holdings: holdings.collect(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, row) in &self.rows {
            let Some(report) = &row.report else {
                writeln!(
                    f,
                    "{name} no report, {} polls unanswered",
                    row.unanswered_polls
                )?;
                continue;
            };
            write!(f, "{name} runs {}/{}", report.running, report.slots)?;
            for m in &report.models {
                let ready = if m.ready { "" } else { " loading" };
                write!(f, ", {} {} {}..{}{ready}", m.model, m.version, m.from, m.to)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
