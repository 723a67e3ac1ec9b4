//! Exchange of table copies and engine loads with peers.

use super::super::assignment::{Assignment, EngineCounts};
use super::super::copy::{self, CHUNK_BYTES, Request, Response};
use super::super::input::Input;
use super::super::pulls::Action;
use super::{
    COPY_INTERVAL, CopyReply, ENDPOINTS_COPY_TIMEOUT, FIRST_CATALOG_TIMEOUT, OPERATOR_COPY_TIMEOUT,
    PEERS_PER_COPY, State, TableStatus,
};
use adapter::store::Table;
use catalog::source::{self, Offset};
use journal::event::Event as JournalEvent;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use tokio::time::Instant;
use wire::frame::CopyRequest;

impl State {
    /// Recomputes this node's assignment, and starts or stops its reads of the store accordingly.
    pub(super) fn update_assignment(&mut self, now: Instant) {
        let (me, accepting) = (self.group.me(), self.group.accepting());
        let elapsed = self.start.elapsed();
        let isolated = self.isolated_nodes();
        self.assignment = Assignment::of(
            elapsed,
            me,
            &self.settings.zone,
            accepting,
            &isolated,
            &self.engines_by_zone(),
        );
        // A node reads the store itself if it gets no up-to-date copy from the readers of its zone,
        // or not the catalog that a peer has in force.
        let behind = self.group.behind_since(elapsed);
        let behind = behind.is_some_and(|since| elapsed >= since + OPERATOR_COPY_TIMEOUT);
        let reads = self.assignment.reads || behind || self.lacks_copy(now);
        self.reads
            .send_if_modified(|r| std::mem::replace(r, reads) != reads);
    }

    /// Returns whether the readers have provided no up-to-date copy of one of the tables for some
    /// time. Copies of one table don't make up for those of the other.
    fn lacks_copy(&self, now: Instant) -> bool {
        let lacks = |status: &TableStatus, timeout| {
            now >= status.copy_received.unwrap_or(self.start) + timeout
        };
        lacks(&self.operator, OPERATOR_COPY_TIMEOUT)
            || lacks(&self.endpoints, ENDPOINTS_COPY_TIMEOUT)
    }

