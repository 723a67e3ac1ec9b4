//! Detection of requests that crash endpoints, by what was in flight at each death.
//!
//! All requests in flight on an endpoint that dies become suspect and then run alone, so that no
//! other requests are lost or suspected with them. A suspect that completes is cleared; a suspect
//! whose endpoint dies while it runs alone is condemned and refused by all nodes. When several endpoints die together
//! (loss of a rack or a zone), requests seen in only one of these deaths are not suspected.
//! Otherwise isolation would slow the recovery, and harmless requests would be condemned. For this
//! reason a verdict is delayed by a short window.

use crate::Now;
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum time between deaths that may have a common cause.
pub const CORRELATION_WINDOW: Duration = Duration::from_millis(1500);
/// Number of endpoints that must die within the window for their deaths to count as one mass
/// failure.
pub const MASS_FAILURE_ENDPOINTS: usize = 3;
/// Number of deaths beside other requests, at different times, after which a request is condemned
/// as if it had run alone.
const SHARED_DEATHS_TO_CONDEMN: u32 = 3;
/// Number of connections broken by an endpoint that is alive which count as one death, since the
/// endpoint may have restarted.
const BREAKS_PER_DEATH: u32 = 2;

/// Evidence against a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Evidence {
    deaths: u32,
    connection_losses: u32,
    latest: Now,
}

/// Requests in flight on an endpoint that may have died.
#[derive(Clone, Debug, PartialEq)]
struct Incident {
    at: Now,
    endpoint: EndpointId,
    fingerprints: Vec<u64>,
}

/// Suspects, pending verdicts and condemned fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Table {
    evidence: BTreeMap<u64, Evidence>,
    remote_suspects: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    condemned: BTreeSet<u64>,
    incidents: BTreeMap<EndpointId, Incident>,
    deaths: VecDeque<Incident>,
    verdicts: Vec<(Now, u64)>,
    /// Fingerprints with a pending verdict at another node.
    remote_pending: BTreeSet<u64>,
    /// Fingerprints with a pending verdict here that is not yet published to the other nodes.
    unpublished_pending: Vec<u64>,
    capacity: usize,
}

impl Table {
    /// Creates a table that keeps at most `most` fingerprints of each kind.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Replaces the suspects and pending verdicts reported by other nodes and adds their condemned
    /// fingerprints.
    pub fn update_remote(&mut self, suspects: &[u64], pending: &[u64], condemned: &[u64]) {
        self.remote_suspects = suspects.iter().copied().collect();
        self.remote_pending = pending.iter().copied().collect();
        self.condemned.extend(condemned);
    }

    /// Translates endpoint ids to those of a new bundle.
    pub fn remap_endpoints(&mut self, moved: &[Option<EndpointId>]) {
        let incidents = std::mem::take(&mut self.incidents).into_values();
        let kept = incidents.filter_map(|s| {
            let endpoint = moved.get(s.endpoint as usize).copied()??;
            Some((endpoint, Incident { endpoint, ..s }))
        });
        self.incidents = kept.collect();
    }

    /// Returns whether requests with this fingerprint are refused.
    pub fn is_condemned(&self, fingerprint: u64) -> bool {
        self.condemned.contains(&fingerprint)
    }

    /// Returns whether a verdict on this fingerprint is pending, here or at another node. Running a
    /// resent request before the verdict would risk one more endpoint without adding information.
    pub fn is_pending(&self, fingerprint: u64) -> bool {
        self.verdicts.iter().any(|&(_, p)| p == fingerprint)
            || self.remote_pending.contains(&fingerprint)
    }

