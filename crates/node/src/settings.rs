//! Settings of a node, read from an INI file.
//!
//! [`text::Text`] parses a file and records the line of each key. [`check`] converts the text into
//! [`Settings`] and collects every finding, so that one run reports all errors of a file.

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
use std::path::PathBuf;
use std::time::Duration;

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, Vec<Finding>>;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity and timing of the node.
    pub node: Node,
    /// The callers' listener.
    pub callers: Listener,
    /// The listener for other nodes.
    pub peers: Peers,
    /// The admin listener.
    pub admin: Listener,
    /// The platform's services.
    pub platform: Platform,
    /// Signers whose bundles are accepted.
    pub trust: Vec<Signer>,
    /// Default and maximum values of request parameters.
    pub request_limits: RequestLimits,
    /// Settings of the routers.
    pub route: route::settings::Settings,
    /// Settings of rolls, the rolling updates of endpoints to a new bundle.
    pub roll: lease::roll::Settings,
    /// Log output.
    pub logging: Logging,
}

/// Identity and timing of the node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name, the same as that of the node's instance in the instance list.
    pub name: String,
    /// Availability zone, as named in the bundle.
    pub zone: String,
    /// Region, as named in the bundle.
    pub region: String,
    /// Number of request workers.
    pub workers: usize,
    /// Time for which the node still accepts new connections after it began to leave.
    pub drain_time: Duration,
    /// Maximum time after the drain time to finish the requests in flight, which are then aborted.
    pub finish_timeout: Duration,
    /// Time for which callers may cache the addresses that the node returned.
    pub address_ttl: Duration,
}

/// A listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address at which others reach the listener.
    pub advertise: SocketAddr,
    /// Limits of connections and requests.
    pub limits: Limits,
    /// Certificate and key files; `None` disables TLS.
    pub tls: Option<Files>,
}

/// The listener for other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address at which other nodes reach the listener; the bound address if `None`.
    pub advertise: Option<SocketAddr>,
    /// Secret key that all nodes share.
    pub key: wire::auth::Key,
    /// Addresses of nodes to contact while the instance list is unavailable.
    pub seeds: Vec<SocketAddr>,
}

/// Length of a signer's public key in bytes.
pub const SIGNER_KEY_BYTES: usize = 32;

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Address of the weight store, if there is one.
    pub weights: Option<SocketAddr>,
    /// Time for which the log retains a record.
    pub retention: Duration,
    /// Limits of calls to these services.
    pub limits: platform::Limits,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log output.
#[derive(Clone, Debug)]
pub struct Logging {
    /// Lowest level that is logged.
    pub level: log::LevelFilter,
    /// Format of the lines.
    pub format: Format,
    /// Log file; standard error if `None`.
    pub file: Option<PathBuf>,
}

/// Reads and checks the settings of a source.
///
/// # Errors
///
/// Returns all findings if the file can't be read or a setting is invalid.
pub fn load(source: &Source) -> Result<Settings> {
    check::check(&source.text()?)
}

/// Where the settings of a process come from.
#[derive(Clone, Debug)]
pub struct Source {
    /// The settings file.
    pub file: PathBuf,
    /// Memory of the machine, if the command line gives it; overrides that of the file.
    pub memory: Option<String>,
}

impl Source {
    /// Reads and parses the file.
    ///
    /// # Errors
    ///
    /// Returns all findings if the file can't be read or parsed.
    pub fn text(&self) -> Result<text::Text> {
        let name = self.file.display().to_string();
        let content = std::fs::read_to_string(&self.file)
            .map_err(|e| vec![Finding::of_file(&name, format!("can't be read: {e}"))])?;
        let mut text = text::Text::parse(&name, &content)?;
        if let Some(memory) = &self.memory {
            text.set(check::LIMITS, check::MEMORY, memory);
        }
        Ok(text)
    }
}

/// Checks the settings in `content`. `name` is the name of their file in findings.
///
/// # Errors
///
/// Returns all findings if a setting is invalid.
pub fn read(name: &str, content: &str) -> Result<Settings> {
    let text = text::Text::parse(name, content)?;
    check::check(&text)
}
