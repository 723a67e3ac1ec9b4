//! What tasks tell control.

use adapter::report::Report;
use adapter::store::Table;
use catalog::endpoint::Run;
use catalog::source::Page;
use place::order::{Given, Order};
use tokio::sync::mpsc;
use wire::peer::Inbound;

/// Inputs that may wait.
pub const INPUTS: usize = 1024;

/// Where tasks put inputs.
pub type Inputs = mpsc::Sender<Input>;

/// An input.
#[derive(Debug)]
pub enum Input {
    /// The store was read.
    Page(Table, Page),
    /// The store could not be read.
    Unread(Table, String),
    /// A peer gave changes of its copy.
    Copy(Table, Page),
    /// A message of a peer.
    Peer(Inbound),
    /// An endpoint was asked for its report.
    Report(Run, Option<Report>),
    /// An order was given.
    Ordered(Order, Given),
}
