//! Bounds the bytes that a node has in flight to peers that copy rows of endpoints and loads from
//! it. Requests beyond the bound wait in the order of their arrival, but those for loads let the
//! others pass for a while.
//!
//! While all rows change, the responses to all peers that copy from a reader don't fit through its
//! link at once. A response that waits on the link for longer than the confirmation timeout of a
//! connection is sent again, which fills the link further, and is then lost; membership messages
//! and catalogs wait behind it.

use super::copy::Request;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use wire::frame::CopyRequest;

/// Bytes in flight from which further requests wait: a tenth of a second on a link of 20 Mbit/s.
const MAX_BYTES_IN_FLIGHT: usize = 256 << 10;
/// Time after which a response no longer counts as in flight, so that peers that don't confirm
/// delay the others only once.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Longest time that a request waits. Its response must arrive within the timeout of the peer's
/// call.
const MAX_WAIT: Duration = Duration::from_millis(1200);
/// Longest time that a request for loads lets later requests for rows pass.
const MAX_LOADS_DELAY: Duration = Duration::from_millis(400);

/// Number of a response in flight.
pub type Id = u64;

/// A request that waits, with the handle `R` for its response.
#[derive(Debug)]
pub struct Waiting<R> {
    /// The peer that sent the request.
    pub peer: SocketAddr,
    /// The request.
    pub request: CopyRequest,
    /// The handle for the response.
    pub reply: R,
    since: Instant,
}

/// A response that the peer has not confirmed yet.
#[derive(Debug)]
struct InFlight {
    id: Id,
    bytes: usize,
    since: Instant,
}

/// Requests that wait and responses in flight.
#[derive(Debug)]
pub struct Uploads<R> {
    waiting: VecDeque<Waiting<R>>,
    in_flight: Vec<InFlight>,
    last_id: Id,
}

impl<R> Default for Uploads<R> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            last_id: 0,
        }
    }
}

impl<R> Uploads<R> {
    /// Adds a request. It replaces an earlier one of the peer for the same data, which the peer no
    /// longer waits for.
    pub fn push(&mut self, now: Instant, peer: SocketAddr, request: CopyRequest, reply: R) {
        self.waiting
            .retain(|w| (w.peer, w.request.table) != (peer, request.table));
        self.waiting.push_back(Waiting {
            peer,
            request,
            reply,
            since: now,
        });
    }

    /// Returns the next request to respond to, if the bytes in flight allow it.
    pub fn next(&mut self, now: Instant) -> Option<Waiting<R>> {
        self.in_flight.retain(|f| now < f.since + MAX_DELIVERY_TIME);
        if self.bytes_in_flight() >= MAX_BYTES_IN_FLIGHT {
            return None;
        }
        let first = self.waiting.front()?;
        let yields = is_for_loads(first) && now < first.since + MAX_LOADS_DELAY;
        let rows = self.waiting.iter().position(|w| !is_for_loads(w));
        self.waiting
            .remove(rows.filter(|_| yields).unwrap_or_default())
    }

    /// Counts a response as in flight.
    pub fn begin(&mut self, now: Instant, bytes: usize) -> Id {
        self.last_id += 1;
        self.in_flight.push(InFlight {
            id: self.last_id,
            bytes,
            since: now,
        });
        self.last_id
    }

    /// Ends a response that was confirmed or given up.
    pub fn finish(&mut self, id: Id) {
        self.in_flight.retain(|f| f.id != id);
    }

    /// Removes the requests that waited too long and returns the handles for their responses. The
    /// peers then turn to another reader instead of waiting for their timeout.
    pub fn expire(&mut self, now: Instant) -> Vec<R> {
        let expired = self
            .waiting
            .iter()
            .take_while(|w| now >= w.since + MAX_WAIT)
            .count();
        self.waiting.drain(..expired).map(|w| w.reply).collect()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of bytes in flight.
    pub fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|f| f.bytes).sum()
    }
}

fn is_for_loads<R>(waiting: &Waiting<R>) -> bool {
    matches!(
        Request::try_from(waiting.request.table),
        Ok(Request::Loads(_))
    )
}
