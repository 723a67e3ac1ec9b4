//! The end of a connection whose caller may still be sending.
//!
//! Closing a socket with unread bytes resets the connection, and the caller may lose the response that it has
//! not read yet. So the node ends its side, and drops what still arrives for a while.

use super::Socket;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum number of bytes that are dropped, beside a body of the largest size.
const EXTRA_BYTES: usize = 256 << 10;
/// Maximum time without a byte.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Maximum time in all.
const MAX_TIME: Duration = Duration::from_secs(2);
/// Size of the buffer for what is dropped.
const BUFFER_BYTES: usize = 4 << 10;

/// Ends the node's side of a connection, and drops what the caller still sends, up to a body of the largest
/// size.
pub(crate) async fn linger(mut socket: Socket, max_body_bytes: usize) {
    // The connection is closed in any case.
    let _ = timeout(MAX_TIME, drain(&mut socket, max_body_bytes)).await;
}

async fn drain(socket: &mut Socket, max_body_bytes: usize) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut left = max_body_bytes.saturating_add(EXTRA_BYTES);
    let mut buffer = [0; BUFFER_BYTES];
    while left > 0 {
        match timeout(QUIET_TIME, socket.read(&mut buffer)).await {
            Ok(Ok(read)) if read > 0 => left = left.saturating_sub(read),
            _ => return,
        }
    }
}
