//! The group of nodes as seen by one of them: entry point of the membership protocol.

use crate::Now;
use crate::action::Action;
use crate::counters::Counters;
use crate::dissemination::{QueuedUpdate, UrgentItem};
use crate::event::Event;
use crate::fetch::Fetch;
use crate::head::Head;
use crate::identity::{Id, Identity, Incarnation};
use crate::item::{Item, Version};
use crate::message::{Body, Message, Row, Run, Update};
use crate::peer::{Entry, ListedState, Peer, State};
use crate::probe::Probes;
use crate::reconcile;
use crate::roster::{self, Roster};
use crate::settings::Settings;
use crate::store::Store;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// Largest number of suspicions that accompany the rows of one message.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 32;

/// A run that was removed from the roster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    pub(crate) incarnation: Incarnation,
    pub(crate) removed_at: Now,
    /// Whether the run has ended for good: the node announced its exit, or another one has its address. A
    /// run that was only unreachable may return.
    pub(crate) ended: bool,
}

/// State of the membership protocol of one node.
#[derive(Clone, Debug)]
pub struct Group {
    pub(crate) me: Id,
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) roster: Roster,
    pub(crate) store: Store,
    /// The instance list as last read.
    pub(crate) listed: Option<BTreeMap<Id, Entry>>,
    pub(crate) head: Option<Head>,
    /// The fetch of a newer head; `None` if no peer is known to have one.
    pub(crate) fetch: Option<Fetch>,
    /// Version of the last own publication.
    pub(crate) version: Version,
    /// Updates to be piggybacked on messages.
    pub(crate) updates: Vec<QueuedUpdate>,
    /// Urgent items to be forwarded.
    pub(crate) urgent: VecDeque<UrgentItem>,
    /// Own items to be broadcast when the event has been handled.
    pub(crate) broadcasts: Vec<Item>,
    /// Whether an update or a head is to be sent before the next round.
    pub(crate) flush_pending: bool,
    pub(crate) last_flush: Option<Now>,
    pub(crate) probes: Probes,
    pub(crate) tombstones: BTreeMap<Id, Tombstone>,
    pub(crate) last_tick: Option<Now>,
    /// Time of the first tick.
    pub(crate) first_tick: Option<Now>,
    /// Time at which a peer was last entered into the roster.
    pub(crate) last_join: Now,
    pub(crate) counters: Counters,
}

impl Group {
    /// Creates a group that holds only this node. All random choices derive from `seed`.
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
            fetch: None,
            version: 0,
            updates: Vec::new(),
            urgent: VecDeque::new(),
            broadcasts: Vec::new(),
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

