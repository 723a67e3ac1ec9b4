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
pub const WINDOW: Duration = Duration::from_millis(1500);
/// Deaths within the window from which they count as one loss.
pub const MASS: usize = 3;
/// Deaths in company, at different times, that condemn as one alone does.
const SHARED: u32 = 3;
/// Broken connections with a living endpoint that count as one death: it may have restarted.
const BREAKS: u32 = 2;

/// What speaks against a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mark {
    deaths: u32,
    breaks: u32,
    latest: Now,
}

/// What was in flight at an endpoint that may have died.
#[derive(Clone, Debug, PartialEq)]
struct Scene {
    at: Now,
    endpoint: EndpointId,
    prints: Vec<u64>,
}

/// The table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    marks: BTreeMap<u64, Mark>,
    told: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    condemned: BTreeSet<u64>,
    open: BTreeMap<EndpointId, Scene>,
    deaths: VecDeque<Scene>,
    verdicts: Vec<(Now, u64)>,
    /// Verdicts under way at other nodes.
    awaited: BTreeSet<u64>,
    /// Verdicts under way here that the other nodes have not been told of.
    charged: Vec<u64>,
    most: usize,
}

impl Table {
    /// A table that remembers at most `most` fingerprints of each sort.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            ..Self::default()
        }
    }

    /// Takes in what other nodes know.
    pub fn follow(&mut self, suspects: &[u64], pending: &[u64], condemned: &[u64]) {
        self.told = suspects.iter().copied().collect();
        self.awaited = pending.iter().copied().collect();
        self.condemned.extend(condemned);
    }

    /// Renames endpoints after a new bundle.
    pub fn rename(&mut self, moved: &[Option<EndpointId>]) {
        let open = std::mem::take(&mut self.open).into_values();
        let kept = open.filter_map(|s| {
            let endpoint = moved.get(s.endpoint as usize).copied()??;
            Some((endpoint, Scene { endpoint, ..s }))
        });
        self.open = kept.collect();
    }

    /// Whether requests like this one are refused.
    pub fn condemned(&self, print: u64) -> bool {
        self.condemned.contains(&print)
    }

    /// Whether a verdict on this one is under way, here or at another node. Run meanwhile, a
    /// resend would cost one more endpoint to learn what the verdict will tell.
    pub fn pending(&self, print: u64) -> bool {
        self.verdicts.iter().any(|&(_, p)| p == print) || self.awaited.contains(&print)
    }

    /// Verdicts under way that the other nodes are to be told of.
    pub fn take_charged(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.charged)
    }

    /// Whether this one must run alone.
    pub fn suspect(&self, print: u64) -> bool {
        let own = self.marks.get(&print).is_some_and(|m| m.deaths > 0);
        own || (self.told.contains(&print) && !self.cleared.contains(&print))
    }

    /// An endpoint shows signs of death with `prints` in flight.
    pub fn scene(&mut self, at: Now, endpoint: EndpointId, prints: Vec<u64>) {
        self.open.entry(endpoint).or_insert(Scene {
            at,
            endpoint,
            prints,
        });
    }

    /// The endpoint lives: only connections broke, or it restarted at once. Returns the new
    /// suspects.
    pub fn alive(&mut self, now: Now, endpoint: EndpointId, broke: bool) -> Vec<u64> {
        let Some(scene) = self.open.remove(&endpoint) else {
            return Vec::new();
        };
        if !broke {
            return Vec::new();
        }
        let mut prints = Vec::new();
        for print in scene.prints {
            let mark = self.marks.entry(print).or_default();
            mark.breaks += 1;
            mark.latest = now;
            if mark.breaks >= BREAKS {
                mark.breaks = 0;
                prints.push(print);
            }
        }
        self.bound();
        self.died(Scene {
            at: now,
            endpoint,
            prints,
        })
    }

    /// The endpoint is dead. Returns the new suspects.
    pub fn dead(&mut self, now: Now, endpoint: EndpointId) -> Vec<u64> {
        let Some(mut scene) = self.open.remove(&endpoint) else {
            return Vec::new();
        };
        scene.at = now;
        self.died(scene)
    }

    fn died(&mut self, scene: Scene) -> Vec<u64> {
        if scene.prints.is_empty() {
            return Vec::new();
        }
        let alone = scene.prints.len() == 1;
        let mut fresh = Vec::new();
        for &print in &scene.prints {
            let before = self.suspect(print);
            let mark = self.marks.entry(print).or_default();
            mark.deaths += 1;
            mark.latest = scene.at;
            if (before && alone) || mark.deaths >= SHARED {
                self.verdicts.push((scene.at + WINDOW, print));
                self.charged.push(print);
            }
            if !before {
                self.cleared.remove(&print);
                fresh.push(print);
            }
        }
        self.deaths.push_back(scene);
        self.pardon();
        self.bound();
        fresh.retain(|&p| self.suspect(p));
        fresh
    }

    /// When many endpoints died together, drops what speaks against requests seen in one of
    /// these deaths only.
    fn pardon(&mut self) {
        let latest = self.deaths.back().map_or(Now::ZERO, |s| s.at);
        while self.deaths.front().is_some_and(|s| s.at + WINDOW < latest) {
            self.deaths.pop_front();
        }
        let endpoints: BTreeSet<_> = self.deaths.iter().map(|s| s.endpoint).collect();
        if endpoints.len() < MASS {
            return;
        }
        let mut seen: BTreeMap<u64, u32> = BTreeMap::new();
        for &print in self.deaths.iter().flat_map(|s| &s.prints) {
            *seen.entry(print).or_default() += 1;
        }
        for (print, _) in seen.into_iter().filter(|&(_, n)| n == 1) {
            self.pardon_one(print);
        }
    }

    fn pardon_one(&mut self, print: u64) {
        if let Some(mark) = self.marks.get_mut(&print) {
            mark.deaths = mark.deaths.saturating_sub(1);
        }
        self.deaths
            .iter_mut()
            .for_each(|s| s.prints.retain(|&p| p != print));
        self.verdicts.retain(|&(_, p)| p != print);
    }

    /// Verdicts that are due: the fingerprints condemned now.
    pub fn settle(&mut self, now: Now) -> Vec<u64> {
        let due = self.verdicts.extract_if(.., |&mut (at, _)| at <= now);
        let mut prints: Vec<_> = due.map(|(_, print)| print).collect();
        prints.retain(|&print| self.condemned.insert(print));
        self.bound();
        prints
    }

    /// A request completed: it does not crash endpoints.
    pub fn clear(&mut self, print: u64) {
        let marked = self.marks.remove(&print).is_some();
        if marked || self.told.contains(&print) {
            self.cleared.insert(print);
        }
        self.verdicts.retain(|&(_, p)| p != print);
    }

    fn bound(&mut self) {
        while self.marks.len() > self.most {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(_, m)| m.latest)
                .map(|(&p, _)| p);
            oldest.map(|p| self.marks.remove(&p));
        }
        while self.cleared.len() > self.most {
            self.cleared.pop_first();
        }
        while self.condemned.len() > self.most {
            self.condemned.pop_first();
        }
    }

    /// Suspects by own evidence, and condemned fingerprints.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.marks.values().filter(|m| m.deaths > 0).count();
        (suspects, self.condemned.len())
    }
}
