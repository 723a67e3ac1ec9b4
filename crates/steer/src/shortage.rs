//! Why there is no target for a request.

/// Why no endpoint can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No endpoint of the service is known or in use.
    Endpoints,
    /// No chain of endpoints in use holds all layers.
    Layers,
    /// Endpoints are there, but they are full.
    Capacity,
    /// The request is larger than any chain has memory for.
    Size,
}

impl Shortage {
    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoints => "no endpoint",
            Self::Layers => "layers missing",
            Self::Capacity => "no room",
            Self::Size => "too large",
        }
    }
}
