//! Bodies that are collected, or read only to reuse their connection.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use memory::budget::{Budget, Part};
use memory::buffer::Buffer;
use std::fmt;
use std::time::Duration;
use tokio::time::sleep;

/// Cost of a frame beside its bytes, in bytes.
const FRAME_COST: usize = 64;
/// Work that a body may take beside that for its largest length, in bytes.
const FREE_WORK: usize = 16 << 10;
/// Length up to which a body takes no memory of a budget, in bytes.
pub const FREE_BYTES: usize = 4 << 10;
/// Pause before a body looks for room again.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection broke, or the body is malformed.
    Broken,
    /// The body exceeds this many bytes, or takes the work of a longer one.
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken => f.write_str("body was cut off"),
            Self::TooLarge(limit) => write!(f, "body exceeds {limit} bytes, or their work"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of collecting a body.
pub type Result<T> = std::result::Result<T, Error>;

/// What is left of the work for a body.
struct Work {
    limit: usize,
    left: usize,
}

impl Work {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            left: limit.saturating_mul(2).saturating_add(FREE_WORK),
        }
    }

    fn spend(&mut self, bytes: usize) -> Result<()> {
        let left = self.left.checked_sub(bytes + FRAME_COST);
        self.left = left.ok_or(Error::TooLarge(self.limit))?;
        Ok(())
    }
}

/// Collects a body of at most `max_bytes` bytes. What exceeds [`FREE_BYTES`] is taken from `budget`, whose users
/// wait for each other.
///
/// # Errors
///
/// Returns the bound that the body exceeds.
pub async fn collect<B>(mut body: B, max_bytes: usize, budget: &Budget) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut work = Work::new(max_bytes);
    let mut buffer = Buffer::new(budget.lease(Part::Responses), None);
    let mut first = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Broken)?;
        // Trailers are not used.
        let mut data = frame.into_data().unwrap_or_default();
        work.spend(data.len())?;
        if first.len() + buffer.len() + data.len() > max_bytes {
            return Err(Error::TooLarge(max_bytes));
        }
        if buffer.is_empty() {
            let taken = data.split_to(data.len().min(FREE_BYTES - first.len()));
            first.extend_from_slice(&taken);
        }
        while !buffer.store(&mut data) {
            sleep(ROOM_INTERVAL).await;
        }
    }
    if buffer.is_empty() {
        return Ok(first.into());
    }
    let content = buffer.finish();
    let segments = content.segments().iter();
    segments.for_each(|segment| first.extend_from_slice(segment));
    Ok(first.into())
}

/// Reads a body of at most `max_bytes` bytes and drops it. Returns whether it was read completely.
pub async fn discard<B>(mut body: B, max_bytes: usize) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length + FRAME_COST) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}
