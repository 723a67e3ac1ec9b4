//! Update of the group, heads and urgent items: sent on at once or with other messages.

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

/// How long a peer that was named for a newer head gets before another one is named.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Update kept at most; the most often told go first.
const MAX_QUEUED_UPDATES: usize = 512;
/// Shortest time between two flushes, so that a storm of observations costs a bounded rate.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the two times that a node sends an urgent item on. Once to a few leaves out one
/// node in fifty; those of the second time are others.
const URGENT_RESEND_DELAY: Duration = Duration::from_secs(1);
/// Times that a node sends an urgent item on.
const URGENT_SENDS: u8 = 2;
/// Urgent items of one flush at most.
const MAX_URGENT_PER_FLUSH: usize = 16;
/// Urgent items that wait at most; one more is left to the exchange of digests.
const MAX_QUEUED_URGENT: usize = 256;

/// An urgent item that is still to be sent on.
#[derive(Clone, Debug)]
pub(crate) struct UrgentItem {
    pub(crate) item: Item,
    due_at: Now,
    sends_left: u8,
}

/// A piece of news and how often it is still to be told.
#[derive(Clone, Debug)]
pub(crate) struct QueuedUpdate {
    pub(crate) subject: Id,
    pub(crate) update: Update,
    pub(crate) sends_left: u32,
}

/// The run of a row.
pub(crate) fn to_run(peer: &Peer) -> Run {
    Run {
        id: peer.id,
        incarnation: peer.identity.incarnation,
        refutations: peer.refutations,
    }
}

/// Whom a piece of news is about.
pub(crate) fn subject(news: &Update) -> Id {
    match news {
        Update::Join(row) => row.identity.id(),
        Update::Suspect(run) | Update::Alive(run) | Update::Left(run) => run.id,
    }
}

impl Group {
    /// Takes a piece of news to tell; one about the same node gives way.
    pub(crate) fn queue_update(&mut self, news: Update) {
        let about = subject(&news);
        self.updates.retain(|p| p.subject != about);
        let left = self.transmissions(&news);
        self.updates.push(QueuedUpdate {
            subject: about,
            update: news,
            sends_left: left,
        });
        if self.updates.len() > MAX_QUEUED_UPDATES {
            self.updates.sort_by_key(|p| p.sends_left);
            self.updates.remove(0);
        }
    }

    /// A row is long, and the exchange of rosters brings it anyway.
    fn transmissions(&self, news: &Update) -> u32 {
        let most = self.settings.update_transmissions(self.roster.len());
        match news {
            Update::Join(_) => most / 3,
            _ => most,
        }
    }

    pub(crate) fn queue_join(&mut self, row: Row) {
        self.queue_update(Update::Join(row));
    }

    /// Those of `rows` that are not up here.
    pub(crate) fn rows_not_up(&self, rows: &[Row]) -> Vec<Row> {
        let peer = |row: &&Row| self.roster.get(row.identity.id());
        let away = |row: &&Row| peer(row).is_some_and(|p| p.state != State::Up);
        rows.iter().filter(away).cloned().collect()
    }

    /// What this node thinks of `rows`, whose runs are not up here.
    pub(crate) fn suspicions_of(&self, rows: &[Row]) -> Vec<Update> {
        let peers = rows.iter().map(|row| row.identity.id());
        let peers = peers.filter_map(|id| self.roster.get(id));
        peers.map(|p| Update::Suspect(to_run(p))).collect()
    }

    /// The least told news, and what the receiver needs to know of itself.
    pub(crate) fn select_updates(&mut self, peer: Id) -> Vec<Update> {
        self.updates
            .sort_by_key(|p| std::cmp::Reverse(p.sends_left));
        let most = self.settings.max_updates;
        let charge = self.suspicion_of_receiver(peer);
        let mut picked: Vec<Update> = charge.into_iter().collect();
        for piece in self.updates.iter_mut().take(most) {
            piece.sends_left -= 1;
            picked.push(piece.update.clone());
        }
        self.updates.retain(|p| p.sends_left > 0);
        picked
    }

    pub(crate) fn handle_update(&mut self, now: Now, news: Update, out: &mut Vec<Action>) {
        match news {
            Update::Join(row) => self.merge_row(now, row, out),
            Update::Suspect(run) if run.id == self.me => self.refute(run),
            Update::Suspect(run) => self.handle_suspect(now, run, out),
            Update::Alive(run) => self.handle_alive(now, run, out),
            Update::Left(run) => self.handle_left(now, run, out),
        }
    }

    /// Somebody suspects this node: a higher turn outdoes the suspicion everywhere.
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

    /// Raises the own turn.
    pub(crate) fn increment_refutations(&mut self) {
        let Some(own) = self.roster.get_mut(self.me) else {
            return;
        };
        own.refutations += 1;
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
            // The sender missed the refutation; others may have too.
            let alive = Update::Alive(crate::dissemination::to_run(peer));
            if !self.updates.iter().any(|p| p.update == alive) {
                self.queue_update(alive);
            }
            return;
        }
        let probe = self.settings.probe_timeout;
        if peer.heard_at.is_none_or(|h| roster::age(now, h) >= probe) {
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
        let away = peer.state != State::Up;
        self.apply_refutation(now, run.id, run.refutations, out);
        self.queue_update(Update::Alive(run));
        self.flush_pending |= away;
    }

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

