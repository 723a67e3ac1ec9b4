//! What a worker finds out about endpoints that the other nodes should know.

use catalog::endpoint::Run;

/// A finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It has failed again after it was left out for a while.
    Down(Run),
    /// It does well again.
    Up(Run),
}
