//! Team limits: one worker's share of a team's rate and of its requests in flight.
//!
//! The shares come with the view; the nodes divide a team's limits by demand. A fractional share of
//! requests in flight admits while the count is below it, so that one worker overshoots by less
//! than one request. Urgent requests may overdraw the token bucket of the rate by its capacity, so
//! that a burst of ordinary work does not cause an alarm to be refused.

use crate::Now;
use crate::view::Share;
use bundle::Bundle;
use bundle::id::TeamId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum retry-after delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Usage of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the team in the bundle.
    pub name: String,
    /// Number of admitted requests that have not ended.
    pub in_flight: u32,
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused.
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

    /// Returns whether the level of the token bucket is within its capacity and overdraft.
    pub fn is_within_bounds(&self, burst: f64) -> bool {
        !self.tokens.is_finite() || self.tokens >= -self.capacity(burst) - 1.0
    }
}

/// Usage of all teams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Accounts by team.
    pub accounts: Vec<Account>,
}

impl Table {
    /// Adopts a bundle and this worker's shares; returns the new id of each old team.
    pub fn apply_bundle(
        &mut self,
        now: Now,
        bundle: &Bundle,
        shares: &[Share],
    ) -> Vec<Option<TeamId>> {
        let old = std::mem::take(&mut self.accounts).into_iter().enumerate();
        let mut old: BTreeMap<_, _> = old.map(|(i, r)| (r.name.clone(), (i, r))).collect();
        let mut new_ids = vec![None; old.len()];
        for (id, team) in bundle.teams.iter().enumerate() {
            let mut row = match old.remove(&team.name) {
                Some((old_id, row)) => {
                    new_ids[old_id] = Some(id as TeamId);
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
        new_ids
    }

    /// Admits a request, or returns the retry-after delay.
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

    /// Records the end of a request of `team`.
    pub fn release(&mut self, team: TeamId) {
        if let Some(row) = self.accounts.get_mut(team as usize) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}

/// Minimum retry-after delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Result of an admission; the error is the retry-after delay.
pub type Result = std::result::Result<(), Duration>;
