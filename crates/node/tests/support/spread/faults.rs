//! Nodes that die, start anew or no longer read, and endpoints that leave meanwhile.

use super::layout::{assignment, polled_engines, record, run, whole};
use super::{Event, Fleet, ROW_BYTES, STEP_INTERVAL, ms};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long it takes until a node that is gone is taken for gone.
const FAILURE_DETECTION_TIME: Duration = ms(2000);
/// How long a node is without power.
const OUTAGE: Duration = ms(3500);
/// How long a small node that starts takes to read whole tables.
const FULL_READ_TIME: Duration = ms(1500);
/// How long it takes until the others know that a node has started.
const JOIN_TIME: Duration = ms(200);
/// Time after which it may read for them.
const READER_WARMUP: Duration = ms(3000);

/// An endpoint that said that it leaves.
pub(super) struct LeavingEndpoint {
    pub(super) offset: u64,
    since: Duration,
    /// When each node knew.
    pub(super) known: BTreeMap<usize, Duration>,
}

impl Fleet {
    /// Two readers of each zone read the operator's table no more, and answer as if they did.
    pub fn make_readers_stale(&mut self) {
        for zone in ["a", "b", "c"] {
            let peers = self.peers.iter().map(|p| p.identity.zone == zone);
            let in_zone = self
                .nodes
                .iter_mut()
                .zip(peers)
                .filter(|(_, in_zone)| *in_zone);
            let readers = in_zone
                .map(|(node, _)| node)
                .filter(|node| node.assignment.reads);
            readers.take(2).for_each(|node| node.stale_operator = true);
        }
    }

    /// All nodes forget what they know. Readers read the store at once.
    pub fn restart_all(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            node.forget();
            if node.assignment.reads {
                node.operator.apply(whole(&self.operator));
                node.endpoints.apply(whole(&self.endpoints));
            }
        }
    }

    /// An endpoint says that it leaves.
    pub fn leave(&mut self) {
        let offset = self.endpoints.next_offset();
        let endpoint = self.random.random_range(0..self.engines);
        self.endpoints
            .apply(record(run(endpoint).id, ROW_BYTES, offset));
        self.leaving.push(LeavingEndpoint {
            offset,
            since: self.now,
            known: BTreeMap::new(),
        });
    }

    /// The longest that it took until a node that runs knew of an endpoint that leaves, and that node. A
    /// node that was off learns it when it starts.
    pub fn slowest_removal(&self) -> (Duration, usize) {
        let running = (0..self.nodes.len()).filter(|&n| self.nodes[n].running);
        let times = running.flat_map(|n| {
            let started = self.nodes[n].started;
            let took = move |l: &LeavingEndpoint| {
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
        self.nodes[reader].running = false;
        self.schedule(FAILURE_DETECTION_TIME, Event::Reassign);
    }

    /// All readers of a zone lose power and start anew after some time.
    pub fn restart_readers(&mut self, zone: &str) {
        let mut readers = self.readers();
        readers.retain(|&n| self.peers[n].identity.zone == zone);
        for reader in readers {
            self.nodes[reader].running = false;
            self.schedule(OUTAGE, Event::Start(reader));
        }
        self.schedule(FAILURE_DETECTION_TIME, Event::Reassign);
    }

    /// The nodes that run and read the store.
    fn readers(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&n| self.nodes[n].assignment.reads && self.nodes[n].running)
            .collect()
    }

    /// A node that was off starts.
    pub(super) fn start(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.forget();
        (node.running, node.has_full_tables, node.started) = (true, false, now);
        self.peers[number].state_since = now;
        self.schedule(STEP_INTERVAL, Event::Step(number));
        self.schedule(FULL_READ_TIME, Event::FullRead(number));
        for after in [JOIN_TIME, JOIN_TIME + READER_WARMUP] {
            self.schedule(after, Event::Reassign);
        }
    }

    /// The nodes that run find their parts anew.
    pub(super) fn reassign(&mut self) {
        for number in 0..self.nodes.len() {
            let peers = self.peers.iter().zip(&self.nodes);
            let open = peers.filter(|(_, node)| node.running).map(|(peer, _)| peer);
            let new = assignment(self.now, &self.peers[number], open, self.engines);
            let node = &mut self.nodes[number];
            node.engines = polled_engines(&new, self.engines);
            let before = std::mem::replace(&mut node.assignment, new);
            if node.assignment.reads && !before.reads {
                self.schedule(Duration::ZERO, Event::Read(number));
            }
        }
    }
}
