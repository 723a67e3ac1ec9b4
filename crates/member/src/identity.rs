//! Identity of a node and of its process run.

use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an instance's name. All tables of this crate use it as key.
pub type Id = u64;
/// Number of one process run of an instance, in milliseconds since the Unix epoch at its start. A
/// restart has a higher number.
pub type Incarnation = u64;

/// Returns the id of the instance named `name`.
pub fn id(name: &str) -> Id {
    xxh3_64(name.as_bytes())
}

/// Name, address, location and run of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name in the instance list.
    pub name: String,
    /// Address that peers connect to.
    pub addr: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// Number of this run.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Returns the id of the node's name.
    pub fn id(&self) -> Id {
        id(&self.name)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            addr,
            zone,
            region,
            incarnation,
        } = self;
        write!(f, "{name} {addr} {region}/{zone} run {incarnation}")
    }
}
