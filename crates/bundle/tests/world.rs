//! Randomised simulation of folds, publishers and the checkpoint policy on one log that is slow,
//! unavailable, trimmed, loses responses or delays appends. A reference fold that reads every
//! record ever appended gives the expected result.

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
/// Retention period of the log, in seconds.
const RETENTION: u64 = 240;
/// Number of runs.
const SEEDS: u64 = 24;
/// Number of runs with a deliberate fault; these need fewer runs to violate an invariant.
const FAULT_SEEDS: u64 = 4;
/// Steps per run; a step is one second of simulated time.
const STEPS: u64 = 600;

/// Deliberate fault of a run.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// No fault beyond those of the platform.
    None,
    /// Publishers take an append whose response was lost for one without effect.
    IgnoresLostResponses,
    /// No node writes checkpoints.
    NoCheckpoints,
    /// Nodes judge in spite of a gap: they are given 0 as the first retained offset.
    NoGaps,
    /// Readers get the first two records of each page in swapped order.
    Swapped,
}

/// A log that drops records after the retention period.
#[derive(Default)]
struct Log {
    /// All records ever appended, with the time of the append.
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

    /// Applies a page of up to `max_records` records to `fold`, with `first` as the first retained
    /// offset. Returns whether the end of the log was reached.
    fn read(&self, fold: &mut Fold, max_records: usize, first: u64) -> bool {
        let from = fold.next_offset().max(self.first as u64) as usize;
        let page = self.records.iter().enumerate().skip(from).take(max_records);
        let page: Vec<_> = page.map(|(i, r)| (i as u64, r.1.as_slice())).collect();
        let end = page.is_empty();
        let page = if self.swapped { swap(page) } else { page };
        fold.apply_page(first, page);
        end
    }
}

/// Swaps the bodies of the first two records of a page.
fn swap(mut page: Vec<(u64, &[u8])>) -> Vec<(u64, &[u8])> {
    if let [a, b, ..] = page.as_mut_slice() {
        std::mem::swap(&mut a.1, &mut b.1);
    }
    page
}

