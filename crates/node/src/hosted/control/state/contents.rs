//! Contents under which endpoints crashed, at this node and at the others.
//!
//! Each node keeps all of them in a ledger of its own. The group drops what a node published once
//! that node has left, so the others then publish what must not be forgotten.

use super::State;
use member::event::Event;
use member::item::Observation;
use std::time::Duration;
use steer::crash::{CRASHES_TO_CONDEMN, CRASHES_TO_SUSPEND, Finding, Fingerprint};
use tokio::time::Instant;

/// Lifetime of the news that a request with a content completed: until it has reached all nodes.
const CLEARED_TTL: Duration = Duration::from_secs(5);
/// Interval at which it is checked that the peers know the contents.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Records what the worker found out about a content, and publishes it to the other nodes.
    pub(super) fn publish_finding(&mut self, content: Fingerprint, finding: Finding) {
        let now = self.start.elapsed();
        if !self.crashes.apply(content, finding, now) {
            return;
        }
        self.dirty = true;
        let news = match finding {
            Finding::Crashed(_) => {
                let crashes = self.crashes.crashes(now, content);
                if crashes == CRASHES_TO_CONDEMN {
                    log::warn!("requests with content {content:016x} crash endpoints");
                }
                observation(content, crashes, self.crashes.remaining(now, content))
            }
            Finding::Completed => Observation::Cleared {
                fingerprint: content,
                ttl: CLEARED_TTL,
            },
        };
        self.handle_event(Event::Publish(vec![news]));
    }

    /// Records what another node published about a content.
    pub(super) fn learn_content(&mut self, published: &Observation) {
        let (content, crashes, ttl) = match *published {
            Observation::Suspect { fingerprint, ttl } => (fingerprint, 1, ttl),
            Observation::Pending { fingerprint, ttl } => (fingerprint, CRASHES_TO_SUSPEND, ttl),
            Observation::Condemned { fingerprint, ttl } => (fingerprint, CRASHES_TO_CONDEMN, ttl),
            Observation::Cleared { fingerprint, .. } => {
                self.crashes.clear(fingerprint);
                return;
            }
            _ => return,
        };
        self.crashes
            .learn(content, crashes, self.start.elapsed(), ttl);
    }

    /// Returns the lines of the dump about contents.
    pub(super) fn dump_contents(&self) -> String {
        let now = self.start.elapsed();
        let mut lines: Vec<String> = self
            .crashes
            .iter()
            .map(|(content, crashes, until)| {
                let left = until.saturating_sub(now).as_secs();
                format!("content {content:016x} crashes {crashes} kept for {left} s\n")
            })
            .collect();
        lines.sort_unstable();
        lines.concat()
    }

    /// Drops contents whose time is over, and publishes those that no node in the group publishes any
    /// more.
    pub(super) fn check_contents(&mut self, now: Instant) {
        if self.crashes.is_empty() || now < self.crashes_checked + CHECK_INTERVAL {
            return;
        }
        self.crashes_checked = now;
        let elapsed = self.start.elapsed();
        self.crashes.expire(elapsed);
        let condemned = self.group.condemned_fingerprints(elapsed);
        let pending = self.group.pending_fingerprints(elapsed);
        let missing = self.crashes.iter().filter(|(content, crashes, _)| {
            let published = condemned.contains(content)
                || (*crashes < CRASHES_TO_CONDEMN && pending.contains(content));
            *crashes >= CRASHES_TO_SUSPEND && !published
        });
        let missing: Vec<Observation> = missing
            .map(|(content, crashes, until)| {
                observation(content, crashes, until.saturating_sub(elapsed))
            })
            .collect();
        if !missing.is_empty() {
            self.handle_event(Event::Publish(missing));
        }
    }
}

/// Returns the observation that a content has crashed this number of endpoints in a row.
fn observation(fingerprint: Fingerprint, crashes: u8, ttl: Duration) -> Observation {
    match crashes {
        CRASHES_TO_CONDEMN.. => Observation::Condemned { fingerprint, ttl },
        CRASHES_TO_SUSPEND => Observation::Pending { fingerprint, ttl },
        _ => Observation::Suspect { fingerprint, ttl },
    }
}
