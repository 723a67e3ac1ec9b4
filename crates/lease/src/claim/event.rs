//! What happens to a claim table.

use crate::claim::{Batch, Fingerprint, Hash, Key, Shard};
use crate::{Now, Outcome, Page, RequestId, WallTime};

/// A request that may not be repeated arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its key.
    pub key: Key,
    /// Hash of its team and body.
    pub fingerprint: Fingerprint,
    /// When the claim has to be settled; after it the request is refused.
    pub deadline: Now,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The shards that this node is the home of and follows for good.
    HomeShards(Vec<Shard>),
    /// A request arrived.
    Received(Request),
    /// The request will never be run: its caller went away before the node began to run it. After
    /// [`crate::claim::Action::Run`] this says the same as an end with [`Outcome::NotRun`], for a
    /// caller that leaves while that action is on its way.
    Cancelled(RequestId),
    /// A read gave a page.
    Page(Shard, Page),
    /// A read failed.
    ReadFailed(Shard),
    /// An append took effect.
    Appended(Batch),
    /// An append had no effect.
    AppendFailed(Batch),
    /// An append may have had an effect.
    AppendUnsure(Batch),
    /// A run ended; with the size of its answer, in bytes.
    Ended(Hash, Outcome, usize),
    /// The wall clock, read now. To be given about once a minute: over days the monotonic clock
    /// and the wall clock part.
    Clock(WallTime),
    /// Time passed; comes at least every 20 ms.
    Tick,
}
