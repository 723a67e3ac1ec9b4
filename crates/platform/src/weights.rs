//! Interface of the weight store. Engines fetch weights from it themselves. Nodes only read its
//! rate limits, so that their orders don't make engines exceed them.

use crate::error::Result;

/// Rate limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Maximum number of fetches started per minute, over all engines.
    pub per_minute: u32,
    /// Maximum number of concurrent fetches, over all engines.
    pub at_once: u32,
}

/// A client of the weight store.
pub trait Weights {
    /// Returns the store's current rate limits.
    fn rate(&self) -> impl Future<Output = Result<Rate>> + Send;
}
