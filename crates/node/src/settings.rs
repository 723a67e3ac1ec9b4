//! Settings of a node, in INI.
//!
//! [`text::Text`] reads a file with the line of each key, [`check`] turns it into [`Settings`] and
//! collects every finding, so that one run tells all that is wrong.

pub mod check;
pub mod finding;
pub mod section;
pub mod text;
pub mod value;

use bundle::signer::Signer;
use entry::limits::{Limits, RequestLimits};
use entry::tls::Files;
use finding::Finding;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, Vec<Finding>>;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node itself.
    pub node: Node,
    /// The callers' listener.
    pub callers: Listener,
    /// The listener for other nodes.
    pub peers: Peers,
    /// The admin listener.
    pub admin: Listener,
    /// The platform's services.
    pub platform: Platform,
    /// Persons whose signature on a bundle counts.
    pub trust: Vec<Signer>,
    /// Bounds of what a caller may ask for.
    pub request_limits: RequestLimits,
    /// Settings of the routers.
    pub route: route::settings::Settings,
    /// Settings of the rolls.
    pub roll: lease::roll::Settings,
    /// Logs.
    pub logging: Logging,
}

/// The node itself.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name: that of its instance in the instance list.
    pub name: String,
    /// Its availability zone, as named in the bundle.
    pub zone: String,
    /// Its region, as named in the bundle.
    pub region: String,
    /// Request workers.
    pub workers: usize,
    /// How long it goes on serving new connections after it began to leave.
    pub drain_time: Duration,
    /// Longest time for requests in flight after that; then they are broken off.
    pub finish_timeout: Duration,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
}

/// A listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its address as others reach it.
    pub advertise: SocketAddr,
    /// Bounds.
    pub limits: Limits,
    /// Certificate and key, if it speaks TLS.
    pub tls: Option<Files>,
}

/// The listener for other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its address as other nodes reach it; the one listened on if none.
    pub advertise: Option<SocketAddr>,
    /// Key that all nodes share.
    pub key: wire::auth::Key,
    /// Nodes to ask first, for the time that the instance list is out.
    pub seeds: Vec<SocketAddr>,
}

/// Length of a signer's public key.
pub const SIGNER_KEY_BYTES: usize = 32;

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// Instance list.
    pub list: SocketAddr,
    /// Weight store.
    pub weights: Option<SocketAddr>,
    /// How long the log keeps a record.
    pub retention: Duration,
    /// Bounds of calls.
    pub limits: platform::Limits,
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text.
    Text,
    /// A JSON object a line.
    Json,
}

/// Logs.
#[derive(Clone, Debug)]
pub struct Logging {
    /// Least important level that is written.
    pub level: log::LevelFilter,
    /// Form of a line.
    pub format: Format,
    /// File; standard error if none.
    pub file: Option<PathBuf>,
}

/// Reads and checks the settings in `file`.
pub fn load(file: &Path) -> Result<Settings> {
    let name = file.display().to_string();
    let content = std::fs::read_to_string(file)
        .map_err(|e| vec![Finding::of_file(&name, format!("can't be read: {e}"))])?;
    read(&name, &content)
}

/// Checks the settings in `content`, which came from the file called `name`.
pub fn read(name: &str, content: &str) -> Result<Settings> {
    let text = text::Text::parse(name, content)?;
    check::check(&text)
}
