//! Limit on the whole time of a streamed body.
//!
//! Load pattern: a faulty target sends event after event without end. Each of them is whole, so no limit on stalls ends the
//! stream; its caller waits for ever and the target's slots stay taken.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use async_std::task;
use futures::{AsyncBufRead, AsyncRead, FutureExt, future::BoxFuture};
use jm_http::Body;
use jm_types::DurationMs;

/// Wraps a streamed body. Reading fails with [`io::ErrorKind::TimedOut`] after `limit`, which cuts the caller's stream
/// before its end and closes the connection to the target. `on_expiry` is then called once.
pub fn limit_duration(
    body: Body,
    limit: DurationMs,
    on_expiry: impl FnOnce() + Send + Sync + 'static,
) -> Body {
    let reader = DeadlineReader {
        inner: Some(body),
        timer: Mutex::new(task::sleep(limit.as_std()).boxed()),
        on_expiry: Some(Box::new(on_expiry)),
    };
    Body::from_reader(reader, None)
}

struct DeadlineReader {
    /// `None` after the limit.
    inner: Option<Body>,
    /// The mutex is never contended and only makes the reader `Sync`.
    timer: Mutex<BoxFuture<'static, ()>>,
    on_expiry: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl DeadlineReader {
    /// The body, unless its time is up. It is checked before each read, as a faulty target may always have bytes.
    fn body(&mut self, cx: &mut Context<'_>) -> io::Result<&mut Body> {
        let timer = self.timer.get_mut().unwrap_or_else(PoisonError::into_inner);
        if self.inner.is_some() && timer.as_mut().poll(cx).is_ready() {
            self.inner = None;
            if let Some(on_expiry) = self.on_expiry.take() {
                on_expiry();
            }
        }
        self.inner
            .as_mut()
            .ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "the stream exceeds its time limit"))
    }
}

impl AsyncBufRead for DeadlineReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        Pin::new(this.body(cx)?).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        if let Some(body) = &mut self.inner {
            Pin::new(body).consume(amount);
        }
    }
}

impl AsyncRead for DeadlineReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let amount = available.len().min(buffer.len());
        buffer[..amount].copy_from_slice(&available[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
