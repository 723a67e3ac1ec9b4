//! Failure detection for engines: which polls and closings lead to a verdict, and when.

use node::hosted::control::liveness::{Action, Evidence, Liveness, Watch};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Poll interval that follows from a pause target of 250 ms.
const INTERVAL: Duration = ms(150);
const SERVICE: &str = "model";

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How an engine behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Engine {
    /// Answers after a time.
    Answers(Duration),
    /// Accepts connections and answers nothing.
    Dark,
    /// Refuses connections.
    Gone,
}

/// What arrives at the node.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    Accepted,
    Answered(Duration),
    Refused,
}

/// A node that watches engines, and the engines; a round trip takes a millisecond.
struct World {
    start: Instant,
    now: Instant,
    liveness: Liveness,
    engines: BTreeMap<String, Engine>,
    isolated: BTreeSet<String>,
    arrivals: Vec<(Instant, String, Arrival)>,
    /// Verdicts and withdrawals with their times.
    verdicts: Vec<(Duration, String, Option<Evidence>)>,
    renewals: usize,
    polls: usize,
}

impl World {
    fn new(engines: usize) -> Self {
        let start = Instant::now();
        let engines = (0..engines).map(|n| (format!("e{n}@1"), Engine::Answers(ms(1))));
        let mut world = Self {
            start,
            now: start,
            liveness: Liveness::default(),
            engines: engines.collect(),
            isolated: BTreeSet::new(),
            arrivals: Vec::new(),
            verdicts: Vec::new(),
            renewals: 0,
            polls: 0,
        };
        world.watch();
        world.run(ms(1_000));
        world
    }

    fn watch(&mut self) {
        let watch = |run: &String| Watch {
            run: run.clone(),
            service: SERVICE.to_owned(),
            interval: Some(INTERVAL),
        };
        let watched = self.engines.keys().map(watch).collect();
        self.liveness
            .update(self.now, watched, self.isolated.clone());
    }

    /// Ends the process of an engine; its connections close at once.
    fn crash(&mut self, run: &str) {
        self.engines.insert(run.to_owned(), Engine::Gone);
        self.liveness.closed(self.now, run);
        self.act();
    }

    fn poll(&mut self, run: &str, new: bool) {
        self.polls += 1;
        let later = |delay: Duration| self.now + ms(1) + delay;
        let run = run.to_owned();
        match self.engines[&run] {
            Engine::Answers(time) => {
                if new {
                    self.arrivals
                        .push((later(ms(0)), run.clone(), Arrival::Accepted));
                }
                let arrival = Arrival::Answered(time + ms(1));
                self.arrivals.push((later(time), run, arrival));
            }
            Engine::Dark => self.arrivals.push((later(ms(0)), run, Arrival::Accepted)),
            Engine::Gone => self.arrivals.push((later(ms(0)), run, Arrival::Refused)),
        }
    }

    fn act(&mut self) {
        let after = self.now - self.start;
        for action in self.liveness.take_actions() {
            match action {
                Action::Poll { run, kept } => self.poll(&run, !kept),
                Action::FindWitness { .. } => {
                    let suspects = self.liveness.suspects();
                    let runs = self.engines.keys();
                    let others = runs.filter(|run| !suspects.contains(run.as_str()));
                    let others: Vec<String> = others.take(4).cloned().collect();
                    others.iter().for_each(|run| self.poll(run, true));
                }
                Action::Ended { renewal: true, .. } => self.renewals += 1,
                Action::Ended { run, evidence, .. } => {
                    self.verdicts.push((after, run, Some(evidence)))
                }
                Action::Withdraw { run, .. } => self.verdicts.push((after, run, None)),
                Action::Drop { .. } => {}
            }
        }
    }

    /// Advances the time in steps of a millisecond.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(1);
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self.arrivals.extract_if(.., |a| a.0 <= now).collect();
        for (_, run, arrival) in arrived {
            match arrival {
                Arrival::Accepted => self.liveness.accepted(now, &run, SERVICE),
                Arrival::Answered(time) => self.liveness.answered(now, &run, SERVICE, time),
                Arrival::Refused => self.liveness.refused(now, &run),
            }
            self.act();
        }
        if self.liveness.next_deadline().is_some_and(|at| at <= now) {
            self.liveness.tick(now);
            self.act();
        }
    }

    /// Returns the only verdict and the time from `since` to it.
    fn verdict(&self, since: Instant) -> (Duration, Option<Evidence>) {
        let [(at, _, evidence)] = self.verdicts.as_slice() else {
            panic!("{:?}", self.verdicts);
        };
        (*at - (since - self.start), *evidence)
    }
}

/// Guards against a crash that is noticed only with the next poll. The aim is 60 ms for all nodes,
/// dissemination included.
#[test]
fn closed_connections_lead_to_a_verdict_at_once() {
    let mut world = World::new(29);
    let crashed = world.now;
    for run in ["e1@1", "e2@1", "e3@1"] {
        world.crash(run);
    }
    world.run(ms(900));
    assert_eq!(world.verdicts.len(), 3, "{:?}", world.verdicts);
    for (at, _, evidence) in &world.verdicts {
        assert_eq!(*evidence, Some(Evidence::Refused));
        assert!(*at - (crashed - world.start) <= ms(10), "{at:?}");
    }
}

