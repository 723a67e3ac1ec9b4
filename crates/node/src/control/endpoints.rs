//! What endpoints report of themselves, by name, so that it outlives a bundle.

use bundle::Bundle;
use bundle::id::{EndpointId, ModelId};
use engine::load::Report;
use lease::roll::{self, Health, Held};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Unanswered asks in a row after which an endpoint counts as down.
const UNANSWERED_POLLS_UNTIL_DOWN: u32 = 3;

/// What is known of one endpoint.
#[derive(Clone, Debug, Default)]
struct Row {
    report: Option<Report>,
    unanswered_polls: u32,
}

/// What endpoints report.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// Takes a report; whether what the endpoint holds has changed.
    pub fn record_report(&mut self, name: &str, report: Report) -> bool {
        let row = self.rows.entry(name.to_owned()).or_default();
        row.unanswered_polls = 0;
        let before = row.report.as_ref().map(|r| &r.models);
        let changed = before != Some(&report.models);
        row.report = Some(report);
        changed
    }

    /// An endpoint did not answer.
    pub fn record_unanswered(&mut self, name: &str) {
        let row = self.rows.entry(name.to_owned()).or_default();
        row.unanswered_polls = row.unanswered_polls.saturating_add(1);
        if row.unanswered_polls >= UNANSWERED_POLLS_UNTIL_DOWN {
            row.report = None;
        }
    }

    /// Forgets endpoints that the bundle does not name.
    pub fn retain(&mut self, bundle: &Bundle) {
        let kept: BTreeSet<&str> = bundle.endpoints.iter().map(|e| e.name.as_str()).collect();
        self.rows.retain(|name, _| kept.contains(name.as_str()));
    }

    /// By endpoint of the bundle: its report, as a roll reads it.
    pub fn reports(&self, bundle: &Bundle) -> Vec<Option<roll::Report>> {
        let rows = bundle.endpoints.iter();
        rows.map(|e| self.report(&e.name).map(to_roll_report))
            .collect()
    }

    /// Whether an endpoint is there; one that never was asked is taken to be.
    pub fn health(&self, name: &str, accepts_work: bool) -> Health {
        let unanswered = self.rows.get(name).map_or(0, |r| r.unanswered_polls);
        match (unanswered >= UNANSWERED_POLLS_UNTIL_DOWN, accepts_work) {
            (true, _) => Health::Down,
            (false, false) => Health::Leaving,
            (false, true) => Health::Up,
        }
    }

    /// By model of the bundle: the version that new requests are sent to. It is the bundle's once
    /// ready endpoints cover all its layers, else the one that they cover. Tokens of one
    /// answer never come from two versions.
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

    /// Whether endpoints that are ready cover all layers of a version.
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

    /// Whether an endpoint serves its spans of a model in this version. One without a report is
    /// taken to serve what the bundle says: it refuses what it can't run, before anything runs.
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

fn to_roll_report(report: &Report) -> roll::Report {
    let held = report.models.iter().map(|m| Held {
        model: m.model.clone(),
        version: m.version.clone(),
        adapters: m.adapters.clone(),
        from: m.from,
        to: m.to,
        ready: m.ready,
    });
    roll::Report {
        held: held.collect(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, row) in &self.rows {
            let Some(report) = &row.report else {
                writeln!(
                    f,
                    "{name} no report, {} asks unanswered",
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
