//! The weight store. Engines fetch weights from it themselves; nodes only need to know its rate,
//! so that the orders they give do not make engines ask for more.

use crate::error::Result;

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Fetches started per minute, over all engines.
    pub per_minute: u32,
    /// Fetches that run at once, over all engines.
    pub at_once: u32,
}

/// A client of the weight store.
pub trait Weights {
    /// What the store allows at present.
    fn rate(&self) -> impl Future<Output = Result<Rate>> + Send;
}
