//! Opens the connections of a client.

use super::OPTIONS;
use crate::limits::Limits;
use http::Uri;
use hyper_util::rt::TokioIo;
use response::connection::{self, Options};
use response::meter::{Allowance, Metered};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tower_service::Service;

/// Opens connections to one address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connector {
    addr: SocketAddr,
    connect_timeout: Duration,
    options: Options,
}

impl Connector {
    /// Creates a connector whose connections carry responses within `limits`.
    pub(super) fn new(addr: SocketAddr, limits: &Limits) -> Self {
        let body = limits.max_response_bytes.saturating_mul(2);
        // The client's pool does not say when a body begins, so a response has all units from its start.
        let allowance = Allowance {
            head: OPTIONS.allowance.head.saturating_add(body),
            body,
        };
        Self {
            addr,
            connect_timeout: limits.connect_timeout,
            options: Options {
                allowance,
                ..OPTIONS
            },
        }
    }
}

type Stream = TokioIo<Metered<TcpStream>>;

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = io::Error;
    // The library's pool boxes it in any case.
    type Future = Pin<Box<dyn Future<Output = io::Result<Stream>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let connector = *self;
        Box::pin(async move {
            let open = connection::open(connector.addr, &connector.options);
            let opened = timeout(connector.connect_timeout, open).await;
            let (stream, _) = opened.map_err(|_| io::ErrorKind::TimedOut)??;
            Ok(TokioIo::new(stream))
        })
    }
}
