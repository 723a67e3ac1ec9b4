//! What nodes read and ask for each other: copies of the store's tables, and loads of engines.

use super::super::assignment::{self, Assignment, EngineCounts};
use super::super::copy::{self, CHUNK_BYTES, Request, Response};
use super::super::input::Input;
use super::super::pulls::Action;
use super::{COPY_INTERVAL, COPY_TIMEOUT, FIRST_CATALOG_TIMEOUT, PEERS_PER_COPY, State};
use adapter::report::{Control as Engine, Report};
use adapter::store::Table;
use catalog::Endpoint;
use catalog::endpoint::Run;
use catalog::source::Offset;
use journal::event::Event as JournalEvent;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use wire::frame::CopyAsk;

impl State {
    /// Finds this node's part in reading the store and asking engines.
    pub(super) fn update_assignment(&mut self, now: Instant) {
        let (me, open) = (self.group.me(), self.group.accepting());
        let elapsed = self.start.elapsed();
        self.assignment = Assignment::of(
            elapsed,
            me,
            &self.settings.zone,
            open,
            &self.engines_by_zone(),
        );
        // A node whose readers don't answer, or can't read the store, tries it by itself.
        let reads = self.assignment.reads || now >= self.copy_received + COPY_TIMEOUT;
        self.reads
            .send_if_modified(|r| std::mem::replace(r, reads) != reads);
    }

    /// How many engines there are in each zone.
    fn engines_by_zone(&self) -> EngineCounts<'_> {
        let mut counts = EngineCounts::new();
        let engines = self.tables.endpoints().filter(|e| e.accelerator.is_some());
        engines.for_each(|e| *counts.entry(&e.zone).or_default() += 1);
        counts
    }

    /// Takes from peers what they read and ask for this node.
    pub(super) fn pull(&mut self, now: Instant) {
        for (request, peer) in self.pulls.due(now, &self.assignment) {
            let from = match request {
                Request::Changes(table) | Request::Keys(table) => self.tables.next_offset(table),
                Request::Loads(scope) => self.loads.known_change(peer, scope),
            };
            self.send_request(request, from, peer);
        }
    }

    /// A peer answered an ask.
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
                Ok(response) => self.handle_copy(now, table, peer, response),
                Err(error) => log::warn!("a copy from {peer} can't be read: {error}"),
            },
            Request::Loads(scope) => match self.loads.merge(now, peer, scope, bytes) {
                Ok(new) => self.loads_changed |= new,
                Err(error) => log::warn!("a peer's loads can't be read: {error}"),
            },
        }
    }

    /// A peer did not answer an ask. It is asked again, or another one.
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

    /// A peer gave a chunk of a copy.
    fn handle_copy(&mut self, now: Instant, table: Table, peer: SocketAddr, response: Response) {
        if response.up_to_date && !self.assignment.reads {
            self.copy_received = now;
            self.tables.record_read(now);
            let status = self.status(table);
            status.unreadable_since = None;
            if !response.more {
                status.current_at = Some(now);
            }
        } else if !response.up_to_date {
            self.pulls.mark_failed(now, peer);
        }
        match self.pulls.handle_chunk(peer, table, response) {
            Action::Apply(page) => self.apply_page(table, page, "peer"),
            Action::ApplyAndContinue(page) => {
                self.apply_page(table, page, "peer");
                self.request_more(
                    Request::Changes(table),
                    self.tables.next_offset(table),
                    peer,
                );
            }
            Action::FetchKeys(from) => self.request_more(Request::Keys(table), from, peer),
        }
    }

    /// Asks for more of a table, unless enough asks for it are under way.
    fn request_more(&mut self, request: Request, from: Offset, peer: SocketAddr) {
        if self.pulls.begin(request, peer, PEERS_PER_COPY) {
            self.send_request(request, from, peer);
        }
    }

    /// Asks a peer; an input tells how that ended.
    fn send_request(&self, request: Request, from: Offset, peer: SocketAddr) {
        let table = request.into();
        let (link, inputs, metrics) =
            (self.link.clone(), self.inputs.clone(), self.metrics.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let answer = link.copy(peer, CopyAsk { table, from }).await;
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
            // Control has ended if nobody takes it.
            let _ = inputs.send(input).await;
        });
    }

    /// Asks the engines that are this node's to ask.
    pub(super) fn poll_engines(&mut self, now: Instant) {
        self.loads.expire(now);
        if self.leaving || self.tables.catalog().is_none() {
            return;
        }
        // Nodes that start together would each ask all engines, until they know each other. As many as
        // any node asks later are asked at once.
        if !self.settled()
            && self.engines_by_zone().values().sum::<usize>() > assignment::ENGINES_PER_POLLER
        {
            return;
        }
        let endpoints = self.tables.endpoints();
        let own =
            endpoints.filter(|e| e.accelerator.is_some() && self.assignment.polls(&e.zone, &e.run));
        let own: Vec<Endpoint> = own.cloned().collect();
        let addrs: BTreeSet<SocketAddr> = own.iter().map(|e| e.addr).collect();
        self.engines.retain(|addr, _| addrs.contains(addr));
        for endpoint in own {
            if !self.loads.due(now, &endpoint.run.to_string()) {
                continue;
            }
            let engine = self.engines.entry(endpoint.addr);
            let engine = engine.or_insert_with(|| Arc::new(Engine::new(endpoint.addr)));
            let (engine, inputs) = (engine.clone(), self.inputs.clone());
            tokio::spawn(async move {
                // Silence is told by the missing report.
                let report = engine.fetch_report().await.ok();
                // Control has ended if nobody takes it.
                let _ = inputs.send(Input::Report(endpoint.run, report)).await;
            });
        }
    }

    pub(super) fn handle_report(&mut self, now: Instant, run: Run, report: Option<Report>) {
        let Some(report) = report else {
            return self.loads.record_miss(now, &run.to_string());
        };
        // Another run has the address by now; its own row will tell of it.
        if report.is_from_another_run(&run) {
            return;
        }
        self.loads.record(now, &run.to_string(), &report);
        self.loads_changed = true;
    }

    /// Asks peers for their copies while the store can't be read, and for the operator's alone while it
    /// has not given a catalog yet.
    pub(super) fn copy_from_peers(&mut self, now: Instant) {
        let unreadable =
            self.operator.unreadable_since.is_some() || self.endpoints.unreadable_since.is_some();
        let overdue = now >= self.start + FIRST_CATALOG_TIMEOUT && self.tables.catalog().is_none();
        let tables: &[Table] = match (unreadable, overdue) {
            // One table that can't be read means that the other is about to be late as well.
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
                self.request_more(
                    Request::Changes(table),
                    self.tables.next_offset(table),
                    peer,
                );
            }
        }
    }

    pub(super) fn serve_copy(&self, request: CopyAsk) -> Option<Vec<u8>> {
        let from = request.from;
        let encoded = Request::try_from(request.table).and_then(|request| match request {
            Request::Changes(table) | Request::Keys(table) => {
                copy::encode(&self.copy_chunk(request, table, from))
            }
            Request::Loads(scope) => self.loads.encode(Instant::now(), scope, from),
        });
        match encoded {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::warn!("a copy can't be given: {error}");
                None
            }
        }
    }

    /// A chunk of what this node has of a table, from an offset on.
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
