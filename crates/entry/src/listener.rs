//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Length of the kernel's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Reserves `addr` without listening on it; with port 0 the kernel chooses a port. Listeners of
/// several threads can then be opened on the same port, and no connection goes to the reservation.
///
/// The threads share the port through `SO_REUSEPORT`, which any process of the same user may set
/// as well. A second process could thus share the port by mistake: each process would get part of
/// the connections, without an error. Therefore the port is first bound without the option, which
/// fails if the port is in use.
pub fn reserve(addr: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    drop(bind(addr, false)?);
    let socket = bind(addr, true)?;
    let bound = socket.local_addr()?.as_socket();
    let bound = bound.ok_or_else(|| io::Error::other("the socket has no IP address"))?;
    Ok((socket, bound))
}

/// Opens a listener on `addr`. The kernel distributes connections over all listeners of an
/// address.
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
