//! Opens connections to peers.

use crate::auth::{Hello, Session, Side};
use crate::conn::{Conn, FrameStream, add_length_prefix, count_failure, read_frame, write_all};
use crate::error::{Error, Result};
use crate::peer::Link;
use bytes::Bytes;
use http::Request;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path of the request that opens the stream of frames.
pub(crate) const PEER_PATH: &str = "/peer";
/// HTTP/2 flow-control window in bytes, of the stream and of the connection.
pub(crate) const WINDOW_BYTES: u32 = 256 << 10;

/// Connects to a peer and exchanges hellos, within the handshake timeout.
///
/// Fails with [`Error::Closed`] if the link is stopped first.
pub(crate) async fn dial(link: &Link, addr: SocketAddr) -> Result<Conn> {
    let limit = link.shared.limits.handshake_timeout;
    let result = tokio::select! {
        result = timeout(limit, open(link, addr)) => result,
        () = link.shared.cancel.cancelled() => return Err(Error::Closed),
    };
    let result = result.unwrap_or(Err(Error::Timeout(addr)));
    count_failure(link, result.as_ref().err());
    result
}

/// Connects, performs the HTTP/2 handshake and opens the stream. A task of its own drives the
/// HTTP/2 connection.
async fn open(link: &Link, addr: SocketAddr) -> Result<Conn> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    builder.enable_push(false);
    let (client, mut connection) = builder.handshake::<_, Bytes>(stream).await?;
    let ping = connection.ping_pong().ok_or(Error::Closed)?;
    let cancel = link.shared.cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = cancel.cancelled() => {}
        }
    });
    let request = Request::post(format!("http://{addr}{PEER_PATH}")).body(());
    let request = request.map_err(|_| Error::InvalidField("address"))?;
    let (answer, send) = client.ready().await?.send_request(request, false)?;
    link.shared.counters.dialed.add(1);
    let client_hello = Hello::new(link.shared.addr).encode()?;
    exchange_hellos(link, addr, client_hello, answer, send, ping).await
}

/// Sends the client's hello, waits for the server's and derives the keys of the session.
async fn exchange_hellos(
    link: &Link,
    addr: SocketAddr,
    client_hello: Vec<u8>,
    answer: h2::client::ResponseFuture,
    mut send: h2::SendStream<Bytes>,
    ping: h2::PingPong,
) -> Result<Conn> {
    let mut codec = crate::conn::codec(crate::limits::MAX_HELLO_LEN);
    let prefixed = add_length_prefix(&mut codec, Bytes::copy_from_slice(&client_hello))?;
    write_all(&mut send, prefixed).await?;
    let response = answer.await?;
    if !response.status().is_success() {
        return Err(Error::Closed);
    }
    let mut stream = FrameStream::new(send, response.into_body(), ping);
    let server_hello = read_frame(&mut stream.recv, &mut stream.codec, &mut stream.buffer).await?;
    Hello::decode(&server_hello)?;
    let session = Session::new(&link.shared.key, Side::Client, &client_hello, &server_hello)?;
    Ok(Conn::new(link, stream, session, addr))
}
