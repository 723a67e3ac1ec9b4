//! Dissemination of membership updates, heads and urgent items: piggybacked on other messages, or flushed to
//! some peers at once.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::head::Head;
use crate::identity::Id;
use crate::item::{self, Item};
use crate::message::{Body, Row, Run, Update};
use crate::peer::{Peer, State};
use crate::roster;
use crate::store::PutOutcome;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of queued updates. Beyond it, the one with the fewest remaining sends is dropped.
const MAX_QUEUED_UPDATES: usize = 512;
/// Shortest time between two flushes, which bounds their rate when many observations arrive at once.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the first and the second send of an urgent item by a node. A single send to a few peers
/// misses one node in fifty; the second goes to other peers.
const URGENT_RESEND_DELAY: Duration = Duration::from_secs(1);
/// Number of times that a node sends an urgent item.
const URGENT_SENDS: u8 = 2;
/// Largest number of urgent items in one flush.
const MAX_URGENT_PER_FLUSH: usize = 16;
/// Largest number of queued urgent items. Further ones spread with the exchange of digests only.
const MAX_QUEUED_URGENT: usize = 256;

/// An urgent item that is still to be sent.
#[derive(Clone, Debug)]
pub(crate) struct UrgentItem {
    pub(crate) item: Item,
    due_at: Now,
    sends_left: u8,
}

/// An update and the number of times that it is still to be sent.
#[derive(Clone, Debug)]
pub(crate) struct QueuedUpdate {
    pub(crate) subject: Id,
    pub(crate) update: Update,
    pub(crate) sends_left: u32,
}

/// Returns the run of a peer as sent in messages.
pub(crate) fn to_run(peer: &Peer) -> Run {
    Run {
        id: peer.id,
        incarnation: peer.identity.incarnation,
        refutations: peer.refutations,
    }
}

/// Returns the node that an update is about.
pub(crate) fn subject(update: &Update) -> Id {
    match update {
        Update::Join(row) => row.identity.id(),
        Update::Suspect(run) | Update::Alive(run) | Update::Left(run) => run.id,
    }
}

impl Group {
    /// Queues an update. It replaces a queued one about the same node.
    pub(crate) fn queue_update(&mut self, update: Update) {
        let subject = subject(&update);
        self.updates.retain(|p| p.subject != subject);
        let sends_left = self.transmissions(&update);
        self.updates.push(QueuedUpdate {
            subject,
            update,
            sends_left,
        });
        if self.updates.len() > MAX_QUEUED_UPDATES {
            self.updates.sort_by_key(|p| p.sends_left);
            self.updates.remove(0);
        }
    }

    /// Returns how many times an update is sent. A join is sent less often: its row is long, and the exchange
    /// of rosters delivers it anyway.
    fn transmissions(&self, update: &Update) -> u32 {
        let usual = self.settings.update_transmissions(self.roster.len());
        match update {
            Update::Join(_) => usual / 3,
            _ => usual,
        }
    }

    pub(crate) fn queue_join(&mut self, row: Row) {
        self.queue_update(Update::Join(row));
    }

    /// Returns those of `rows` that this node does not see up.
    pub(crate) fn rows_not_up(&self, rows: &[Row]) -> Vec<Row> {
        let peer = |row: &&Row| self.roster.get(row.identity.id());
        let not_up = |row: &&Row| peer(row).is_some_and(|p| p.state != State::Up);
        rows.iter().filter(not_up).cloned().collect()
    }

    /// Returns suspicions of the runs of `rows`, which this node does not see up.
    pub(crate) fn suspicions_of(&self, rows: &[Row]) -> Vec<Update> {
        let peers = rows.iter().map(|row| row.identity.id());
        let peers = peers.filter_map(|id| self.roster.get(id));
        peers.map(|p| Update::Suspect(to_run(p))).collect()
    }

    /// Selects the updates for one message: those sent least often so far, and the suspicion of the receiver
    /// itself, if there is one.
    pub(crate) fn select_updates(&mut self, peer: Id) -> Vec<Update> {
        self.updates
            .sort_by_key(|p| std::cmp::Reverse(p.sends_left));
        let max_updates = self.settings.max_updates;
        let suspicion = self.suspicion_of_receiver(peer);
        let mut selected: Vec<Update> = suspicion.into_iter().collect();
        for queued in self.updates.iter_mut().take(max_updates) {
            queued.sends_left -= 1;
            selected.push(queued.update.clone());
        }
        self.updates.retain(|p| p.sends_left > 0);
        selected
    }

