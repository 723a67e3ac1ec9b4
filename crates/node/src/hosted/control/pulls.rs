//! Which peers are asked for copies of tables and for loads, and what is gathered from their answers.
//!
//! Each node takes rows of endpoints and loads from the reader of its zone that it prefers, and from
//! the next one for a while if that one does not answer or can't read the store itself. Of each table
//! at most a bounded number of asks is under way: an answer that is late is not asked for again
//! meanwhile. Without these bounds each node asked any reader every third of a second. Readers of
//! 100 nodes then sent the same rows several times over, filled their links, and new catalogs came
//! seconds late.
//!
//! The operator's table is small, and is asked for from a few readers in turn, by readers too: one
//! that is short of processor reads the store late and still answers, and nobody can tell.

use super::assignment::Assignment;
use super::copy::{Request, Response, Scope};
use adapter::store::Table;
use catalog::source::{Offset, Page};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often copies and loads are taken from peers.
pub const PULL_INTERVAL: Duration = Duration::from_millis(350);
/// How long a peer that failed is left alone if there is another one.
const FAILED_PEER_COOLDOWN: Duration = Duration::from_secs(2);

/// Readers that are asked for the operator's table, in turn.
const OPERATOR_READERS: usize = 3;
/// Asks for the operator's table that may be under way.
const MAX_OPERATOR_REQUESTS: usize = 2;
/// Nodes that a reader asks for their loads at once. The others have their turn in the next pulls.
const POLLERS_PER_PULL: usize = 16;

/// Asks that are under way, readers to avoid, and tables that are gathered chunk by chunk.
#[derive(Debug, Default)]
pub struct Pulls {
    /// When peers were last asked.
    last_pull: Option<Instant>,
    /// How often that was.
    turn: usize,
    in_flight: Vec<(Request, SocketAddr)>,
    avoid: BTreeMap<SocketAddr, Instant>,
    partial: Vec<PartialTable>,
}

/// The keys of a table that one peer has given so far.
#[derive(Debug)]
struct PartialTable {
    peer: SocketAddr,
    table: Table,
    page: Page,
}

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Take the page; no chunk follows it.
    Apply(Page),
    /// Take the page, and ask the same peer for what follows it.
    ApplyAndContinue(Page),
    /// Ask the same peer for the keys that changed at this offset or later.
    FetchKeys(Offset),
}

impl Pulls {
    /// What a node asks which peer now; each of it counts as under way. A reader takes the loads that
    /// others asked engines for, any other node takes all from its reader.
    pub fn due(&mut self, now: Instant, assignment: &Assignment) -> Vec<(Request, SocketAddr)> {
        if self.last_pull.is_some_and(|at| now < at + PULL_INTERVAL) {
            return Vec::new();
        }
        self.last_pull = Some(now);
        self.turn = self.turn.wrapping_add(1);
        let mut due = Vec::new();
        if let Some(operator_reader) = self.operator_reader(now, &assignment.readers) {
            due.push((Request::Changes(Table::Operator), operator_reader));
        }
        if assignment.reads {
            let own = Request::Loads(Scope::Own);
            due.extend(
                self.pollers(&assignment.pollers)
                    .map(|poller| (own, poller)),
            );
        } else if let Some(reader) = self.preferred_reader(now, &assignment.readers) {
            let requests = [
                Request::Changes(Table::Endpoints),
                Request::Loads(Scope::All),
            ];
            due.extend(requests.map(|request| (request, reader)));
        }
        // Each poller has loads of its own, while all readers have the same tables.
        due.retain(|&(request, peer)| match request {
            Request::Loads(_) => self.begin(request, peer, usize::MAX),
            Request::Changes(Table::Operator) => self.begin(request, peer, MAX_OPERATOR_REQUESTS),
            _ => self.begin(request, peer, 1),
        });
        due
    }

