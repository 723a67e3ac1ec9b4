//! Instances in the instance list.

use std::fmt;
use std::net::SocketAddr;

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The instance runs, according to the list.
    Live,
    /// The instance is about to shut down.
    Leaving,
}

/// An instance in the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance, unique in the list.
    pub name: String,
    /// State of the instance.
    pub state: State,
    /// Name of the availability zone of the instance.
    pub zone: String,
    /// Address on which the instance listens, if the list has one.
    pub addr: Option<SocketAddr>,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        })
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.name, self.state, self.zone)?;
        match self.addr {
            Some(addr) => write!(f, " {addr}"),
            None => Ok(()),
        }
    }
}
