//! Health transitions of endpoints that a worker reports to the other nodes.

use catalog::endpoint::Run;

/// Health transition of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The endpoint failed several times in a row, or a head reported that its chain waits for it.
    Down(Run),
    /// The endpoint succeeded again.
    Up(Run),
}
