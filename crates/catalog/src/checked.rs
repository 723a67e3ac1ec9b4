//! Validation of raw tables, and the checked catalog with its lookups.

use crate::bounds::{Amount, Factor, MAX_HEAD_BYTES, MAX_LAYERS, MAX_TIME, Name};
use crate::engine::Engine;
use crate::finding::Finding;
use crate::limits::Limits;
use crate::quote::start_of;
use crate::raw::{self, Tables};
use crate::route::{Route, Share};
use crate::service::Service;
use crate::team::Team;
use crate::{Result, RouteId, ServiceId, TeamId, Version};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// A validated version of the operator's configuration.
///
/// Invariants: every path prefix begins and ends with a slash; the routes of a host are sorted by
/// descending prefix length, so the first one that matches a path has the longest prefix; every
/// share refers to a service of this catalog and has a non-zero weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version of the catalog.
    pub version: Version,
    /// Routes, indexed by [`RouteId`].
    pub routes: Vec<Route>,
    /// Services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// Teams, indexed by [`TeamId`].
    pub teams: Vec<Team>,
    /// Whether requests must carry a key, except on public routes.
    pub requires_key: bool,
    /// Limits on the connections and requests of callers.
    pub limits: Limits,
    lowest_priority: u8,
    hosts: HashMap<String, Vec<RouteId>>,
    keys: HashMap<String, TeamId>,
}

impl Catalog {
    /// Returns the route with the longest prefix of `path` on `host`, which may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let id = self.route_id(host, path)?;
        self.routes.get(id as usize)
    }

    /// Returns the id of the route with the longest prefix of `path` on `host`, which may include a
    /// port.
    pub fn route_id(&self, host: &str, path: &str) -> Option<RouteId> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rows = match self.hosts.get(name) {
            Some(rows) => rows,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let matches = |id: &RouteId| path.starts_with(&self.routes[*id as usize].prefix);
        rows.iter().copied().find(matches)
    }

    /// Returns the team that `key` belongs to.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.get(key).map(|&id| &self.teams[id as usize])
    }

    /// Returns the numerically largest priority of the routes and teams; 0 if there are none.
    pub fn lowest_priority(&self) -> u8 {
        self.lowest_priority
    }

    /// Returns the service with this id.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id as usize)
    }

    /// Returns the id of the service called `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        let index = self.services.iter().position(|s| s.name == name)?;
        u32::try_from(index).ok()
    }
}

impl TryFrom<Tables> for Catalog {
    type Error = Vec<Finding>;

    fn try_from(tables: Tables) -> Result<Self> {
        let mut findings = Vec::new();
        let services: HashMap<String, ServiceId> = (0..)
            .zip(&tables.services)
            .map(|(id, s)| (s.name.clone(), id))
            .collect();
        let routes: Vec<Route> = tables
            .routes
            .into_iter()
            .filter_map(|r| route(r, &services, &mut findings))
            .collect();
        let services = tables.services.iter();
        services.for_each(|s| check_service(s, &mut findings));
        check_limits(&tables.limits, &mut findings);
        let (teams, keys) = teams(tables.teams.as_deref().unwrap_or_default(), &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(Self {
            version: tables.version,
            lowest_priority: lowest_priority(&routes, &teams),
            hosts: hosts(&routes),
            routes,
            services: tables.services,
            teams,
            requires_key: tables.teams.is_some(),
            limits: tables.limits,
            keys,
        })
    }
}

fn route(
    raw: raw::Route,
    services: &HashMap<String, ServiceId>,
    findings: &mut Vec<Finding>,
) -> Option<Route> {
    let location = format!("route {}", raw.name);
    let findings_before = findings.len();
    let mut report = |message: String| findings.push(Finding::new(location.clone(), message));
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        report(format!(
            "path prefix {:?} must begin and end with a slash",
            raw.prefix
        ));
    }
    let mut split = Vec::new();
    for share in &raw.split {
        match services.get(&share.service) {
            None => report(format!("service {} is not in the catalog", share.service)),
            Some(_) if share.weight == 0 => {}
            Some(&service) => split.push(Share {
                service,
                weight: share.weight,
            }),
        }
    }
    if split.is_empty() {
        report("no service of the catalog has a share with a weight above 0".to_owned());
    }
    if raw.timeout.is_zero() {
        report("timeout must be above 0".to_owned());
    }
    let pause = raw.kind.stream().and_then(|s| s.pause);
    let times = [
        ("timeout", raw.timeout),
        ("latency target", raw.latency_target),
        ("longest pause", pause.unwrap_or_default()),
    ];
    times
        .iter()
        .filter_map(|(name, time)| excess(name, *time))
        .for_each(&mut report);
    (findings.len() == findings_before).then(|| Route {
        host: raw.host.to_ascii_lowercase(),
        name: raw.name,
        prefix: raw.prefix,
        kind: raw.kind,
        timeout: raw.timeout,
        latency_target: raw.latency_target,
        priority: raw.priority,
        split,
        max_attempts: raw.max_attempts.max(1),
        public: raw.public,
    })
}

/// Describes a time that is too long.
fn excess(name: &str, time: Duration) -> Option<String> {
    (time > MAX_TIME).then(|| format!("{name} must be at most {} s", MAX_TIME.as_secs()))
}

