//! The group of nodes as one of them sees it.

use crate::Now;
use crate::action::Action;
use crate::counters::Counters;
use crate::dissemination::{QueuedUpdate, UrgentItem};
use crate::event::Event;
use crate::head::Head;
use crate::identity::{Id, Identity, Incarnation};
use crate::item::Version;
use crate::message::{Body, Message, Row, Run, Update};
use crate::peer::{Entry, ListedState, Peer, State};
use crate::probe::Probes;
use crate::roster::{self, Roster};
use crate::settings::Settings;
use crate::store::Store;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// Rows of one message whose runs are said to be gone at most.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 32;

/// A run that was taken out of the roster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    pub(crate) incarnation: Incarnation,
    pub(crate) removed_at: Now,
    /// Whether it left by itself; a run that was only out of reach may come back.
    pub(crate) left: bool,
}

/// The state of membership and spread.
#[derive(Clone, Debug)]
pub struct Group {
    pub(crate) me: Id,
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) roster: Roster,
    pub(crate) store: Store,
    pub(crate) listed: Option<BTreeMap<Id, Entry>>,
    pub(crate) head: Option<Head>,
    pub(crate) head_requested: Option<(u64, Now)>,
    pub(crate) version: Version,
    pub(crate) updates: Vec<QueuedUpdate>,
    /// Urgent items to send on.
    pub(crate) urgent: VecDeque<UrgentItem>,
    /// Whether there is news that should not wait for the next round.
    pub(crate) flush_pending: bool,
    pub(crate) last_flush: Option<Now>,
    pub(crate) probes: Probes,
    pub(crate) tombstones: BTreeMap<Id, Tombstone>,
    pub(crate) last_tick: Option<Now>,
    /// When the first tick came.
    pub(crate) first_tick: Option<Now>,
    /// When a peer was last entered into the roster.
    pub(crate) last_join: Now,
    pub(crate) counters: Counters,
}

impl Group {
    /// A group that holds only this node.
    pub fn new(me: Identity, seed: u64, settings: Settings) -> Self {
        let id = me.id();
        let mut roster = Roster::default();
        roster.insert(Peer::new(me, Now::ZERO));
        Self {
            me: id,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            roster,
            store: Store::default(),
            listed: None,
            head: None,
            head_requested: None,
            version: 0,
            updates: Vec::new(),
            urgent: VecDeque::new(),
            flush_pending: false,
            last_flush: None,
            probes: Probes::default(),
            tombstones: BTreeMap::new(),
            last_tick: None,
            first_tick: None,
            last_join: Now::ZERO,
            counters: Counters::default(),
        }
    }

