//! Test cases: a fleet, a load and a list of faults in text form. Cases are drawn from a seed, run,
//! and shrunk.
#![allow(dead_code)]

use super::fixture;
use super::world::{Fault, Handler, World};
use bundle::Bundle;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::request::{Id, Request, Target};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Test case.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Seed of the load and of the routers.
    pub seed: u64,
    /// Number of two-stage replicas per zone.
    pub replicas: usize,
    /// Slots per endpoint.
    pub slots: u32,
    pub nodes: usize,
    /// Index of the first request; earlier ones are drawn but not sent.
    pub first: u64,
    /// Number of requests.
    pub requests: u64,
    /// Time between two requests, in milliseconds.
    pub interval_ms: u64,
    /// One request in this many crashes the endpoints that run it; 0 for none.
    pub crasher_interval: u64,
    /// Faults with their times in milliseconds.
    pub faults: Vec<(u64, Fault)>,
}

/// Time after the last request by which all requests must have ended.
const SETTLE: Duration = Duration::from_secs(40);
/// Time after which the caller of a crashing request sends it again, and number of repetitions.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);
const MAX_RESENDS: u32 = 4;
/// One caller in this many disconnects early.
const DISCONNECT_INTERVAL: u64 = 13;
/// Number of endpoints of plain services in the fleet.
const PLAIN_SERVICES: usize = 3;