/// Reports limits on callers that are out of bounds.
fn check_limits(limits: &Limits, findings: &mut Vec<Finding>) {
    let mut report = |message| findings.push(Finding::new("limits", message));
    let times = [
        ("time for a header section", limits.head_time),
        ("idle time", limits.idle_time),
    ];
    times
        .iter()
        .filter_map(|(name, time)| excess(name, *time))
        .for_each(&mut report);
    if limits.head_bytes > MAX_HEAD_BYTES {
        report(format!(
            "header section must be at most {MAX_HEAD_BYTES} bytes"
        ));
    }
}

/// Reports a name of a service, or figures of its engine, that are out of bounds.
fn check_service(service: &Service, findings: &mut Vec<Finding>) {
    if let Err(error) = Name::try_from(service.name.clone()) {
        let start = start_of(&service.name, 20);
        findings.push(Finding::new(
            format!("service {start:?}"),
            error.to_string(),
        ));
    }
    if let Some(engine) = &service.engine {
        check_prefill(service, engine, findings);
        check_figures(service, engine, findings);
    }
}

/// Reports figures of an engine that are out of bounds. Those of its prefill are checked by
/// [`check_prefill`] as well.
fn check_figures(service: &Service, engine: &Engine, findings: &mut Vec<Finding>) {
    let location = format!("service {}", service.name);
    let mut report = |message: String| {
        findings.push(Finding::new(location.clone(), format!("engine: {message}")));
    };
    if engine.layers > MAX_LAYERS {
        report(format!("layers must be at most {MAX_LAYERS}"));
    }
    let delays = engine.delays.iter().map(|d| ("delay", d.delay));
    let times = [
        ("step time", engine.step_time),
        ("step time per request", engine.step_time_per_request),
        ("step time per context", engine.step_time_per_1k_context),
        ("load time", engine.load_time),
    ];
    let times = times.into_iter().chain(delays);
    times
        .filter_map(|(name, time)| excess(name, time))
        .for_each(&mut report);
    let amounts = [
        ("layer size", engine.layer_bytes),
        ("KV cache size", engine.kv_bytes_per_token),
        ("activation size", engine.activation_bytes),
        ("prefill rate", engine.prefill_rate),
        ("bandwidth", engine.inter_zone_bps),
    ];
    let kinds = &engine.accelerators;
    let memories = kinds.iter().map(|k| ("memory", k.memory_bytes));
    for (name, value) in amounts.into_iter().chain(memories) {
        if let Err(error) = Amount::try_from(value) {
            report(format!("{name}: {error}"));
        }
    }
    let factors = kinds.iter().flat_map(|k| {
        [
            ("step factor", k.step_factor),
            ("prefill factor", k.prefill_factor),
        ]
    });
    for (name, value) in factors {
        if let Err(error) = Factor::try_from(value) {
            report(format!("{name}: {error}"));
        }
    }
}

/// Reports invalid figures of the prefill of a service's engine.
fn check_prefill(service: &Service, engine: &Engine, findings: &mut Vec<Finding>) {
    let location = format!("service {}", service.name);
    if engine.prefill_chunk == Some(0) {
        findings.push(Finding::new(
            location.clone(),
            "engine: chunk must be at least 1 token",
        ));
    }
    let pairs = engine.prefill_ms_per_1m_pairs;
    if Amount::try_from(pairs).is_err() {
        findings.push(Finding::new(
            location,
            format!("engine: pairs_per_m must be at least 0, not {pairs}"),
        ));
    }
}

fn lowest_priority(routes: &[Route], teams: &[Team]) -> u8 {
    let teams = teams.iter().filter_map(|t| t.priority);
    let priorities = routes.iter().map(|r| r.priority).chain(teams);
    priorities.max().unwrap_or_default()
}

fn hosts(routes: &[Route]) -> HashMap<String, Vec<RouteId>> {
    let mut hosts: HashMap<String, Vec<RouteId>> = HashMap::new();
    for (id, route) in (0..).zip(routes) {
        hosts.entry(route.host.clone()).or_default().push(id);
    }
    for rows in hosts.values_mut() {
        rows.sort_by_key(|&id| std::cmp::Reverse(routes[id as usize].prefix.len()));
    }
    hosts
}

fn teams(raw: &[raw::Team], findings: &mut Vec<Finding>) -> (Vec<Team>, HashMap<String, TeamId>) {
    let mut keys = HashMap::new();
    let mut teams = Vec::new();
    for (id, team) in (0..).zip(raw) {
        for key in &team.keys {
            if keys
                .insert(key.clone(), id)
                .is_some_and(|other| other != id)
            {
                let location = format!("team {}", team.name);
                findings.push(Finding::new(
                    location,
                    "key is already assigned to another team",
                ));
            }
        }
        teams.push(Team {
            name: team.name.clone(),
            priority: team.priority,
        });
    }
    (teams, keys)
}

impl fmt::Display for Catalog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "catalog {}", self.version)?;
        for route in &self.routes {
            let Route {
                name, host, prefix, ..
            } = route;
            writeln!(f, "route {name} {host}{prefix} {:?}", route.kind)?;
        }
        for service in &self.services {
            let model = if service.engine.is_some() {
                "model"
            } else {
                "plain"
            };
            writeln!(f, "service {} {model}", service.name)?;
        }
        self.teams
            .iter()
            .try_for_each(|team| writeln!(f, "team {}", team.name))
    }
}
