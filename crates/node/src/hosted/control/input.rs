//! What tasks tell control.

use super::copy::Request;
use adapter::report::Report;
use adapter::store::Table;
use catalog::endpoint::Run;
use catalog::source::Page;
use place::order::{Order, Outcome};
use std::net::SocketAddr;
use steer::transition::Transition;
use tokio::sync::mpsc;
use wire::peer::Inbound;

/// Inputs that may wait.
pub const INPUT_QUEUE_LEN: usize = 1024;

/// Where tasks put inputs.
pub type InputSender = mpsc::Sender<Input>;

/// What came of an order.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The endpoint's report just before; nothing if it did not answer.
    pub report: Option<Report>,
    /// What came of it.
    pub outcome: Outcome,
}

/// An input.
#[derive(Debug)]
pub enum Input {
    /// The store was read.
    Page(Table, Page),
    /// The store could not be read.
    ReadFailed(Table, String),
    /// A peer answered an ask.
    Response(Request, SocketAddr, Vec<u8>),
    /// A peer did not answer an ask, and why.
    RequestFailed(Request, SocketAddr, String),
    /// An engine was asked for its report; nothing if it did not answer.
    Report(Run, Option<Report>),
    /// The worker found something out about an endpoint.
    Transition(Transition),
    /// A message of a peer.
    Peer(Inbound),
    /// An order was given, or found not to fit.
    OrderEnded(Order, Attempt),
}
