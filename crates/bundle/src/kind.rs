//! Accelerator kinds.

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name, unique in the bundle.
    pub name: String,
    /// Layers computed per second for one token, the hardware's bound.
    pub layers_per_second: f64,
}
