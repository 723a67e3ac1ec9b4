//! Schedules requests to peers for copies of tables and for loads, and assembles their chunked
//! responses.
//!
//! Each node copies the endpoints' table and the loads from its preferred reader, a node of its
//! zone that reads the store, and fails over to the next one for a while if that one does not
//! answer or can't read the store itself. The number of requests in flight for a table is bounded,
//! so that a request whose response is late is not repeated. If each node sent a request to any
//! reader every third of a second instead, the readers for 100 nodes would send the same rows
//! several times over and fill their links.
//!
//! The operator's table is small. It is requested from a few readers in turn, also by readers: one
//! that is short of processor time reads the store late but still answers, which no other node can
//! detect. A failed or overdue request does not delay the next one, not even to the same reader,
//! since it may be the only one that has the newest catalog.

use super::assignment::Assignment;
use super::copy::{Request, Response, Scope};
use adapter::store::Table;
use catalog::source::{self, MAX_TABLE_BYTES, Offset, Page};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which copies and loads are requested from peers.
pub const PULL_INTERVAL: Duration = Duration::from_millis(350);
/// Time for which a peer that failed is avoided if there is another one.
const FAILED_PEER_COOLDOWN: Duration = Duration::from_secs(2);

/// Number of readers among which requests for the operator's table rotate.
const OPERATOR_READERS: usize = 3;
/// Maximum number of requests for the operator's table in flight, apart from overdue ones.
const MAX_OPERATOR_REQUESTS: usize = 2;
/// Time after which a request for the operator's table is overdue: its response may be lost, and
/// another node is asked.
const OPERATOR_REQUEST_OVERDUE: Duration = Duration::from_millis(400);
/// Time after which a request for the endpoints' table is overdue: longer than a reader lets it
/// wait.
const ENDPOINTS_REQUEST_OVERDUE: Duration = Duration::from_millis(1500);
/// Number of pollers, nodes that poll engines, from which a reader requests loads in one pull. The
/// others follow in the next pulls.
const POLLERS_PER_PULL: usize = 16;

/// Requests in flight, peers to avoid, and tables that are being received chunk by chunk.
#[derive(Debug, Default)]
pub struct Pulls {
    /// Time of the last pull.
    last_pull: Option<Instant>,
    /// Number of pulls so far.
    turn: usize,
    in_flight: Vec<InFlight>,
    /// Peers that failed, with the time until which they are avoided.
    avoid: BTreeMap<SocketAddr, Instant>,
    partial: Vec<PartialTable>,
}

/// A request that has not been answered.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    request: Request,
    peer: SocketAddr,
    since: Instant,
}

impl InFlight {
    fn is_overdue(&self, now: Instant) -> bool {
        let overdue = match self.request.table() {
            Some(Table::Operator) => OPERATOR_REQUEST_OVERDUE,
            Some(Table::Endpoints) => ENDPOINTS_REQUEST_OVERDUE,
            None => return false,
        };
        now >= self.since + overdue
    }
}

/// The keys of a table that were received so far from one peer.
#[derive(Debug)]
struct PartialTable {
    peer: SocketAddr,
    table: Table,
    page: Page,
}

/// What to do after a chunk was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Apply the page, which is the last one.
    Apply(Page),
    /// Apply the page, and request the changes that follow it from the same peer.
    ApplyAndContinue(Page),
    /// Request from the same peer the keys that changed at this offset or later.
    FetchKeys(Offset),
    /// Discard the chunk, which belongs to no transfer or to a second one.
    Discard,
}

