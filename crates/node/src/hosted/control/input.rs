//! Inputs of the control state, sent by its tasks.

use super::copy::Request;
use super::polls::Found;
use super::uploads;
use adapter::report::Report;
use adapter::store::Table;
use catalog::endpoint::Run;
use catalog::source::Page;
use place::order::{Order, Outcome};
use std::net::SocketAddr;
use steer::transition::Transition;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::peer::Inbound;

/// Capacity of the input queue.
pub const INPUT_QUEUE_LEN: usize = 1024;

/// Sending half of the input queue.
pub type InputSender = mpsc::Sender<Input>;

/// One attempt to give an order to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The endpoint's status report from just before the order; `None` if it did not answer.
    pub report: Option<Report>,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// An input of the control state.
#[derive(Debug)]
pub enum Input {
    /// A read of the store succeeded.
    Read(Table, Page),
    /// A read of the store failed, with the time at which it began and the error.
    ReadFailed(Table, Instant, String),
    /// A peer answered a request, with the encoded response.
    Response(Request, SocketAddr, Vec<u8>),
    /// A request to a peer failed, with the error.
    RequestFailed(Request, SocketAddr, String),
    /// A response to a peer was confirmed or given up.
    Delivered(uploads::Id),
    /// An engine was polled for its status report; `None` if it did not answer.
    Report(Run, Option<Report>),
    /// A poll found something out about a watched engine.
    Engine(Found),
    /// The worker ejected an endpoint, or uses it again.
    Transition(Transition),
    /// A message from a peer.
    Peer(Inbound),
    /// An attempt to give an order has ended.
    OrderEnded(Order, Attempt),
}
