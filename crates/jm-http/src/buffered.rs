//! Implements `poll_read` for buffered readers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::AsyncBufRead;

/// Implements [`futures::AsyncRead::poll_read`] by copying from the internal buffer of `reader`.
pub fn poll_read_buffered(
    mut reader: Pin<&mut impl AsyncBufRead>,
    cx: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    let available = ready!(reader.as_mut().poll_fill_buf(cx))?;
    let amount = available.len().min(buffer.len());
    buffer[..amount].copy_from_slice(&available[..amount]);
    reader.consume(amount);
    Poll::Ready(Ok(amount))
}
