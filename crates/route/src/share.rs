//! Team limits: this worker's share of a team's rate and of its requests in flight.
//!
//! The shares come with the view; the nodes divide a team's limit by demand. A fractional share
//! of requests in flight admits while the count is below it, so the overshoot of one worker is
//! less than one request. Urgent requests may overdraw the rate by one bucket, so that a burst
//! of ordinary work does not refuse an alarm.

use crate::Now;
use crate::view::Share;
use bundle::Bundle;
use bundle::id::TeamId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time that a refusal asks to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Account of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name in the bundle.
    pub name: String,
    /// Requests taken in that have not ended.
    pub in_flight: u32,
    /// Requests taken in.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    share: Share,
    tokens: f64,
    refilled_at: Now,
}

impl Account {
    fn new(name: &str, now: Now) -> Self {
        let share = Share {
            rate: 0.0,
            in_flight: 0.0,
        };
        let level = f64::INFINITY;
        Self {
            name: name.to_owned(),
            in_flight: 0,
            admitted: 0,
            refused: 0,
            share,
            tokens: level,
            refilled_at: now,
        }
    }

    fn capacity(&self, burst: f64) -> f64 {
        (self.share.rate * burst).max(1.0)
    }

    fn refill(&mut self, now: Now, burst: f64) {
        let time = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + time * self.share.rate).min(self.capacity(burst));
    }

    fn retry_after(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.share.rate)
            .map_or(MAX_RETRY_AFTER, |w| w.min(MAX_RETRY_AFTER))
    }

    /// Whether the level lies within the bucket and its overdraft.
    pub fn is_within_bounds(&self, burst: f64) -> bool {
        !self.tokens.is_finite() || self.tokens >= -self.capacity(burst) - 1.0
    }
}

/// Accounts by team.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Accounts by team.
    pub accounts: Vec<Account>,
}

impl Table {
    /// Takes in a bundle and this worker's shares; returns the new id of each old team.
    pub fn apply_bundle(
        &mut self,
        now: Now,
        bundle: &Bundle,
        shares: &[Share],
    ) -> Vec<Option<TeamId>> {
        let old = std::mem::take(&mut self.accounts).into_iter().enumerate();
        let mut old: BTreeMap<_, _> = old.map(|(i, r)| (r.name.clone(), (i, r))).collect();
        let mut moved = vec![None; old.len()];
        for (id, team) in bundle.teams.iter().enumerate() {
            let mut row = match old.remove(&team.name) {
                Some((was, row)) => {
                    moved[was] = Some(id as TeamId);
                    row
                }
                None => Account::new(&team.name, now),
            };
            row.share = shares.get(id).copied().unwrap_or(Share {
                rate: 0.0,
                in_flight: 0.0,
            });
            self.accounts.push(row);
        }
        moved
    }

    /// Takes a request in, or tells when to come back.
    pub fn admit(&mut self, now: Now, team: TeamId, urgent: bool, burst: f64) -> Result {
        let Some(row) = self.accounts.get_mut(team as usize) else {
            return Err(MAX_RETRY_AFTER);
        };
        row.refill(now, burst);
        let floor = if urgent {
            1.0 - row.capacity(burst)
        } else {
            1.0
        };
        let full = f64::from(row.in_flight) >= row.share.in_flight;
        if row.share.rate <= 0.0 || row.tokens < floor || full {
            row.refused += 1;
            return Err(row.retry_after().max(MIN_RETRY_AFTER));
        }
        row.tokens -= 1.0;
        row.in_flight += 1;
        row.admitted += 1;
        Ok(())
    }

    /// A request of `team` ended.
    pub fn release(&mut self, team: TeamId) {
        if let Some(row) = self.accounts.get_mut(team as usize) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}

/// Shortest time that a refusal asks to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Ok, or when to come back.
pub type Result = std::result::Result<(), Duration>;
