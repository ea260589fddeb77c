//! A complete body in memory that is shared instead of copied.

use std::{
    fmt, io,
    ops::Deref,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request};

use crate::{BufferShare, buffered::poll_read_buffered};

/// A complete body. Clones share its bytes, so that each attempt of a request can send them without a copy. The memory
/// counts towards the budget of the process until the last clone is dropped.
#[derive(Clone)]
pub struct SharedBytes(Arc<Held>);

/// Extension of a received request: its complete body. It differs from [`OutgoingBody`], so that a handler may send the
/// received request on with another body.
struct ReceivedBody(SharedBytes);

/// Extension of a request to send: its complete body.
pub(crate) struct OutgoingBody(pub(crate) SharedBytes);

struct Held {
    bytes: Vec<u8>,
    _share: Option<BufferShare>,
}

impl SharedBytes {
    pub(crate) fn new(bytes: Vec<u8>, share: Option<BufferShare>) -> Self {
        Self(Arc::new(Held { bytes, _share: share }))
    }

    /// Returns the complete body that a server has received with `request`, and removes it from the request.
    ///
    /// # Errors
    ///
    /// Fails with the error of the body if the request was not received by a server.
    pub async fn take(request: &mut Request) -> io::Result<Self> {
        if let Some(ReceivedBody(bytes)) = request.ext_mut().remove() {
            drop(request.take_body());
            return Ok(bytes);
        }
        let bytes = request.body_bytes().await.map_err(io::Error::other)?;
        Ok(Self::new(bytes, None))
    }

    /// Makes the bytes the body of a request to send. The content type of the request stays unchanged.
    pub fn set_as_body(&self, request: &mut Request) {
        self.set_body_of(request);
        request.ext_mut().insert(OutgoingBody(self.clone()));
    }

    /// Makes the bytes the body of a received request.
    pub(crate) fn set_as_received(self, request: &mut Request) {
        self.set_body_of(request);
        request.ext_mut().insert(ReceivedBody(self));
    }

    fn set_body_of(&self, request: &mut Request) {
        let has_type = request.header("content-type").is_some();
        request.set_body(self.to_body());
        if !has_type {
            request.remove_header("content-type");
        }
    }

    /// A body that reads the shared bytes.
    pub(crate) fn to_body(&self) -> Body {
        let reader = SharedReader {
            bytes: self.clone(),
            position: 0,
        };
        Body::from_reader(reader, Some(self.len()))
    }
}

impl Deref for SharedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl From<Vec<u8>> for SharedBytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self::new(bytes, None)
    }
}

impl fmt::Debug for SharedBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SharedBytes").field(&self.len()).finish()
    }
}

struct SharedReader {
    bytes: SharedBytes,
    position: usize,
}

impl AsyncBufRead for SharedReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        Poll::Ready(Ok(&this.bytes[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for SharedReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}