    /// Takes an event that came at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Received { from, message } => self.handle_message(now, from, message, out),
            Event::Listed(entries) => self.set_listed(entries),
            Event::Head(head) => self.set_head(head),
            Event::Publish(bodies) => self.publish(now, bodies),
            Event::ConnectFailed(peer) => self.connect_failed(peer, out),
            Event::Quit => self.quit(),
        }
        self.flush(now, out);
        #[cfg(debug_assertions)]
        self.assert();
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let gap = self.last_tick.map_or(Now::ZERO, |t| roster::age(now, t));
        self.last_tick = Some(now);
        self.first_tick.get_or_insert(now);
        if gap > self.settings.pause_threshold {
            self.handle_pause(now);
        }
        self.check_probes(now, out);
        self.probe_ring(now, out);
        if self.exchange_due(now) {
            self.judge_suspects(now, out);
            self.rejudge_lost(now, out);
            self.store.expire(now);
            self.remove_lost(now, out);
            self.run_round(now, out);
        }
    }

    /// After a pause of this process answers may wait unread while all timers have run out: the
    /// peers are not to blame, so every probe and every suspicion starts anew.
    fn handle_pause(&mut self, now: Now) {
        self.counters.pauses += 1;
        self.probes.reset(now);
        for peer in self.roster.iter_mut() {
            if peer.state == State::Suspect {
                peer.state_since = now;
            }
        }
        // Peers that suspected this node meanwhile may already wait to judge it.
        self.increment_refutations();
    }

    fn handle_message(
        &mut self,
        now: Now,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let Message {
            from: id,
            incarnation,
            head,
            updates: news,
            body,
        } = message;
        if id == self.me {
            self.counters.stale += 1;
            return;
        }
        if !self.accept_sender(now, id, incarnation, from, out) {
            self.counters.stale += 1;
            return;
        }
        if let Some(head) = head {
            self.compare_head(now, head, id, from, out);
        }
        let (doubts, news) = split_row_suspicions(news, body.rows());
        news.into_iter()
            .for_each(|n| self.handle_update(now, n, out));
        self.handle_body(now, id, from, body, out);
        // A node that was not known has now told who it is.
        if self.is_current_run(id, incarnation) {
            self.mark_alive(now, id, out);
        }
        doubts
            .into_iter()
            .for_each(|run| self.adopt_suspicion(now, run, out));
    }

    /// Whether this run of a node is in the roster.
    fn is_current_run(&self, id: Id, run: Incarnation) -> bool {
        self.roster
            .get(id)
            .is_some_and(|p| p.identity.incarnation == run)
    }

    fn handle_body(
        &mut self,
        now: Now,
        id: Id,
        from: SocketAddr,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::Ping { seq, to } => self.handle_ping(id, from, seq, to, out),
            Body::Ack { seq, of } => self.handle_ack(now, seq, of, out),
            Body::IndirectPing { seq, to, addr } => {
                self.handle_indirect_ping(now, (id, from, seq), to, addr, out)
            }
            Body::Identify => self.send_identity(id, from, out),
            Body::Rows(rows) => rows.into_iter().for_each(|r| self.merge_row(now, r, out)),
            Body::Empty => {}
            Body::Items(items) => items
                .into_iter()
                .for_each(|i| self.handle_item(now, i, out)),
            Body::Digest(summaries) => self.handle_digest(now, id, from, &summaries, out),
            Body::Delta(delta) => self.handle_delta(now, id, from, delta, out),
        }
    }

    /// Notes that a run of `id` sent something. Returns whether the message counts.
    fn accept_sender(
        &mut self,
        now: Now,
        id: Id,
        run: Incarnation,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) -> bool {
        if let Some(grave) = self.tombstones.get(&id) {
            let gone = grave.incarnation > run || (grave.left && grave.incarnation == run);
            if gone {
                return false;
            }
        }
        match self.roster.get(id).map(|p| p.identity.incarnation) {
            Some(known) if known > run => return false,
            Some(known) if known == run => self.mark_alive(now, id, out),
            _ => {
                self.tombstones.remove(&id);
                self.send(id, from, Body::Identify, out);
            }
        }
        true
    }

    /// Takes over a row that a peer sent.
    pub(crate) fn merge_row(&mut self, now: Now, row: Row, out: &mut Vec<Action>) {
        let id = row.identity.id();
        let run = row.identity.incarnation;
        let buried = self
            .tombstones
            .get(&id)
            .is_some_and(|g| g.incarnation >= run);
        if buried {
            return;
        }
        match self.roster.get(id).map(|p| p.identity.incarnation) {
            Some(known) if known > run => {}
            Some(known) if known == run => self.apply_refutation(now, id, row.refutations, out),
            Some(_) if id == self.me => {}
            known => self.insert_peer(now, row, known.is_some(), out),
        }
    }

    fn insert_peer(&mut self, now: Now, row: Row, restarted: bool, out: &mut Vec<Action>) {
        let run = row.identity.incarnation;
        let clash = self
            .roster
            .address_conflict(&row.identity)
            .map(|p| (p.id, p.identity.incarnation));
        match clash {
            Some((old, other)) if old == self.me || other >= run => return,
            // Two names cannot listen on one address: the earlier run there has ended.
            Some((old, _)) => self.remove(now, old, true, out),
            None => {}
        }
        if self.roster.len() >= self.settings.max_peers {
            self.counters.dropped += 1;
            return;
        }
        let mut peer = Peer::new(row.identity.clone(), now);
        peer.refutations = row.refutations;
        peer.listed = self.listed_state(peer.id);
        let id = peer.id;
        if !self.roster.insert(peer) {
            self.counters.dropped += 1;
            return;
        }
        self.last_join = now;
        self.store.forget(id);
        self.queue_join(row);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Up,
            restarted,
        });
    }

    /// Takes a row out and remembers its run.
    pub(crate) fn remove(&mut self, now: Now, id: Id, left: bool, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.remove(id) else {
            return;
        };
        self.store.forget(id);
        let grave = Tombstone {
            incarnation: peer.identity.incarnation,
            removed_at: now,
            left,
        };
        self.tombstones.insert(id, grave);
        self.probes.forget(id);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Left,
            restarted: false,
        });
    }

    fn set_listed(&mut self, entries: Vec<Entry>) {
        let table: BTreeMap<Id, Entry> = entries
            .into_iter()
            .map(|e| (crate::identity::id(&e.name), e))
            .collect();
        for peer in self.roster.iter_mut() {
            peer.listed = table.get(&peer.id).map(|e| e.state);
        }
        self.listed = Some(table);
    }

    fn listed_state(&self, id: Id) -> Option<ListedState> {
        self.listed.as_ref()?.get(&id).map(|e| e.state)
    }

    /// Sends a message with the head and some news. What this node thinks of the rows in it goes along.
    pub(crate) fn send(&mut self, peer: Id, to: SocketAddr, body: Body, out: &mut Vec<Action>) {
        let mut news = self.select_updates(peer);
        let away = self.rows_not_up(body.rows());
        let (first, more) = away.split_at(MAX_SUSPICIONS_PER_MESSAGE.min(away.len()));
        news.extend(self.suspicions_of(first));
        let message = self.message(news, body);
        out.push(Action::Send { peer, to, message });
        for rows in more.chunks(MAX_SUSPICIONS_PER_MESSAGE) {
            let message = self.message(self.suspicions_of(rows), Body::Rows(rows.to_vec()));
            out.push(Action::Send { peer, to, message });
        }
    }

    /// Sends nothing but `news`.
    pub(crate) fn send_updates(
        &mut self,
        peer: Id,
        to: SocketAddr,
        news: Vec<Update>,
        out: &mut Vec<Action>,
    ) {
        let message = self.message(news, Body::Empty);
        out.push(Action::Send { peer, to, message });
    }

    fn message(&self, news: Vec<Update>, body: Body) -> Message {
        let incarnation = self.incarnation();
        Message {
            from: self.me,
            incarnation,
            head: self.head,
            updates: news,
            body,
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.roster
            .get(self.me)
            .map_or(0, |p| p.identity.incarnation)
    }

    /// The id of this node.
    pub fn me(&self) -> Id {
        self.me
    }

    /// The nodes heard of, this one among them.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What the nodes published.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// What this node has in force.
    pub fn head(&self) -> Option<Head> {
        self.head
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The instance list as last read.
    pub fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.listed.iter().flat_map(BTreeMap::values)
    }

    /// Whether the nodes known at `now` are likely all that there are. Nodes that start together know
    /// few of the others at first: each of them would take the duties of the first node for its own.
    pub fn is_settled(&self, now: Now) -> bool {
        let Some(began) = self.first_tick else {
            return false;
        };
        let Settings {
            startup_period,
            settle_time,
            ..
        } = self.settings;
        if roster::age(now, began) >= startup_period {
            return true;
        }
        let alone = self.roster.len() == 1 && self.listed().next().is_some();
        !alone && roster::age(now, began.max(self.last_join)) >= settle_time
    }

    /// Nodes that count as existing: heard of, or listed as live.
    pub fn node_count(&self) -> usize {
        let live = |e: &Entry| e.state == ListedState::Live;
        let unknown = |(id, e): &(&Id, &Entry)| live(e) && self.roster.get(**id).is_none();
        let listed = self.listed.iter().flatten();
        self.roster.len() + listed.filter(unknown).count()
    }
}

/// What the sender of `rows` thinks of them, and the news.
fn split_row_suspicions(news: Vec<Update>, rows: &[Row]) -> (Vec<Run>, Vec<Update>) {
    let sent: BTreeSet<Id> = rows.iter().map(|row| row.identity.id()).collect();
    let mut doubts = Vec::new();
    let news = news.into_iter().filter(|piece| match piece {
        Update::Suspect(run) if sent.contains(&run.id) => {
            doubts.push(*run);
            false
        }
        _ => true,
    });
    let news = news.collect();
    (doubts, news)
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.head {
            Some(head) => writeln!(f, "head {head}")?,
            None => writeln!(f, "head none")?,
        }
        writeln!(f, "{:?}", self.counters)?;
        for peer in self.roster.iter() {
            let mark = if peer.id == self.me { "me" } else { "peer" };
            writeln!(f, "{mark} {peer}")?;
            let rows = self.store.items(peer.id);
            rows.map(|(_, s)| &s.body)
                .try_for_each(|b| writeln!(f, "  {b}"))?;
        }
        Ok(())
    }
}
