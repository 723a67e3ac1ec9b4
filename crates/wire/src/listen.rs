//! Accepts connections from peers.

use crate::auth::{Hello, Session, Side};
use crate::conn::{Conn, FrameStream, add_length_prefix, count_failure, read_frame, write_all};
use crate::dial::{PEER_PATH, WINDOW_BYTES};
use crate::error::{Error, Result};
use crate::peer::Link;
use bytes::Bytes;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Delay before the next `accept` after one failed, for instance because the process ran out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of concurrent HTTP/2 streams of one connection.
const MAX_STREAMS: u32 = 1;
/// Maximum size of a request's header list in bytes.
const MAX_HEADER_BYTES: u32 = 4 << 10;

/// Accepts connections until the link is cancelled. Closes a connection at once if
/// `max_inbound_connections` are open.
pub(crate) async fn run(link: Link, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(link.shared.limits.max_inbound_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = link.shared.cancel.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            link.shared.counters.refused.add(1);
            continue;
        };
        let link = link.clone();
        tokio::spawn(async move {
            accept(&link, stream).await;
            drop(permit);
        });
    }
}

/// Performs the handshakes on an accepted socket and serves the connection until it ends.
async fn accept(link: &Link, stream: TcpStream) {
    link.shared.counters.accepted.add(1);
    let limit = link.shared.limits.handshake_timeout;
    let Ok(result) = timeout(limit, open(stream)).await else {
        link.shared.counters.slow_hello.add(1);
        return;
    };
    let Ok((mut connection, request, answer)) = result else {
        return;
    };
    let Some(ping) = connection.ping_pong() else {
        return;
    };
    // The HTTP/2 connection makes progress only while it is polled. Further streams are reset.
    let driver = async {
        while let Some(Ok((_, mut extra))) = connection.accept().await {
            extra.send_reset(h2::Reason::REFUSED_STREAM);
        }
    };
    let session = async {
        let hello = timeout(limit * 2, exchange_hellos(link, request, answer, ping)).await;
        match hello {
            Ok(Ok(conn)) => link.shared.routes.serve(link, conn).await,
            Ok(Err(error)) => count_failure(link, Some(&error)),
            Err(_) => link.shared.counters.slow_hello.add(1),
        }
    };
    tokio::pin!(session);
    tokio::select! {
        // The session still has to send the frames that are unconfirmed over a new connection.
        () = driver => session.await,
        () = &mut session => {}
        () = link.shared.cancel.cancelled() => {}
    }
}

/// An HTTP/2 connection with its first request and the handle for the response.
type AcceptedStream = (
    h2::server::Connection<TcpStream, Bytes>,
    Request<h2::RecvStream>,
    SendResponse<Bytes>,
);

/// Performs the HTTP/2 handshake and waits for the first request.
async fn open(stream: TcpStream) -> Result<AcceptedStream> {
    stream.set_nodelay(true)?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES);
    let mut connection = builder.handshake::<_, Bytes>(stream).await?;
    let (request, answer) = connection.accept().await.ok_or(Error::Closed)??;
    Ok((connection, request, answer))
}

/// Receives the client's hello, sends the server's, and waits for the first authenticated frame.
///
/// Answers 404 to any request other than `POST /peer`.
async fn exchange_hellos(
    link: &Link,
    request: Request<h2::RecvStream>,
    mut answer: SendResponse<Bytes>,
    ping: h2::PingPong,
) -> Result<Conn> {
    if request.method() != Method::POST || request.uri().path() != PEER_PATH {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::NOT_FOUND;
        answer.send_response(response, true)?;
        return Err(Error::Closed);
    }
    let send = answer.send_response(Response::new(()), false)?;
    let mut stream = FrameStream::new(send, request.into_body(), ping);
    let client_hello = read_frame(&mut stream.recv, &mut stream.codec, &mut stream.buffer).await?;
    let client = Hello::decode(&client_hello)?;
    let server_hello = Hello::new(link.shared.addr).encode()?;
    let prefixed = add_length_prefix(&mut stream.codec, Bytes::copy_from_slice(&server_hello))?;
    write_all(&mut stream.send, prefixed).await?;
    let session = Session::new(&link.shared.key, Side::Server, &client_hello, &server_hello)?;
    let mut conn = Conn::new(link, stream, session, client.addr);
    conn.authenticate(link).await?;
    Ok(conn)
}
