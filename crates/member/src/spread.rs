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
const FETCH: Duration = Duration::from_millis(400);
/// Update kept at most; the most often told go first.
const NEWS: usize = 512;
/// Shortest time between two flushes, so that a storm of observations costs a bounded rate.
const FLUSH: Duration = Duration::from_millis(250);
/// Time between the two times that a node sends an urgent item on. Once to a few leaves out one
/// node in fifty; those of the second time are others.
const AGAIN: Duration = Duration::from_secs(1);
/// Times that a node sends an urgent item on.
const TIMES: u8 = 2;
/// Urgent items of one flush at most.
const BATCH: usize = 16;
/// Urgent items that wait at most; one more is left to the exchange of digests.
const QUEUE: usize = 256;

/// An urgent item that is still to be sent on.
#[derive(Clone, Debug)]
pub(crate) struct Urgent {
    pub(crate) item: Item,
    due: Now,
    left: u8,
}

/// A piece of news and how often it is still to be told.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) about: Id,
    pub(crate) news: Update,
    pub(crate) left: u32,
}

/// The run of a row.
pub(crate) fn run(peer: &Peer) -> Run {
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
    pub(crate) fn tell(&mut self, news: Update) {
        let about = subject(&news);
        self.news.retain(|p| p.about != about);
        let left = self.repeats(&news);
        self.news.push(Piece { about, news, left });
        if self.news.len() > NEWS {
            self.news.sort_by_key(|p| p.left);
            self.news.remove(0);
        }
    }

    /// A row is long, and the exchange of rosters brings it anyway.
    fn repeats(&self, news: &Update) -> u32 {
        let most = self.settings.update_transmissions(self.roster.len());
        match news {
            Update::Join(_) => most / 3,
            _ => most,
        }
    }

    pub(crate) fn tell_join(&mut self, row: Row) {
        self.tell(Update::Join(row));
    }

    /// Those of `rows` that are not up here.
    pub(crate) fn away(&self, rows: &[Row]) -> Vec<Row> {
        let peer = |row: &&Row| self.roster.get(row.identity.id());
        let away = |row: &&Row| peer(row).is_some_and(|p| p.state != State::Up);
        rows.iter().filter(away).cloned().collect()
    }

    /// What this node thinks of `rows`, whose runs are not up here.
    pub(crate) fn doubts(&self, rows: &[Row]) -> Vec<Update> {
        let peers = rows.iter().map(|row| row.identity.id());
        let peers = peers.filter_map(|id| self.roster.get(id));
        peers.map(|p| Update::Suspect(run(p))).collect()
    }

    /// The least told news, and what the receiver needs to know of itself.
    pub(crate) fn pick_news(&mut self, peer: Id) -> Vec<Update> {
        self.news.sort_by_key(|p| std::cmp::Reverse(p.left));
        let most = self.settings.max_updates;
        let charge = self.charge(peer);
        let mut picked: Vec<Update> = charge.into_iter().collect();
        for piece in self.news.iter_mut().take(most) {
            piece.left -= 1;
            picked.push(piece.news.clone());
        }
        self.news.retain(|p| p.left > 0);
        picked
    }

    pub(crate) fn hear_news(&mut self, now: Now, news: Update, out: &mut Vec<Action>) {
        match news {
            Update::Join(row) => self.merge(now, row, out),
            Update::Suspect(run) if run.id == self.me => self.refute(run),
            Update::Suspect(run) => self.hear_suspect(now, run, out),
            Update::Alive(run) => self.hear_alive(now, run, out),
            Update::Left(run) => self.hear_left(now, run, out),
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
        self.refute_ahead();
    }

    /// Raises the own turn.
    pub(crate) fn refute_ahead(&mut self) {
        let Some(own) = self.roster.get_mut(self.me) else {
            return;
        };
        own.refutations += 1;
        let run = run(own);
        self.tell(Update::Alive(run));
        self.hot = true;
    }

    fn hear_suspect(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        if peer.identity.incarnation != run.incarnation || peer.state != State::Up {
            return;
        }
        if peer.refutations > run.refutations {
            // The sender missed the refutation; others may have too.
            let alive = Update::Alive(crate::spread::run(peer));
            if !self.news.iter().any(|p| p.news == alive) {
                self.tell(alive);
            }
            return;
        }
        let probe = self.settings.probe_timeout;
        if peer.heard_at.is_none_or(|h| roster::age(now, h) >= probe) {
            self.suspect(now, run.id, out);
        }
    }

    fn hear_alive(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        let newer =
            peer.identity.incarnation == run.incarnation && peer.refutations < run.refutations;
        if !newer || run.id == self.me {
            return;
        }
        let away = peer.state != State::Up;
        self.raise(now, run.id, run.refutations, out);
        self.tell(Update::Alive(run));
        self.hot |= away;
    }

    fn hear_left(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        if peer.identity.incarnation > run.incarnation || run.id == self.me {
            return;
        }
        self.remove(now, run.id, true, out);
        self.tell(Update::Left(run));
        self.hot = true;
    }

    /// Sends what should not wait for the next round to some peers.
    pub(crate) fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self.urgent.iter().any(|u| u.due <= now);
        let early = self.flushed.is_some_and(|f| roster::age(now, f) < FLUSH);
        if early || !(self.hot || due) {
            return;
        }
        self.flushed = Some(now);
        self.hot = false;
        let items = self.take_urgent(now);
        for peer in self.receivers() {
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
    fn receivers(&mut self) -> Vec<Id> {
        let fanout = self.settings.fanout;
        let watched = self.watched();
        let mut drawn = self.random(fanout, None);
        drawn.retain(|id| !watched.contains(id));
        watched.into_iter().chain(drawn).take(fanout).collect()
    }

    fn take_urgent(&mut self, now: Now) -> Vec<Item> {
        let mut items = Vec::new();
        for urgent in self.urgent.iter_mut().filter(|u| u.due <= now).take(BATCH) {
            urgent.due = now + AGAIN;
            urgent.left -= 1;
            items.push(urgent.item.clone());
        }
        self.urgent.retain(|u| u.left > 0);
        items
    }

    fn hurry(&mut self, now: Now, item: Item) {
        if self.urgent.len() >= QUEUE {
            self.counters.dropped += 1;
            return;
        }
        self.urgent.push_back(Urgent {
            item,
            due: now,
            left: TIMES,
        });
    }

    pub(crate) fn quit(&mut self) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let run = run(own);
        self.tell(Update::Left(run));
        self.hot = true;
        self.flushed = None;
    }

    /// This node has a head in force; it never goes back.
    pub(crate) fn adopt(&mut self, head: Head) {
        if self.head.is_some_and(|h| h.number >= head.number) {
            return;
        }
        self.head = Some(head);
        self.hot = true;
    }

    /// Names a peer with a newer head, and another one after a while if nothing came of it.
    pub(crate) fn compare(
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
        let waits =
            |(number, since): (u64, Now)| number >= head.number && roster::age(now, since) < FETCH;
        if self.asked.is_some_and(waits) {
            return;
        }
        self.asked = Some((head.number, now));
        out.push(Action::FetchHead { head, peer, addr });
    }

    /// Takes this node's own observations. One that a peer published already is left out: when
    /// an endpoint dies, every node sees it, and one item tells it as well as hundreds.
    pub(crate) fn publish(&mut self, now: Now, mut bodies: Vec<item::Observation>) {
        bodies.retain(|b| !self.told(now, b));
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
            self.mark(me, &body);
            if body.urgent() {
                self.hurry(
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
    fn told(&self, now: Now, body: &item::Observation) -> bool {
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
    pub(crate) fn hear_item(&mut self, now: Now, item: Item, out: &mut Vec<Action>) {
        let known = self.roster.get(item.origin).map(|p| p.identity.incarnation);
        if known != Some(item.incarnation) || item.origin == self.me {
            self.counters.stale += 1;
            return;
        }
        if !item.body.urgent() {
            self.counters.stale += 1;
            return;
        }
        let told = self.told(now, &item.body);
        if self.learn(now, item.clone(), out) && !told {
            self.hurry(now, item);
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
        self.mark(item.origin, &item.body);
        out.push(Action::Learned(item));
        true
    }

    fn mark(&mut self, origin: Id, body: &item::Observation) {
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
    pub(crate) fn introduce(&mut self, to: Id, addr: SocketAddr, out: &mut Vec<Action>) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let row = roster::to_row(own);
        self.send(to, addr, Body::Rows(vec![row]), out);
    }
}
