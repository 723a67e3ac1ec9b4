//! Randomised runs of folds, publishers and the checkpoint policy against one log that is slow,
//! down, trimmed, and loses answers or delays effects. A reference fold that reads every record
//! ever appended says what must come out.

mod common;

use bundle::Bundle;
use bundle::checkpoint::{Policy, Settings};
use bundle::digest::Digest;
use bundle::fold::{Fold, Verdict};
use bundle::publish::{Action, Event, Outcome, Publisher};
use bundle::sign;
use common::{mira, signers, text, tuya};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NODES: usize = 8;
const RETENTION: u64 = 240;
/// Runs and steps (a step is a second of the log's time); broken ones need fewer runs.
const SEEDS: u64 = 24;
const BROKEN_SEEDS: u64 = 4;
const STEPS: u64 = 600;

/// What a run's log does wrong.
#[derive(Clone, Copy, PartialEq)]
enum Broken {
    /// Nothing beyond the faults of the platform.
    No,
    /// Publishers append without reading back after a lost answer, under a new number.
    Resigned,
    /// Nobody writes checkpoints.
    NoCheckpoints,
    /// Nodes judge in spite of a gap: they are told that nothing was dropped.
    NoGaps,
    /// Readers see the records of some pages in another order.
    Swapped,
}

/// A log with retention.
#[derive(Default)]
struct Log {
    /// All records ever, with the time of their append.
    records: Vec<(u64, Vec<u8>)>,
    first: usize,
    down: bool,
    swapped: bool,
}

impl Log {
    fn append(&mut self, now: u64, body: &[u8]) -> u64 {
        self.records.push((now, body.to_vec()));
        self.records.len() as u64 - 1
    }

    fn trim(&mut self, now: u64) {
        while self
            .records
            .get(self.first)
            .is_some_and(|r| r.0 + RETENTION < now)
        {
            self.first += 1;
        }
    }

    /// Applies up to `most` records to `fold`; whether the end was reached. `first` as told.
    fn read(&self, fold: &mut Fold, most: usize, first: u64) -> bool {
        let from = fold.next_offset().max(self.first as u64) as usize;
        let page = self.records.iter().enumerate().skip(from).take(most);
        let page: Vec<_> = page.map(|(i, r)| (i as u64, r.1.as_slice())).collect();
        let end = page.is_empty();
        let page = if self.swapped { swap(page) } else { page };
        fold.apply_page(first, page);
        end
    }
}

/// The bodies of the first two records of a page, swapped.
fn swap(mut page: Vec<(u64, &[u8])>) -> Vec<(u64, &[u8])> {
    if let [a, b, ..] = page.as_mut_slice() {
        std::mem::swap(&mut a.1, &mut b.1);
    }
    page
}

/// A fold that reads every record, also those that the log has dropped.
struct Reference {
    fold: Fold,
    /// Digests of all heads, by number.
    heads: BTreeMap<u64, Digest>,
    /// Identities of all versions that were accepted.
    accepted: BTreeSet<Digest>,
}

impl Reference {
    fn new() -> Self {
        let fold = Fold::new(signers());
        Self {
            fold,
            heads: BTreeMap::new(),
            accepted: BTreeSet::new(),
        }
    }

    fn read(&mut self, log: &Log) {
        let from = self.fold.next_offset() as usize;
        for (i, (_, body)) in log.records.iter().enumerate().skip(from) {
            if let Verdict::Accepted(bundle) = self.fold.apply(i as u64, body) {
                self.heads.insert(bundle.number, bundle.digest);
                let entry = self.fold.history().next_back().unwrap();
                self.accepted.insert(entry.id);
            }
        }
    }
}

/// An operator who publishes versions, one after the other.
struct Operator {
    name: &'static str,
    key: sign::SigningKey,
    fold: Fold,
    work: Option<(Publisher, Action)>,
}

/// A run.
struct World {
    random: ChaCha8Rng,
    broken: Broken,
    now: u64,
    log: Log,
    nodes: Vec<(Fold, Policy)>,
    operators: Vec<Operator>,
    /// Appends that take effect later: when, and what.
    late: Vec<(u64, Vec<u8>)>,
    outcomes: Vec<(Digest, Outcome)>,
    outage: u64,
    reference: Reference,
}

