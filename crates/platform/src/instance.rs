//! Instances as the instance list gives them.

use std::fmt;
use std::net::SocketAddr;

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It is there, as far as the list knows.
    Live,
    /// It leaves.
    Leaving,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name, unique in the list.
    pub name: String,
    /// Whether it stays.
    pub state: State,
    /// Name of its availability zone.
    pub zone: String,
    /// Where it listens, if the list knows.
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
