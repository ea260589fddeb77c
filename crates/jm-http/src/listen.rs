//! Listening sockets.

use std::{io, net::SocketAddr};

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted. With the standard library's 128, the kernel reset up to 126 of 1,000
/// connections that were opened at once.
const BACKLOG: i32 = 4_096;

/// Binds a listener that bursts of new connections do not overflow.
///
/// # Errors
///
/// Fails when the address is in use or not one of this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of an earlier process that are still closing must not keep a restart from binding.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(std::net::TcpListener::from(socket)))
}