    /// Counts the engines of each zone.
    pub(super) fn engines_by_zone(&self) -> EngineCounts<'_> {
        let mut counts = EngineCounts::new();
        let engines = self.tables.endpoints().filter(|e| e.accelerator.is_some());
        engines.for_each(|e| *counts.entry(&e.zone).or_default() += 1);
        counts
    }

    /// Requests copies and loads from the peers that provide them to this node.
    pub(super) fn pull(&mut self, now: Instant) {
        for (request, peer) in self.pulls.due(now, &self.assignment) {
            let from = match request {
                Request::Changes(table) | Request::Keys(table) => self.tables.next_offset(table),
                Request::Loads(scope) => self.loads.known_change(peer, scope),
            };
            self.send_request(request, from, peer);
        }
    }

    /// Handles the response of a peer.
    pub(super) fn handle_response(
        &mut self,
        now: Instant,
        request: Request,
        peer: SocketAddr,
        bytes: &[u8],
    ) {
        self.pulls.finish(request, peer, true);
        match request {
            Request::Changes(table) | Request::Keys(table) => match copy::decode(bytes) {
                Ok(response) => {
                    self.record_copy(now, table, peer, &response);
                    let action = self.pulls.handle_chunk(peer, request, response);
                    self.apply_chunk(now, table, peer, action);
                }
                Err(error) => log::warn!("cannot decode a copy from peer {peer}: {error}"),
            },
            Request::Loads(scope) => match self.loads.merge(now, peer, scope, bytes) {
                Ok(new) => self.loads_changed |= new,
                Err(error) => log::warn!("cannot decode loads from peer {peer}: {error}"),
            },
        }
    }

    /// Handles a failed request to a peer. Later pulls retry it, with another peer if there is one.
    pub(super) fn handle_request_failure(
        &mut self,
        now: Instant,
        request: Request,
        peer: SocketAddr,
        reason: String,
    ) {
        self.pulls.finish(request, peer, false);
        if !self.pulls.mark_failed(now, peer) {
            return;
        }
        self.journal.record(JournalEvent::Unanswered {
            peer: peer.to_string(),
            ask: format!("{request:?}"),
            why: reason,
        });
    }

    /// Records whether a peer's copy of a table is up to date.
    fn record_copy(&mut self, now: Instant, table: Table, peer: SocketAddr, response: &Response) {
        // The copy of a peer that does not know yet that the store was restored is not used.
        let own = self.tables.next_offset(table);
        let earlier_era = source::era(response.page.next_offset) < source::era(own);
        let up_to_date = response.up_to_date && !earlier_era;
        if up_to_date && !self.assignment.reads {
            if table == Table::Endpoints {
                self.tables.record_read();
            }
            let status = self.status(table);
            status.copy_received = Some(now);
            status.unreadable_since = None;
            if !response.more {
                status.current_at = Some(now);
            }
        } else if !up_to_date {
            self.pulls.mark_failed(now, peer);
        }
    }

    /// Does what follows from a chunk of a copy.
    fn apply_chunk(&mut self, now: Instant, table: Table, peer: SocketAddr, action: Action) {
        match action {
            Action::Apply(page) => self.apply_page(table, page, "peer"),
            Action::ApplyAndContinue(page) => {
                self.apply_page(table, page, "peer");
                self.request_changes(now, table, peer);
            }
            Action::FetchKeys(from) => self.request_more(now, Request::Keys(table), from, peer),
            Action::Discard => {}
        }
    }

    /// Requests the operator's table from a peer that announced a newer catalog.
    pub(super) fn fetch_catalog(&mut self, now: Instant, peer: SocketAddr) {
        let request = Request::Changes(Table::Operator);
        if self.pulls.begin(now, request, peer, usize::MAX) {
            self.send_request(request, self.tables.next_offset(Table::Operator), peer);
        }
    }

    /// Requests from a peer the changes of a table that this node lacks.
    fn request_changes(&mut self, now: Instant, table: Table, peer: SocketAddr) {
        let from = self.tables.next_offset(table);
        self.request_more(now, Request::Changes(table), from, peer);
    }

    /// Requests more of a table, unless enough requests for it are in flight.
    fn request_more(&mut self, now: Instant, request: Request, from: Offset, peer: SocketAddr) {
        if self.pulls.begin(now, request, peer, PEERS_PER_COPY) {
            self.send_request(request, from, peer);
        }
    }

    /// Sends a request to a peer in a task of its own, which sends its result as an input.
    fn send_request(&self, request: Request, from: Offset, peer: SocketAddr) {
        let table = request.into();
        let (link, inputs, metrics) =
            (self.link.clone(), self.inputs.clone(), self.metrics.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let answer = link.request_copy(peer, CopyRequest { table, from }).await;
            metrics.record_peer_request(
                request.label(),
                matches!(answer, Ok(Some(_))),
                started.elapsed(),
            );
            let input = match answer {
                Ok(Some(bytes)) => Input::Response(request, peer, bytes),
                Ok(None) => Input::RequestFailed(request, peer, "the peer has none".to_owned()),
                Err(error) => Input::RequestFailed(request, peer, error.to_string()),
            };
            // Sending fails only if control has ended.
            let _ = inputs.send(input).await;
        });
    }

    /// Requests copies of both tables from random peers while the store can't be read, and of the
    /// operator's table alone while no catalog is known some time after the start.
    pub(super) fn copy_from_peers(&mut self, now: Instant) {
        let unreadable =
            self.operator.unreadable_since.is_some() || self.endpoints.unreadable_since.is_some();
        let overdue = now >= self.start + FIRST_CATALOG_TIMEOUT && self.tables.catalog().is_none();
        let tables: &[Table] = match (unreadable, overdue) {
            // If one table can't be read, the other is likely to become stale as well.
            (true, _) => &[Table::Operator, Table::Endpoints],
            (false, true) => &[Table::Operator],
            (false, false) => return,
        };
        if now < self.last_copy_request + COPY_INTERVAL {
            return;
        }
        self.last_copy_request = now;
        let me = self.group.me();
        let peers: Vec<SocketAddr> = self
            .group
            .accepting()
            .filter(|p| p.id != me)
            .map(|p| p.identity.addr)
            .collect();
        for &peer in peers.sample(&mut rand::rng(), PEERS_PER_COPY) {
            for &table in tables {
                self.request_changes(now, table, peer);
            }
        }
    }

    /// Handles a request of a peer for a copy or for loads. The operator's table is sent at once;
    /// rows of endpoints and loads wait until few bytes are in flight.
    pub(super) fn handle_copy_request(&mut self, request: CopyRequest, reply: CopyReply) {
        let now = Instant::now();
        match Request::try_from(request.table) {
            Ok(Request::Changes(Table::Endpoints) | Request::Keys(Table::Endpoints))
            | Ok(Request::Loads(_)) => {
                self.uploads.push(now, reply.peer(), request, reply);
                self.serve_waiting(now);
            }
            _ => send_reply(reply, self.encode_copy(now, request)),
        }
    }

    /// Responds to the requests that wait, as far as the bytes in flight allow.
    pub(super) fn serve_waiting(&mut self, now: Instant) {
        for reply in self.uploads.expire(now) {
            send_reply(reply, None);
        }
        while let Some(waiting) = self.uploads.next(now) {
            let Some(bytes) = self.encode_copy(now, waiting.request) else {
                send_reply(waiting.reply, None);
                continue;
            };
            let len = bytes.len();
            // A response that is dropped at a full queue is counted by the link.
            let Ok(delivery) = waiting.reply.send_tracked(Some(bytes)) else {
                continue;
            };
            let id = self.uploads.begin(now, len);
            let inputs = self.inputs.clone();
            tokio::spawn(async move {
                delivery.ended().await;
                // Sending fails only if control has ended.
                let _ = inputs.send(Input::Delivered(id)).await;
            });
        }
    }

    /// Encodes the response to a request; `None` if there is none.
    fn encode_copy(&self, now: Instant, request: CopyRequest) -> Option<Vec<u8>> {
        let from = request.from;
        let encoded = Request::try_from(request.table).and_then(|request| match request {
            Request::Changes(table) | Request::Keys(table) => {
                copy::encode(&self.copy_chunk(request, table, from))
            }
            Request::Loads(scope) => self.loads.encode(now, scope, from),
        });
        encoded
            .inspect_err(|error| log::warn!("cannot serve a request for a copy: {error}"))
            .ok()
    }

    /// Returns a chunk of this node's copy of a table, from an offset on.
    fn copy_chunk(&self, request: Request, table: Table, from: Offset) -> Response {
        let status = match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        };
        let own = self.tables.copy(table);
        let chunk = match request {
            Request::Keys(_) => own.keys(from, CHUNK_BYTES),
            _ => own.changes(from, CHUNK_BYTES),
        };
        Response {
            page: chunk.page,
            up_to_date: self.assignment.reads
                && status.current_at.is_some()
                && status.unreadable_since.is_none(),
            more: chunk.more,
        }
    }
}

/// Sends a response to a peer. The link counts responses dropped at a full queue; the peer's call
/// times out.
fn send_reply(reply: CopyReply, response: Option<Vec<u8>>) {
    let _ = reply.send(response);
}
