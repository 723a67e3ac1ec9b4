//! Transitions of endpoints that a worker reports to the control task.

use catalog::endpoint::Run;
use std::net::SocketAddr;

/// Transition of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The endpoint failed several times in a row, or a head reported that its chain waits for it.
    Down(Run),
    /// The endpoint succeeded again.
    Up(Run),
    /// The endpoint announced that it leaves.
    Leaving {
        /// Run of the endpoint.
        run: Run,
        /// Address that the endpoint listens on.
        addr: SocketAddr,
    },
}
