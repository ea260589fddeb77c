//! A writer that refuses to write without a valid lease.

use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::{AsyncRead, AsyncWrite};
use jm_types::Clock;

use crate::LeaseGuard;

/// The lease is no longer valid. [`GuardedWriter`] returns this error inside an [`io::Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseExpired;

impl fmt::Display for LeaseExpired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the lease is no longer valid; nothing was written")
    }
}

impl std::error::Error for LeaseExpired {}

/// Forwards writes to an inner writer while the lease is valid. The check runs directly before the inner write, so that
/// a process that was suspended between its decision and the write does not write.
///
/// The inner writer must not buffer, because buffered bytes would be sent after the check. In case it buffers
/// nevertheless, flush and close are refused as well without a valid lease.
pub struct GuardedWriter<W> {
    inner: W,
    guard: LeaseGuard,
    clock: Arc<dyn Clock>,
    written_bytes: u64,
}

impl<W> GuardedWriter<W> {
    /// Wraps `inner`. The validity of `guard` is checked against `clock`, which must be the boot clock.
    pub fn new(inner: W, guard: LeaseGuard, clock: Arc<dyn Clock>) -> Self {
        Self {
            inner,
            guard,
            clock,
            written_bytes: 0,
        }
    }

    /// Number of bytes that the inner writer accepted.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Returns the inner writer, which is no longer guarded.
    pub fn into_inner(self) -> W {
        self.inner
    }

    fn check(&self) -> io::Result<()> {
        if self.guard.is_valid(self.clock.now()) {
            Ok(())
        } else {
            Err(io::Error::new(io::ErrorKind::PermissionDenied, LeaseExpired))
        }
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for GuardedWriter<W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check()?;
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            self.written_bytes += *count as u64;
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<W: AsyncRead + Unpin> AsyncRead for GuardedWriter<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}
