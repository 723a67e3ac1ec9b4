//! Settings of a node on a platform's store.

use crate::settings::finding::Finding;
use crate::settings::section::{Section, stray_keys, unknown_sections};
use crate::settings::text::Text;
use crate::settings::value::{self, addr, addrs, level, name, nonzero_time, peer_key, time};
use crate::settings::{self, Result, Source};
use memory::shares::{DEFAULT_MEMORY_BYTES, Shares};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use steer::budget::Allowance;

const NODE: &str = "node";
const CALLERS: &str = "callers";
const ADDRESSES: &str = "addresses";
const READY: &str = "ready";
const PEERS: &str = "peers";
const STORE: &str = "store";
const METRICS: &str = "metrics";
const RETRIES: &str = "retries";
const LIMITS: &str = "limits";
const LOGGING: &str = "logging";
const SECTIONS: [&str; 10] = [
    NODE, CALLERS, ADDRESSES, READY, PEERS, STORE, METRICS, RETRIES, LIMITS, LOGGING,
];

/// Descriptors reserved for uses other than callers' connections: endpoints, peers and the store.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Minimum number of callers' connections, whatever the number of descriptors.
const MIN_CONNECTIONS: usize = 256;
/// Number of the listeners for addresses, readiness and metrics.
const AUXILIARY_LISTENERS: usize = 3;
/// Default time from the signal to end until the platform kills the process.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Default interval at which endpoints write their row.
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);
/// Default number of descriptors: the usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Checked settings of a node on a platform's store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the instance.
    pub region: String,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address at which callers query which nodes to use.
    pub addresses: Option<SocketAddr>,
    /// Listen address of the platform's readiness probe.
    pub ready: Option<SocketAddr>,
    /// Listen address of the metrics and the dump.
    pub metrics: Option<SocketAddr>,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Key that all nodes share to authenticate each other.
    pub key: wire::auth::Key,
    /// Addresses of nodes to contact first, which know the others.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval at which endpoints write their row.
    pub heartbeat: Duration,
    /// Retry budget of all nodes together.
    pub allowance: Allowance,
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Maximum number of connections of each listener for addresses, readiness and metrics.
    pub auxiliary_connections: usize,
    /// Memory of the machine in bytes, which the process must not exceed.
    pub memory_bytes: usize,
    /// Time from the signal to end until the platform kills the process.
    pub grace: Duration,
    /// Log level of lines about the process itself; decision lines don't depend on it.
    pub level: log::LevelFilter,
}

/// Returns whether the settings in `file` are those of a node on a platform's store.
pub fn is_hosted(file: &Path) -> bool {
    let content = std::fs::read_to_string(file).unwrap_or_default();
    content.lines().any(|line| line.trim() == "[store]")
}

/// Reads and checks the settings of a source.
///
/// # Errors
///
/// Returns all findings if the file can't be read or a setting is wrong.
pub fn load(source: &Source) -> Result<Settings> {
    check(&source.text()?)
}

/// Checks the settings in `content`. `name` is the name of their file in findings.
///
/// # Errors
///
/// Returns all findings if a setting is wrong.
pub fn read(name: &str, content: &str) -> Result<Settings> {
    check(&settings::text::Text::parse(name, content)?)
}

fn check(text: &Text) -> Result<Settings> {
    let mut findings = text.findings.clone();
    unknown_sections(text, &SECTIONS, &mut findings);
    stray_keys(text, &mut findings);
    let settings = settings(text, &mut findings);
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => {
            findings.sort();
            Err(findings)
        }
    }
}

fn settings(text: &Text, findings: &mut Vec<Finding>) -> Option<Settings> {
    let mut node = Section::new(text, NODE);
    let node_name = node.required("name", name, findings);
    let zone = node.required("zone", name, findings);
    let region = node.required("region", name, findings);
    let grace = node.value_or("grace", DEFAULT_GRACE, nonzero_time, findings);
    node.finish(findings);
    let callers = listen(text, CALLERS, findings);
    let addresses = listen(text, ADDRESSES, findings);
    let ready = listen(text, READY, findings);
    let metrics = listen(text, METRICS, findings);
    if callers.is_none() && !text.entries.iter().any(|e| e.section == CALLERS) {
        let section = Section::new(text, CALLERS);
        findings.push(section.finding_for("listen", "is missing"));
    }
    let mut peers = Section::new(text, PEERS);
    let listen = peers.required("listen", addr, findings);
    let key = peers.required("key", peer_key, findings);
    let seeds = peers.value_or("seeds", Vec::new(), addrs, findings);
    peers.finish(findings);
    let mut store = Section::new(text, STORE);
    let address = store.required("address", addr, findings);
    let heartbeat = store.value_or("heartbeat", DEFAULT_HEARTBEAT, nonzero_time, findings);
    store.finish(findings);
    let allowance = allowance(text, findings);
    let mut limits = Section::new(text, LIMITS);
    let descriptors = limits.value_or("descriptors", DEFAULT_DESCRIPTORS, value::count, findings);
    let memory_bytes = limits.value_or("memory", DEFAULT_MEMORY_BYTES, value::memory, findings);
    limits.finish(findings);
    let shares = Shares::of(memory_bytes);
    let mut logging = Section::new(text, LOGGING);
    let level = logging.value_or("level", log::LevelFilter::Info, level, findings);
    logging.finish(findings);
    Some(Settings {
        name: node_name?,
        zone: zone?,
        region: region?,
        callers: callers?,
        addresses,
        ready,
        metrics,
        peers: listen?,
        key: key?,
        seeds,
        store: address?,
        heartbeat,
        allowance,
        connections: max_connections(descriptors, &shares),
        auxiliary_connections: shares.auxiliary_connections,
        memory_bytes,
        grace,
        level,
    })
}

fn listen(text: &Text, name: &'static str, findings: &mut Vec<Finding>) -> Option<SocketAddr> {
    let mut section = Section::new(text, name);
    let listen = section.optional("listen", addr, findings);
    section.finish(findings);
    listen
}

/// Returns the number of callers' connections for which descriptors and memory suffice.
fn max_connections(descriptors: usize, shares: &Shares) -> usize {
    let by_memory = shares.connections - AUXILIARY_LISTENERS * shares.auxiliary_connections;
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    by_descriptors.max(MIN_CONNECTIONS).min(by_memory)
}

fn allowance(text: &Text, findings: &mut Vec<Finding>) -> Allowance {
    let default = Allowance {
        ratio: 0.1,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let mut retries = Section::new(text, RETRIES);
    let allowance = Allowance {
        ratio: retries.value_or("ratio", default.ratio, value::non_negative, findings),
        slack: retries.value_or("slack", default.slack, value::non_negative, findings),
        window: retries.value_or("window", default.window, time, findings),
    };
    retries.finish(findings);
    allowance
}
