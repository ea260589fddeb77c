//! Many new connections at once.

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use jm_http::listen;

/// More than the standard library's backlog of 128 and less than the backlog of this crate.
const CONNECTIONS: usize = 1_000;

/// Long enough for a loaded machine. With a full backlog, the kernel drops the handshake and this timeout passes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against connections that the kernel resets because the accept queue is full.
#[async_std::test]
async fn burst_fits_backlog() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).unwrap();
    let connections: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect()).collect();
    assert_eq!(connections.len(), CONNECTIONS);
}
