//! What nodes read and ask for each other: copies of the store's tables, and loads of engines.

use super::super::copy::{self, Ask, CHUNK, Copy};
use super::super::input::Input;
use super::super::pulls::Next;
use super::super::readers::{self, Engines, Part};
use super::{ASKED, COPY, State, UNANSWERED, UNHEARD};
use adapter::report::{Control as Engine, Report};
use adapter::store::Table;
use catalog::Endpoint;
use catalog::endpoint::Run;
use catalog::source::Offset;
use journal::event::Event as Told;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use wire::frame::CopyAsk;

impl State {
    /// Finds this node's part in reading the store and asking engines.
    pub(super) fn share(&mut self, now: Instant) {
        let (me, open) = (self.group.me(), self.group.accepting());
        let elapsed = self.start.elapsed();
        self.part = Part::of(elapsed, me, &self.settings.zone, open, &self.zones());
        // A node whose readers don't answer, or can't read the store, tries it by itself.
        let reads = self.part.reads || now >= self.heard + UNHEARD;
        self.reads
            .send_if_modified(|r| std::mem::replace(r, reads) != reads);
    }

    /// How many engines there are in each zone.
    fn zones(&self) -> Engines<'_> {
        let mut zones = Engines::new();
        let engines = self.tables.endpoints().filter(|e| e.accelerator.is_some());
        engines.for_each(|e| *zones.entry(&e.zone).or_default() += 1);
        zones
    }

    /// Takes from peers what they read and ask for this node.
    pub(super) fn pull(&mut self, now: Instant) {
        for (ask, peer) in self.pulls.due(now, &self.part) {
            let from = match ask {
                Ask::Changes(table) | Ask::Keys(table) => self.tables.next(table),
                Ask::Loads(scope) => self.loads.heard(peer, scope),
            };
            self.ask(ask, from, peer);
        }
    }

    /// A peer answered an ask.
    pub(super) fn answered(&mut self, now: Instant, ask: Ask, peer: SocketAddr, bytes: &[u8]) {
        self.pulls.ended(ask, peer, true);
        match ask {
            Ask::Changes(table) | Ask::Keys(table) => match copy::decode(bytes) {
                Ok(copy) => self.copied(now, table, peer, copy),
                Err(error) => log::warn!("a copy from {peer} can't be read: {error}"),
            },
            Ask::Loads(scope) => match self.loads.take(now, peer, scope, bytes) {
                Ok(new) => self.reported |= new,
                Err(error) => log::warn!("a peer's loads can't be read: {error}"),
            },
        }
    }

    /// A peer did not answer an ask. It is asked again, or another one.
    pub(super) fn unanswered(&mut self, now: Instant, ask: Ask, peer: SocketAddr, why: String) {
        self.pulls.ended(ask, peer, false);
        if !self.pulls.failed(now, peer) {
            return;
        }
        self.journal.record(Told::Unanswered {
            peer: peer.to_string(),
            ask: format!("{ask:?}"),
            why,
        });
    }

    /// A peer gave a chunk of a copy.
    fn copied(&mut self, now: Instant, table: Table, peer: SocketAddr, copy: Copy) {
        if copy.fresh && !self.part.reads {
            self.heard = now;
            self.tables.read(now);
            let reading = self.reading(table);
            reading.lost = None;
            if !copy.more {
                reading.known = Some(now);
            }
        } else if !copy.fresh {
            self.pulls.failed(now, peer);
        }
        match self.pulls.gather(peer, table, copy) {
            Next::Take(page) => self.take_page(table, page, "peer"),
            Next::TakeAndAsk(page) => {
                self.take_page(table, page, "peer");
                self.ask_more(Ask::Changes(table), self.tables.next(table), peer);
            }
            Next::Gather(from) => self.ask_more(Ask::Keys(table), from, peer),
        }
    }

    /// Asks for more of a table, unless enough asks for it are under way.
    fn ask_more(&mut self, ask: Ask, from: Offset, peer: SocketAddr) {
        if self.pulls.begin(ask, peer, ASKED) {
            self.ask(ask, from, peer);
        }
    }

    /// Asks a peer; an input tells how that ended.
    fn ask(&self, ask: Ask, from: Offset, peer: SocketAddr) {
        let table = ask.into();
        let (link, inputs, metrics) =
            (self.link.clone(), self.inputs.clone(), self.metrics.clone());
        tokio::spawn(async move {
            let begun = Instant::now();
            let answer = link.copy(peer, CopyAsk { table, from }).await;
            metrics.record_peer_request(ask.word(), matches!(answer, Ok(Some(_))), begun.elapsed());
            let input = match answer {
                Ok(Some(bytes)) => Input::Answered(ask, peer, bytes),
                Ok(None) => Input::Unanswered(ask, peer, "the peer has none".to_owned()),
                Err(error) => Input::Unanswered(ask, peer, error.to_string()),
            };
            // Control has ended if nobody takes it.
            let _ = inputs.send(input).await;
        });
    }

    /// Asks the engines that are this node's to ask.
    pub(super) fn poll(&mut self, now: Instant) {
        self.loads.expire(now);
        if self.leaving || self.tables.catalog().is_none() {
            return;
        }
        // Nodes that start together would each ask all engines, until they know each other. As many as
        // any node asks later are asked at once.
        if !self.settled() && self.zones().values().sum::<usize>() > readers::ASKED {
            return;
        }
        let endpoints = self.tables.endpoints();
        let own = endpoints.filter(|e| e.accelerator.is_some() && self.part.asks(&e.zone, &e.run));
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

    pub(super) fn take_report(&mut self, now: Instant, run: Run, report: Option<Report>) {
        let Some(report) = report else {
            return self.loads.missed(now, &run.to_string());
        };
        // Another run has the address by now; its own row will tell of it.
        if report.is_from_another_run(&run) {
            return;
        }
        self.loads.reported(now, &run.to_string(), &report);
        self.reported = true;
    }

    /// Asks peers for their copies while the store can't be read, and for the operator's alone while it
    /// has not given a catalog yet.
    pub(super) fn copy(&mut self, now: Instant) {
        let lost = self.operator.lost.is_some() || self.endpoints.lost.is_some();
        let waits = now >= self.start + UNANSWERED && self.tables.catalog().is_none();
        let tables: &[Table] = match (lost, waits) {
            // One table that can't be read means that the other is about to be late as well.
            (true, _) => &[Table::Operator, Table::Endpoints],
            (false, true) => &[Table::Operator],
            (false, false) => return,
        };
        if now < self.copied + COPY {
            return;
        }
        self.copied = now;
        let me = self.group.me();
        let peers: Vec<SocketAddr> = self
            .group
            .accepting()
            .filter(|p| p.id != me)
            .map(|p| p.identity.addr)
            .collect();
        for &peer in peers.sample(&mut rand::rng(), ASKED) {
            for &table in tables {
                self.ask_more(Ask::Changes(table), self.tables.next(table), peer);
            }
        }
    }

    pub(super) fn offer(&self, ask: CopyAsk) -> Option<Vec<u8>> {
        let from = ask.from;
        let encoded = Ask::try_from(ask.table).and_then(|ask| match ask {
            Ask::Changes(table) | Ask::Keys(table) => {
                copy::encode(&self.own_copy(ask, table, from))
            }
            Ask::Loads(scope) => self.loads.encode(Instant::now(), scope, from),
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
    fn own_copy(&self, ask: Ask, table: Table, from: Offset) -> Copy {
        let reading = match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        };
        let own = self.tables.copy(table);
        let chunk = match ask {
            Ask::Keys(_) => own.keys(from, CHUNK),
            _ => own.changes(from, CHUNK),
        };
        Copy {
            page: chunk.page,
            fresh: self.part.reads && reading.known.is_some() && reading.lost.is_none(),
            more: chunk.more,
        }
    }
}