impl World {
    fn new(seed: u64, broken: Broken) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|_| node(&mut random)).collect();
        let operator = |name, key| Operator {
            name,
            key,
            fold: Fold::new(signers()),
            work: None,
        };
        let log = Log {
            swapped: broken == Broken::Swapped,
            ..Log::default()
        };
        Self {
            random,
            broken,
            now: 0,
            log,
            nodes,
            operators: vec![operator("mira", mira()), operator("tuya", tuya())],
            late: Vec::new(),
            outcomes: Vec::new(),
            outage: 0,
            reference: Reference::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn first(&self) -> u64 {
        if self.broken == Broken::NoGaps {
            0
        } else {
            self.log.first as u64
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.log.trim(self.now);
        self.outage = self.outage.saturating_sub(1);
        if self.outage == 0 && self.chance(1) {
            self.outage = self.random.random_range(5..60);
        }
        self.log.down = self.outage > 0;
        self.land_late();
        for i in 0..NODES {
            self.step_node(i);
        }
        for i in 0..self.operators.len() {
            self.step_operator(i);
        }
    }

    fn land_late(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |l| l.0 <= now).collect();
        for (_, body) in due {
            self.log.append(now, &body);
        }
    }

    fn step_node(&mut self, i: usize) {
        if self.chance(1) {
            self.nodes[i] = node(&mut self.random);
        }
        let first = self.first();
        let wall = Duration::from_secs(self.now);
        if !self.log.down && self.chance(60) {
            let most = self.random.random_range(1..6);
            self.log.read(&mut self.nodes[i].0, most, first);
            let (fold, policy) = &mut self.nodes[i];
            if policy.poll(wall, wall, first, fold) && self.broken != Broken::NoCheckpoints {
                let body = fold.checkpoint(wall).unwrap();
                self.log.append(self.now, &body);
            }
        }
        if self.chance(30) {
            let peer = self.random.random_range(0..NODES);
            let number = self.nodes[i].0.head().map_or(0, |b| b.number);
            for body in self.nodes[peer].0.records_since(number) {
                self.nodes[i].0.adopt(&body);
            }
        }
    }

    fn step_operator(&mut self, i: usize) {
        let Some((mut publish, action)) = self.operators[i].work.take() else {
            self.begin(i);
            return;
        };
        let event = match action {
            Action::Read { .. } if self.log.down => Event::Failed { unsure: false },
            Action::Read { .. } => {
                let first = self.first();
                let most = self.random.random_range(1..20);
                let end = self.log.read(&mut self.operators[i].fold, most, first);
                Event::Read { end }
            }
            Action::Append => self.append(publish.body()),
            Action::Done(outcome) => {
                let id = publish.version().envelope.header.id();
                self.outcomes.push((id, outcome));
                return;
            }
        };
        let action = publish.step(&self.operators[i].fold, event);
        self.operators[i].work = Some((publish, action));
    }

    /// An append with every kind of end.
    fn append(&mut self, body: &[u8]) -> Event {
        if self.log.down {
            return Event::Failed { unsure: false };
        }
        match self.random.random_range(0..10) {
            0 => Event::Failed { unsure: true },
            1 => {
                let late = self.now + self.random.random_range(1..30);
                self.late.push((late, body.to_vec()));
                Event::Failed { unsure: true }
            }
            2..4 => {
                self.log.append(self.now, body);
                Event::Failed {
                    unsure: self.broken != Broken::Resigned,
                }
            }
            _ => Event::Appended(self.log.append(self.now, body)),
        }
    }

    /// Signs a new version on what the operator's view says.
    fn begin(&mut self, i: usize) {
        let first = self.first();
        if self.log.down || !self.chance(20) {
            return;
        }
        let rate = self.random.random_range(1..1_000);
        let text = text().replace("rate = 20", &format!("rate = {rate}"));
        let operator = &mut self.operators[i];
        while !self.log.read(&mut operator.fold, 100, first) {}
        let head = operator.fold.head().cloned();
        let signed = sign::sign_text(head.as_deref(), &text, operator.name, &operator.key);
        if let Ok(body) = signed {
            let mut publish = Publisher::new(body).unwrap();
            let action = publish.start();
            operator.work = Some((publish, action));
        }
    }

    /// Everything that is wrong.
    fn check(&mut self) -> Vec<String> {
        self.reference.read(&self.log);
        let mut wrong = Vec::new();
        for (i, (fold, _)) in self.nodes.iter().enumerate() {
            wrong.extend(fold.check().iter().map(|f| format!("node {i}: {f:?}")));
            let Some(head) = fold.head() else { continue };
            if self.reference.heads.get(&head.number) != Some(&head.digest) {
                wrong.push(format!(
                    "node {i}: version {} was never the head",
                    head.number
                ));
            }
        }
        wrong
    }

    /// Number and digest of what the whole log, untrimmed, came to.
    fn newest(&self) -> Option<(u64, Digest)> {
        let newest = self.reference.heads.last_key_value();
        newest.map(|(number, digest)| (*number, *digest))
    }

    /// What operators were told against what the log came to.
    fn check_outcomes(&self) -> Vec<String> {
        let accepted = &self.reference.accepted;
        let wrong = |(id, outcome): &(Digest, Outcome)| match (accepted.contains(id), outcome) {
            (true, Outcome::Accepted(_) | Outcome::Unsure) => None,
            (false, Outcome::Lost(winner)) if accepted.contains(&winner.id) => None,
            (false, Outcome::Superseded(_) | Outcome::Unsure | Outcome::Failed) => None,
            (false, Outcome::UnknownParent(_) | Outcome::Gap) => None,
            (_, outcome) => Some(format!("told: {outcome}")),
        };
        self.outcomes.iter().filter_map(wrong).collect()
    }
}

