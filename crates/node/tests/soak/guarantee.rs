//! Guarantees of a soak run, checked from what callers and endpoints observed.

use crate::cluster::{Cluster, Endpoint};
use crate::node::Node;
use crate::observation::{DEADLINE, Observations, Outcome, Sent};
use crate::standin::ends::{self, End};
use crate::standin::engine::arrival::{Arrival, Reply};
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after a request for rest in which requests may still arrive.
const REST_LEEWAY: Duration = Duration::from_millis(500);
/// Maximum number of requests from a node to an endpoint that asked it for rest.
const MAX_ARRIVALS_IN_REST: usize = 2;
/// Time after a node has passed on that an endpoint leaves in which requests that it receives may
/// still go there.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a catalog version in which it is still being applied.
const VERSION_PERIOD: Duration = Duration::from_secs(3);
/// Time after SIGTERM in which a node may break off responses: its grace period, and a second.
const EXIT_PERIOD: Duration = Duration::from_secs(3);
/// Longest delay of a proxy, which bytes may still be held up by after it has ended.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// Violations of one run.
#[derive(Debug, Default)]
pub struct Violations {
    pub base: Vec<String>,
    pub rest: Vec<String>,
    pub leaving: Vec<String>,
    pub cut: Vec<String>,
    pub ends: Vec<String>,
}

