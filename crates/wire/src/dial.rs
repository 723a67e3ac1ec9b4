//! Opening a connection to a peer.

use crate::auth::{Hello, Session, Side};
use crate::conn::{Conn, Pipe, count, pack, read, write};
use crate::error::{Error, Result};
use crate::peer::Link;
use bytes::Bytes;
use http::Request;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Path of the stream.
pub(crate) const PATH: &str = "/peer";
/// Bytes that a peer may send before they are read.
pub(crate) const WINDOW: u32 = 256 << 10;

/// Connects and exchanges hellos.
pub(crate) async fn dial(link: &Link, addr: SocketAddr, stop: &CancellationToken) -> Result<Conn> {
    let limit = link.shared.limits.handshake_timeout;
    let result = tokio::select! {
        result = timeout(limit, open(link, addr)) => result,
        () = stop.cancelled() => return Err(Error::Closed),
    };
    let result = result.unwrap_or(Err(Error::Timeout(addr)));
    count(link, result.as_ref().err());
    result
}

async fn open(link: &Link, addr: SocketAddr) -> Result<Conn> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
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
    let request = Request::post(format!("http://{addr}{PATH}")).body(());
    let request = request.map_err(|_| Error::InvalidField("address"))?;
    let (answer, send) = client.ready().await?.send_request(request, false)?;
    link.shared.counters.dialed.add(1);
    let hello = Hello::new(link.shared.addr).encode()?;
    greet(link, addr, hello, answer, send, ping).await
}

async fn greet(
    link: &Link,
    addr: SocketAddr,
    hello: Vec<u8>,
    answer: h2::client::ResponseFuture,
    mut send: h2::SendStream<Bytes>,
    ping: h2::PingPong,
) -> Result<Conn> {
    let mut codec = crate::conn::codec(crate::limits::MAX_HELLO_LEN);
    let packed = pack(&mut codec, Bytes::copy_from_slice(&hello))?;
    write(&mut send, packed).await?;
    let response = answer.await?;
    if !response.status().is_success() {
        return Err(Error::Closed);
    }
    let mut pipe = Pipe::new(send, response.into_body(), ping);
    let theirs = read(&mut pipe.recv, &mut pipe.codec, &mut pipe.buffer).await?;
    Hello::decode(&theirs)?;
    let session = Session::new(&link.shared.key, Side::Client, &hello, &theirs)?;
    Ok(Conn::new(link, pipe, session, addr))
}
