//! The two tables of the store, decoded.
//!
//! During a store outage and shortly after it, an endpoint whose row has disappeared stays in use
//! for a while: rows expire while they can't be rewritten, and live endpoints rewrite theirs within
//! about two seconds after the outage. The same holds for a store that was restored from an older copy,
//! which lacks the rows that were written since. That an endpoint has left is not undone by its row in
//! such a copy.

use adapter::Platform;
use adapter::store::Table;
use catalog::endpoint::{Run, State};
use catalog::source::{self, Offset, Page};
use catalog::{Catalog, Endpoint};
use journal::Journal;
use journal::event::Event;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steer::departures::Departures;
use tokio::time::Instant;

/// Time after the last failed read began within which live endpoints rewrite their expired rows. The
/// store was back then at the earliest, and from three seconds after its return, endpoints that
/// left in time must get no more requests.
const ROW_REWRITE_WINDOW: Duration = Duration::from_millis(2900);

/// Returns whether a page is the first one of a later era than that of a table.
fn is_restore(table: &source::Table, page: &Page) -> bool {
    let before = table.next_offset();
    before > 0 && source::era(before) < source::era(page.next_offset)
}

/// An endpoint and the state of its row.
#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    /// `None` if the row exists.
    lapse: Option<Lapse>,
}

/// A row that was removed beside an outage of the store, so that it may have expired.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    /// When this node learned of the removal.
    at: Instant,
    /// Time until which the endpoint is kept, unless the store can't be read then.
    kept_until: Instant,
}

/// A series of failed reads.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first failed read began.
    began: Instant,
    /// When the last failed read began.
    last_failure: Instant,
    /// Whether no read has succeeded since.
    ongoing: bool,
}

/// Copies of both tables with the decoded catalog and endpoints.
pub struct Tables {
    journal: Journal,
    operator: source::Table,
    endpoints: source::Table,
    catalog: Option<Arc<Catalog>>,
    entries: BTreeMap<String, Entry>,
    /// What is wrong with the rows that name no endpoint, by their keys.
    unusable: BTreeMap<String, String>,
    /// The last series of failed reads of the endpoints' table.
    outage: Option<Outage>,
    start: Instant,
    /// Runs that were draining or whose row was removed.
    left: Departures,
}

