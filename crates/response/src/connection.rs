//! Connections that responses are received on.

use crate::meter::{Allowance, Meter, Metered};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Least buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size of the buffer for what is read, in bytes, and so of a head and of a frame of a body.
    pub buffer_bytes: usize,
    /// Size of the kernel's receive buffer in bytes. The other side fills it if nobody reads.
    pub receive_buffer_bytes: u32,
    /// `TCP_USER_TIMEOUT`: time without an acknowledgement of sent data after which the kernel closes the
    /// connection.
    pub user_timeout: Option<Duration>,
    /// Units of the connection's [`Meter`].
    pub allowance: Allowance,
}

/// The I/O of a connection; the connection works only while this is polled.
pub type Driver<B> = http1::Connection<TokioIo<Metered<TcpStream>>, B>;

/// A connection that was opened.
#[derive(Debug)]
pub struct Opened<B: Body + 'static> {
    /// Sends requests.
    pub sender: SendRequest<B>,
    /// Does the I/O.
    pub driver: Driver<B>,
    /// Bounds the work for its responses.
    pub meter: Meter,
}

/// Connects to `addr`.
pub async fn open(addr: SocketAddr, options: &Options) -> io::Result<(Metered<TcpStream>, Meter)> {
    let socket = match addr.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    // Without these options requests are slower, a lost peer is detected later or more is buffered, but the
    // connection works; failures are ignored.
    let _ = socket.set_recv_buffer_size(options.receive_buffer_bytes);
    let stream = socket.connect(addr).await?;
    let _ = stream.set_nodelay(true);
    if let Some(timeout) = options.user_timeout {
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(timeout));
    }
    let meter = Meter::new(options.allowance);
    Ok((Metered::new(stream, meter.clone()), meter))
}

/// Connects to `addr`, for requests over HTTP/1.1.
pub async fn connect<B>(addr: SocketAddr, options: &Options) -> io::Result<Opened<B>>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (stream, meter) = open(addr, options).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(options.buffer_bytes.max(MIN_BUFFER_BYTES))
        .handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.map_err(io::Error::other)?;
    Ok(Opened {
        sender,
        driver,
        meter,
    })
}
