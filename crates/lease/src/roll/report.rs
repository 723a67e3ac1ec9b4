//! What an endpoint reports that it holds.

use bundle::id::Layer;

/// A range of a model's layers that an endpoint holds or loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// First layer.
    pub from: Layer,
    /// One past the last layer.
    pub to: Layer,
    /// Whether it can run; otherwise it is being loaded.
    pub ready: bool,
}

/// A report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// What it holds.
    pub holdings: Vec<Holding>,
}