/// What became of a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Adoption {
    InForce,
    /// A catalog of the same or a later version is in force.
    Older,
    Invalid,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(journal: Journal) -> Self {
        Self {
            journal,
            operator: source::Table::default(),
            endpoints: source::Table::default(),
            catalog: None,
            entries: BTreeMap::new(),
            unusable: BTreeMap::new(),
            outage: None,
            start: Instant::now(),
            left: Departures::default(),
        }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the endpoints that are available or leaving.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|k| &k.endpoint)
    }

    /// Returns whether a run is among the endpoints.
    pub fn contains(&self, run: &Run) -> bool {
        let entry = self.entries.get(&run.id);
        entry.is_some_and(|k| k.endpoint.run == *run)
    }

    /// Returns the copy of a table, not decoded.
    pub fn copy(&self, table: Table) -> &source::Table {
        match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        }
    }

    /// Returns the offset of the next change of a table that is not known here.
    pub fn next_offset(&self, table: Table) -> Offset {
        self.copy(table).next_offset()
    }

    /// Records that a read of the endpoints' table that began at `began` failed.
    pub fn record_read_failure(&mut self, began: Instant) {
        let ongoing = self.outage.filter(|outage| outage.ongoing);
        let outage = Outage {
            began: ongoing.map_or(began, |outage| outage.began),
            last_failure: began,
            ongoing: true,
        };
        self.outage = Some(outage);
        // A peer may have noticed the store's return while this read still waited for a response.
        let lapses = self.entries.values_mut().filter_map(|k| k.lapse.as_mut());
        lapses
            .filter(|lapse| lapse.at >= outage.began)
            .for_each(|lapse| lapse.kept_until = began + ROW_REWRITE_WINDOW);
    }

    /// Records that a read of the endpoints' table succeeded.
    pub fn record_read(&mut self) {
        if let Some(outage) = &mut self.outage {
            outage.ongoing = false;
        }
    }

    /// Applies changes of a table. Returns whether the workers' view is affected.
    pub fn apply(
        &mut self,
        platform: &Platform,
        table: Table,
        page: Page,
        source: &'static str,
    ) -> bool {
        match table {
            Table::Operator => {
                let before = self.operator.get(adapter::CATALOG_KEY).cloned();
                let restored = is_restore(&self.operator, &page);
                let changed = self.operator.apply(page);
                if !changed.iter().any(|k| k == adapter::CATALOG_KEY) {
                    return false;
                }
                let adoption = self.adopt_catalog(platform, source);
                if let Some(before) = before
                    && restored
                    && adoption == Adoption::Older
                {
                    // A peer that starts now gets the newer one too.
                    self.operator.restore(adapter::CATALOG_KEY, before);
                }
                adoption == Adoption::InForce
            }
            Table::Endpoints => {
                let next = page.next_offset;
                let restored = is_restore(&self.endpoints, &page);
                if restored {
                    self.record_restore();
                }
                let changed = self.endpoints.apply(page);
                let mut any_changed = false;
                for key in changed {
                    any_changed |= self.update_endpoint(platform, &key, next, restored);
                }
                any_changed
            }
        }
    }

    /// Records that the store was restored from a copy, which may lack rows of live endpoints.
    fn record_restore(&mut self) {
        let now = Instant::now();
        let ongoing = self.outage.filter(|outage| outage.ongoing);
        self.outage = Some(Outage {
            began: ongoing.map_or(now, |outage| outage.began),
            last_failure: now,
            ongoing: ongoing.is_some(),
        });
    }

    /// Puts the operator's newest catalog in force if its version is above the current one. Returns
    /// what became of it.
    fn adopt_catalog(&mut self, platform: &Platform, source: &'static str) -> Adoption {
        let Some(value) = self.operator.get(adapter::CATALOG_KEY) else {
            return Adoption::Invalid;
        };
        let before = self.catalog.as_ref().map_or(0, |c| c.version);
        let (version, outcome, adopted) = match platform.decode_catalog(value) {
            // A catalog is never replaced by an older one, whatever its source.
            Ok(catalog) if catalog.version <= before => {
                (catalog.version, "older".to_owned(), Adoption::Older)
            }
            Ok(catalog) => {
                let version = catalog.version;
                self.catalog = Some(Arc::new(catalog));
                (version, "in force".to_owned(), Adoption::InForce)
            }
            Err(findings) => {
                let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
                (0, findings.join("; "), Adoption::Invalid)
            }
        };
        self.journal.record(Event::Catalog {
            version,
            before,
            source,
            outcome,
        });
        adopted
    }

    /// Decodes the row of one endpoint after a change; `restored` is whether the row is that of an older
    /// copy. Returns whether the endpoint changed.
    fn update_endpoint(
        &mut self,
        platform: &Platform,
        key: &str,
        offset: Offset,
        restored: bool,
    ) -> bool {
        let Some(value) = self.endpoints.get(key) else {
            self.unusable.remove(key);
            return self.remove_endpoint(key, offset);
        };
        let mut decoded = platform.decode_endpoint(key, value);
        if let Ok(endpoint) = &mut decoded {
            if restored && self.left.contains(&endpoint.run) {
                endpoint.state = State::Draining;
            }
            if endpoint.state == State::Draining {
                self.left.record(self.start.elapsed(), &endpoint.run);
            }
        }
        let endpoint = match decoded {
            Ok(endpoint) => endpoint,
            Err(why) => return self.set_unusable(key, why, offset),
        };
        self.unusable.remove(key);
        let known = self.entries.get(key);
        if known.is_some_and(|k| k.lapse.is_none() && k.endpoint == endpoint) {
            return false;
        }
        let state = format!(
            "{:?} at {} layers {}",
            endpoint.state, endpoint.addr, endpoint.span
        );
        let entry = Entry {
            endpoint,
            lapse: None,
        };
        self.entries.insert(key.to_owned(), entry);
        self.log_endpoint(key, state, offset);
        true
    }

    /// Records that the row of a key names no endpoint, and writes a line if that, or the reason, is new.
    /// Returns whether it named one before.
    fn set_unusable(&mut self, key: &str, why: String, offset: Offset) -> bool {
        let changed = self.entries.remove(key).is_some();
        if self.unusable.get(key) != Some(&why) {
            self.log_endpoint(key, format!("unusable row: {why}"), offset);
            self.unusable.insert(key.to_owned(), why);
        }
        changed
    }

    fn remove_endpoint(&mut self, key: &str, offset: Offset) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let now = Instant::now();
        // The window counts from the outage, not from the removal: an endpoint whose row is removed
        // after the outage may be leaving.
        let lapse = self.outage.and_then(|outage| {
            let kept_until = outage.last_failure + ROW_REWRITE_WINDOW;
            (outage.ongoing || now < kept_until).then_some(Lapse {
                at: now,
                kept_until,
            })
        });
        if lapse.is_some() && entry.endpoint.state == State::Ready {
            entry.lapse = lapse;
            self.log_endpoint(
                key,
                "row lapsed while the store was away".to_owned(),
                offset,
            );
            return false;
        }
        self.remove_entry(key);
        self.log_endpoint(key, "gone".to_owned(), offset);
        true
    }

    /// Removes endpoints whose row expired and was not rewritten in time. Returns whether there
    /// were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.outage.is_some_and(|outage| outage.ongoing) {
            return false;
        }
        let entries = &self.entries;
        let known = |run: &Run| entries.get(&run.id).is_some_and(|k| k.endpoint.run == *run);
        self.left.expire(self.start.elapsed(), known);
        let expired = |k: &Entry| k.lapse.is_some_and(|lapse| now >= lapse.kept_until);
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, k)| expired(k))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.remove_entry(key);
            self.log_endpoint(
                key,
                "gone: its row was not written again".to_owned(),
                self.endpoints.next_offset(),
            );
        }
        !gone.is_empty()
    }

    fn remove_entry(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.left.record(self.start.elapsed(), &entry.endpoint.run);
        }
    }

    fn log_endpoint(&self, key: &str, state: String, offset: Offset) {
        let run = self.entries.get(key);
        let run = run.map_or_else(|| key.to_owned(), |k| k.endpoint.run.to_string());
        self.journal.record(Event::Endpoint {
            run,
            state,
            offset: source::number(offset),
            era: source::era(offset),
        });
    }
}
