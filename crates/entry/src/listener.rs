//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: i32 = 1024;

/// Reserves `addr` without listening on it; with port 0 the kernel chooses one. Listeners of
/// several threads can then be opened on the same port, and no connection goes to the reservation.
///
/// Threads share a port by an option that any process of the same user may set as well. A second
/// process would then share the port by mistake: each would get a part of the connections, and
/// nobody would be told. So the port is first bound without the option, which fails if it is taken.
pub fn reserve(addr: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    drop(bind(addr, false)?);
    let socket = bind(addr, true)?;
    let bound = socket.local_addr()?.as_socket();
    let bound = bound.ok_or_else(|| io::Error::other("the socket has no IP address"))?;
    Ok((socket, bound))
}

/// A listener on `addr`; the kernel spreads connections over all of one address.
pub fn open(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(addr, true)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn bind(addr: SocketAddr, shared: bool) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}