/// Guards against a dark engine that is found late: polls every 150 ms, and 120 ms for two of them. A
/// stopped process still has its connections accepted by the kernel.
#[test]
fn a_dark_engine_is_found_by_two_unanswered_polls() {
    for phase in 0..15 {
        let mut world = World::new(8);
        world.run(ms(phase * 10));
        let dark_at = world.now;
        world.engines.insert("e1@1".to_owned(), Engine::Dark);
        world.run(ms(900));
        let (after, evidence) = world.verdict(dark_at);
        assert_eq!(evidence, Some(Evidence::Unanswered));
        assert!(after <= INTERVAL + ms(80 + 40 + 5), "{after:?}");
    }
}

/// Guards against verdicts of a node that lost its own paths, or whose worker found that it did.
#[test]
fn no_verdict_without_a_witness_or_while_isolated() {
    for engine in [Engine::Dark, Engine::Gone] {
        let mut world = World::new(8);
        world.engines.values_mut().for_each(|e| *e = engine);
        world.run(ms(5_000));
        assert_eq!(world.verdicts, [], "no witness, {engine:?}");
        // At most 4 witnesses in 10 ms while all engines fail.
        assert!(world.polls < 5_000, "{}", world.polls);

        let mut world = World::new(8);
        world.isolated.insert(SERVICE.to_owned());
        world.watch();
        world.engines.insert("e1@1".to_owned(), engine);
        world.run(ms(2_000));
        assert_eq!(world.verdicts, [], "isolated, {engine:?}");
    }
}

/// Guards against verdicts on engines whose answers wait in the sockets of a process that ran late.
#[test]
fn a_late_process_gives_no_verdict_on_unanswered_polls() {
    let mut world = World::new(8);
    world.engines.insert("e1@1".to_owned(), Engine::Dark);
    for _ in 0..100 {
        world.now += ms(40);
        world.step();
    }
    assert_eq!(world.verdicts, []);
    world.run(ms(500));
    assert_eq!(world.verdicts.len(), 1, "once it runs on time");
}

/// Guards against a verdict that stays on an engine that is slow but alive, and against one that comes
/// again and again: after the first late answer its polls get more time.
#[test]
fn a_slow_engine_is_alive() {
    let mut world = World::new(8);
    world
        .engines
        .insert("e1@1".to_owned(), Engine::Answers(ms(250)));
    world.run(ms(20_000));
    let evidence: Vec<_> = world.verdicts.iter().map(|v| v.2).collect();
    assert_eq!(evidence, [Some(Evidence::Unanswered), None]);
}

/// Guards against a verdict that is lost while an engine stays away, and one that outlasts its return.
#[test]
fn a_verdict_is_renewed_and_withdrawn() {
    let mut world = World::new(8);
    world.engines.insert("e1@1".to_owned(), Engine::Dark);
    world.run(ms(5_000));
    assert!(world.renewals >= 4, "{}", world.renewals);
    world
        .engines
        .insert("e1@1".to_owned(), Engine::Answers(ms(1)));
    world.liveness.request_poll(world.now, "e1@1");
    world.act();
    world.run(ms(10));
    assert_eq!(world.verdicts.last().map(|v| v.2), Some(None));
    let renewals = world.renewals;
    world.run(ms(3_000));
    assert_eq!(world.renewals, renewals);
}

/// Guards against a verdict on an engine that only closed its connection, and against endless polls of
/// one that closes each of them.
#[test]
fn a_closed_connection_alone_is_no_verdict() {
    let mut world = World::new(8);
    let before = world.polls;
    for _ in 0..100 {
        world.liveness.closed(world.now, "e1@1");
        world.act();
        world.run(ms(10));
    }
    assert_eq!(world.verdicts, []);
    assert!(
        world.polls - before < 8 * 8 + 20,
        "{}",
        world.polls - before
    );
}

/// Guards against the verdict being withdrawn when a new run answers at the address of an ended one.
#[test]
fn a_later_run_at_the_address_ends_the_earlier_one() {
    let mut world = World::new(2);
    world.liveness.replaced(world.now, "e1@1");
    world.act();
    assert_eq!(world.verdict(world.now).1, Some(Evidence::Replaced));
}

/// Guards against verdicts on many sound engines at once while the link of their node is full: their polls
/// are unanswered, and the few that answer are taken for witnesses.
#[test]
fn many_unanswered_engines_give_no_verdict() {
    for (dark, verdicts) in [(4, 4), (12, 0), (20, 0)] {
        let mut world = World::new(29);
        world.run(ms(70));
        for engine in world.engines.values_mut().take(dark) {
            *engine = Engine::Dark;
        }
        world.run(ms(400));
        assert_eq!(world.verdicts.len(), verdicts, "{dark} of 29 engines");
    }
}

/// Guards against suspicions of a dark engine that are dropped since a slow engine beside it answers after
/// its next poll was due, which made this process seem late.
#[test]
fn a_dark_engine_is_found_beside_a_slow_one() {
    let mut world = World::new(8);
    world
        .engines
        .insert("e2@1".to_owned(), Engine::Answers(ms(300)));
    world.run(ms(5_000));
    world.verdicts.clear();
    let dark_at = world.now;
    world.engines.insert("e1@1".to_owned(), Engine::Dark);
    world.run(ms(900));
    let (after, evidence) = world.verdict(dark_at);
    assert_eq!(evidence, Some(Evidence::Unanswered));
    assert!(after <= INTERVAL + ms(80 + 40 + 5), "{after:?}");
}

/// Guards against polls that take a noticeable part of an engine's time from its requests.
#[test]
fn engines_whose_polls_take_long_are_not_polled_often() {
    let mut world = World::new(8);
    for engine in world.engines.values_mut() {
        *engine = Engine::Answers(ms(6));
    }
    world.run(ms(5_000));
    let polls = world.polls;
    world.run(ms(5_000));
    assert_eq!(world.polls, polls);
    assert_eq!(world.verdicts, []);
}
