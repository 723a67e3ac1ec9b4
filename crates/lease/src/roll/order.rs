//! Orders to endpoints. Each names a state to reach, so that orders are idempotent.

use crate::roll::report::{Holding, Report};
use bundle::Bundle;
use bundle::endpoint::Span;
use bundle::id::Layer;
use std::fmt;

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load and hold this range of a model's layers, with these adapters.
    Load {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
        /// Number of layers of the model.
        layers: Layer,
        /// Names of the adapters to load.
        adapters: Vec<String>,
        /// First layer of the range.
        from: Layer,
        /// Layer after the last one of the range.
        to: Layer,
    },
    /// Drop all layers of this version.
    Unload {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
    },
}

impl Order {
    /// Returns the order to load a span of the bundle.
    pub fn load(bundle: &Bundle, span: &Span) -> Option<Self> {
        let model = bundle.models.get(usize::from(span.model))?;
        Some(Self::Load {
            model: model.name.clone(),
            version: model.version.clone(),
            layers: model.layers,
            adapters: model.adapters.clone(),
            from: span.from,
            to: span.to,
        })
    }

    /// Returns the order to drop a holding.
    pub fn unload(holding: &Holding) -> Self {
        Self::Unload {
            model: holding.model.clone(),
            version: holding.version.clone(),
        }
    }

    /// Returns whether the report shows the state that the order names.
    pub fn is_fulfilled(&self, report: &Report) -> bool {
        match self {
            Self::Load { .. } => report
                .holdings
                .iter()
                .any(|holding| holding.ready && self.matches(holding)),
            Self::Unload { model, version } => !report
                .holdings
                .iter()
                .any(|h| h.model == *model && h.version == *version),
        }
    }

    /// Returns whether only adapters are missing. An engine loads them without interruption.
    pub fn changes_only_adapters(&self, report: &Report) -> bool {
        let Self::Load {
            model,
            version,
            from,
            to,
            ..
        } = self
        else {
            return false;
        };
        report.holdings.iter().any(|holding| {
            let same = holding.model == *model && holding.version == *version;
            holding.ready && same && holding.from == *from && holding.to == *to
        })
    }

    /// Returns whether the holding, ready or not, is the one that the order names.
    pub fn matches(&self, holding: &Holding) -> bool {
        let Self::Load {
            model,
            version,
            adapters,
            from,
            to,
            ..
        } = self
        else {
            return false;
        };
        let weights = holding.model == *model && holding.version == *version;
        let range = holding.from == *from && holding.to == *to;
        weights
            && range
            && adapters
                .iter()
                .all(|adapter| holding.adapters.contains(adapter))
    }

    /// Returns whether the endpoint fetches weights for the order.
    pub fn fetches_weights(&self) -> bool {
        matches!(self, Self::Load { .. })
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load {
                model,
                version,
                from,
                to,
                ..
            } => {
                write!(f, "load {model} {version} {from}..{to}")
            }
            Self::Unload { model, version } => write!(f, "unload {model} {version}"),
        }
    }
}
