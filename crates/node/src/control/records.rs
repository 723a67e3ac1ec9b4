//! Records of versions that one node gives another, in one body.
//!
//! A node that is a few versions behind is given the versions since; one far behind a full head.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most bytes of records in one body: more than the largest full head that the fold takes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Records, oldest first.
#[derive(Serialize, Deserialize)]
struct Raw(Vec<Vec<u8>>);

/// Joins records; none if there is nothing to give or they are too long.
pub fn encode(records: &[Arc<[u8]>]) -> Option<Vec<u8>> {
    if records.is_empty() {
        return None;
    }
    let raw = Raw(records.iter().map(|r| r.to_vec()).collect());
    let body = bincode::serde::encode_to_vec(raw, bincode::config::standard()).ok()?;
    Some(body).filter(|b| b.len() <= MAX_BODY_BYTES)
}

/// Splits what [`encode`] made; none if it is not that.
pub fn decode(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let config = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();
    let (raw, used) = bincode::serde::decode_from_slice::<Raw, _>(body, config).ok()?;
    Some(raw.0).filter(|_| used == body.len())
}
