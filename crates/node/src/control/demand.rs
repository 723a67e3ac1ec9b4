//! What teams ask of this node, and the shares of their limits that each worker may use.
//!
//! The node's share comes from `member::team`. It is split over the workers by what each of
//! them is asked for, with a part that is split evenly: the kernel spreads connections over the
//! workers by chance, so a worker that has had no request of a team yet must be able to take one.

use bundle::Bundle;
use bundle::digest::Digest;
use entry::core::Demand as Asked;
use member::demand::{Demand, Limit};
use member::item;
use member::team::Share;
use route::view;
use std::time::Duration;

/// Part of a node's share that is split evenly over its workers.
const EVEN: f64 = 0.5;
/// Weight of the newest rate in the moving average.
const NEWEST: f64 = 0.5;

/// What one worker was asked for, by team of one bundle.
#[derive(Clone, Debug, Default)]
struct Row {
    asked: Vec<u64>,
    rate: Vec<f64>,
    in_flight: Vec<u32>,
    at: Duration,
}

/// Demand by worker and team.
#[derive(Debug, Default)]
pub struct Table {
    bundle: Digest,
    rows: Vec<Row>,
}

impl Table {
    /// A table for so many workers.
    pub fn new(workers: usize) -> Self {
        Self {
            bundle: Digest::default(),
            rows: vec![Row::default(); workers],
        }
    }

    /// Takes what a worker tells. Counts for another bundle start anew: team ids differ.
    pub fn take(&mut self, now: Duration, worker: usize, bundle: Digest, teams: &[Asked]) {
        if bundle != self.bundle {
            let workers = self.rows.len();
            *self = Self::new(workers);
            self.bundle = bundle;
        }
        let Some(row) = self.rows.get_mut(worker) else {
            return;
        };
        let first = row.asked.len() != teams.len();
        let time = now.saturating_sub(row.at).as_secs_f64();
        row.rate.resize(teams.len(), 0.0);
        row.asked.resize(teams.len(), 0);
        if !first && time > 0.0 {
            for (i, team) in teams.iter().enumerate() {
                let newest = team.received.saturating_sub(row.asked[i]) as f64 / time;
                row.rate[i] += NEWEST * (newest - row.rate[i]);
            }
        }
        row.asked = teams.iter().map(|t| t.received).collect();
        row.in_flight = teams.iter().map(|t| t.in_flight).collect();
        row.at = now;
    }

    /// What teams ask of the node, in the order of the bundle's teams.
    pub fn node(&self, bundle: &Bundle) -> Vec<Demand> {
        let teams = 0..bundle.teams.len();
        teams.map(|team| self.sum(team)).collect()
    }

    fn sum(&self, team: usize) -> Demand {
        let rates = self.rows.iter().map(|r| rate(r, team));
        let flights = self.rows.iter().map(|r| flying(r, team));
        Demand {
            rate: rates.sum(),
            in_flight: flights.sum(),
        }
    }

    /// One worker's part of the node's shares.
    pub fn worker(&self, worker: usize, shares: &[Share], key: u64) -> Vec<view::Share> {
        let split = |(team, share): (usize, &Share)| {
            let sum = self.sum(team);
            let row = &self.rows[worker];
            // Each team has its own chance of rounding up, else one node would get all of them.
            let slots = member::share::slots(share.in_flight, key.rotate_left(team as u32));
            view::Share {
                rate: share.rate * self.part(rate(row, team), sum.rate),
                in_flight: f64::from(self.slots(worker, team, slots)),
            }
        };
        shares.iter().enumerate().map(split).collect()
    }

    /// A worker's part of a node's slots. They are split in whole numbers: a fraction on each of
    /// several workers would admit one request on each, and together more than the limit.
    fn slots(&self, worker: usize, team: usize, slots: u32) -> u32 {
        let workers = u32::try_from(self.rows.len()).unwrap_or(u32::MAX).max(1);
        let rest = (slots % workers) as usize;
        let before = self.rows.iter().enumerate().filter(|(other, row)| {
            let own = rate(&self.rows[worker], team);
            let other_rate = rate(row, team);
            other_rate > own || (other_rate == own && *other < worker)
        });
        slots / workers + u32::from(before.count() < rest)
    }

    /// A worker's part: the parts of all workers add up to 1.
    fn part(&self, own: f64, all: f64) -> f64 {
        let even = 1.0 / self.rows.len().max(1) as f64;
        if all <= 0.0 {
            return even;
        }
        EVEN * even + (1.0 - EVEN) * own / all
    }
}

fn rate(row: &Row, team: usize) -> f64 {
    row.rate.get(team).copied().unwrap_or(0.0)
}

fn flying(row: &Row, team: usize) -> f64 {
    row.in_flight.get(team).copied().map_or(0.0, f64::from)
}

/// Limits of the bundle's teams, as membership wants them.
pub fn limits(bundle: &Bundle) -> Vec<Limit> {
    let teams = bundle.teams.iter();
    teams
        .map(|t| Limit {
            team: item::team(&t.name),
            rate: t.rate,
            in_flight: f64::from(t.in_flight),
        })
        .collect()
}
