//! Encoding of the bundle records that one node sends another in one body.
//!
//! A node that is a few versions behind gets the versions that it lacks. A node that is far behind
//! gets a full head.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum size of a body. It is larger than the largest full head that the fold accepts.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Records, oldest first.
#[derive(Serialize, Deserialize)]
struct Raw(Vec<Vec<u8>>);

/// Encodes records in one body. Returns `None` if there are no records or the body is too large.
pub fn encode(records: &[Arc<[u8]>]) -> Option<Vec<u8>> {
    if records.is_empty() {
        return None;
    }
    let raw = Raw(records.iter().map(|r| r.to_vec()).collect());
    let body = bincode::serde::encode_to_vec(raw, bincode::config::standard()).ok()?;
    Some(body).filter(|b| b.len() <= MAX_BODY_BYTES)
}

/// Decodes a body that [`encode`] made. Returns `None` if the body is malformed.
pub fn decode(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let config = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();
    let (raw, used) = bincode::serde::decode_from_slice::<Raw, _>(body, config).ok()?;
    Some(raw.0).filter(|_| used == body.len())
}
