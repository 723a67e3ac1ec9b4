//! Events that a claim table handles.

use crate::claim::{Batch, Fingerprint, Hash, Key, Shard};
use crate::{Now, Outcome, Page, RequestId, WallTime};

/// A non-idempotent request with a key.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Key of the request.
    pub key: Key,
    /// Hash of the request's team and body.
    pub fingerprint: Fingerprint,
    /// Time by which the claim must be settled. The request is refused afterwards.
    pub deadline: Now,
}

/// An event that a claim table handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The shards that this node is the home of. It follows them whether they are in use or not.
    HomeShards(Vec<Shard>),
    /// A request was received.
    Received(Request),
    /// The caller disconnected before the node started to run the request. If
    /// [`crate::claim::Action::Run`] was already returned for the request, the event has the same
    /// effect as [`Event::Ended`] with [`Outcome::NotRun`].
    Cancelled(RequestId),
    /// A read returned a page.
    Page(Shard, Page),
    /// A read failed.
    ReadFailed(Shard),
    /// An append took effect.
    Appended(Batch),
    /// An append had no effect.
    AppendFailed(Batch),
    /// An append has an unknown outcome: it may have taken effect.
    AppendUnsure(Batch),
    /// A run ended. Contains the hash of its key, the outcome, and the size of the answer in bytes.
    Ended(Hash, Outcome, usize),
    /// Current time of the wall clock. Must be reported about once a minute, since the wall clock
    /// and the monotonic clock drift apart over days.
    Clock(WallTime),
    /// Time has passed. Must be reported at least every 20 ms.
    Tick,
}
