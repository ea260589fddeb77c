//! Checks on what this side writes: whole bodies of the stated length, and headers that cannot end their own line.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::{AsyncBufRead, AsyncRead};
use http_types::{Body, Headers, headers::HeaderName};

use crate::buffered::poll_read_buffered;

/// Headers that this crate or the encoder of `async-h1` sets itself. A copied value could contradict the body.
pub(crate) const FRAMING_HEADERS: [&str; 4] =
    ["connection", "content-length", "keep-alive", "transfer-encoding"];

/// The same body, except that one that ends before its stated length fails instead of ending.
pub(crate) fn exact_body(body: Body) -> Body {
    match body.len() {
        None => body,
        Some(0) => Body::empty(),
        Some(length) => {
            let reader = ExactReader {
                inner: body.into_reader(),
                remaining_bytes: length,
            };
            Body::from_reader(reader, Some(length))
        }
    }
}

struct ExactReader {
    inner: Box<dyn AsyncBufRead + Unpin + Send + Sync>,
    remaining_bytes: usize,
}

impl AsyncBufRead for ExactReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.remaining_bytes == 0 {
            return Poll::Ready(Ok(&[]));
        }
        let available = ready!(Pin::new(&mut this.inner).poll_fill_buf(cx))?;
        if available.is_empty() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                format!(
                    "the body lacks {} bytes of its stated length",
                    this.remaining_bytes
                ),
            )));
        }
        let amount = available.len().min(this.remaining_bytes);
        Poll::Ready(Ok(&available[..amount]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.remaining_bytes -= amount;
        Pin::new(&mut self.inner).consume(amount);
    }
}

impl AsyncRead for ExactReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}

/// The first header whose name or value would be read as something else by the peer. `http-types` admits any ASCII
/// text in both, line ends included.
pub(crate) fn unsafe_header(headers: &Headers) -> Option<&HeaderName> {
    let is_unsafe = |name: &HeaderName, value: &str| {
        !is_token(name.as_str()) || value.bytes().any(|byte| byte != b'\t' && byte.is_ascii_control())
    };
    headers
        .iter()
        .find(|(name, values)| values.iter().any(|value| is_unsafe(name, value.as_str())))
        .map(|(name, _)| name)
}

fn is_token(name: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token_byte)
}
