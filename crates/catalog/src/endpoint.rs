//! Registered endpoints, their runs, and the layers that they hold.

use crate::Layer;
use crate::bounds::{MAX_LAYERS, OutOfBounds};
use std::fmt;
use std::net::SocketAddr;

/// Unix time in milliseconds.
pub type UnixMillis = u64;

/// Identity of one run of an endpoint. An endpoint may restart under the same name and address and
/// then holds none of its earlier state, so its name alone doesn't identify the run that a piece of
/// information is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Name of the endpoint.
    pub id: String,
    /// Start time of the run; 0 if the endpoint doesn't report it.
    pub started_at: UnixMillis,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at)
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// About to shut down; accepts no new requests.
    Draining,
}

/// Half-open range of layers, from `from` up to but not including `to`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// First layer.
    pub from: Layer,
    /// One past the last layer.
    pub to: Layer,
}

impl Span {
    /// Returns the number of layers.
    pub fn len(self) -> Layer {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range is empty.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Returns whether `layer` is in the range.
    pub fn contains(self, layer: Layer) -> bool {
        self.from <= layer && layer < self.to
    }
}

impl TryFrom<(Layer, Layer)> for Span {
    type Error = OutOfBounds;

    /// Creates the range from a first layer and one past the last, which come in this order and are at
    /// most [`MAX_LAYERS`].
    fn try_from((from, to): (Layer, Layer)) -> Result<Self, OutOfBounds> {
        match from <= to && to <= MAX_LAYERS {
            true => Ok(Self { from, to }),
            false => Err(OutOfBounds::new(format!(
                "layers {from}-{to} are no range up to {MAX_LAYERS}"
            ))),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// An endpoint, as registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name and run.
    pub run: Run,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Kind of its accelerator; `None` if it runs no model.
    pub accelerator: Option<String>,
    /// Layers that it holds; empty if it runs no model.
    pub span: Span,
}
