//! Requests that crash endpoints, found by what was in flight at each death.
//!
//! What was in flight when an endpoint died becomes suspect and then runs alone: no neighbours
//! to lose or to blame. A suspect that completes is cleared; one that dies alone is condemned
//! and refused everywhere. When several endpoints die together (a lost rack or zone), requests
//! seen in only one of these deaths are not blamed, so that such a loss neither slows recovery
//! by isolation nor condemns the innocent; for this a verdict waits out a short window.

use crate::Now;
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Deaths within this time may have one cause.
pub const CORRELATION_WINDOW: Duration = Duration::from_millis(1500);
/// Deaths within the window from which they count as one loss.
pub const MASS_FAILURE_ENDPOINTS: usize = 3;
/// Deaths in company, at different times, that condemn as one alone does.
const MAX_SHARED_DEATHS: u32 = 3;
/// Broken connections with a living endpoint that count as one death: it may have restarted.
const BREAKS_PER_DEATH: u32 = 2;

/// What speaks against a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Evidence {
    deaths: u32,
    connection_losses: u32,
    latest: Now,
}

/// What was in flight at an endpoint that may have died.
#[derive(Clone, Debug, PartialEq)]
struct Incident {
    at: Now,
    endpoint: EndpointId,
    fingerprints: Vec<u64>,
}

/// The table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    evidence: BTreeMap<u64, Evidence>,
    remote_suspects: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    condemned: BTreeSet<u64>,
    incidents: BTreeMap<EndpointId, Incident>,
    deaths: VecDeque<Incident>,
    verdicts: Vec<(Now, u64)>,
    /// Verdicts under way at other nodes.
    remote_pending: BTreeSet<u64>,
    /// Verdicts under way here that the other nodes have not been told of.
    unpublished_pending: Vec<u64>,
    capacity: usize,
}

impl Table {
    /// A table that remembers at most `most` fingerprints of each sort.
    pub fn new(most: usize) -> Self {
        Self {
            capacity: most,
            ..Self::default()
        }
    }

    /// Takes in what other nodes know.
    pub fn update_remote(&mut self, suspects: &[u64], pending: &[u64], condemned: &[u64]) {
        self.remote_suspects = suspects.iter().copied().collect();
        self.remote_pending = pending.iter().copied().collect();
        self.condemned.extend(condemned);
    }

    /// Renames endpoints after a new bundle.
    pub fn remap_endpoints(&mut self, moved: &[Option<EndpointId>]) {
        let open = std::mem::take(&mut self.incidents).into_values();
        let kept = open.filter_map(|s| {
            let endpoint = moved.get(s.endpoint as usize).copied()??;
            Some((endpoint, Incident { endpoint, ..s }))
        });
        self.incidents = kept.collect();
    }

    /// Whether requests like this one are refused.
    pub fn is_condemned(&self, fingerprint: u64) -> bool {
        self.condemned.contains(&fingerprint)
    }

    /// Whether a verdict on this one is under way, here or at another node. Run meanwhile, a
    /// resend would cost one more endpoint to learn what the verdict will tell.
    pub fn is_pending(&self, fingerprint: u64) -> bool {
        self.verdicts.iter().any(|&(_, p)| p == fingerprint)
            || self.remote_pending.contains(&fingerprint)
    }

    /// Verdicts under way that the other nodes are to be told of.
    pub fn take_pending(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.unpublished_pending)
    }

    /// Whether this one must run alone.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        let own = self
            .evidence
            .get(&fingerprint)
            .is_some_and(|m| m.deaths > 0);
        own || (self.remote_suspects.contains(&fingerprint) && !self.cleared.contains(&fingerprint))
    }

    /// An endpoint shows signs of death with `prints` in flight.
    pub fn open_incident(&mut self, at: Now, endpoint: EndpointId, fingerprints: Vec<u64>) {
        self.incidents.entry(endpoint).or_insert(Incident {
            at,
            endpoint,
            fingerprints,
        });
    }

    /// The endpoint lives: only connections broke, or it restarted at once. Returns the new
    /// suspects.
    pub fn record_alive(&mut self, now: Now, endpoint: EndpointId, broke: bool) -> Vec<u64> {
        let Some(scene) = self.incidents.remove(&endpoint) else {
            return Vec::new();
        };
        if !broke {
            return Vec::new();
        }
        let mut fingerprints = Vec::new();
        for fingerprint in scene.fingerprints {
            let mark = self.evidence.entry(fingerprint).or_default();
            mark.connection_losses += 1;
            mark.latest = now;
            if mark.connection_losses >= BREAKS_PER_DEATH {
                mark.connection_losses = 0;
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

    /// The endpoint is dead. Returns the new suspects.
    pub fn record_dead(&mut self, now: Now, endpoint: EndpointId) -> Vec<u64> {
        let Some(mut scene) = self.incidents.remove(&endpoint) else {
            return Vec::new();
        };
        scene.at = now;
        self.record_death(scene)
    }

    fn record_death(&mut self, scene: Incident) -> Vec<u64> {
        if scene.fingerprints.is_empty() {
            return Vec::new();
        }
        let alone = scene.fingerprints.len() == 1;
        let mut fresh = Vec::new();
        for &fingerprint in &scene.fingerprints {
            let before = self.is_suspect(fingerprint);
            let mark = self.evidence.entry(fingerprint).or_default();
            mark.deaths += 1;
            mark.latest = scene.at;
            if (before && alone) || mark.deaths >= MAX_SHARED_DEATHS {
                self.verdicts
                    .push((scene.at + CORRELATION_WINDOW, fingerprint));
                self.unpublished_pending.push(fingerprint);
            }
            if !before {
                self.cleared.remove(&fingerprint);
                fresh.push(fingerprint);
            }
        }
        self.deaths.push_back(scene);
        self.discount_mass_failure();
        self.evict();
        fresh.retain(|&p| self.is_suspect(p));
        fresh
    }

    /// When many endpoints died together, drops what speaks against requests seen in one of
    /// these deaths only.
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
        if let Some(mark) = self.evidence.get_mut(&fingerprint) {
            mark.deaths = mark.deaths.saturating_sub(1);
        }
        self.deaths
            .iter_mut()
            .for_each(|s| s.fingerprints.retain(|&p| p != fingerprint));
        self.verdicts.retain(|&(_, p)| p != fingerprint);
    }

    /// Verdicts that are due: the fingerprints condemned now.
    pub fn conclude(&mut self, now: Now) -> Vec<u64> {
        let due = self.verdicts.extract_if(.., |&mut (at, _)| at <= now);
        let mut fingerprints: Vec<_> = due.map(|(_, fingerprint)| fingerprint).collect();
        fingerprints.retain(|&fingerprint| self.condemned.insert(fingerprint));
        self.evict();
        fingerprints
    }

    /// A request completed: it does not crash endpoints.
    pub fn clear(&mut self, fingerprint: u64) {
        let marked = self.evidence.remove(&fingerprint).is_some();
        if marked || self.remote_suspects.contains(&fingerprint) {
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

    /// Suspects by own evidence, and condemned fingerprints.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.evidence.values().filter(|m| m.deaths > 0).count();
        (suspects, self.condemned.len())
    }
}
