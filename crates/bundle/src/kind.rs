//! Accelerator kinds.

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name, unique in the bundle.
    pub name: String,
    /// Maximum number of layers that the hardware computes per second for one token.
    pub layers_per_second: f64,
}