    /// Handles an event that arrived at `now` and appends the resulting actions to `out`.
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
        self.send_broadcasts(out);
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
        self.continue_fetch(now, out);
        if self.exchange_due(now) {
            self.judge_suspects(now, out);
            self.rejudge_lost(now, out);
            self.store.expire(now);
            self.remove_lost(now, out);
            self.run_round(now, out);
        }
    }

    /// Restarts all probes and suspicions after a pause of this process. Its timers have expired while
    /// answers wait unread in its sockets, which is no failure of the peers.
    fn handle_pause(&mut self, now: Now) {
        self.counters.pauses += 1;
        self.probes.reset(now);
        for peer in self.roster.iter_mut() {
            if peer.state == State::Suspect {
                peer.state_since = now;
            }
        }
        // Peers that suspected this node during the pause may be about to judge it.
        self.increment_refutations();
    }

    fn handle_message(
        &mut self,
        now: Now,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let stated = reconcile::stated_suspicions(&message);
        let Message {
            from: id,
            incarnation,
            head,
            updates,
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
        let (suspicions, updates) = split_row_suspicions(updates, body.rows());
        updates
            .into_iter()
            .for_each(|n| self.handle_update(now, n, out));
        self.handle_body(now, id, from, body, out);
        // The message may have held the row of a sender that was unknown before.
        if self.is_current_run(id, incarnation) {
            self.mark_alive(now, id, out);
        }
        suspicions
            .into_iter()
            .for_each(|run| self.adopt_suspicion(now, run, out));
        if let Some(stated) = stated {
            self.answer_suspicions(id, from, &stated, out);
        }
    }

    /// Returns whether the roster holds this run of a node.
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
            Body::Items(items) => self.handle_items(now, items, out),
            Body::Digest(summaries) => self.handle_digest(now, id, from, &summaries, out),
            Body::Delta(delta) => self.handle_delta(now, id, from, delta, out),
        }
    }

    /// Records that a run of `id` sent a message. Returns whether the message is to be handled: messages of
    /// removed or older runs are not.
    fn accept_sender(
        &mut self,
        now: Now,
        id: Id,
        run: Incarnation,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) -> bool {
        if let Some(tombstone) = self.tombstones.get(&id) {
            let ended =
                tombstone.incarnation > run || (tombstone.ended && tombstone.incarnation == run);
            if ended {
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

    /// Merges a row that a peer sent into the roster.
    pub(crate) fn merge_row(&mut self, now: Now, row: Row, out: &mut Vec<Action>) {
        let id = row.identity.id();
        let run = row.identity.incarnation;
        let removed = self
            .tombstones
            .get(&id)
            .is_some_and(|g| g.incarnation >= run);
        if removed {
            return;
        }
        match self.roster.get(id).map(|p| p.identity.incarnation) {
            Some(known) if known > run => {}
            Some(known) if known == run => self.apply_refutation(now, id, row.refutations, out),
            Some(_) if id == self.me => {}
            known => self.insert_peer(now, row, known.is_some(), out),
        }
    }

    /// Enters a row into the roster as a peer that is up. `restarted` says that it replaces an older run.
    fn insert_peer(&mut self, now: Now, row: Row, restarted: bool, out: &mut Vec<Action>) {
        let run = row.identity.incarnation;
        let conflict = self
            .roster
            .address_conflict(&row.identity)
            .map(|p| (p.id, p.identity.incarnation));
        match conflict {
            Some((old, other)) if old == self.me || other >= run => return,
            // Two nodes cannot listen on one address: the one that started earlier has ended.
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

    /// Removes a row from the roster and remembers its run. `ended`: the run cannot return.
    pub(crate) fn remove(&mut self, now: Now, id: Id, ended: bool, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.remove(id) else {
            return;
        };
        self.store.forget(id);
        let tombstone = Tombstone {
            incarnation: peer.identity.incarnation,
            removed_at: now,
            ended,
        };
        self.tombstones.insert(id, tombstone);
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

    /// Sends a message with the head and some updates. Suspicions of the rows that it holds are sent with it,
    /// and in further messages if they exceed the bound of one. A digest carries suspicions to be compared.
    pub(crate) fn send(&mut self, peer: Id, to: SocketAddr, body: Body, out: &mut Vec<Action>) {
        let mut updates = self.select_updates(peer);
        if matches!(body, Body::Digest(_)) {
            self.add_suspicions(&mut updates);
        }
        let not_up = self.rows_not_up(body.rows());
        let (first, rest) = not_up.split_at(MAX_SUSPICIONS_PER_MESSAGE.min(not_up.len()));
        updates.extend(self.suspicions_of(first));
        let message = self.message(updates, body);
        out.push(Action::Send { peer, to, message });
        for rows in rest.chunks(MAX_SUSPICIONS_PER_MESSAGE) {
            let message = self.message(self.suspicions_of(rows), Body::Rows(rows.to_vec()));
            out.push(Action::Send { peer, to, message });
        }
    }

    /// Sends a message that holds only the head and `updates`.
    pub(crate) fn send_updates(
        &mut self,
        peer: Id,
        to: SocketAddr,
        updates: Vec<Update>,
        out: &mut Vec<Action>,
    ) {
        let message = self.message(updates, Body::Empty);
        out.push(Action::Send { peer, to, message });
    }

    fn message(&self, updates: Vec<Update>, body: Body) -> Message {
        let incarnation = self.incarnation();
        Message {
            from: self.me,
            incarnation,
            head: self.head,
            updates,
            body,
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.roster
            .get(self.me)
            .map_or(0, |p| p.identity.incarnation)
    }

    /// Returns the id of this node.
    pub fn me(&self) -> Id {
        self.me
    }

    /// Returns the known nodes, including this one.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the items that the nodes published.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the head of the bundle that this node has in force.
    pub fn head(&self) -> Option<Head> {
        self.head
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Iterates over the instance list as last read.
    pub fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.listed.iter().flat_map(BTreeMap::values)
    }

    /// Returns whether the roster is likely complete at `now`. Nodes that start together know few of the
    /// others at first, and each of them would take over the duties of the first node.
    pub fn is_settled(&self, now: Now) -> bool {
        let Some(first_tick) = self.first_tick else {
            return false;
        };
        let Settings {
            startup_period,
            settle_time,
            ..
        } = self.settings;
        if roster::age(now, first_tick) >= startup_period {
            return true;
        }
        let alone = self.roster.len() == 1 && self.listed().next().is_some();
        !alone && roster::age(now, first_tick.max(self.last_join)) >= settle_time
    }

    /// Returns the number of existing nodes: those in the roster and those listed as live.
    pub fn node_count(&self) -> usize {
        let live = |e: &Entry| e.state == ListedState::Live;
        let unknown = |(id, e): &(&Id, &Entry)| live(e) && self.roster.get(**id).is_none();
        let listed = self.listed.iter().flatten();
        self.roster.len() + listed.filter(unknown).count()
    }
}

/// Separates the suspicions that concern `rows` of the same message from the other updates.
fn split_row_suspicions(updates: Vec<Update>, rows: &[Row]) -> (Vec<Run>, Vec<Update>) {
    let sent: BTreeSet<Id> = rows.iter().map(|row| row.identity.id()).collect();
    let mut suspicions = Vec::new();
    let others = updates.into_iter().filter(|update| match update {
        Update::Suspect(run) if sent.contains(&run.id) => {
            suspicions.push(*run);
            false
        }
        _ => true,
    });
    let others = others.collect();
    (suspicions, others)
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
