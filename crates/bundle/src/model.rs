//! Models.

use crate::id::Layer;

/// A model that requests can name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name, unique in the bundle.
    pub name: String,
    /// Version of its weights.
    pub version: String,
    /// Number of layers; every token passes through each of `0..layers` once, in order.
    pub layers: Layer,
    /// Maximum total length of prompt and answer, in tokens.
    pub context: u32,
    /// Names of its adapters; requests name one as `model:adapter`.
    pub adapters: Vec<String>,
}