impl Case {
    /// Draws a case with all kinds of faults: single, simultaneous and repeated ones.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas = rng.random_range(1..=3);
        let hosts = replicas * 6 + PLAIN_SERVICES;
        let every = rng.random_range(5..40);
        let requests = rng.random_range(100..300);
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(1..10) {
            let at = rng.random_range(100..every * requests + 1000);
            faults.extend(draw_fault(&mut rng, at, hosts));
        }
        faults.sort_by_key(|f| f.0);
        Self {
            seed,
            replicas,
            slots: rng.random_range(1..10),
            nodes: rng.random_range(1..=3),
            first: 0,
            requests,
            interval_ms: every,
            crasher_interval: if rng.random_bool(0.3) {
                rng.random_range(40..120)
            } else {
                0
            },
            faults,
        }
    }

    /// Returns the fleet of the case.
    pub fn bundle(&self) -> Bundle {
        let mut bundle = fixture::fleet(self.replicas, self.slots, 3);
        for zone in 0..PLAIN_SERVICES {
            fixture::plain(&mut bundle, zone as u16, self.slots);
        }
        bundle
    }

    /// Prepares the world of the case, with its requests and faults scheduled.
    pub fn world<B: Handler>(&self, handler: impl Fn(u64) -> B) -> World<B> {
        let mut world = World::new(self.bundle(), self.nodes, self.seed, handler);
        world.report_delay = Duration::from_millis(200);
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x10ad);
        for i in 0..self.first + self.requests {
            let request = self.request(i, &mut rng);
            let node = rng.random_range(0..self.nodes);
            if i < self.first {
                continue;
            }
            if self.crasher_interval > 0 && i % self.crasher_interval == self.crasher_interval / 2 {
                world.crashers.push(request.fingerprint);
                self.resend(&mut world, i, &request, &mut rng);
            }
            let at = Duration::from_millis(i * self.interval_ms);
            if i % DISCONNECT_INTERVAL == 0 {
                let stay = Duration::from_millis(i * 37 % 900);
                world.depart(at + stay, request.id);
            }
            world.arrive(at, node, request);
        }
        self.faults
            .iter()
            .for_each(|&(at, f)| world.fault(Duration::from_millis(at), f));
        world
    }

    /// Schedules the repetitions of a request that crashes endpoints.
    fn resend<B: Handler>(
        &self,
        world: &mut World<B>,
        i: u64,
        request: &Request,
        rng: &mut ChaCha8Rng,
    ) {
        for again in 1..=MAX_RESENDS {
            let at = Duration::from_millis(i * self.interval_ms) + RESEND_INTERVAL * again;
            let id = request.id + Id::from(again) * 1_000_000;
            let deadline = at + RESEND_INTERVAL * 4;
            let node = rng.random_range(0..self.nodes);
            world.arrive(
                at,
                node,
                Request {
                    id,
                    deadline,
                    ..request.clone()
                },
            );
        }
    }

    /// Runs the case and returns all violations.
    pub fn run<B: Handler>(&self, handler: impl Fn(u64) -> B) -> Vec<String> {
        let mut world = self.world(handler);
        world.run(self.end());
        let mut wrong = world.all_violations();
        let open = world.open_calls();
        if open > 0 {
            wrong.push(format!("{open} requests never ended"));
        }
        wrong
    }

    /// Returns the time by which all requests must have ended.
    pub fn end(&self) -> Duration {
        let last = self.faults.last().map_or(0, |f| f.0);
        let load = (self.first + self.requests) * self.interval_ms;
        Duration::from_millis(load.max(last)) + SETTLE
    }

    fn request(&self, i: u64, rng: &mut ChaCha8Rng) -> Request {
        let at = Duration::from_millis(i * self.interval_ms + 1000);
        let deadline = at + Duration::from_millis(rng.random_range(300..20_000));
        let base = fixture::request(Id::from(i), deadline);
        let service = rng.random_bool(0.15);
        // One request in ten has the same body as an earlier one, like a request that is sent
        // again.
        let fingerprint = if rng.random_bool(0.1) { i / 2 } else { i };
        Request {
            team: rng.random_range(0..3),
            target: if service {
                Target::Service(0)
            } else {
                base.target
            },
            priority: rng.random_range(0..3),
            repeatable: !service && rng.random_bool(0.8),
            max_tokens: rng.random_range(1..60),
            prompt_tokens: rng.random_range(1..800),
            prefix: (0..4).map(|b| rng.random_range(0..3) * 10 + b).collect(),
            fingerprint: fingerprint + 1000,
            ..base
        }
    }

    /// Returns the smallest case found for which `fails` still holds.
    pub fn shrink(&self, fails: impl Fn(&Case) -> bool) -> Case {
        let mut best = self.clone();
        loop {
            let smaller = best.smaller_cases().into_iter().find(|c| fails(c));
            match smaller {
                Some(case) => best = case,
                None => return best,
            }
        }
    }

    fn smaller_cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for at in 0..self.faults.len() {
            let mut case = self.clone();
            case.faults.remove(at);
            cases.push(case);
        }
        let half = self.requests / 2;
        for (first, requests) in [
            (self.first, half),
            (self.first + half, self.requests - half),
            (self.first + 1, self.requests - 1),
            (self.first, self.requests.saturating_sub(1)),
        ] {
            if requests > 0 && requests < self.requests {
                cases.push(Case {
                    first,
                    requests,
                    ..self.clone()
                });
            }
        }
        if self.nodes > 1 {
            cases.push(Case {
                nodes: self.nodes - 1,
                ..self.clone()
            });
        }
        cases
    }
}

