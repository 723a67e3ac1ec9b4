//! The memory of a request in flight and of its answer.

use crate::api::error::{Error, Result};
use engine::chain::Token;
use http::StatusCode;
use memory::budget::{Budget, Class, Lease, Part};
use memory::shares::SMALL_BODY_BYTES;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Bytes that a request in flight takes beside its body and its answer.
const REQUEST_BYTES: usize = 8 << 10;
/// Delay after which a caller may send a request again for which there was no memory.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Bytes that a byte of a growing buffer takes, since the buffer doubles, is copied, and leaves its former memory in
/// pieces.
pub const GROWTH_FACTOR: usize = 6;
/// Bytes that a token takes beside its text on its way to the caller: an entry in the queue, and allocations that
/// leave memory in small pieces.
const TOKEN_BYTES: usize = 192;

/// Memory that a request and its answer take until the answer was passed on; clones share it.
#[derive(Clone, Debug)]
pub struct Account {
    lease: Arc<Mutex<Lease>>,
}

impl Account {
    /// Takes memory for a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no room.
    pub fn open(budget: &Budget) -> Result<Self> {
        let account = Self {
            lease: Arc::new(Mutex::new(budget.lease(Part::Responses))),
        };
        match account.try_grow(REQUEST_BYTES) {
            true => Ok(account),
            false => Err(overloaded()),
        }
    }

    /// Takes memory for `bytes` more of the answer. Returns false if there is no room; a short answer may draw
    /// on the reserve.
    pub fn try_grow(&self, bytes: usize) -> bool {
        let mut lease = self.lock();
        let class = match lease.bytes() + bytes <= SMALL_BODY_BYTES {
            true => Class::Small,
            false => Class::Large,
        };
        lease.try_grow(bytes, class)
    }

    /// Gives the memory of `bytes` back that were passed on.
    pub fn shrink(&self, bytes: usize) {
        let mut lease = self.lock();
        let left = lease.bytes().saturating_sub(bytes);
        lease.shrink_to(left);
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the memory of a token on its way to the caller, in bytes.
pub fn token_bytes(token: &Token) -> usize {
    TOKEN_BYTES + token.text.len()
}

/// Returns the refusal of a request for which there is no memory.
pub fn overloaded() -> Error {
    let message = "the node has no memory for the request now; it has not run";
    let error = Error::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
    error.with_retry_after(OVERLOAD_RETRY_AFTER)
}
