//! Models.

use crate::id::Layer;

/// A model that callers can name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name, unique in the bundle.
    pub name: String,
    /// Version of its weights.
    pub version: String,
    /// Number of layers; every token passes each of `0..layers` once, in order.
    pub layers: Layer,
    /// Longest prompt plus answer, in tokens.
    pub context: u32,
    /// Adapters; callers name one as `model:adapter`.
    pub adapters: Vec<String>,
}
