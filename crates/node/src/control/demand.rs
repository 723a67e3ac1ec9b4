//! Demand of teams on this node, and the share of their limits that each worker may use.
//!
//! `member::team` computes the node's shares. A fraction of a share is split evenly among the
//! workers and the rest in proportion to their demand. The even fraction is needed because the
//! kernel distributes connections among the workers at random, so a worker that has not yet had a
//! request of a team must be able to accept one.

use bundle::Bundle;
use bundle::digest::Digest;
use entry::core::Demand as WorkerDemand;
use member::demand::{Demand, Limit};
use member::item;
use member::team::Share;
use route::view;
use std::time::Duration;

/// Fraction of a node's share that is split evenly among its workers.
const EVEN_FRACTION: f64 = 0.5;
/// Weight of the newest rate in the moving average.
const NEWEST_WEIGHT: f64 = 0.5;

/// Demand on one worker, by team of one bundle.
#[derive(Clone, Debug, Default)]
struct Row {
    /// Counters of received requests, as last reported.
    request_counts: Vec<u64>,
    /// Moving averages of the requests per second.
    rate: Vec<f64>,
    in_flight: Vec<u32>,
    updated_at: Duration,
}

/// Demand by worker and team.
#[derive(Debug, Default)]
pub struct Table {
    bundle: Digest,
    rows: Vec<Row>,
}

impl Table {
    /// Creates a table for `workers` workers.
    pub fn new(workers: usize) -> Self {
        Self {
            bundle: Digest::default(),
            rows: vec![Row::default(); workers],
        }
    }

    /// Records the demand that a worker reports. When the bundle changes, the table is reset,
    /// because team ids differ between bundles.
    pub fn update(&mut self, now: Duration, worker: usize, bundle: Digest, teams: &[WorkerDemand]) {
        if bundle != self.bundle {
            let workers = self.rows.len();
            *self = Self::new(workers);
            self.bundle = bundle;
        }
        let Some(row) = self.rows.get_mut(worker) else {
            return;
        };
        let is_first = row.request_counts.len() != teams.len();
        let elapsed = now.saturating_sub(row.updated_at).as_secs_f64();
        row.rate.resize(teams.len(), 0.0);
        row.request_counts.resize(teams.len(), 0);
        if !is_first && elapsed > 0.0 {
            for (i, team) in teams.iter().enumerate() {
                let newest_rate =
                    team.received.saturating_sub(row.request_counts[i]) as f64 / elapsed;
                row.rate[i] += NEWEST_WEIGHT * (newest_rate - row.rate[i]);
            }
        }
        row.request_counts = teams.iter().map(|t| t.received).collect();
        row.in_flight = teams.iter().map(|t| t.in_flight).collect();
        row.updated_at = now;
    }

    /// Returns the demand on the node, in the order of the bundle's teams.
    pub fn node_demand(&self, bundle: &Bundle) -> Vec<Demand> {
        let teams = 0..bundle.teams.len();
        teams.map(|team| self.team_demand(team)).collect()
    }

    fn team_demand(&self, team: usize) -> Demand {
        let rates = self.rows.iter().map(|r| rate(r, team));
        let in_flight_counts = self.rows.iter().map(|r| in_flight(r, team));
        Demand {
            rate: rates.sum(),
            in_flight: in_flight_counts.sum(),
        }
    }

    /// Returns the part of the node's shares that one worker may use. `key` decides which nodes
    /// round their slots up, see [`member::share::slots`].
    pub fn worker_shares(&self, worker: usize, shares: &[Share], key: u64) -> Vec<view::Share> {
        let worker_share = |(team, share): (usize, &Share)| {
            let total = self.team_demand(team);
            let row = &self.rows[worker];
            // The key is rotated by the team, so that each team is rounded independently.
            // Otherwise one node would round up for all teams.
            let slots = member::share::slots(share.in_flight, key.rotate_left(team as u32));
            view::Share {
                rate: share.rate * self.worker_fraction(rate(row, team), total.rate),
                in_flight: f64::from(self.worker_slots(worker, team, slots)),
            }
        };
        shares.iter().enumerate().map(worker_share).collect()
    }

    /// Returns a worker's part of a node's slots. Slots are split in whole numbers, because a
    /// fraction of a slot still admits one request on each worker, and together the workers would
    /// exceed the limit. The workers with the highest rates get the remainder.
    fn worker_slots(&self, worker: usize, team: usize, slots: u32) -> u32 {
        let workers = u32::try_from(self.rows.len()).unwrap_or(u32::MAX).max(1);
        let remainder = (slots % workers) as usize;
        let ranked_before = self.rows.iter().enumerate().filter(|(other, row)| {
            let own = rate(&self.rows[worker], team);
            let other_rate = rate(row, team);
            other_rate > own || (other_rate == own && *other < worker)
        });
        slots / workers + u32::from(ranked_before.count() < remainder)
    }

    /// Returns the fraction of the node's rate that a worker may use. The fractions of all workers
    /// add up to 1.
    fn worker_fraction(&self, own: f64, all: f64) -> f64 {
        let even = 1.0 / self.rows.len().max(1) as f64;
        if all <= 0.0 {
            return even;
        }
        EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / all
    }
}

fn rate(row: &Row, team: usize) -> f64 {
    row.rate.get(team).copied().unwrap_or(0.0)
}

fn in_flight(row: &Row, team: usize) -> f64 {
    row.in_flight.get(team).copied().map_or(0.0, f64::from)
}

/// Converts the limits of the bundle's teams to the form that `member` uses.
pub fn team_limits(bundle: &Bundle) -> Vec<Limit> {
    let teams = bundle.teams.iter();
    teams
        .map(|t| Limit {
            team: item::team(&t.name),
            rate: t.rate,
            in_flight: f64::from(t.in_flight),
        })
        .collect()
}
