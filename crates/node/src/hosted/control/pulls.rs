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

use super::copy::{Ask, Copy, Scope};
use super::readers::Part;
use adapter::store::Table;
use catalog::source::{Offset, Page};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often copies and loads are taken from peers.
pub const PULL: Duration = Duration::from_millis(350);
/// How long a peer that failed is left alone if there is another one.
const AVOID: Duration = Duration::from_secs(2);

/// Readers that are asked for the operator's table, in turn.
const OPERATOR_READERS: usize = 3;
/// Asks for the operator's table that may be under way.
const OPERATOR_ASKS: usize = 2;
/// Nodes that a reader asks for their loads at once. The others have their turn in the next pulls.
const POLLERS: usize = 16;

/// Asks that are under way, readers to avoid, and tables that are gathered chunk by chunk.
#[derive(Debug, Default)]
pub struct Pulls {
    /// When peers were last asked.
    pulled: Option<Instant>,
    /// How often that was.
    turn: usize,
    flying: Vec<(Ask, SocketAddr)>,
    avoid: BTreeMap<SocketAddr, Instant>,
    gathered: Vec<Gathered>,
}

/// The keys of a table that one peer has given so far.
#[derive(Debug)]
struct Gathered {
    peer: SocketAddr,
    table: Table,
    page: Page,
}

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Take the page; no chunk follows it.
    Take(Page),
    /// Take the page, and ask the same peer for what follows it.
    TakeAndAsk(Page),
    /// Ask the same peer for the keys that changed at this offset or later.
    Gather(Offset),
}

impl Pulls {
    /// What a node asks which peer now; each of it counts as under way. A reader takes the loads that
    /// others asked engines for, any other node takes all from its reader.
    pub fn due(&mut self, now: Instant, part: &Part) -> Vec<(Ask, SocketAddr)> {
        if self.pulled.is_some_and(|at| now < at + PULL) {
            return Vec::new();
        }
        self.pulled = Some(now);
        self.turn = self.turn.wrapping_add(1);
        let mut due = Vec::new();
        if let Some(operator_reader) = self.operator_reader(now, &part.readers) {
            due.push((Ask::Changes(Table::Operator), operator_reader));
        }
        if part.reads {
            let own = Ask::Loads(Scope::Own);
            due.extend(self.pollers(&part.pollers).map(|poller| (own, poller)));
        } else if let Some(reader) = self.reader(now, &part.readers) {
            let asks = [Ask::Changes(Table::Endpoints), Ask::Loads(Scope::All)];
            due.extend(asks.map(|ask| (ask, reader)));
        }
        // Each poller has loads of its own, while all readers have the same tables.
        due.retain(|&(ask, peer)| match ask {
            Ask::Loads(_) => self.begin(ask, peer, usize::MAX),
            Ask::Changes(Table::Operator) => self.begin(ask, peer, OPERATOR_ASKS),
            _ => self.begin(ask, peer, 1),
        });
        due
    }

    /// The reader to ask for the operator's table: one of the first few, in turn.
    fn operator_reader(&self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let few = &readers[..readers.len().min(OPERATOR_READERS)];
        let start = self.turn % few.len().max(1);
        let (before, after) = few.split_at(start.min(few.len()));
        let mut order = after.iter().chain(before);
        let good = order.clone().find(|reader| !self.avoided(now, reader));
        good.or(order.next()).copied()
    }

    /// The nodes whose turn it is to be asked for the loads that they asked engines for.
    fn pollers(&self, all: &[SocketAddr]) -> impl Iterator<Item = SocketAddr> {
        let start = (self.turn * POLLERS) % all.len().max(1);
        let turn = all.iter().cycle().skip(start).take(POLLERS.min(all.len()));
        turn.copied()
    }

    /// The reader to ask: the first that did not fail of late, or the first of all.
    fn reader(&self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        let good = readers.iter().find(|reader| !self.avoided(now, reader));
        good.or(readers.first()).copied()
    }

    fn avoided(&self, now: Instant, peer: &SocketAddr) -> bool {
        self.avoid.get(peer).is_some_and(|&until| now < until)
    }

    /// A peer did not answer, or can't read the store; whether that was not known yet.
    pub fn failed(&mut self, now: Instant, peer: SocketAddr) -> bool {
        self.avoid.retain(|_, until| now < *until);
        self.avoid.insert(peer, now + AVOID).is_none()
    }

    /// Begins an ask unless it is under way, or `most` of its kind are. The chunks of a table count
    /// as one kind.
    pub fn begin(&mut self, ask: Ask, peer: SocketAddr, most: usize) -> bool {
        let kind = self.flying.iter().filter(|(a, _)| same_kind(*a, ask));
        let room = kind.clone().count() < most && !kind.clone().any(|(_, p)| *p == peer);
        if room {
            self.flying.push((ask, peer));
        }
        room
    }

    /// An ask ended, with or without an answer. What was gathered is of no use without the rest.
    pub fn ended(&mut self, ask: Ask, peer: SocketAddr, answered: bool) {
        self.flying.retain(|flying| *flying != (ask, peer));
        if let Ask::Keys(table) = ask
            && !answered
        {
            self.gathered.retain(|g| (g.peer, g.table) != (peer, table));
        }
    }

    /// Finds what to do with a chunk that a peer gave.
    pub fn gather(&mut self, peer: SocketAddr, table: Table, copy: Copy) -> Next {
        let before = self.gathered.iter();
        let before = before
            .map(|g| (g.peer, g.table))
            .position(|at| at == (peer, table));
        let before = before.map(|place| self.gathered.swap_remove(place).page);
        if !copy.page.complete {
            return match copy.more {
                true => Next::TakeAndAsk(copy.page),
                false => Next::Take(copy.page),
            };
        }
        let page = match before {
            Some(before) => joined(before, copy.page),
            None => copy.page,
        };
        let last = page.records.last().map(|r| r.offset);
        match last {
            Some(last) if copy.more => {
                self.gathered.push(Gathered { peer, table, page });
                Next::Gather(last + 1)
            }
            _ => Next::Take(page),
        }
    }
}

/// Two chunks of all keys. The whole is known only as far as the chunk that is known least far: the
/// peer may have started anew between them.
fn joined(mut page: Page, chunk: Page) -> Page {
    page.next_offset = page.next_offset.min(chunk.next_offset);
    page.records.extend(chunk.records);
    page
}

fn same_kind(a: Ask, b: Ask) -> bool {
    let table = |ask| match ask {
        Ask::Changes(table) | Ask::Keys(table) => Some(table),
        Ask::Loads(_) => None,
    };
    a == b || (table(a).is_some() && table(a) == table(b))
}
