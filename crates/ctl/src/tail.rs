//! Reader of the log's stream of bundles.

use crate::failure::{Result, failed};
use bundle::fold::Fold;
use bundle::signer::Signer;
use eyre::WrapErr;
use platform::backoff::Backoff;
use platform::{Limits, Log, http};
use std::net::SocketAddr;
use std::time::Duration;

/// Name of the stream of bundles in the log.
pub const STREAM: &str = "bundles";

/// Number of consecutive failed calls after which [`Tail::catch_up`] fails.
const MAX_FAILURES: u32 = 5;

/// Log reader with the state folded from the records read.
pub struct Tail {
    /// Client of the log service.
    pub log: http::Log,
    /// State after the records read so far.
    pub fold: Fold,
}

impl Tail {
    /// Creates a reader that starts at the beginning of the log at `addr`.
    pub fn new(addr: SocketAddr, trusted: Vec<Signer>) -> Self {
        let log = http::Log::new(addr, Limits::default());
        let fold = Fold::new(trusted);
        Self { log, fold }
    }

    /// Reads one page, waiting up to `wait` for new records. Returns whether the end of the log was
    /// reached, which is when the page is empty.
    pub async fn read_page(&mut self, wait: Duration) -> platform::Result<bool> {
        let from = self.fold.next_offset();
        let page = self.log.read(STREAM, from, wait).await?;
        let records = page.records.iter().map(|r| (r.offset, &r.body[..]));
        self.fold.apply_page(page.first, records);
        Ok(page.records.is_empty())
    }

    /// Reads to the end of the log, with retries.
    pub async fn catch_up(&mut self) -> Result {
        let mut backoff = backoff();
        loop {
            match self.read_page(Duration::ZERO).await {
                Ok(true) => return Ok(()),
                Ok(false) => backoff.record_success(),
                Err(e) if backoff.failures() + 1 >= MAX_FAILURES => {
                    return Err(failed(
                        Err::<(), _>(e).wrap_err("reading the log").unwrap_err(),
                    ));
                }
                Err(e) => tokio::time::sleep(backoff.record_failure(e.retry_after())).await,
            }
        }
    }
}

/// Creates the backoff between failed calls, with a random seed for its jitter.
pub fn backoff() -> Backoff {
    let min = Duration::from_millis(100);
    let max = Duration::from_secs(2);
    Backoff::new(min, max, rand::random())
}