impl Pulls {
    /// Returns the requests to send now, each with its peer, and counts them as in flight. A reader
    /// requests from pollers the loads that they polled themselves; any other node requests all
    /// loads from its reader.
    pub fn due(&mut self, now: Instant, assignment: &Assignment) -> Vec<(Request, SocketAddr)> {
        if self.last_pull.is_some_and(|at| now < at + PULL_INTERVAL) {
            return Vec::new();
        }
        self.last_pull = Some(now);
        self.turn = self.turn.wrapping_add(1);
        let mut due = Vec::new();
        if let Some(operator_reader) = self.operator_reader(&assignment.readers) {
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
        // Requests for loads aren't bounded: each poller has different loads, while all readers
        // have the same tables.
        due.retain(|&(request, peer)| match request {
            Request::Loads(_) => self.begin(now, request, peer, usize::MAX),
            Request::Changes(Table::Operator) => {
                self.begin(now, request, peer, MAX_OPERATOR_REQUESTS)
            }
            _ => self.begin(now, request, peer, 1),
        });
        due
    }

    /// Selects the reader for a request for the operator's table: one of the first few, in turn.
    fn operator_reader(&self, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let few = &readers[..readers.len().min(OPERATOR_READERS)];
        few.get(self.turn % few.len().max(1)).copied()
    }

    /// Selects the pollers whose turn it is in this pull.
    fn pollers(&self, all: &[SocketAddr]) -> impl Iterator<Item = SocketAddr> {
        let start = (self.turn * POLLERS_PER_PULL) % all.len().max(1);
        let turn = all
            .iter()
            .cycle()
            .skip(start)
            .take(POLLERS_PER_PULL.min(all.len()));
        turn.copied()
    }

    /// Selects the first reader that did not fail recently and has no overdue request for the
    /// endpoints' table, or the first of all.
    fn preferred_reader(&self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let overdue = |reader: &SocketAddr| {
            let mut requests = self.in_flight.iter().filter(|r| r.peer == *reader);
            requests.any(|r| r.request.table() == Some(Table::Endpoints) && r.is_overdue(now))
        };
        let mut healthy = readers.iter().filter(|reader| !self.avoided(now, reader));
        let healthy = healthy.find(|reader| !overdue(reader));
        healthy.or(readers.first()).copied()
    }

    fn avoided(&self, now: Instant, peer: &SocketAddr) -> bool {
        self.avoid.get(peer).is_some_and(|&until| now < until)
    }

    /// Avoids a peer for a while that did not answer or can't read the store. Returns whether it
    /// was not avoided before.
    pub fn mark_failed(&mut self, now: Instant, peer: SocketAddr) -> bool {
        self.avoid.retain(|_, until| now < *until);
        self.avoid
            .insert(peer, now + FAILED_PEER_COOLDOWN)
            .is_none()
    }

    /// Counts a request as in flight, unless a request of its kind to the peer, or `limit` requests
    /// of its kind, already are. All requests for one table are of one kind. Overdue ones count
    /// only at their peer, and for the operator's table not even there. Returns whether the request
    /// may be sent.
    pub fn begin(
        &mut self,
        now: Instant,
        request: Request,
        peer: SocketAddr,
        limit: usize,
    ) -> bool {
        let is_operator = request.table() == Some(Table::Operator);
        let kind = self.in_flight.iter();
        let kind = kind.filter(|other| same_kind(other.request, request));
        let (overdue, others): (Vec<_>, Vec<_>) = kind.partition(|other| other.is_overdue(now));
        let at_peer = |requests: &[&InFlight]| requests.iter().any(|other| other.peer == peer);
        let blocked = at_peer(&others) || (!is_operator && at_peer(&overdue));
        let allowed = others.len() < limit && !blocked;
        if allowed {
            self.in_flight.push(InFlight {
                request,
                peer,
                since: now,
            });
        }
        allowed
    }

    /// Ends a request. If one for the endpoints' table failed after a later pull, the next pull is
    /// due at once. If it failed in the middle of a transfer of all keys, the chunks received so far
    /// are discarded, since they are of no use without the rest.
    pub fn finish(&mut self, request: Request, peer: SocketAddr, succeeded: bool) {
        let ended = self
            .in_flight
            .extract_if(.., |r| (r.request, r.peer) == (request, peer));
        let since = ended.map(|r| r.since).min();
        let outlasted_pull = since.is_some_and(|since| Some(since) < self.last_pull);
        if !succeeded && request.table() == Some(Table::Endpoints) && outlasted_pull {
            self.last_pull = None;
        }
        if let Request::Keys(table) = request
            && !succeeded
        {
            self.partial.retain(|g| (g.peer, g.table) != (peer, table));
        }
    }

    /// Processes a chunk received from a peer in response to a request for a table, and returns what
    /// to do next. Chunks of two transfers from one peer are never joined, since keys that lie
    /// between them would be missing.
    pub fn handle_chunk(
        &mut self,
        peer: SocketAddr,
        request: Request,
        response: Response,
    ) -> Action {
        let Some(table) = request.table() else {
            return Action::Discard;
        };
        let continuation = (Request::Keys(table), peer);
        let continues = (request, peer) == continuation;
        let mut in_flight = self.in_flight.iter();
        let in_transfer = in_flight.any(|r| (r.request, r.peer) == continuation);
        if response.page.complete && response.more && !continues && in_transfer {
            return Action::Discard;
        }
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
            Some(before) if continues && same_era(&before, &response.page) => {
                join_chunks(before, response.page)
            }
            // The peer has moved on to a later era, of which this is the first chunk.
            Some(before) if continues && before.next_offset < response.page.next_offset => {
                response.page
            }
            _ if continues => return Action::Discard,
            _ => response.page,
        };
        if page.cost() > MAX_TABLE_BYTES {
            log::warn!("peer {peer} sends a table that exceeds {MAX_TABLE_BYTES} bytes");
            return Action::Discard;
        }
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

/// Joins two chunks of a transfer of all keys. The result is valid up to the lower of their
/// offsets, since the peer may have restarted between them.
fn join_chunks(mut page: Page, chunk: Page) -> Page {
    page.next_offset = page.next_offset.min(chunk.next_offset);
    page.records.extend(chunk.records);
    page
}

fn same_era(a: &Page, b: &Page) -> bool {
    source::era(a.next_offset) == source::era(b.next_offset)
}

fn same_kind(a: Request, b: Request) -> bool {
    a == b || (a.table().is_some() && a.table() == b.table())
}
