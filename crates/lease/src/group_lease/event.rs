//! Events that a lease table handles.

use crate::Page;
use crate::group_lease::{Batch, Group};
use bundle::id::Number;

/// Candidacy of this node for the lease of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidacy {
    /// The group.
    pub group: Group,
    /// Rank of this node among the live candidates. The node of the lowest rank acquires a free
    /// group first.
    pub rank: u32,
}

/// An event that a lease table handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The groups that this node is now a candidate for. A lease held for any other group gives no
    /// more permits, and is released after the maximum duration of an order.
    Candidacies(Vec<Candidacy>),
    /// The holder, this node, stopped the roll of this bundle. The lease passes this on to later
    /// holders.
    RollStopped(Group, Number),
    /// A read returned a page.
    Page(Page),
    /// A read failed.
    ReadFailed,
    /// An append took effect.
    Appended(Batch),
    /// An append had no effect.
    AppendFailed(Batch),
    /// An append has an unknown outcome: it may have taken effect.
    AppendUnsure(Batch),
    /// Time has passed. Must be reported at least every 100 ms.
    Tick,
}
