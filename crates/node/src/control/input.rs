//! Inputs of control: results of its tasks and events from workers and peers.

use super::rolls::OrderResult;
use engine::load::Report;
use entry::core::WorkerEvent;
use platform::instance::Instance;
use platform::{Offset, Page};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use wire::peer::Inbound;

/// Capacity of the queue of inputs. Senders wait while the queue is full.
pub const INPUT_CAPACITY: usize = 1024;

/// Sender of inputs to control.
pub type Inputs = mpsc::Sender<Input>;

/// An input of control.
#[derive(Debug)]
pub enum Input {
    /// A page of the bundle stream. The reply is the offset to read next.
    BundlePage(Page, oneshot::Sender<Offset>),
    /// Reading the bundle stream failed.
    LogReadFailed(platform::Error),
    /// The current instances of the instance list.
    Instances(Vec<Instance>),
    /// A message from a peer.
    Peer(Inbound),
    /// Records from a peer with a newer bundle; `None` if the peer could not send them.
    Records(Option<Vec<u8>>),
    /// An event from the worker with this index.
    WorkerEvent(usize, WorkerEvent),
    /// A read of or append to the streams of claims has ended.
    Claim(lease::claim::Event),
    /// A read of or append to the stream of leases has ended.
    Lease(lease::group_lease::Event),
    /// An order to an endpoint has ended.
    OrderEnded(OrderResult),
    /// The rate of loads that the weight store allows.
    Rate(platform::weights::Rate),
    /// Name and report of a polled endpoint: its load and the models that it holds. `None` if it
    /// did not answer.
    LoadReport(Arc<str>, Option<Report>),
}
