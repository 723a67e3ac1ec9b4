//! Transitions of endpoints and contents that a worker reports to the control task.

use crate::crash::{Finding, Fingerprint};
use catalog::endpoint::Run;
use std::net::SocketAddr;

/// Transition of an endpoint or a content.
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
    /// The node no longer reaches any endpoint of a service, or reaches one again.
    Isolation {
        /// Name of the service.
        service: String,
        /// Whether the node is isolated from it.
        isolated: bool,
    },
    /// Something was found out about the content of requests.
    Content(Fingerprint, Finding),
}
