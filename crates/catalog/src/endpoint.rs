//! Endpoints as they register themselves.

use crate::Layer;
use std::fmt;
use std::net::SocketAddr;

/// Milliseconds of Unix time at which a run of an endpoint began.
pub type UnixMillis = u64;

/// One run of an endpoint. An endpoint may start again under its old name and at its old address,
/// and then holds nothing of before; so its name alone does not say which run a belief is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Its name.
    pub id: String,
    /// When this run began; 0 if it does not say so.
    pub started_at: UnixMillis,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at)
    }
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Layers from `from` up to, but without, `to`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// First layer.
    pub from: Layer,
    /// One past the last layer.
    pub to: Layer,
}

impl Span {
    /// Number of layers.
    pub fn len(self) -> Layer {
        self.to.saturating_sub(self.from)
    }

    /// Whether it holds no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Whether `layer` is one of them.
    pub fn contains(self, layer: Layer) -> bool {
        self.from <= layer && layer < self.to
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// What an endpoint tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name and run.
    pub run: Run,
    /// Name of its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Kind of its accelerator, if it runs a model.
    pub accelerator: Option<String>,
    /// Layers that it holds.
    pub span: Span,
}