    /// Sends what should not wait for the next round to some peers.
    pub(crate) fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self.urgent.iter().any(|u| u.due_at <= now);
        let early = self
            .last_flush
            .is_some_and(|f| roster::age(now, f) < MIN_FLUSH_INTERVAL);
        if early || !(self.flush_pending || due) {
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

    /// Whom something urgent is sent to: the watched peers, so that each node has senders of its own, and
    /// some drawn at random, so that it spreads fast.
    fn flush_targets(&mut self) -> Vec<Id> {
        let fanout = self.settings.fanout;
        let watched = self.ring_neighbours();
        let mut drawn = self.sample_up(fanout, None);
        drawn.retain(|id| !watched.contains(id));
        watched.into_iter().chain(drawn).take(fanout).collect()
    }

    fn take_urgent(&mut self, now: Now) -> Vec<Item> {
        let mut items = Vec::new();
        for urgent in self
            .urgent
            .iter_mut()
            .filter(|u| u.due_at <= now)
            .take(MAX_URGENT_PER_FLUSH)
        {
            urgent.due_at = now + URGENT_RESEND_DELAY;
            urgent.sends_left -= 1;
            items.push(urgent.item.clone());
        }
        self.urgent.retain(|u| u.sends_left > 0);
        items
    }

    fn queue_urgent(&mut self, now: Now, item: Item) {
        if self.urgent.len() >= MAX_QUEUED_URGENT {
            self.counters.dropped += 1;
            return;
        }
        self.urgent.push_back(UrgentItem {
            item,
            due_at: now,
            sends_left: URGENT_SENDS,
        });
    }

    pub(crate) fn quit(&mut self) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let run = to_run(own);
        self.queue_update(Update::Left(run));
        self.flush_pending = true;
        self.last_flush = None;
    }

    /// This node has a head in force; it never goes back.
    pub(crate) fn set_head(&mut self, head: Head) {
        if self.head.is_some_and(|h| h.number >= head.number) {
            return;
        }
        self.head = Some(head);
        self.flush_pending = true;
    }

    /// Names a peer with a newer head, and another one after a while if nothing came of it.
    pub(crate) fn compare_head(
        &mut self,
        now: Now,
        head: Head,
        peer: Id,
        addr: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        let own = self.head.map_or(0, |h| h.number);
        if head.number <= own {
            return;
        }
        let waits = |(number, since): (u64, Now)| {
            number >= head.number && roster::age(now, since) < FETCH_TIMEOUT
        };
        if self.head_requested.is_some_and(waits) {
            return;
        }
        self.head_requested = Some((head.number, now));
        out.push(Action::FetchHead { head, peer, addr });
    }

    /// Takes this node's own observations. One that a peer published already is left out: when
    /// an endpoint dies, every node sees it, and one item tells it as well as hundreds.
    pub(crate) fn publish(&mut self, now: Now, mut bodies: Vec<item::Observation>) {
        bodies.retain(|b| !self.is_published_elsewhere(now, b));
        if bodies.is_empty() {
            return;
        }
        self.version += 1;
        let (me, version) = (self.me, self.version);
        let incarnation = self.incarnation();
        if let Some(own) = self.roster.get_mut(me) {
            own.version = version;
        }
        for body in bodies {
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

    /// Whether another node's item says the same and counts for at least half as long.
    fn is_published_elsewhere(&self, now: Now, body: &item::Observation) -> bool {
        let (Some(ttl), key) = (body.ttl(), body.key()) else {
            return false;
        };
        let others = self.store.origins().filter(|o| *o != self.me);
        let mut same = others.filter_map(|o| self.store.get(o, &key));
        let lasts = |u: Now| u.saturating_sub(now) >= ttl / 2;
        same.any(|s| s.expires_at.is_some_and(lasts) && s.body.clone().with_ttl(ttl) == *body)
    }

    /// Takes an urgent item and sends it on when it is new. Its origin's version stays as it is:
    /// earlier publications may still be missing, and the exchange must ask for them.
    pub(crate) fn handle_item(&mut self, now: Now, item: Item, out: &mut Vec<Action>) {
        let known = self.roster.get(item.origin).map(|p| p.identity.incarnation);
        if known != Some(item.incarnation) || item.origin == self.me {
            self.counters.stale += 1;
            return;
        }
        if !item.body.urgent() {
            self.counters.stale += 1;
            return;
        }
        let told = self.is_published_elsewhere(now, &item.body);
        if self.learn(now, item.clone(), out) && !told {
            self.queue_urgent(now, item);
        }
    }

    /// Stores an item; whether it is new.
    pub(crate) fn learn(&mut self, now: Now, item: Item, out: &mut Vec<Action>) -> bool {
        let most = self.settings.max_items_per_origin;
        let put = self
            .store
            .put(item.origin, item.version, item.body.clone(), now, most);
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

    /// Tells `to` who is here.
    pub(crate) fn send_identity(&mut self, to: Id, addr: SocketAddr, out: &mut Vec<Action>) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let row = roster::to_row(own);
        self.send(to, addr, Body::Rows(vec![row]), out);
    }
}
