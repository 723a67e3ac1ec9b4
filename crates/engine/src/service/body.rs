//! Streamed body of a response of a service.

use super::{Cause, Connection, Failure, witness};
use crate::pool::Pool;
use bytes::Bytes;
use futures::FutureExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::task::JoinHandle;

/// The failure of a call whose response was interrupted after its head.
const INTERRUPTED: Failure = Failure {
    cause: Cause::Reset,
    sent: true,
};

/// How the end of a body is marked.
#[derive(Debug)]
pub(super) enum End {
    /// By a length or the last chunk.
    Marked,
    /// By the end of the connection.
    Close {
        /// Whether a part of the body has arrived. One that ends right behind its head may have been cut.
        has_begun: bool,
    },
    /// By the end of the connection, if the service keeps another one open.
    Unconfirmed(JoinHandle<Option<Connection>>),
}

/// Streamed body of a response. It ends without an error only if it is complete. If it is dropped
/// earlier, its connection is closed, so that the service notices that the caller has left.
#[derive(Debug)]
pub struct Body {
    pool: Pool,
    addr: SocketAddr,
    connection: Option<Connection>,
    incoming: Incoming,
    end: End,
}

impl Body {
    pub(super) fn new(pool: Pool, connection: Connection, incoming: Incoming, end: End) -> Self {
        let mut body = Self {
            pool,
            addr: connection.addr,
            connection: Some(connection),
            incoming,
            end,
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
        if let End::Unconfirmed(witness) = &mut self.end {
            let witness = ready!(Pin::new(witness).poll(cx));
            self.end = End::Marked;
            return Poll::Ready(match witness.ok().flatten() {
                Some(connection) => {
                    self.pool.idle().put(connection);
                    None
                }
                None => Some(Err(INTERRUPTED)),
            });
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => {
                if let End::Close { has_begun } = &mut self.end {
                    *has_begun = true;
                }
                if let Some(connection) = &self.connection {
                    let length = frame.data_ref().map_or(0, Bytes::len);
                    connection.meter.record_frame(length);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => {
                self.connection = None;
                Poll::Ready(Some(Err(INTERRUPTED)))
            }
            None => match self.end {
                End::Marked | End::Unconfirmed(_) => {
                    self.release_connection();
                    Poll::Ready(None)
                }
                End::Close { has_begun: false } => Poll::Ready(Some(Err(INTERRUPTED))),
                End::Close { has_begun: true } => {
                    let witness = witness(self.addr, *self.pool.limits());
                    self.end = End::Unconfirmed(tokio::spawn(witness));
                    self.poll_frame(cx)
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.end, End::Marked) && self.incoming.is_end_stream()
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
        if let End::Unconfirmed(witness) = &self.end {
            witness.abort();
        }
    }
}
