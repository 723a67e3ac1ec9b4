//! Streamed body of a response of a service.

use super::{Cause, Connection, Failure};
use crate::pool::Pool;
use bytes::Bytes;
use futures::FutureExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Streamed body of a response. It ends without an error only if it is complete. If it is dropped
/// earlier, its connection is closed, so that the service notices that the caller has left.
#[derive(Debug)]
pub struct Body {
    pool: Pool,
    connection: Option<Connection>,
    incoming: Incoming,
}

impl Body {
    pub(super) fn new(pool: Pool, connection: Connection, incoming: Incoming) -> Self {
        let mut body = Self {
            pool,
            connection: Some(connection),
            incoming,
        };
        if body.incoming.is_end_stream() {
            body.release_connection();
        }
        body
    }

    /// Returns the connection to the idle connections once it is ready for another call.
    fn release_connection(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let pool = self.pool.clone();
        if let Some(Ok(())) = connection.sender.ready().now_or_never() {
            pool.idle().put(connection);
            return;
        }
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.idle().put(connection);
            }
        });
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => {
                if let Some(connection) = &self.connection {
                    let length = frame.data_ref().map_or(0, Bytes::len);
                    connection.meter.record_frame(length);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => {
                self.connection = None;
                Poll::Ready(Some(Err(Failure {
                    cause: Cause::Reset,
                    sent: true,
                })))
            }
            None => {
                self.release_connection();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}
