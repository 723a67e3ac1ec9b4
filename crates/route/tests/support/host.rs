//! Simulated endpoint: serves hops first come, first served, and caches prompt prefixes.
#![allow(dead_code)]

use bundle::Bundle;
use bundle::endpoint::Endpoint;
use bundle::id::{Layer, ZoneId};
use route::load::Report;
use route::request::Id;
use route::{Attempt, Now};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Number of prompt tokens that cost as much as one generated token.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 16.0;
/// Number of tokens in a block of a prompt.
pub const BLOCK: u32 = 64;
/// Duration of a call of a plain service.
const CALL_TIME: Duration = Duration::from_millis(40);

/// Work of one hop.
pub struct Cost<'a> {
    pub layers: Layer,
    pub prompt: u32,
    pub prefix: &'a [u64],
}

/// Simulated endpoint.
pub struct Host {
    pub zone: ZoneId,
    pub slots: usize,
    pub alive: bool,
    pub unresponsive: bool,
    pub leaving: bool,
    /// Whether it answers that it cannot compute.
    pub compute_error: bool,
    pub slowdown: f64,
    /// Number of prefix blocks that fit in the cache.
    pub cache_capacity: usize,
    pub running: BTreeSet<(usize, Id, Attempt)>,
    /// Numbers of prefix blocks found and not found in the cache.
    pub hits: u64,
    pub misses: u64,
    /// Time spent computing.
    pub busy_time: Duration,
    speed: f64,
    busy_until: Now,
    cache: VecDeque<u64>,
    mean_time: f64,
}

impl Host {
    pub fn new(bundle: &Bundle, endpoint: &Endpoint) -> Self {
        Self {
            zone: endpoint.zone,
            slots: endpoint.slots as usize,
            alive: true,
            unresponsive: false,
            leaving: false,
            compute_error: false,
            slowdown: 1.0,
            cache_capacity: 128,
            running: BTreeSet::new(),
            hits: 0,
            misses: 0,
            busy_time: Duration::ZERO,
            speed: endpoint
                .kind
                .map_or(0.0, |k| bundle.kinds[k as usize].layers_per_second),
            busy_until: Now::ZERO,
            cache: VecDeque::new(),
            mean_time: 0.0,
        }
    }

    pub fn restart(&mut self, now: Now) {
        self.alive = true;
        self.unresponsive = false;
        self.compute_error = false;
        self.slowdown = 1.0;
        self.busy_until = now;
        self.cache.clear();
    }

    /// Returns the completion time of a hop that is ready at `ready`.
    pub fn serve(&mut self, ready: Now, cost: &Cost) -> Now {
        if self.speed == 0.0 {
            return ready + CALL_TIME.mul_f64(self.slowdown);
        }
        let known = cost
            .prefix
            .iter()
            .take_while(|h| self.cache.contains(h))
            .count() as u32;
        self.hits += u64::from(known);
        self.misses += cost.prefix.len() as u64 - u64::from(known);
        for &hash in cost.prefix.iter().rev() {
            self.cache.retain(|&h| h != hash);
            self.cache.push_back(hash);
        }
        while self.cache.len() > self.cache_capacity {
            self.cache.pop_front();
        }
        let prompt = cost.prompt.saturating_sub(known * BLOCK);
        let tokens = 1.0 + f64::from(prompt) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        let time = tokens * f64::from(cost.layers) / self.speed * self.slowdown;
        self.busy_time += Duration::from_secs_f64(time);
        let done = ready.max(self.busy_until) + Duration::from_secs_f64(time);
        self.mean_time += 0.05 * ((done - ready).as_secs_f64() - self.mean_time);
        self.busy_until = done;
        done
    }

    pub fn report(&self, age: Duration) -> Report {
        let running = self.running.len() as u32;
        Report {
            running,
            waiting: 0,
            inter_token: Duration::from_secs_f64(self.mean_time),
            age,
        }
    }
}
