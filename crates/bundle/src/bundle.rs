//! The checked bundle and its tables.

use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, ModelId, Number, PriorityId, ServiceId, TeamId, ZoneId};
use crate::kind::Kind;
use crate::link::Link;
use crate::model::Model;
use crate::priority::Priority;
use crate::sections::Sections;
use crate::service::Service;
use crate::signer::Signer;
use crate::team::Team;
use crate::zone::Zone;

/// A checked bundle: dense tables, each keyed by its id type.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bundle {
    /// Number of the version.
    pub number: Number,
    /// Digest of the sections, see [`Sections::digest`].
    pub digest: Digest,
    /// Digest of the parent version's sections; all zero for the first version.
    pub parent: Digest,
    /// Name of the person who signed it.
    pub signer: String,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Accelerator kinds.
    pub kinds: Vec<Kind>,
    /// Models.
    pub models: Vec<Model>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Priorities, most urgent first.
    pub priorities: Vec<Priority>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Links.
    pub links: Vec<Link>,
    /// Signers.
    pub signers: Vec<Signer>,
    /// Sections that the tables were built from; unchanged ones are shared with the parent bundle.
    pub sections: Sections,
}

impl Bundle {
    /// Returns the id of the availability zone named `name`.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        position(&self.zones, |z| z.name == name)
    }

    /// Returns the id of the model named `name`.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        position(&self.models, |m| m.name == name)
    }

    /// Returns the id of the endpoint named `name`.
    pub fn endpoint(&self, name: &str) -> Option<EndpointId> {
        position(&self.endpoints, |e| e.name == name)
    }

    /// Returns the id of the plain service named `name`.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        position(&self.services, |s| s.name == name)
    }

    /// Returns the id of the priority named `name`.
    pub fn priority(&self, name: &str) -> Option<PriorityId> {
        position(&self.priorities, |p| p.name == name)
    }

    /// Returns the id of the team named `name`.
    pub fn team(&self, name: &str) -> Option<TeamId> {
        position(&self.teams, |t| t.name == name)
    }

    /// Returns the id of the team that has a bearer key with digest `key`.
    pub fn team_by_key(&self, key: &Digest) -> Option<TeamId> {
        position(&self.teams, |t| t.keys.contains(key))
    }
}

/// Returns the id of the first row that `test` accepts. The verifier refuses tables with more rows
/// than their id type can represent.
fn position<T, I: TryFrom<usize>>(rows: &[T], test: impl Fn(&T) -> bool) -> Option<I> {
    rows.iter().position(test).and_then(|i| I::try_from(i).ok())
}

/// Writes the canonical text after comment lines with the number, signer and digests of the
/// version.
impl std::fmt::Display for Bundle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "# version {} signed by {}", self.number, self.signer)?;
        writeln!(f, "# digest {}", self.digest)?;
        writeln!(f, "# parent {}", self.parent)?;
        write!(f, "{}", self.sections)
    }
}
