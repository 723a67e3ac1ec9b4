//! Reports of endpoints on the layers that they hold.

use bundle::id::Layer;

/// A range of a model's layers that an endpoint holds or loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// First layer of the range.
    pub from: Layer,
    /// Layer after the last one of the range.
    pub to: Layer,
    /// Whether the layers can run requests. If not, they are being loaded.
    pub ready: bool,
}

/// A report of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Ranges of layers that the endpoint holds or loads.
    pub holdings: Vec<Holding>,
}
