//! Converts the text of a settings file into [`Settings`] and collects every finding.

use super::finding::Finding;
use super::section::{Section, stray_keys, unknown_sections};
use super::text::Text;
use super::value::{self, addr, addrs, key, level, name, nonzero_time, peer_key, time, up_to};
use super::{Format, Listener, Logging, Node, Peers, Platform, Result, Settings};
use bundle::signer::Signer;
use entry::limits::{Limits, RequestLimits};
use entry::tls::Files;
use memory::budget::Budget;
use memory::shares::{self, DEFAULT_MEMORY_BYTES, Shares};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const NODE: &str = "node";
const CALLERS: &str = "callers";
const PEERS: &str = "peers";
const ADMIN: &str = "admin";
const PLATFORM: &str = "platform";
const TRUST: &str = "trust";
pub(super) const LIMITS: &str = "limits";
/// Key of the memory of the machine.
pub(super) const MEMORY: &str = "memory";
const ROLL: &str = "roll";
const LOGGING: &str = "logging";
const SECTIONS: [&str; 9] = [
    NODE, CALLERS, PEERS, ADMIN, PLATFORM, TRUST, LIMITS, ROLL, LOGGING,
];

/// Maximum of the setting for the number of failures that a roll tolerates.
const MAX_ROLL_FAILURES: usize = 1000;
/// Default number of request workers.
const DEFAULT_WORKERS: usize = 2;
/// Maximum number of request workers; more than any instance has cores.
const MAX_WORKERS: usize = 256;
/// Maximum number of connections of a worker; more than a process has file descriptors.
const MAX_CONNECTIONS: usize = 1 << 20;
/// Maximum number of concurrent streams of a connection.
const MAX_STREAMS: usize = 1 << 16;
/// Maximum size of the head of a request. Heads and bodies are held in memory for every connected
/// caller.
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Maximum size of the body of a request, which is held in memory like the head.
const MAX_BODY_BYTES: usize = 1 << 30;
/// Default time for which the log retains a record.
const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Default time for which a leaving node still accepts new connections.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(10);
/// Default maximum time to finish the requests in flight after the drain time.
const DEFAULT_FINISH_TIMEOUT: Duration = Duration::from_secs(600);
/// Default time for which callers may cache addresses.
const DEFAULT_ADDRESS_TTL: Duration = Duration::from_secs(5);

/// Checks all sections of `text`.
///
/// # Errors
///
/// Returns all findings, sorted by place, if a setting is invalid.
pub fn check(text: &Text) -> Result<Settings> {
    let mut findings = text.findings.clone();
    unknown_sections(text, &SECTIONS, &mut findings);
    stray_keys(text, &mut findings);
    let node = node(text, &mut findings);
    let (request_limits, shares) = limits(text, &mut findings);
    let memory = shares.budget();
    let callers = listener(text, CALLERS, &memory, &mut findings);
    let peers = peers(text, &mut findings);
    let admin = listener(text, ADMIN, &memory, &mut findings);
    let platform = platform(text, &mut findings);
    let trust = trust(text, &mut findings);
    let roll = roll(text, &mut findings);
    let logging = logging(text, &mut findings);
    check_distinct_addresses(text, [&callers, &admin], &peers, &mut findings);
    if !findings.is_empty() {
        findings.sort();
        return Err(findings);
    }
    let parts = (node, callers, peers, admin, platform);
    let (Some(node), Some(mut callers), Some(peers), Some(admin), Some(platform)) = parts else {
        return Err(vec![Finding::of_file(
            &text.file,
            "settings are incomplete",
        )]);
    };
    callers.limits.max_connections = callers
        .limits
        .max_connections
        .min((shares.connections / node.workers).max(1));
    Ok(Settings {
        node,
        callers,
        peers,
        admin,
        platform,
        trust,
        request_limits,
        route: route::settings::Settings::default(),
        roll,
        logging,
    })
}

fn node(text: &Text, findings: &mut Vec<Finding>) -> Option<Node> {
    let mut section = Section::new(text, NODE);
    let own_name = section.required("name", name, findings);
    let zone = section.required("zone", name, findings);
    let region = section.required("region", name, findings);
    let workers = section.value_or("workers", DEFAULT_WORKERS, up_to(MAX_WORKERS), findings);
    let drain_time = section.value_or("drain", DEFAULT_DRAIN_TIME, time, findings);
    let finish_timeout = section.value_or("finish", DEFAULT_FINISH_TIMEOUT, time, findings);
    let address_ttl = section.value_or("address_ttl", DEFAULT_ADDRESS_TTL, time, findings);
    // Callers may use a cached address until it expires. A node that closes its listener earlier
    // would refuse connections to an address that was still valid.
    if drain_time < address_ttl {
        findings.push(section.finding_for("drain", "shorter than address_ttl"));
    }
    section.finish(findings);
    Some(Node {
        name: own_name?,
        zone: zone?,
        region: region?,
        workers,
        drain_time,
        finish_timeout,
        address_ttl,
    })
}

