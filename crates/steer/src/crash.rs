//! Requests that crash the endpoints that run them.

/// Hash of a request's content.
pub type Fingerprint = u64;
