//! Nodes that die, start anew or no longer read, and endpoints that leave meanwhile.

use super::layout::{asked, part, record, run, whole};
use super::{Due, Fleet, ROW, STEP, ms};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long it takes until a node that is gone is taken for gone.
const MISSED: Duration = ms(2000);
/// How long a node is without power.
const POWERLESS: Duration = ms(3500);
/// How long a small node that starts takes to read whole tables.
const WHOLE: Duration = ms(1500);
/// How long it takes until the others know that a node has started.
const KNOWN: Duration = ms(200);
/// Time after which it may read for them.
const AGED: Duration = ms(3000);

/// An endpoint that said that it leaves.
pub(super) struct Leaving {
    pub(super) offset: u64,
    since: Duration,
    /// When each node knew.
    pub(super) known: BTreeMap<usize, Duration>,
}

impl Fleet {
    /// Two readers of each zone read the operator's table no more, and answer as if they did.
    pub fn stick(&mut self) {
        for zone in ["a", "b", "c"] {
            let peers = self.peers.iter().map(|p| p.identity.zone == zone);
            let near = self.nodes.iter_mut().zip(peers).filter(|(_, near)| *near);
            let readers = near.map(|(node, _)| node).filter(|node| node.part.reads);
            readers.take(2).for_each(|node| node.stuck = true);
        }
    }

    /// All nodes forget what they know. Readers read the store at once.
    pub fn start_anew(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            node.forget();
            if node.part.reads {
                node.operator.apply(whole(&self.operator));
                node.endpoints.apply(whole(&self.endpoints));
            }
        }
    }

    /// An endpoint says that it leaves.
    pub fn leave(&mut self) {
        let offset = self.endpoints.next_offset();
        let endpoint = self.random.random_range(0..self.engines);
        self.endpoints.apply(record(run(endpoint).id, ROW, offset));
        self.leaving.push(Leaving {
            offset,
            since: self.now,
            known: BTreeMap::new(),
        });
    }

    /// The longest that it took until a node that runs knew of an endpoint that leaves, and that node. A
    /// node that was off learns it when it starts.
    pub fn slowest_leave(&self) -> (Duration, usize) {
        let running = (0..self.nodes.len()).filter(|&n| self.nodes[n].runs);
        let times = running.flat_map(|n| {
            let started = self.nodes[n].started;
            let took = move |l: &Leaving| {
                let known = l.known.get(&n);
                known.map_or(Duration::MAX, |at| *at - l.since.max(started))
            };
            self.leaving.iter().map(move |l| (took(l), n))
        });
        times.max().unwrap_or_default()
    }

    /// A reader of the store loses power.
    pub fn kill_reader(&mut self) {
        let readers = self.readers();
        let reader = readers[self.random.random_range(0..readers.len())];
        self.nodes[reader].runs = false;
        self.later(MISSED, Due::Divide);
    }

    /// All readers of a zone lose power and start anew after some time.
    pub fn restart_readers(&mut self, zone: &str) {
        let mut readers = self.readers();
        readers.retain(|&n| self.peers[n].identity.zone == zone);
        for reader in readers {
            self.nodes[reader].runs = false;
            self.later(POWERLESS, Due::Start(reader));
        }
        self.later(MISSED, Due::Divide);
    }

    /// The nodes that run and read the store.
    fn readers(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&n| self.nodes[n].part.reads && self.nodes[n].runs)
            .collect()
    }

    /// A node that was off starts.
    pub(super) fn start(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.forget();
        (node.runs, node.fresh, node.started) = (true, false, now);
        self.peers[number].state_since = now;
        self.later(STEP, Due::Step(number));
        self.later(WHOLE, Due::Whole(number));
        for after in [KNOWN, KNOWN + AGED] {
            self.later(after, Due::Divide);
        }
    }

    /// The nodes that run find their parts anew.
    pub(super) fn divide(&mut self) {
        for number in 0..self.nodes.len() {
            let peers = self.peers.iter().zip(&self.nodes);
            let open = peers.filter(|(_, node)| node.runs).map(|(peer, _)| peer);
            let new = part(self.now, &self.peers[number], open, self.engines);
            let node = &mut self.nodes[number];
            node.engines = asked(&new, self.engines);
            let before = std::mem::replace(&mut node.part, new);
            if node.part.reads && !before.reads {
                self.later(Duration::ZERO, Due::Read(number));
            }
        }
    }
}
