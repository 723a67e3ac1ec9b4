//! What happens to a lease table.

use crate::Page;
use crate::group_lease::{Batch, Group};
use bundle::id::Number;

/// A group that this node is ready to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidacy {
    /// The group.
    pub group: Group,
    /// The node's rank for it among the live nodes; the lowest takes it first.
    pub rank: u32,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The groups wanted from now on. One that is held and no longer wanted gets no permit any more
    /// and is given back after the time of the longest order.
    Candidacies(Vec<Candidacy>),
    /// The holder stopped the roll of this bundle; later holders learn it from the lease.
    RollStopped(Group, Number),
    /// A read gave a page.
    Page(Page),
    /// A read failed.
    ReadFailed,
    /// An append took effect.
    Appended(Batch),
    /// An append had no effect.
    AppendFailed(Batch),
    /// An append may have had an effect.
    AppendUnsure(Batch),
    /// Time passed; comes at least every 100 ms.
    Tick,
}
