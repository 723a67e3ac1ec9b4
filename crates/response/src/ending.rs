//! Whether a body that ended with its connection is whole.
//!
//! A sender may mark the end of a body by closing the connection (RFC 9112, section 6.3). A process that is
//! killed in the middle of a body closes its connections too, all of them together with its listener. So
//! such a body is whole if its sender keeps a connection open that was established after the end. One whose
//! connection was reset is broken in any case.

use hyper::client::conn::http1::SendRequest;
use std::time::Duration;
use tokio::time::sleep;

/// Time in which a process that ends closes its sockets, and the other sides learn of it.
const EXIT_TIME: Duration = Duration::from_millis(50);

/// Returns whether the other side keeps a new connection open. Its driver must be polled.
pub async fn stays_open<B>(sender: &SendRequest<B>) -> bool {
    sleep(EXIT_TIME).await;
    !sender.is_closed()
}
