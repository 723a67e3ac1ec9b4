//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: i32 = 1024;

/// Reserves `addr` without listening on it; with port 0 the kernel chooses one. Listeners of
/// several threads can then be opened on the same port, and no connection goes to the reservation.
pub fn reserve(addr: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    let socket = bind(addr)?;
    let bound = socket.local_addr()?.as_socket();
    let bound = bound.ok_or_else(|| io::Error::other("the socket has no IP address"))?;
    Ok((socket, bound))
}

/// A listener on `addr`; the kernel spreads connections over all of one address.
pub fn open(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(addr)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}
