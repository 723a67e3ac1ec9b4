//! What happens to control.

use super::rolls::OrderResult;
use engine::load::Report;
use entry::core::WorkerEvent;
use platform::instance::Instance;
use platform::{Offset, Page};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use wire::peer::Inbound;

/// Inputs that may wait; a full queue slows down whoever adds one.
pub const INPUT_CAPACITY: usize = 1024;

/// Where inputs go.
pub type Inputs = mpsc::Sender<Input>;

/// An input.
#[derive(Debug)]
pub enum Input {
    /// A page of the stream of bundles; the answer is the offset to read next.
    Page(Page, oneshot::Sender<Offset>),
    /// The stream of bundles could not be read.
    LogReadFailed(platform::Error),
    /// The instance list was read.
    Instances(Vec<Instance>),
    /// Something came from a peer.
    Peer(Inbound),
    /// Records of a peer that has a newer bundle in force; none if it could not give them.
    Records(Option<Vec<u8>>),
    /// A worker observed something.
    WorkerEvent(usize, WorkerEvent),
    /// Something happened to the claims' streams.
    Claim(lease::claim::Event),
    /// Something happened to the leases' stream.
    Lease(lease::hold::Event),
    /// An order to an endpoint ended.
    OrderEnded(OrderResult),
    /// What the weight store allows.
    Rate(platform::weights::Rate),
    /// An endpoint reported its load and what it holds; none if it did not answer.
    LoadReport(Arc<str>, Option<Report>),
}