    pub(crate) fn handle_update(&mut self, now: Now, update: Update, out: &mut Vec<Action>) {
        match update {
            Update::Join(row) => self.merge_row(now, row, out),
            Update::Suspect(run) if run.id == self.me => self.refute(run),
            Update::Suspect(run) => self.handle_suspect(now, run, out),
            Update::Alive(run) => self.handle_alive(now, run, out),
            Update::Left(run) => self.handle_left(now, run, out),
        }
    }

    /// Refutes a suspicion of this node: a higher number of refutations overrides the suspicion on all nodes.
    fn refute(&mut self, run: Run) {
        let Some(own) = self.roster.get_mut(self.me) else {
            return;
        };
        if run.incarnation != own.identity.incarnation || run.refutations < own.refutations {
            return;
        }
        own.refutations = run.refutations;
        self.counters.refuted += 1;
        self.increment_refutations();
    }

    /// Increments the own number of refutations and disseminates it.
    pub(crate) fn increment_refutations(&mut self) {
        let Some(own) = self.roster.get_mut(self.me) else {
            return;
        };
        own.refutations = own.refutations.saturating_add(1);
        let run = to_run(own);
        self.queue_update(Update::Alive(run));
        self.flush_pending = true;
    }

    fn handle_suspect(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        if peer.identity.incarnation != run.incarnation || peer.state != State::Up {
            return;
        }
        if peer.refutations > run.refutations {
            // The sender missed the refutation, and other nodes may have missed it too.
            let alive = Update::Alive(crate::dissemination::to_run(peer));
            if !self.updates.iter().any(|p| p.update == alive) {
                self.queue_update(alive);
            }
            return;
        }
        let probe_timeout = self.settings.probe_timeout;
        if peer
            .heard_at
            .is_none_or(|h| roster::age(now, h) >= probe_timeout)
        {
            self.suspect(now, run.id, out);
        }
    }

    fn handle_alive(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        let newer =
            peer.identity.incarnation == run.incarnation && peer.refutations < run.refutations;
        if !newer || run.id == self.me {
            return;
        }
        let was_not_up = peer.state != State::Up;
        self.apply_refutation(now, run.id, run.refutations, out);
        self.queue_update(Update::Alive(run));
        self.flush_pending |= was_not_up;
    }

    /// Removes a peer that announced its exit.
    fn handle_left(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        if peer.identity.incarnation > run.incarnation || run.id == self.me {
            return;
        }
        self.remove(now, run.id, true, out);
        self.queue_update(Update::Left(run));
        self.flush_pending = true;
    }