/// A fold that reads every record, including those that the log has dropped.
struct Reference {
    fold: Fold,
    /// Digests of all heads of the log, by number.
    heads: BTreeMap<u64, Digest>,
    /// Identities of all accepted versions.
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

/// An operator who publishes versions one after the other.
struct Operator {
    name: &'static str,
    key: sign::SigningKey,
    fold: Fold,
    work: Option<(Publisher, Action)>,
}

/// State of a simulation run.
struct World {
    random: ChaCha8Rng,
    fault: Fault,
    now: u64,
    log: Log,
    nodes: Vec<(Fold, Policy)>,
    operators: Vec<Operator>,
    /// Appends that take effect later, with the time of their effect.
    late: Vec<(u64, Vec<u8>)>,
    outcomes: Vec<(Digest, Outcome)>,
    outage: u64,
    reference: Reference,
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|_| node(&mut random)).collect();
        let operator = |name, key| Operator {
            name,
            key,
            fold: Fold::new(signers()),
            work: None,
        };
        let log = Log {
            swapped: fault == Fault::Swapped,
            ..Log::default()
        };
        Self {
            random,
            fault,
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
        if self.fault == Fault::NoGaps {
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
        self.apply_late_appends();
        for i in 0..NODES {
            self.step_node(i);
        }
        for i in 0..self.operators.len() {
            self.step_operator(i);
        }
    }

    fn apply_late_appends(&mut self) {
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
            let max_records = self.random.random_range(1..6);
            self.log.read(&mut self.nodes[i].0, max_records, first);
            let (fold, policy) = &mut self.nodes[i];
            if policy.poll(wall, wall, first, fold) && self.fault != Fault::NoCheckpoints {
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
                let max_records = self.random.random_range(1..20);
                let end = self
                    .log
                    .read(&mut self.operators[i].fold, max_records, first);
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

    /// Appends `body`, with a random outcome among all that the platform can produce.
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
                    unsure: self.fault != Fault::IgnoresLostResponses,
                }
            }
            _ => Event::Appended(self.log.append(self.now, body)),
        }
    }

    /// Signs a child of the head that the operator reads from the log and starts to publish it.
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

    /// Returns all violations of invariants by the nodes.
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

    /// Returns the number and digest of the head of the complete, untrimmed log.
    fn newest(&self) -> Option<(u64, Digest)> {
        let newest = self.reference.heads.last_key_value();
        newest.map(|(number, digest)| (*number, *digest))
    }

    /// Returns the outcomes reported to operators that contradict the complete log.
    fn check_outcomes(&self) -> Vec<String> {
        let accepted = &self.reference.accepted;
        let wrong = |(id, outcome): &(Digest, Outcome)| match (accepted.contains(id), outcome) {
            (true, Outcome::Accepted(_) | Outcome::Unsure) => None,
            (false, Outcome::Lost(winner)) if accepted.contains(&winner.id) => None,
            (false, Outcome::Superseded(_) | Outcome::Unsure | Outcome::Failed) => None,
            (false, Outcome::UnknownParent(_) | Outcome::Gap) => None,
            (_, outcome) => Some(format!("reported: {outcome}")),
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

/// Runs the simulation until a check finds violations or all steps are done. Returns the
/// violations.
fn run(seed: u64, fault: Fault) -> (World, Vec<String>) {
    let mut world = World::new(seed, fault);
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

/// Returns the head of a new fold that reads only the retained records of the log.
fn head_of_new_fold(world: &World) -> Option<std::sync::Arc<Bundle>> {
    let mut fold = Fold::new(signers());
    while !world.log.read(&mut fold, 3, world.first()) {}
    fold.head().cloned()
}

/// Two operators publish concurrently and repeatedly, and each gets an outcome. Responses are lost
/// after the append, appends take effect late, the log is unavailable for up to a minute and drops
/// records older than four minutes, and nodes restart and exchange heads. No node may ever show a
/// version that was never the head of the complete log, and the outcomes must agree with the
/// complete log, since an operator with a wrong outcome publishes twice or not at all.
#[test]
fn folds_agree_with_the_whole_log() {
    let mut accepted = 0;
    let mut lost = 0;
    let mut trimmed = 0;
    for seed in 0..SEEDS {
        let (world, wrong) = run(seed, Fault::None);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        let count = |f: fn(&Outcome) -> bool| world.outcomes.iter().filter(|o| f(&o.1)).count();
        accepted += count(|o| matches!(o, Outcome::Accepted(_)));
        lost += count(|o| matches!(o, Outcome::Lost(_)));
        trimmed += world.log.first;
    }
    println!("{accepted} accepted, {lost} lost, {trimmed} records trimmed");
    // Without enough races and dropped records the runs would not test the invariants.
    assert!(accepted > 500, "{accepted}");
    assert!(lost > 100, "{lost}");
    assert!(trimmed > 1_000, "{trimmed}");
}

/// All nodes are replaced at once, and the log has dropped the first versions: no node and no peer
/// has any state. A new node must find the head from the retained records alone, or callers would
/// be refused until the next version is published.
#[test]
fn the_trimmed_log_alone_gives_the_head() {
    for seed in 100..100 + SEEDS / 2 {
        let (world, wrong) = run(seed, Fault::None);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        assert!(world.log.first > 0);
        let head = head_of_new_fold(&world).map(|b| (b.number, b.digest));
        assert_eq!(head, world.newest(), "seed {seed}");
    }
}

/// Shows that the simulation detects a missing mechanism: without checkpoints, the head is lost
/// when the log drops the first records.
#[test]
fn without_checkpoints_the_head_is_lost() {
    let lost = (0..FAULT_SEEDS).filter(|seed| {
        let (world, _) = run(*seed, Fault::NoCheckpoints);
        head_of_new_fold(&world).map(|b| b.number) != world.newest().map(|h| h.0)
    });
    assert!(lost.count() > 0);
}

/// Shows that the simulation detects a missing mechanism: a node that judges in spite of a gap
/// never reaches the head.
#[test]
fn without_gaps_fresh_nodes_stay_behind() {
    let behind = (0..FAULT_SEEDS).filter(|seed| {
        let (world, _) = run(*seed, Fault::NoGaps);
        head_of_new_fold(&world).map(|b| b.number) != world.newest().map(|h| h.0)
    });
    assert!(behind.count() > 0);
}

/// Shows that the simulation detects a broken log: readers that get the records in a different
/// order show heads that were never the head of the complete log.
#[test]
fn without_one_order_nodes_disagree() {
    let wrong = (0..FAULT_SEEDS).filter(|seed| !run(*seed, Fault::Swapped).1.is_empty());
    assert!(wrong.count() > 0);
}

/// Shows that the simulation detects a missing mechanism: a publisher that takes a lost response
/// for an append without effect finally reports that nothing was appended, although the version may
/// be in force.
#[test]
fn without_read_back_operators_get_wrong_outcomes() {
    let wrong = (0..200).filter(|seed| {
        let mut world = World::new(*seed, Fault::IgnoresLostResponses);
        world.begin_first();
        world.fail_after_effect()
    });
    assert!(wrong.count() > 0);
}

impl World {
    /// Repeats until the first operator has started to publish a version.
    fn begin_first(&mut self) {
        while self.operators[0].work.is_none() {
            self.begin(0);
        }
    }

    /// Lets the append take effect, then fails every later call. Returns whether the first operator
    /// gets the outcome that nothing was appended.
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
