//! Fetching of a newer head: which peers have it, which of them to ask next, and when.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::head::Head;
use crate::identity::Id;
use crate::peer::State;
use crate::roster;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after a request for a head until the next peer is asked for it.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the report of a newer head in which it is requested at that interval. A node that
/// does not have it in force by then may be unable to apply it.
const FETCH_PERIOD: Duration = Duration::from_secs(5);
/// Time between two requests after that period.
const SLOW_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of peers remembered as holders of a newer head.
const MAX_HOLDERS: usize = 8;

/// A peer that reported a newer head.
#[derive(Clone, Copy, Debug)]
struct Holder {
    peer: Id,
    addr: SocketAddr,
    head: Head,
    /// Number of requests to the peer.
    requests: u32,
}

/// The fetch of a head that is newer than the own one.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    /// When a newer head was first reported.
    since: Now,
    /// Highest number reported, and when it first was.
    newest: (u64, Now),
    holders: Vec<Holder>,
    /// Highest number requested so far, and the time of the last request.
    requested: Option<(u64, Now)>,
}

impl Fetch {
    fn new(now: Now) -> Self {
        Self {
            since: now,
            newest: (0, now),
            holders: Vec::new(),
            requested: None,
        }
    }

    /// Remembers a peer as a holder of `head`, in place of one with an older head if there are too many.
    fn add(&mut self, now: Now, head: Head, peer: Id, addr: SocketAddr) {
        if head.number > self.newest.0 {
            self.newest = (head.number, now);
        }
        if let Some(holder) = self.holders.iter_mut().find(|h| h.peer == peer) {
            if head.number > holder.head.number {
                holder.requests = 0;
            }
            (holder.head, holder.addr) = (head, addr);
            return;
        }
        if self.holders.len() >= MAX_HOLDERS {
            let oldest = self.holders.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, h)| (h.head.number, Reverse(h.requests)));
            match oldest {
                Some((index, h)) if h.head.number < head.number => self.holders.swap_remove(index),
                _ => return,
            };
        }
        self.holders.push(Holder {
            peer,
            addr,
            head,
            requests: 0,
        });
    }

    /// Returns whether the newest head was first reported recently.
    fn is_recent(&self, now: Now) -> bool {
        roster::age(now, self.newest.1) < FETCH_PERIOD
    }

    /// Selects the holder to ask now, if a request is due: at once for a head with a higher number than
    /// requested before, otherwise when the last request is overdue.
    fn next(&mut self, now: Now) -> Option<Holder> {
        let newest = self.holders.iter().map(|h| h.head.number).max()?;
        let interval = match self.is_recent(now) {
            true => RETRY_INTERVAL,
            false => SLOW_RETRY_INTERVAL,
        };
        let is_open =
            |(number, at): (u64, Now)| number >= newest && roster::age(now, at) < interval;
        if self.requested.is_some_and(is_open) {
            return None;
        }
        let holders = self.holders.iter_mut();
        let holder = holders.min_by_key(|h| (h.requests, Reverse(h.head.number)))?;
        holder.requests += 1;
        self.requested = Some((newest, now));
        Some(*holder)
    }
}

impl Group {
    /// Handles the head that a peer reported: requests it if it is newer than the own one.
    pub(crate) fn compare_head(
        &mut self,
        now: Now,
        head: Head,
        peer: Id,
        addr: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if head.number <= self.head.map_or(0, |h| h.number) {
            return;
        }
        let fetch = self.fetch.get_or_insert_with(|| Fetch::new(now));
        fetch.add(now, head, peer, addr);
        self.continue_fetch(now, out);
    }

    /// Requests a newer head from the next peer that reported it, if a request is due. The response to an
    /// earlier request may be lost or delayed on a full link.
    pub(crate) fn continue_fetch(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(fetch) = self.fetch.as_mut() else {
            return;
        };
        let roster = &self.roster;
        let reachable = |h: &Holder| roster.get(h.peer).is_none_or(|p| p.state == State::Up);
        fetch.holders.retain(reachable);
        if let Some(Holder {
            head, peer, addr, ..
        }) = fetch.next(now)
        {
            out.push(Action::FetchHead { head, peer, addr });
        }
    }

    /// Ends the fetch of heads up to the one that is now in force.
    pub(crate) fn finish_fetch(&mut self, head: Head) {
        let Some(fetch) = self.fetch.as_mut() else {
            return;
        };
        fetch.holders.retain(|h| h.head.number > head.number);
        if fetch.holders.is_empty() {
            self.fetch = None;
        }
    }

    /// Returns since when a reachable peer is known to have a newer head in force than this node. Returns
    /// `None` if none is, or if the requests for the newest one have failed for several seconds.
    pub fn behind_since(&self, now: Now) -> Option<Now> {
        let fetch = self.fetch.as_ref();
        let fetch = fetch.filter(|f| f.is_recent(now) && !f.holders.is_empty());
        fetch.map(|f| f.since)
    }
}