/// Draws a fault with its end, two simultaneous faults, or the same fault twice.
fn draw_fault(rng: &mut ChaCha8Rng, at: u64, hosts: usize) -> Vec<(u64, Fault)> {
    let host = rng.random_range(0..hosts);
    let zone = rng.random_range(0..3);
    let end = at + rng.random_range(200..8000);
    match rng.random_range(0..10) {
        0 => vec![(at, Fault::Die(host)), (end, Fault::Restart(host))],
        1 => vec![(at, Fault::Unresponsive(host)), (end, Fault::Restart(host))],
        2 => vec![(at, Fault::SilenceConnections(host))],
        3 => vec![(at, Fault::Slow(host, 30.0)), (end, Fault::Slow(host, 1.0))],
        4 => vec![(at, Fault::Leave(host))],
        5 => vec![(at, Fault::LoseZone(zone)), (end, Fault::RestartZone(zone))],
        6 => vec![(at, Fault::Publish)],
        7 => vec![(at, Fault::ComputeError(host)), (end, Fault::Restart(host))],
        8 => {
            let other = rng.random_range(0..hosts);
            let both = [
                (at, Fault::Die(host)),
                (at, Fault::SilenceConnections(other)),
            ];
            [&both[..], &[(end, Fault::Restart(host))]].concat()
        }
        _ => {
            let again = end + 100;
            let once = [(at, Fault::Die(host)), (end, Fault::Restart(host))];
            [
                &once[..],
                &[
                    (again, Fault::Die(host)),
                    (again + 3000, Fault::Restart(host)),
                ],
            ]
            .concat()
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(f, "fleet {} {}", self.replicas, self.slots)?;
        writeln!(f, "nodes {}", self.nodes)?;
        writeln!(
            f,
            "load {} {} {}",
            self.first, self.requests, self.interval_ms
        )?;
        writeln!(f, "crashers {}", self.crasher_interval)?;
        self.faults.iter().try_for_each(|(at, fault)| match fault {
            Fault::Die(h) => writeln!(f, "at {at} die {h}"),
            Fault::Restart(h) => writeln!(f, "at {at} back {h}"),
            Fault::Unresponsive(h) => writeln!(f, "at {at} mute {h}"),
            Fault::ComputeError(h) => writeln!(f, "at {at} sick {h}"),
            Fault::SilenceConnections(h) => writeln!(f, "at {at} hush {h}"),
            Fault::Slow(h, by) => writeln!(f, "at {at} slow {h} {by}"),
            Fault::Leave(h) => writeln!(f, "at {at} leave {h}"),
            Fault::LoseZone(z) => writeln!(f, "at {at} lose {z}"),
            Fault::RestartZone(z) => writeln!(f, "at {at} regain {z}"),
            Fault::Publish => writeln!(f, "at {at} publish"),
        })
    }
}

impl FromStr for Case {
    type Err = String;

    /// Parses the text form; lines that start with `#` are comments.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut case = Case {
            seed: 0,
            replicas: 1,
            slots: 1,
            nodes: 1,
            first: 0,
            requests: 0,
            interval_ms: 1,
            crasher_interval: 0,
            faults: Vec::new(),
        };
        let lines = text
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'));
        for line in lines {
            let words: Vec<&str> = line.split_whitespace().collect();
            case.parse_line(&words)
                .ok_or(format!("cannot read: {line}"))?;
        }
        Ok(case)
    }
}

impl Case {
    fn parse_line(&mut self, words: &[&str]) -> Option<()> {
        let number = |at: usize| words.get(at)?.parse::<u64>().ok();
        match *words.first()? {
            "seed" => self.seed = number(1)?,
            "fleet" => (self.replicas, self.slots) = (number(1)? as usize, number(2)? as u32),
            "nodes" => self.nodes = number(1)? as usize,
            "load" => {
                (self.first, self.requests, self.interval_ms) = (number(1)?, number(2)?, number(3)?)
            }
            "crashers" => self.crasher_interval = number(1)?,
            "at" => {
                let which = || number(3).map(|n| n as usize);
                let fault = match *words.get(2)? {
                    "die" => Fault::Die(which()?),
                    "back" => Fault::Restart(which()?),
                    "mute" => Fault::Unresponsive(which()?),
                    "sick" => Fault::ComputeError(which()?),
                    "hush" => Fault::SilenceConnections(which()?),
                    "slow" => Fault::Slow(which()?, words.get(4)?.parse().ok()?),
                    "leave" => Fault::Leave(which()?),
                    "lose" => Fault::LoseZone(which()? as u16),
                    "regain" => Fault::RestartZone(which()? as u16),
                    "publish" => Fault::Publish,
                    _ => return None,
                };
                self.faults.push((number(1)?, fault));
            }
            _ => return None,
        }
        Some(())
    }
}
