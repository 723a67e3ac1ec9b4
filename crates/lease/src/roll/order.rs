//! Orders: each names a state to reach, so that doing it twice is doing it once.

use crate::roll::report::{Holding, Report};
use bundle::Bundle;
use bundle::endpoint::Span;
use bundle::id::Layer;
use std::fmt;

/// An order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Hold this range of a model's layers, with these adapters.
    Load {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
        /// Layers of the whole model.
        layers: Layer,
        /// Adapters.
        adapters: Vec<String>,
        /// First layer.
        from: Layer,
        /// One past the last layer.
        to: Layer,
    },
    /// Hold no layers of this version.
    Unload {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
    },
}

impl Order {
    /// The order for a span of the bundle.
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

    /// The order to drop what is holding.
    pub fn unload(holding: &Holding) -> Self {
        Self::Unload {
            model: holding.model.clone(),
            version: holding.version.clone(),
        }
    }

    /// Whether the state is reached.
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

    /// Whether only adapters are missing, which an engine takes in while it runs.
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

    /// Whether this is what the order asks to hold, ready or not.
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

    /// Whether weights are fetched for it.
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
