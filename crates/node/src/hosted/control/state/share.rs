//! What nodes read and ask for each other: copies of the store's tables, and loads of engines.

use super::super::copy::{self, Copy};
use super::super::input::Input;
use super::super::readers::{Engines, Part};
use super::{ASKED, COPY, PULL, State, UNHEARD};
use adapter::report::{Control as Engine, Report};
use adapter::store::Table;
use catalog::Endpoint;
use catalog::endpoint::Run;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use wire::frame::CopyAsk;

impl State {
    /// Finds this node's part in reading the store and asking engines.
    pub(super) fn share(&mut self, now: Instant) {
        let (me, open) = (self.group.me(), self.group.open());
        self.part = Part::of(me, &self.settings.zone, open, &self.zones());
        // A node whose readers don't answer, or can't read the store, tries it by itself.
        let reads = self.part.reads || now >= self.heard + UNHEARD;
        self.reads
            .send_if_modified(|r| std::mem::replace(r, reads) != reads);
    }

    /// How many engines there are in each zone.
    fn zones(&self) -> Engines<'_> {
        let mut zones = Engines::new();
        let engines = self.tables.endpoints().filter(|e| e.kind.is_some());
        engines.for_each(|e| *zones.entry(&e.zone).or_default() += 1);
        zones
    }

    /// Takes from peers what they read and ask for this node.
    pub(super) fn pull(&mut self, now: Instant) {
        if now < self.pulled + PULL {
            return;
        }
        self.pulled = now;
        if self.part.reads {
            for &poller in &self.part.pollers {
                self.ask_loads(poller, copy::Scope::Own);
            }
            return;
        }
        if let Some(&reader) = self.part.readers.choose(&mut rand::rng()) {
            for table in [Table::Operator, Table::Endpoints] {
                self.ask_copy(reader, table);
            }
            self.ask_loads(reader, copy::Scope::All);
        }
    }

    /// A peer gave a copy.
    pub(super) fn copied(&mut self, now: Instant, table: Table, copy: Copy) {
        if copy.fresh && !self.part.reads {
            self.heard = now;
            self.tables.read(now);
            let reading = self.reading(table);
            reading.lost = None;
            reading.known = Some(now);
        }
        self.dirty |= self.tables.take(&self.platform, table, copy.page, "peer");
    }

    pub(super) fn ask_loads(&self, peer: SocketAddr, scope: copy::Scope) {
        let ask = CopyAsk {
            table: copy::loads_number(scope),
            from: self.loads.heard(peer, scope),
        };
        let (link, inputs) = (self.link.clone(), self.inputs.clone());
        tokio::spawn(async move {
            // A peer that does not answer is asked again.
            if let Ok(Some(bytes)) = link.copy(peer, ask).await {
                // Control has ended if nobody takes it.
                let _ = inputs.send(Input::Loads(peer, scope, bytes)).await;
            }
        });
    }

    /// Asks the engines that are this node's to ask.
    pub(super) fn poll(&mut self, now: Instant) {
        self.loads.expire(now);
        if self.leaving || self.tables.catalog().is_none() {
            return;
        }
        let endpoints = self.tables.endpoints();
        let own = endpoints.filter(|e| e.kind.is_some() && self.part.asks(&e.zone, &e.run));
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
                let report = engine.report().await.ok();
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
        if report.of_another(&run) {
            return;
        }
        self.loads.reported(now, &run.to_string(), &report);
        self.reported = true;
    }

    /// Asks peers for their copies while the store can't be read.
    pub(super) fn copy(&mut self, now: Instant) {
        let lost = self.operator.lost.is_some() || self.endpoints.lost.is_some();
        if !lost || now < self.copied + COPY {
            return;
        }
        self.copied = now;
        let me = self.group.me();
        let peers: Vec<SocketAddr> = self
            .group
            .open()
            .filter(|p| p.id != me)
            .map(|p| p.identity.addr)
            .collect();
        for &peer in peers.sample(&mut rand::rng(), ASKED) {
            // One table that can't be read means that the other is about to be late as well.
            for table in [Table::Operator, Table::Endpoints] {
                self.ask_copy(peer, table);
            }
        }
    }

    pub(super) fn ask_copy(&self, peer: SocketAddr, table: Table) {
        let ask = CopyAsk {
            table: copy::number(table),
            from: self.tables.next(table),
        };
        let (link, inputs) = (self.link.clone(), self.inputs.clone());
        tokio::spawn(async move {
            // A peer that does not answer is asked again, or another one.
            let Ok(Some(bytes)) = link.copy(peer, ask).await else {
                return;
            };
            match copy::decode(&bytes) {
                Ok(copy) => {
                    // Control has ended if nobody takes it.
                    let _ = inputs.send(Input::Copy(table, copy)).await;
                }
                Err(error) => log::warn!("a copy from {peer} can't be read: {error}"),
            }
        });
    }

    pub(super) fn offer(&self, ask: CopyAsk) -> Option<Vec<u8>> {
        let encoded = match (copy::table(ask.table), copy::loads(ask.table)) {
            (Some(table), _) => copy::encode(&self.own_copy(table, ask.from)),
            (None, Some(scope)) => self.loads.encode(Instant::now(), scope, ask.from),
            (None, None) => return None,
        };
        match encoded {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::warn!("a copy can't be given: {error}");
                None
            }
        }
    }

    /// What this node has of a table, from an offset on.
    pub(super) fn own_copy(&self, table: Table, from: u64) -> Copy {
        let reading = match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        };
        Copy {
            page: self.tables.copy(table).since(from),
            fresh: self.part.reads && reading.known.is_some() && reading.lost.is_none(),
        }
    }
}
