//! A TCP stream with a buffer of unconsumed input.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use async_std::{io::timeout, net::TcpStream};
use futures::{AsyncRead, AsyncWriteExt};

/// Maximum bytes per read from the socket.
const READ_BYTES: usize = 16 * 1024;

#[derive(Debug)]
pub(crate) struct BufferedStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    received_bytes: u64,
}

impl BufferedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            received_bytes: 0,
        }
    }

    pub(crate) fn socket(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Bytes that were read and not yet consumed.
    pub(crate) fn data(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Bytes read from the stream since it was opened.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Memory that the buffer uses.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Releases the memory of an empty buffer, because most connections are idle most of the time.
    pub(crate) fn release_buffer(&mut self) {
        if self.data().is_empty() {
            self.buffer = Vec::new();
            self.start = 0;
        }
    }

    pub(crate) fn consume(&mut self, amount: usize) {
        self.start += amount;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
    }

    /// Reads once and appends to [`BufferedStream::data`]. Returns zero when the peer has closed the connection.
    pub(crate) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_BYTES];
        let amount = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut chunk))?;
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(&chunk[..amount]);
        self.received_bytes += amount as u64;
        Poll::Ready(Ok(amount))
    }

    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Resolves when the peer closes its side. Buffers up to `limit_bytes` of following requests. When the buffer is
    /// full, the stream is no longer read and the peer counts as connected.
    pub(crate) async fn peer_closed(&mut self, limit_bytes: usize) {
        while self.data().len() < limit_bytes {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Reads and discards input until the peer closes the connection.
    pub(crate) async fn discard(&mut self) {
        loop {
            self.consume(self.data().len());
            if matches!(self.fill().await, Ok(0) | Err(_)) {
                return;
            }
        }
    }
}

/// Writes all of `bytes`. Fails when a single write makes no progress for `stall_timeout`.
pub(crate) async fn write_all(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    stall_timeout: Duration,
    mut on_progress: impl FnMut(usize),
) -> io::Result<()> {
    while !bytes.is_empty() {
        let amount = timeout(stall_timeout, stream.write(bytes)).await?;
        if amount == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        on_progress(amount);
        bytes = &bytes[amount..];
    }
    Ok(())
}
