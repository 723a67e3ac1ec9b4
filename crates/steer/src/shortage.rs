//! Reasons why a request finds no target.

use crate::Timestamp;

/// Reason why no endpoint can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No endpoint of the service is known or available.
    Endpoints,
    /// The available endpoints do not hold all layers.
    Layers,
    /// Available endpoints exist, but they are full.
    Capacity,
    /// The request is larger than the memory of any chain.
    Size,
    /// The endpoints that could take the request rest; enough of them are available from `until`.
    Rest {
        /// Time from which the request can be taken.
        until: Timestamp,
    },
}

impl Shortage {
    /// Returns the label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoints => "no endpoint",
            Self::Layers => "layers missing",
            Self::Capacity => "no room",
            Self::Size => "too large",
            Self::Rest { .. } => "endpoints at rest",
        }
    }
}