fn listener(
    text: &Text,
    name: &'static str,
    memory: &Budget,
    findings: &mut Vec<Finding>,
) -> Option<Listener> {
    let mut section = Section::new(text, name);
    let defaults = Limits::default();
    let listen = section.required("listen", addr, findings);
    let advertise = section.optional("advertise", addr, findings);
    let limits = Limits {
        max_connections: section.value_or(
            "connections",
            defaults.max_connections,
            up_to(MAX_CONNECTIONS),
            findings,
        ),
        max_streams: section.value_or("streams", defaults.max_streams, streams, findings),
        max_head_bytes: section.value_or(
            "head_bytes",
            defaults.max_head_bytes,
            up_to(MAX_HEAD_BYTES),
            findings,
        ),
        max_body_bytes: section.value_or(
            "body_bytes",
            defaults.max_body_bytes,
            up_to(MAX_BODY_BYTES),
            findings,
        ),
        head_timeout: section.value_or("head_time", defaults.head_timeout, nonzero_time, findings),
        body_timeout: section.value_or("body_time", defaults.body_timeout, nonzero_time, findings),
        idle_timeout: section.value_or("idle_time", defaults.idle_timeout, nonzero_time, findings),
        memory: memory.clone(),
    };
    if limits.max_body_bytes > shares::max_body_bytes(memory) {
        let message = "more than the memory of the machine allows, which [limits] memory gives";
        findings.push(section.finding_for("body_bytes", message));
    }
    check_advertised(&section, listen, advertise, findings);
    let tls = tls(&mut section, findings);
    section.finish(findings);
    let listen = listen?;
    Some(Listener {
        listen,
        advertise: advertise.unwrap_or(listen),
        limits,
        tls,
    })
}

/// Checks that the address given to others is one that they can connect to. If `listen` is the
/// unspecified address, which binds all interfaces, `advertise` is required.
fn check_advertised(
    section: &Section<'_>,
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    findings: &mut Vec<Finding>,
) {
    match (listen, advertise) {
        (_, Some(addr)) if addr.ip().is_unspecified() || addr.port() == 0 => {
            findings.push(section.finding_for("advertise", "others can't connect to this address"));
        }
        (Some(addr), None) if addr.ip().is_unspecified() => {
            let message = "is missing, and others can't connect to the address of listen";
            findings.push(section.finding_for("advertise", message));
        }
        _ => {}
    }
}

/// Reads the paths of the certificate and key, which must be set together and load as a pair.
fn tls(section: &mut Section<'_>, findings: &mut Vec<Finding>) -> Option<Files> {
    let certificate = section.optional("certificate", path, findings);
    let key = section.optional("key", path, findings);
    match (certificate, key) {
        (Some(certificate), Some(key)) => {
            let files = Files { certificate, key };
            if let Err(error) = files.load() {
                findings.push(section.finding_for("certificate", error.to_string()));
            }
            Some(files)
        }
        (None, None) => None,
        (Some(_), None) => {
            findings.push(section.finding_for("key", "is required together with certificate"));
            None
        }
        (None, Some(_)) => {
            findings.push(section.finding_for("certificate", "is required together with key"));
            None
        }
    }
}

fn peers(text: &Text, findings: &mut Vec<Finding>) -> Option<Peers> {
    let mut section = Section::new(text, PEERS);
    let listen = section.required("listen", addr, findings);
    let advertise = section.optional("advertise", addr, findings);
    let shared = section.required("key", peer_key, findings);
    let seeds = section.value_or("seeds", Vec::new(), addrs, findings);
    check_advertised(&section, listen, advertise, findings);
    section.finish(findings);
    let listen = listen?;
    Some(Peers {
        listen,
        advertise,
        key: shared?,
        seeds,
    })
}

fn platform(text: &Text, findings: &mut Vec<Finding>) -> Option<Platform> {
    let mut section = Section::new(text, PLATFORM);
    let defaults = platform::Limits::default();
    let log = section.required("log", addr, findings);
    let list = section.required("list", addr, findings);
    let weights = section.optional("weights", addr, findings);
    let retention = section.value_or("retention", DEFAULT_RETENTION, nonzero_time, findings);
    let limits = platform::Limits {
        connect_timeout: section.value_or(
            "connect_time",
            defaults.connect_timeout,
            nonzero_time,
            findings,
        ),
        call_timeout: section.value_or("call_time", defaults.call_timeout, nonzero_time, findings),
        ..defaults
    };
    section.finish(findings);
    Some(Platform {
        log: log?,
        list: list?,
        weights,
        retention,
        limits,
    })
}

