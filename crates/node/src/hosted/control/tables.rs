//! What the two tables say, decoded.
//!
//! Endpoints whose row went are kept in use for a moment when the store has just come back from
//! an outage: rows lapse while nobody can write them, and endpoints that live write theirs again
//! within about two seconds.

use adapter::Platform;
use adapter::store::Table;
use catalog::endpoint::State;
use catalog::source::{self, Offset, Page};
use catalog::{Catalog, Endpoint};
use journal::Journal;
use journal::event::Event;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the store came back in which rows that lapsed are written again.
const ROW_REWRITE_WINDOW: Duration = Duration::from_millis(3200);

/// An endpoint, and what is known of its row.
#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    /// Until when it is kept although its row is gone.
    kept_until: Option<Instant>,
}

/// The decoded tables.
pub struct Tables {
    journal: Journal,
    operator: source::Table,
    endpoints: source::Table,
    catalog: Option<Arc<Catalog>>,
    entries: BTreeMap<String, Entry>,
    /// When reading the endpoints' table last failed.
    failed_at: Option<Instant>,
    /// When it succeeded again after that.
    recovered_at: Option<Instant>,
}

impl Tables {
    /// Tables that nothing is known of.
    pub fn new(journal: Journal) -> Self {
        Self {
            journal,
            operator: source::Table::default(),
            endpoints: source::Table::default(),
            catalog: None,
            entries: BTreeMap::new(),
            failed_at: None,
            recovered_at: None,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The endpoints that may be used or are leaving.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|k| &k.endpoint)
    }

    /// The copy of a table.
    pub fn copy(&self, table: Table) -> &source::Table {
        match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        }
    }

    /// Offset of the next change of a table.
    pub fn next_offset(&self, table: Table) -> Offset {
        self.copy(table).next_offset()
    }

    /// The endpoints' table could not be read.
    pub fn record_read_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.recovered_at = None;
    }

    /// The endpoints' table was read.
    pub fn record_read(&mut self, now: Instant) {
        if self.failed_at.take().is_some() {
            self.recovered_at = Some(now);
        }
    }

    /// Takes changes in; whether anything that workers know is different now.
    pub fn apply(
        &mut self,
        platform: &Platform,
        table: Table,
        page: Page,
        source: &'static str,
    ) -> bool {
        match table {
            Table::Operator => {
                let changed = self.operator.apply(page);
                changed.iter().any(|k| k == adapter::CATALOG_KEY)
                    && self.adopt_catalog(platform, source)
            }
            Table::Endpoints => {
                let next = page.next_offset;
                let changed = self.endpoints.apply(page);
                let mut any_changed = false;
                for key in changed {
                    any_changed |= self.update_endpoint(platform, &key, next);
                }
                any_changed
            }
        }
    }

    /// Puts the operator's newest catalog in force, unless it is older than the one there is.
    fn adopt_catalog(&mut self, platform: &Platform, source: &'static str) -> bool {
        let Some(value) = self.operator.get(adapter::CATALOG_KEY) else {
            return false;
        };
        let before = self.catalog.as_ref().map_or(0, |c| c.version);
        let (version, outcome, adopted) = match platform.decode_catalog(value) {
            // A catalog never gives way to an older one, wherever that came from.
            Ok(catalog) if catalog.version <= before => {
                (catalog.version, "older".to_owned(), false)
            }
            Ok(catalog) => {
                let version = catalog.version;
                self.catalog = Some(Arc::new(catalog));
                (version, "in force".to_owned(), true)
            }
            Err(findings) => {
                let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
                (0, findings.join("; "), false)
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

    /// Takes in the row of one endpoint.
    fn update_endpoint(&mut self, platform: &Platform, key: &str, offset: Offset) -> bool {
        let Some(value) = self.endpoints.get(key) else {
            return self.remove_endpoint(key, offset);
        };
        let decoded = platform.decode_endpoint(key, value);
        let state = match &decoded {
            Ok(e) => format!("{:?} at {} layers {}", e.state, e.addr, e.span),
            Err(why) => format!("unusable row: {why}"),
        };
        let same = match (&decoded, self.entries.get(key)) {
            (Ok(new), Some(entry)) => entry.kept_until.is_none() && *new == entry.endpoint,
            (Err(_), None) => true,
            _ => false,
        };
        match decoded {
            Ok(endpoint) => {
                let entry = Entry {
                    endpoint,
                    kept_until: None,
                };
                self.entries.insert(key.to_owned(), entry);
            }
            Err(_) => {
                self.entries.remove(key);
            }
        }
        if !same {
            self.log_endpoint(key, state, offset);
        }
        !same
    }

    fn remove_endpoint(&mut self, key: &str, offset: Offset) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let now = Instant::now();
        let unreadable = self.failed_at.is_some();
        let recovering = self
            .recovered_at
            .is_some_and(|at| now < at + ROW_REWRITE_WINDOW);
        if (unreadable || recovering) && entry.endpoint.state == State::Ready {
            entry.kept_until = Some(now + ROW_REWRITE_WINDOW);
            self.log_endpoint(
                key,
                "row lapsed while the store was away".to_owned(),
                offset,
            );
            return false;
        }
        self.entries.remove(key);
        self.log_endpoint(key, "gone".to_owned(), offset);
        true
    }

    /// Drops endpoints whose row lapsed and was not written again; whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.failed_at.is_some() {
            return false;
        }
        let expired = |k: &Entry| k.kept_until.is_some_and(|until| now >= until);
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, k)| expired(k))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.entries.remove(key);
            self.log_endpoint(
                key,
                "gone: its row was not written again".to_owned(),
                self.endpoints.next_offset(),
            );
        }
        !gone.is_empty()
    }

    fn log_endpoint(&self, key: &str, state: String, offset: Offset) {
        let run = self.entries.get(key);
        let run = run.map_or_else(|| key.to_owned(), |k| k.endpoint.run.to_string());
        self.journal.record(Event::Endpoint { run, state, offset });
    }
}
