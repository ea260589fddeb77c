//! Reading through a buffer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::AsyncBufRead;

/// `poll_read` of a reader that has a buffer of its own.
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