fn node(random: &mut ChaCha8Rng) -> (Fold, Policy) {
    let settings = Settings {
        retention: Duration::from_secs(RETENTION),
        max_versions: 64,
    };
    (Fold::new(signers()), Policy::new(settings, random.random()))
}

/// Runs; the first step's findings that has any, or none.
fn run(seed: u64, broken: Broken) -> (World, Vec<String>) {
    let mut world = World::new(seed, broken);
    for step in 0..STEPS {
        world.step();
        let wrong = if step % 20 == 0 {
            world.check()
        } else {
            Vec::new()
        };
        if !wrong.is_empty() {
            return (world, wrong);
        }
    }
    let mut wrong = world.check();
    wrong.extend(world.check_outcomes());
    (world, wrong)
}

/// A fold that starts from nothing on what the log still has.
fn fresh(world: &World) -> Option<std::sync::Arc<Bundle>> {
    let mut fold = Fold::new(signers());
    while !world.log.read(&mut fold, 3, world.first()) {}
    fold.head().cloned()
}

/// Two operators publish at once, again and again, and each is told whether its version won.
/// Answers are lost after the effect, effects come late, the log is out for up to a minute and
/// drops what is older than four, nodes restart and hear of heads from each other. No node may
/// ever show a version that the log as a whole didn't choose, and what operators are told must
/// be what the log came to, since an operator who is told wrong publishes twice or not at all.
#[test]
fn folds_agree_with_the_whole_log() {
    let mut accepted = 0;
    let mut lost = 0;
    let mut trimmed = 0;
    for seed in 0..SEEDS {
        let (world, wrong) = run(seed, Broken::No);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        let count = |f: fn(&Outcome) -> bool| world.outcomes.iter().filter(|o| f(&o.1)).count();
        accepted += count(|o| matches!(o, Outcome::Accepted(_)));
        lost += count(|o| matches!(o, Outcome::Lost(_)));
        trimmed += world.log.first;
    }
    println!("{accepted} accepted, {lost} lost, {trimmed} records trimmed");
    // The runs must reach what they are for.
    assert!(accepted > 500, "{accepted}");
    assert!(lost > 100, "{lost}");
    assert!(trimmed > 1_000, "{trimmed}");
}

/// All nodes are replaced at once and the log has dropped the first versions long ago: no node
/// has anything, and no peer either. The head must be found from checkpoints alone, or callers
/// would be refused until somebody publishes anew.
#[test]
fn the_trimmed_log_alone_gives_the_head() {
    for seed in 100..100 + SEEDS / 2 {
        let (world, wrong) = run(seed, Broken::No);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        assert!(world.log.first > 0);
        let head = fresh(&world).map(|b| (b.number, b.digest));
        assert_eq!(head, world.newest(), "seed {seed}");
    }
}

/// The invariants bite: without checkpoints, the head is lost with the first records.
#[test]
fn without_checkpoints_the_head_is_lost() {
    let lost = (0..BROKEN_SEEDS).filter(|seed| {
        let (world, _) = run(*seed, Broken::NoCheckpoints);
        fresh(&world).map(|b| b.number) != world.newest().map(|h| h.0)
    });
    assert!(lost.count() > 0);
}

/// The invariants bite: a node that judges in spite of a gap never comes to the head.
#[test]
fn without_gaps_fresh_nodes_stay_behind() {
    let behind = (0..BROKEN_SEEDS).filter(|seed| {
        let (world, _) = run(*seed, Broken::NoGaps);
        fresh(&world).map(|b| b.number) != world.newest().map(|h| h.0)
    });
    assert!(behind.count() > 0);
}

/// The invariants bite: readers that see the records in different orders come to heads that the
/// log as a whole didn't choose.
#[test]
fn without_one_order_nodes_disagree() {
    let wrong = (0..BROKEN_SEEDS).filter(|seed| !run(*seed, Broken::Swapped).1.is_empty());
    assert!(wrong.count() > 0);
}

/// The invariants bite: a publisher that takes a lost answer for "nothing was appended" tells
/// its operator so in the end though the version may be in force.
#[test]
fn without_read_back_operators_are_told_wrong() {
    let told = (0..200).filter(|seed| {
        let mut world = World::new(*seed, Broken::Resigned);
        world.begin_all();
        world.fail_after_effect()
    });
    assert!(told.count() > 0);
}

impl World {
    /// Each operator has a version on its way.
    fn begin_all(&mut self) {
        while self.operators[0].work.is_none() {
            self.begin(0);
        }
    }

    /// The append takes effect, its answer and every later read are lost; whether the operator
    /// is told that nothing was appended.
    fn fail_after_effect(&mut self) -> bool {
        for _ in 0..100 {
            let before = self.log.records.len();
            self.step_operator(0);
            self.log.down = self.log.records.len() > before || self.log.down;
            if !self.outcomes.is_empty() {
                break;
            }
        }
        let failed = matches!(self.outcomes.first(), Some((_, Outcome::Failed)));
        failed && !self.log.records.is_empty()
    }
}