/// Reads the trusted signers. The keys of this section are signers' names, so no key is unknown.
fn trust(text: &Text, findings: &mut Vec<Finding>) -> Vec<Signer> {
    let section = Section::new(text, TRUST);
    let mut signers = Vec::new();
    for entry in section.entries() {
        match key(&entry.value) {
            Ok(key) => signers.push(Signer {
                name: entry.key.clone(),
                key,
                revoked: false,
            }),
            Err(message) => findings.push(section.finding_for(&entry.key, message)),
        }
    }
    if section.entries().next().is_none() {
        findings.push(
            section.finding_for("", "no signer is trusted, so no bundle can come into force"),
        );
    }
    signers
}

fn limits(text: &Text, findings: &mut Vec<Finding>) -> (RequestLimits, Shares) {
    let mut section = Section::new(text, LIMITS);
    let defaults = RequestLimits::default();
    let limits = RequestLimits {
        default_deadline: section.value_or(
            "usual_deadline",
            defaults.default_deadline,
            nonzero_time,
            findings,
        ),
        max_deadline: section.value_or(
            "longest_deadline",
            defaults.max_deadline,
            nonzero_time,
            findings,
        ),
        default_max_tokens: section.value_or(
            "usual_tokens",
            defaults.default_max_tokens,
            tokens,
            findings,
        ),
    };
    if limits.default_deadline > limits.max_deadline {
        findings.push(section.finding_for("usual_deadline", "longer than longest_deadline"));
    }
    let memory = section.value_or(MEMORY, DEFAULT_MEMORY_BYTES, value::memory, findings);
    section.finish(findings);
    (limits, Shares::of(memory))
}

fn roll(text: &Text, findings: &mut Vec<Finding>) -> lease::roll::Settings {
    let mut section = Section::new(text, ROLL);
    let defaults = lease::roll::Settings::default();
    let roll = lease::roll::Settings {
        load_timeout: section.value_or("load_time", defaults.load_timeout, time, findings),
        soak: section.value_or("watch", defaults.soak, time, findings),
        drain: section.value_or("longest_request", defaults.drain, time, findings),
        max_failures: section.value_or(
            "failures",
            defaults.max_failures,
            up_to(MAX_ROLL_FAILURES),
            findings,
        ),
        ..defaults
    };
    section.finish(findings);
    roll
}

fn logging(text: &Text, findings: &mut Vec<Finding>) -> Logging {
    let mut section = Section::new(text, LOGGING);
    let logging = Logging {
        level: section.value_or("level", log::LevelFilter::Info, level, findings),
        format: section.value_or("format", Format::Text, format, findings),
        file: section.optional("file", path, findings),
    };
    section.finish(findings);
    logging
}

/// Checks that no two listeners have the same address. Port 0 never clashes, since the kernel
/// assigns a free port for it.
fn check_distinct_addresses(
    text: &Text,
    listeners: [&Option<Listener>; 2],
    peers: &Option<Peers>,
    findings: &mut Vec<Finding>,
) {
    let [callers, admin] = listeners;
    let callers = callers.as_ref().map(|l| l.listen);
    let admin = admin.as_ref().map(|l| l.listen);
    let peers = peers.as_ref().map(|p| p.listen);
    let is_same = |a: Option<_>, b: Option<std::net::SocketAddr>| {
        a.is_some() && a == b && b.is_some_and(|b| b.port() != 0)
    };
    let message = "the same address as another listener";
    if is_same(callers, admin) || is_same(peers, admin) {
        findings.push(Section::new(text, ADMIN).finding_for("listen", message));
    }
    if is_same(callers, peers) {
        findings.push(Section::new(text, PEERS).finding_for("listen", message));
    }
}

fn path(text: &str) -> value::Result<PathBuf> {
    if text.is_empty() {
        return Err("is empty".to_owned());
    }
    Ok(PathBuf::from(text))
}

fn streams(text: &str) -> value::Result<u32> {
    count_u32(text, MAX_STREAMS)
}

fn tokens(text: &str) -> value::Result<u32> {
    count_u32(text, u32::MAX as usize)
}

fn count_u32(text: &str, max: usize) -> value::Result<u32> {
    let number = up_to(max)(text)?;
    u32::try_from(number).map_err(|_| format!("{text:?} is too large"))
}

fn format(text: &str) -> value::Result<Format> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err(format!("{text:?} is neither text nor json")),
    }
}
