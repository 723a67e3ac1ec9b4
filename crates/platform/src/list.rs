//! The instance list.

use crate::error::Result;
use crate::instance::Instance;

/// A client of the instance list.
pub trait List {
    /// All instances, as the list knows them; it lags behind what happens.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>>> + Send;
}