    /// The reader to ask for the operator's table: one of the first few, in turn.
    fn operator_reader(&self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let few = &readers[..readers.len().min(OPERATOR_READERS)];
        let start = self.turn % few.len().max(1);
        let (before, after) = few.split_at(start.min(few.len()));
        let mut order = after.iter().chain(before);
        let healthy = order.clone().find(|reader| !self.avoided(now, reader));
        healthy.or(order.next()).copied()
    }

    /// The nodes whose turn it is to be asked for the loads that they asked engines for.
    fn pollers(&self, all: &[SocketAddr]) -> impl Iterator<Item = SocketAddr> {
        let start = (self.turn * POLLERS_PER_PULL) % all.len().max(1);
        let turn = all
            .iter()
            .cycle()
            .skip(start)
            .take(POLLERS_PER_PULL.min(all.len()));
        turn.copied()
    }

    /// The reader to ask: the first that did not fail of late, or the first of all.
    fn preferred_reader(&self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let healthy = readers.iter().find(|reader| !self.avoided(now, reader));
        healthy.or(readers.first()).copied()
    }

    fn avoided(&self, now: Instant, peer: &SocketAddr) -> bool {
        self.avoid.get(peer).is_some_and(|&until| now < until)
    }

    /// A peer did not answer, or can't read the store; whether that was not known yet.
    pub fn mark_failed(&mut self, now: Instant, peer: SocketAddr) -> bool {
        self.avoid.retain(|_, until| now < *until);
        self.avoid
            .insert(peer, now + FAILED_PEER_COOLDOWN)
            .is_none()
    }

    /// Begins an ask unless it is under way, or `most` of its kind are. The chunks of a table count
    /// as one kind.
    pub fn begin(&mut self, request: Request, peer: SocketAddr, limit: usize) -> bool {
        let kind = self
            .in_flight
            .iter()
            .filter(|(other, _)| same_kind(*other, request));
        let allowed = kind.clone().count() < limit && !kind.clone().any(|(_, p)| *p == peer);
        if allowed {
            self.in_flight.push((request, peer));
        }
        allowed
    }

    /// An ask ended, with or without an answer. What was gathered is of no use without the rest.
    pub fn finish(&mut self, request: Request, peer: SocketAddr, succeeded: bool) {
        self.in_flight
            .retain(|in_flight| *in_flight != (request, peer));
        if let Request::Keys(table) = request
            && !succeeded
        {
            self.partial.retain(|g| (g.peer, g.table) != (peer, table));
        }
    }

    /// Finds what to do with a chunk that a peer gave.
    pub fn handle_chunk(&mut self, peer: SocketAddr, table: Table, response: Response) -> Action {
        let before = self.partial.iter();
        let before = before
            .map(|g| (g.peer, g.table))
            .position(|at| at == (peer, table));
        let before = before.map(|index| self.partial.swap_remove(index).page);
        if !response.page.complete {
            return match response.more {
                true => Action::ApplyAndContinue(response.page),
                false => Action::Apply(response.page),
            };
        }
        let page = match before {
            Some(before) => join_chunks(before, response.page),
            None => response.page,
        };
        let last = page.records.last().map(|r| r.offset);
        match last {
            Some(last) if response.more => {
                self.partial.push(PartialTable { peer, table, page });
                Action::FetchKeys(last + 1)
            }
            _ => Action::Apply(page),
        }
    }
}

/// Two chunks of all keys. The whole is known only as far as the chunk that is known least far: the
/// peer may have started anew between them.
fn join_chunks(mut page: Page, chunk: Page) -> Page {
    page.next_offset = page.next_offset.min(chunk.next_offset);
    page.records.extend(chunk.records);
    page
}

fn same_kind(a: Request, b: Request) -> bool {
    let table = |request| match request {
        Request::Changes(table) | Request::Keys(table) => Some(table),
        Request::Loads(_) => None,
    };
    a == b || (table(a).is_some() && table(a) == table(b))
}
