//! A response body whose writer is polled when the body is read.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll},
};

use futures::{AsyncBufRead, AsyncRead, FutureExt, future::BoxFuture};
use jm_http::{Body, BodySender, channel_body, poll_read_buffered};

/// Creates a body whose content is produced by `write`. The writer is part of the body and not a separate task: when
/// the caller disconnects, the server drops the body, which drops the writer and cancels its calls to other daemons.
pub(crate) fn driven_body<W>(write: impl FnOnce(BodySender) -> W) -> Body
where
    W: Future<Output = ()> + Send + 'static,
{
    let (sender, body) = channel_body();
    let reader = DrivenReader {
        writer: Mutex::new(Some(write(sender).boxed())),
        body,
    };
    Body::from_reader(reader, None)
}

struct DrivenReader {
    /// `None` after the writer has returned. The mutex is never locked and only makes the reader `Sync`.
    writer: Mutex<Option<BoxFuture<'static, ()>>>,
    body: Body,
}

impl DrivenReader {
    fn drive(&mut self, cx: &mut Context<'_>) {
        let slot = self.writer.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(writer) = slot
            && writer.poll_unpin(cx).is_ready()
        {
            *slot = None;
        }
    }
}

impl AsyncBufRead for DrivenReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        this.drive(cx);
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.get_mut().body).consume(amount);
    }
}

impl AsyncRead for DrivenReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}
