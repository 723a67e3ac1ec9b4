//! News of the group, heads and urgent items: sent on at once or with other messages.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::head::Head;
use crate::identity::Id;
use crate::item::{self, Item};
use crate::message::{Body, News, Row, Run};
use crate::peer::{Peer, State};
use crate::roster;
use crate::store::Put;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a peer that was named for a newer head gets before another one is named.
const FETCH: Duration = Duration::from_millis(400);
/// News kept at most; the most often told go first.
const NEWS: usize = 512;

/// A piece of news and how often it is still to be told.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) news: News,
    pub(crate) left: u32,
}

/// The run of a row.
pub(crate) fn run(peer: &Peer) -> Run {
    Run {
        id: peer.id,
        incarnation: peer.identity.incarnation,
        turn: peer.turn,
    }
}

/// Whom a piece of news is about.
pub(crate) fn subject(news: &News) -> Id {
    match news {
        News::Join(row) => row.identity.id(),
        News::Suspect(run) | News::Alive(run) | News::Left(run) => run.id,
    }
}

impl Group {
    /// Takes a piece of news to tell; one about the same node gives way.
    pub(crate) fn tell(&mut self, news: News) {
        let about = subject(&news);
        self.news.retain(|p| subject(&p.news) != about);
        let left = self.settings.repeats(self.roster.len());
        self.news.push(Piece { news, left });
        if self.news.len() > NEWS {
            self.news.sort_by_key(|p| p.left);
            self.news.remove(0);
        }
    }

    pub(crate) fn tell_join(&mut self, row: Row) {
        self.tell(News::Join(row));
    }

    /// The least told news, and what the receiver needs to know of itself.
    pub(crate) fn pick_news(&mut self, peer: Id) -> Vec<News> {
        self.news.sort_by_key(|p| std::cmp::Reverse(p.left));
        let most = self.settings.news;
        let charge = self.charge(peer);
        let mut picked: Vec<News> = charge.into_iter().collect();
        for piece in self.news.iter_mut().take(most) {
            piece.left -= 1;
            picked.push(piece.news.clone());
        }
        self.news.retain(|p| p.left > 0);
        picked
    }

    pub(crate) fn hear_news(&mut self, now: Now, news: News, out: &mut Vec<Action>) {
        match news {
            News::Join(row) => self.merge(now, row, out),
            News::Suspect(run) if run.id == self.me => self.refute(run),
            News::Suspect(run) => self.hear_suspect(now, run, out),
            News::Alive(run) => self.hear_alive(now, run, out),
            News::Left(run) => self.hear_left(now, run, out),
        }
    }

    /// Somebody suspects this node: a higher turn outdoes the suspicion everywhere.
    fn refute(&mut self, run: Run) {
        let Some(own) = self.roster.get_mut(self.me) else {
            return;
        };
        if run.incarnation != own.identity.incarnation || run.turn < own.turn {
            return;
        }
        own.turn = run.turn + 1;
        let run = crate::spread::run(own);
        self.counters.refuted += 1;
        self.tell(News::Alive(run));
    }

    fn hear_suspect(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        let same = peer.identity.incarnation == run.incarnation && peer.turn <= run.turn;
        let fresh = roster::age(now, peer.heard) < self.settings.probe;
        if !same || fresh || peer.state != State::Up {
            return;
        }
        self.suspect(now, run.id, out);
    }

    fn hear_alive(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        let newer = peer.identity.incarnation == run.incarnation && peer.turn < run.turn;
        if !newer || run.id == self.me {
            return;
        }
        self.raise(now, run.id, run.turn, out);
        self.tell(News::Alive(run));
    }

    fn hear_left(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(run.id) else {
            return;
        };
        if peer.identity.incarnation > run.incarnation || run.id == self.me {
            return;
        }
        self.remove(now, run.id, true, out);
        self.tell(News::Left(run));
        self.note(out);
    }

    /// Sends the head and news to some peers at once.
    fn note(&mut self, out: &mut Vec<Action>) {
        let most = self.settings.fanout;
        for peer in self.random(most, None) {
            let Some(to) = self.addr(peer) else { continue };
            self.send(peer, to, Body::Note, out);
        }
    }

    pub(crate) fn quit(&mut self, out: &mut Vec<Action>) {
        let Some(own) = self.roster.get(self.me) else {
            return;
        };
        let run = run(own);
        self.tell(News::Left(run));
        self.note(out);
    }

    /// This node has a head in force; it never goes back.
    pub(crate) fn adopt(&mut self, head: Head, out: &mut Vec<Action>) {
        if self.head.is_some_and(|h| h.number >= head.number) {
            return;
        }
        self.head = Some(head);
        self.note(out);
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
        out.push(Action::Newer { head, peer, addr });
    }

    /// Takes this node's own observations.
    pub(crate) fn publish(&mut self, now: Now, bodies: Vec<item::Body>, out: &mut Vec<Action>) {
        if bodies.is_empty() {
            return;
        }
        self.version += 1;
        let (me, version) = (self.me, self.version);
        let incarnation = self.incarnation();
        if let Some(own) = self.roster.get_mut(me) {
            own.version = version;
        }
        let mut urgent = Vec::new();
        for body in bodies {
            self.mark(me, &body);
            if body.urgent() {
                urgent.push(Item {
                    origin: me,
                    incarnation,
                    version,
                    body: body.clone(),
                });
            }
            if self.store.put(me, version, body, now, self.settings.items) == Put::Full {
                self.counters.dropped += 1;
            }
        }
        self.rumour(urgent, out);
    }

    fn rumour(&mut self, items: Vec<Item>, out: &mut Vec<Action>) {
        if items.is_empty() {
            return;
        }
        for peer in self.random(self.settings.fanout, None) {
            let Some(to) = self.addr(peer) else { continue };
            self.send(peer, to, Body::Rumour(items.clone()), out);
        }
    }

    /// Takes an urgent item and sends it on when it is new. Its origin's version stays as it is:
    /// earlier publications may still be missing, and the exchange must ask for them.
    pub(crate) fn hear_item(&mut self, now: Now, item: Item, out: &mut Vec<Action>) {
        let known = self.roster.get(item.origin).map(|p| p.identity.incarnation);
        if known != Some(item.incarnation) || item.origin == self.me {
            self.counters.stale += 1;
            return;
        }
        let urgent = item.body.urgent();
        if self.learn(now, item.clone(), out) && urgent {
            self.rumour(vec![item], out);
        }
    }

    /// Stores an item; whether it is new.
    pub(crate) fn learn(&mut self, now: Now, item: Item, out: &mut Vec<Action>) -> bool {
        let most = self.settings.items;
        let put = self
            .store
            .put(item.origin, item.version, item.body.clone(), now, most);
        match put {
            Put::Known => return false,
            Put::Full => {
                self.counters.dropped += 1;
                return false;
            }
            Put::New => {}
        }
        self.counters.learned += 1;
        self.mark(item.origin, &item.body);
        out.push(Action::Learned(item));
        true
    }

    fn mark(&mut self, origin: Id, body: &item::Body) {
        if *body != item::Body::Leaving {
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
        let row = roster::row(own);
        self.send(to, addr, Body::Rows(vec![row]), out);
    }
}
