//! Interface of the instance list.

use crate::error::Result;
use crate::instance::Instance;

/// A client of the instance list.
pub trait List {
    /// Returns all listed instances. The list lags behind the actual state.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>>> + Send;
}