    /// Sends urgent items and pending updates to some peers without waiting for the next round.
    pub(crate) fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self.urgent.iter().any(|u| u.due_at <= now);
        let too_early = self
            .last_flush
            .is_some_and(|f| roster::age(now, f) < MIN_FLUSH_INTERVAL);
        if too_early || !(self.flush_pending || due) {
            return;
        }
        self.last_flush = Some(now);
        self.flush_pending = false;
        let items = self.take_urgent(now);
        for peer in self.flush_targets() {
            let Some(to) = self.addr(peer) else { continue };
            let body = match items.is_empty() {
                true => Body::Empty,
                false => Body::Items(items.clone()),
            };
            self.send(peer, to, body, out);
        }
    }

    /// Selects the receivers of a flush: the neighbours in the ring, so that every node has fixed senders, and
    /// peers drawn at random, so that the flushed items spread fast.
    fn flush_targets(&mut self) -> Vec<Id> {
        let fanout = self.settings.fanout;
        let neighbours = self.ring_neighbours();
        let mut drawn = self.sample_up(fanout, None);
        drawn.retain(|id| !neighbours.contains(id));
        neighbours.into_iter().chain(drawn).take(fanout).collect()
    }

    /// Takes the items of the next flush, those of the highest precedence first.
    fn take_urgent(&mut self, now: Now) -> Vec<Item> {
        let mut due: Vec<&mut UrgentItem> =
            self.urgent.iter_mut().filter(|u| u.due_at <= now).collect();
        due.sort_by_key(|u| u.item.body.precedence());
        let send = |urgent: &mut UrgentItem| {
            urgent.due_at = now + URGENT_RESEND_DELAY;
            urgent.sends_left -= 1;
            urgent.item.clone()
        };
        let selected = due.into_iter().take(MAX_URGENT_PER_FLUSH);
        let items = selected.map(send).collect();
        self.urgent.retain(|u| u.sends_left > 0);
        items
    }

    /// Queues an item. If the queue is full, an item of the lowest precedence is dropped.
    fn queue_urgent(&mut self, now: Now, item: Item) {
        if self.urgent.len() >= MAX_QUEUED_URGENT {
            self.counters.dropped += 1;
            let precedence = item.body.precedence();
            let mut queued = self.urgent.iter();
            let Some(lower) = queued.rposition(|u| u.item.body.precedence() > precedence) else {
                return;
            };
            self.urgent.remove(lower);
        }
        self.urgent.push_back(UrgentItem {
            item,
            due_at: now,
            sends_left: URGENT_SENDS,
        });
    }

    /// Announces the exit of this node.
    pub(crate) fn quit(&mut self) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let run = to_run(own);
        self.queue_update(Update::Left(run));
        self.flush_pending = true;
        self.last_flush = None;
    }

    /// Sets the head that this node has in force, unless it has the same or a newer one.
    pub(crate) fn set_head(&mut self, head: Head) {
        if self.head.is_some_and(|h| h.number >= head.number) {
            return;
        }
        self.head = Some(head);
        self.finish_fetch(head);
        self.flush_pending = true;
    }

    /// Publishes this node's own observations, except those that a peer has already published: every node
    /// observes the death of an endpoint, and one item reports it as well as hundreds.
    pub(crate) fn publish(&mut self, now: Now, mut observations: Vec<item::Observation>) {
        observations.retain(|b| !self.is_published_elsewhere(now, b));
        if observations.is_empty() {
            return;
        }
        self.version += 1;
        let (me, version) = (self.me, self.version);
        let incarnation = self.incarnation();
        if let Some(own) = self.roster.get_mut(me) {
            own.version = version;
        }
        self.broadcast_changes(now, version, &observations);
        for body in observations {
            self.mark_leaving(me, &body);
            if body.urgent() {
                self.queue_urgent(
                    now,
                    Item {
                        origin: me,
                        incarnation,
                        version,
                        body: body.clone(),
                    },
                );
            }
            if self
                .store
                .put(me, version, body, now, self.settings.max_items_per_origin)
                == PutOutcome::Full
            {
                self.counters.dropped += 1;
            }
        }
    }

    /// Returns whether an item of another node holds the same observation and stays valid for at least half
    /// its time to live.
    fn is_published_elsewhere(&self, now: Now, body: &item::Observation) -> bool {
        let (Some(ttl), key) = (body.ttl(), body.key()) else {
            return false;
        };
        if body.is_own() {
            return false;
        }
        let others = self.store.origins().filter(|o| *o != self.me);
        let mut same = others.filter_map(|o| self.store.get(o, &key));
        let lasts = |u: Now| u.saturating_sub(now) >= ttl / 2;
        same.any(|s| s.expires_at.is_some_and(lasts) && s.body.clone().with_ttl(ttl) == *body)
    }

    /// Handles an urgent item and forwards it if it is new. Returns whether it is. The version of its origin does not change: earlier
    /// publications may still be missing, and the exchange must request them.
    pub(crate) fn handle_item(&mut self, now: Now, item: Item, out: &mut Vec<Action>) -> bool {
        let known = self.roster.get(item.origin).map(|p| p.identity.incarnation);
        if known != Some(item.incarnation) || item.origin == self.me {
            self.counters.stale += 1;
            return false;
        }
        if !item.body.urgent() {
            self.counters.stale += 1;
            return false;
        }
        let published_elsewhere = self.is_published_elsewhere(now, &item.body);
        let new = self.learn(now, item.clone(), out);
        if new && !published_elsewhere {
            self.queue_urgent(now, item);
        }
        new
    }

    /// Stores an item of a peer. Returns whether it is new.
    pub(crate) fn learn(&mut self, now: Now, item: Item, out: &mut Vec<Action>) -> bool {
        let max_items = self.settings.max_items_per_origin;
        let put = self
            .store
            .put(item.origin, item.version, item.body.clone(), now, max_items);
        match put {
            PutOutcome::Known => return false,
            PutOutcome::Full => {
                self.counters.dropped += 1;
                return false;
            }
            PutOutcome::New => {}
        }
        self.counters.learned += 1;
        self.mark_leaving(item.origin, &item.body);
        out.push(Action::Learned(item));
        true
    }

    /// Marks a peer as leaving if the observation says so.
    fn mark_leaving(&mut self, origin: Id, body: &item::Observation) {
        if *body != item::Observation::Leaving {
            return;
        }
        if let Some(peer) = self.roster.get_mut(origin) {
            peer.leaving = true;
        }
    }

    pub(crate) fn addr(&self, id: Id) -> Option<SocketAddr> {
        self.roster.get(id).map(|p| p.identity.addr)
    }

    /// Sends this node's own row to `to`.
    pub(crate) fn send_identity(&mut self, to: Id, addr: SocketAddr, out: &mut Vec<Action>) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let row = roster::to_row(own);
        self.send(to, addr, Body::Rows(vec![row]), out);
    }
}