    /// Takes the pending verdicts that are to be published to the other nodes.
    pub fn take_pending(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.unpublished_pending)
    }

    /// Returns whether requests with this fingerprint must run alone.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        let own = self
            .evidence
            .get(&fingerprint)
            .is_some_and(|m| m.deaths > 0);
        own || (self.remote_suspects.contains(&fingerprint) && !self.cleared.contains(&fingerprint))
    }

    /// Records that an endpoint may have died with `fingerprints` in flight.
    pub fn open_incident(&mut self, at: Now, endpoint: EndpointId, fingerprints: Vec<u64>) {
        self.incidents.entry(endpoint).or_insert(Incident {
            at,
            endpoint,
            fingerprints,
        });
    }

    /// Closes the incident of an endpoint that is alive: only connections broke, or it restarted
    /// quickly. Returns the new suspects.
    pub fn record_alive(
        &mut self,
        now: Now,
        endpoint: EndpointId,
        connection_lost: bool,
    ) -> Vec<u64> {
        let Some(incident) = self.incidents.remove(&endpoint) else {
            return Vec::new();
        };
        if !connection_lost {
            return Vec::new();
        }
        let mut fingerprints = Vec::new();
        for fingerprint in incident.fingerprints {
            let evidence = self.evidence.entry(fingerprint).or_default();
            evidence.connection_losses += 1;
            evidence.latest = now;
            if evidence.connection_losses >= BREAKS_PER_DEATH {
                evidence.connection_losses = 0;
                fingerprints.push(fingerprint);
            }
        }
        self.evict();
        self.record_death(Incident {
            at: now,
            endpoint,
            fingerprints,
        })
    }

    /// Closes the incident of a dead endpoint. Returns the new suspects.
    pub fn record_dead(&mut self, now: Now, endpoint: EndpointId) -> Vec<u64> {
        let Some(mut incident) = self.incidents.remove(&endpoint) else {
            return Vec::new();
        };
        incident.at = now;
        self.record_death(incident)
    }

    fn record_death(&mut self, incident: Incident) -> Vec<u64> {
        if incident.fingerprints.is_empty() {
            return Vec::new();
        }
        let alone = incident.fingerprints.len() == 1;
        let mut new_suspects = Vec::new();
        for &fingerprint in &incident.fingerprints {
            let known = self.is_suspect(fingerprint);
            let evidence = self.evidence.entry(fingerprint).or_default();
            evidence.deaths += 1;
            evidence.latest = incident.at;
            if (known && alone) || evidence.deaths >= SHARED_DEATHS_TO_CONDEMN {
                self.verdicts
                    .push((incident.at + CORRELATION_WINDOW, fingerprint));
                self.unpublished_pending.push(fingerprint);
            }
            if !known {
                self.cleared.remove(&fingerprint);
                new_suspects.push(fingerprint);
            }
        }
        self.deaths.push_back(incident);
        self.discount_mass_failure();
        self.evict();
        new_suspects.retain(|&p| self.is_suspect(p));
        new_suspects
    }

    /// After a mass failure, discounts the deaths of requests that were seen in only one of them.
    fn discount_mass_failure(&mut self) {
        let latest = self.deaths.back().map_or(Now::ZERO, |s| s.at);
        while self
            .deaths
            .front()
            .is_some_and(|s| s.at + CORRELATION_WINDOW < latest)
        {
            self.deaths.pop_front();
        }
        let endpoints: BTreeSet<_> = self.deaths.iter().map(|s| s.endpoint).collect();
        if endpoints.len() < MASS_FAILURE_ENDPOINTS {
            return;
        }
        let mut seen: BTreeMap<u64, u32> = BTreeMap::new();
        for &fingerprint in self.deaths.iter().flat_map(|s| &s.fingerprints) {
            *seen.entry(fingerprint).or_default() += 1;
        }
        for (fingerprint, _) in seen.into_iter().filter(|&(_, n)| n == 1) {
            self.discount(fingerprint);
        }
    }

    fn discount(&mut self, fingerprint: u64) {
        if let Some(evidence) = self.evidence.get_mut(&fingerprint) {
            evidence.deaths = evidence.deaths.saturating_sub(1);
        }
        self.deaths
            .iter_mut()
            .for_each(|s| s.fingerprints.retain(|&p| p != fingerprint));
        self.verdicts.retain(|&(_, p)| p != fingerprint);
    }

    /// Concludes the verdicts that are due; returns the newly condemned fingerprints.
    pub fn conclude(&mut self, now: Now) -> Vec<u64> {
        let due = self.verdicts.extract_if(.., |&mut (at, _)| at <= now);
        let mut fingerprints: Vec<_> = due.map(|(_, fingerprint)| fingerprint).collect();
        fingerprints.retain(|&fingerprint| self.condemned.insert(fingerprint));
        self.evict();
        fingerprints
    }

    /// Clears a fingerprint: a request with it completed without crashing an endpoint.
    pub fn clear(&mut self, fingerprint: u64) {
        let had_evidence = self.evidence.remove(&fingerprint).is_some();
        if had_evidence || self.remote_suspects.contains(&fingerprint) {
            self.cleared.insert(fingerprint);
        }
        self.verdicts.retain(|&(_, p)| p != fingerprint);
    }

    fn evict(&mut self) {
        while self.evidence.len() > self.capacity {
            let oldest = self
                .evidence
                .iter()
                .min_by_key(|(_, m)| m.latest)
                .map(|(&p, _)| p);
            oldest.map(|p| self.evidence.remove(&p));
        }
        while self.cleared.len() > self.capacity {
            self.cleared.pop_first();
        }
        while self.condemned.len() > self.capacity {
            self.condemned.pop_first();
        }
    }

    /// Returns the number of suspects by this router's own evidence and of condemned fingerprints.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.evidence.values().filter(|m| m.deaths > 0).count();
        (suspects, self.condemned.len())
    }
}