/// What is known about a run after its end.
pub struct Record<'a> {
    pub cluster: &'a Cluster,
    pub observed: &'a Observations,
    /// Arrivals at each endpoint.
    arrivals: Vec<(&'a Endpoint, Vec<Arrival>)>,
    /// Runs at endpoints that end their responses in each way that HTTP allows.
    ends: Vec<(&'a ends::Endpoint, Vec<ends::Run>)>,
}

impl<'a> Record<'a> {
    pub fn new(
        cluster: &'a Cluster,
        observed: &'a Observations,
        ends: &'a [ends::Endpoint],
    ) -> Self {
        let endpoints = cluster.endpoints.iter();
        Self {
            cluster,
            observed,
            arrivals: endpoints.map(|e| (e, e.engine.arrivals())).collect(),
            ends: ends.iter().map(|e| (e, e.runs())).collect(),
        }
    }

    /// Checks all guarantees.
    pub fn check(&self) -> Violations {
        Violations {
            base: self.check_base(),
            rest: self.check_rest(),
            leaving: self.check_leaving(),
            cut: self.check_cut(),
            ends: self.check_ends(),
        }
    }

    /// Returns the number of requests that endpoints ran which end their responses in any way.
    pub fn ended_in_any_way(&self) -> usize {
        self.ends.iter().map(|(_, runs)| runs.len()).sum()
    }

    /// A request to which an endpoint has written its whole response gets it whole, however that ends. If
    /// nothing in the response marks its end, the endpoint must live on until the node has it.
    fn check_ends(&self) -> Vec<String> {
        let runs = self.ends.iter().flat_map(|(endpoint, runs)| {
            let whole = runs.iter().filter(|r| r.whole);
            whole.map(move |run| (endpoint, run))
        });
        let cut = runs.filter_map(|(endpoint, run)| {
            let sent = self.sent(&run.request)?;
            let (ended, outcome) = sent.end.as_ref().filter(|(_, o)| o.is_broken())?;
            let has_exited = endpoint.exited_at().is_some_and(|at| at <= *ended);
            let is_unproven = has_exited && End::UNMARKED.contains(&endpoint.end);
            (!is_unproven && !self.may_cut(sent, *ended)).then(|| {
                let after = *ended - sent.at;
                let (id, kind) = (&run.request, endpoint.end);
                format!("{id} with {kind:?} ended after {after:?} with {outcome:?}")
            })
        });
        cut.collect()
    }

    fn sent(&self, request: &str) -> Option<&'a Sent> {
        self.observed.requests.get(request)
    }

    fn node(&self, addr: SocketAddr) -> &'a Node {
        let mut nodes = self.cluster.nodes.iter();
        nodes.find(|n| n.callers == addr).expect("a known node")
    }

    /// At-most-once requests run at most once, and not if their callers received a promise of that.
    fn check_base(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        let arrivals = self.arrivals.iter().flat_map(|(_, arrivals)| arrivals);
        for arrival in arrivals.filter(|a| a.was_run()) {
            *runs.entry(&arrival.request).or_default() += 1;
        }
        for run in self.ends.iter().flat_map(|(_, runs)| runs) {
            *runs.entry(&run.request).or_default() += 1;
        }
        let mut violations = self.observed.violations.clone();
        // Also those whose callers received no response.
        let at_most_once = self
            .observed
            .requests
            .iter()
            .filter(|(_, s)| s.at_most_once);
        for (id, _) in at_most_once {
            let count = runs.get(id.as_str()).copied().unwrap_or(0);
            if count > 1 {
                violations.push(format!("{id} ran {count} times"));
            }
        }
        for (id, status) in &self.observed.at_most_once {
            let count = runs.get(id.as_str()).copied().unwrap_or(0);
            let promised_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
            if promised_not_run && count > 0 {
                violations.push(format!("{id} ran although its caller got {status}"));
            }
        }
        violations
    }

    /// An endpoint that asked a node for rest gets at most two more requests from it in that time.
    fn check_rest(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (endpoint, arrivals) in &self.arrivals {
            let with_nodes: Vec<_> = arrivals
                .iter()
                .filter_map(|a| Some((self.sent(&a.request)?.node, a)))
                .collect();
            // The worst violation of each node.
            let mut worst: BTreeMap<SocketAddr, (usize, String)> = BTreeMap::new();
            for (node, asked) in &with_nodes {
                let Reply::TurnedAway { rest } = asked.reply else {
                    continue;
                };
                let (from, to) = (asked.at + REST_LEEWAY, asked.at + rest);
                let within = with_nodes
                    .iter()
                    .filter(|(n, a)| n == node && (from..=to).contains(&a.at));
                let interrupted = |at| {
                    self.node(*node).was_interrupted(asked.at, at)
                        || endpoint.proxy.was_faulty(asked.at, at)
                };
                let counted: Vec<_> = within.filter(|(_, a)| !interrupted(a.at)).collect();
                let known = worst.get(node).map_or(0, |(count, _)| *count);
                if counted.len() > MAX_ARRIVALS_IN_REST.max(known) {
                    let text = format!(
                        "{} asked {node} for rest of {rest:?} and got {} requests in it, the third after {:?}",
                        endpoint.engine.id,
                        counted.len(),
                        counted[MAX_ARRIVALS_IN_REST].1.at - asked.at,
                    );
                    worst.insert(*node, (counted.len(), text));
                }
            }
            violations.extend(worst.into_values().map(|(_, text)| text));
        }
        violations
    }

    /// A node that passed on that an endpoint leaves sends no new request there, nor through it.
    fn check_leaving(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (endpoint, arrivals) in &self.arrivals {
            let passed_on: Vec<_> = arrivals
                .iter()
                .filter(|a| a.leaving && a.reply == Reply::Run)
                .filter_map(|a| self.passed_on(&a.request))
                .collect();
            let stage = format!("{}=", endpoint.engine.advertised());
            let through = self.arrivals.iter().flat_map(|(_, other)| other);
            let through = through.filter(|a| a.chain.split(',').any(|s| s.starts_with(&stage)));
            let own = arrivals.iter().filter(|a| a.chain.is_empty());
            let mut late: BTreeMap<SocketAddr, (usize, Duration)> = BTreeMap::new();
            for arrival in own.chain(through) {
                let Some(sent) = self.sent(&arrival.request) else {
                    continue;
                };
                let known = passed_on.iter().filter(|(node, at)| {
                    *node == sent.node
                        && sent.at > *at + DRAIN_LIMIT
                        && !self.node(*node).was_interrupted(*at, arrival.at)
                });
                if let Some(longest) = known.map(|(_, at)| sent.at - *at).max() {
                    let (count, time) = late.entry(sent.node).or_default();
                    (*count, *time) = (*count + 1, longest.max(*time));
                }
            }
            violations.extend(late.into_iter().map(|(node, (count, time))| {
                format!(
                    "{} got {count} requests from {node} up to {time:?} after it had passed on that it leaves",
                    endpoint.engine.id
                )
            }));
        }
        violations
    }

    /// Returns the node that passed on the response of a request, and the latest time at which it
    /// did. Returns `None` if more than one endpoint ran the request.
    fn passed_on(&self, request: &str) -> Option<(SocketAddr, Instant)> {
        let arrivals = self.arrivals.iter().flat_map(|(_, arrivals)| arrivals);
        let runs = arrivals.filter(|a| a.request == request && a.was_run());
        let sent = self.sent(request)?;
        match &sent.end {
            Some((
                at,
                Outcome::Response {
                    status: StatusCode::OK,
                    ..
                },
            )) if runs.count() == 1 => Some((sent.node, *at)),
            _ => None,
        }
    }

    /// A request that was run only by sound endpoints gets its whole response beside a catalog
    /// change.
    fn check_cut(&self) -> Vec<String> {
        let mut reached: BTreeMap<&str, Vec<(&Endpoint, &Arrival)>> = BTreeMap::new();
        for (endpoint, arrivals) in &self.arrivals {
            for arrival in arrivals {
                let reached = reached.entry(&arrival.request).or_default();
                reached.push((endpoint, arrival));
            }
        }
        let mut violations = Vec::new();
        for (id, sent) in &self.observed.requests {
            let Some((ended, outcome)) = sent.end.as_ref().filter(|(_, o)| o.is_cut()) else {
                continue;
            };
            let reached = reached.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let mut runs = reached.iter().filter(|(_, a)| a.was_run()).peekable();
            let was_run = runs.peek().is_some();
            let sound = runs.all(|(endpoint, arrival)| {
                arrival.reply != Reply::BrokenOff
                    && !endpoint.proxy.was_faulty(sent.at - MAX_DELAY, *ended)
                    && endpoint.engine.stopped_at().is_none_or(|at| at > *ended)
            });
            if was_run && sound && !self.may_cut(sent, *ended) {
                let steps: Vec<_> = reached
                    .iter()
                    .map(|(e, a)| (&e.engine.id, a.at - sent.at, a.reply))
                    .collect();
                violations.push(format!(
                    "{id} ended after {:?} with {outcome:?}; it reached {steps:?}",
                    *ended - sent.at
                ));
            }
        }
        violations
    }

    /// Returns whether a request may end without its response, whatever its endpoint does: its time
    /// has nearly passed, its node was interrupted or is exiting, or no catalog version is recent.
    fn may_cut(&self, sent: &Sent, ended: Instant) -> bool {
        let node = self.node(sent.node);
        let recent = sent.at - VERSION_PERIOD..=ended;
        ended - sent.at >= DEADLINE * 7 / 10
            || node.was_interrupted(sent.at, ended)
            || node.was_terminated(sent.at - EXIT_PERIOD, ended)
            || !self.cluster.versions.iter().any(|at| recent.contains(at))
    }
}
