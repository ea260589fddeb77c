//! Validation of outgoing messages: bodies match their declared length, and headers cannot inject lines.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::{AsyncBufRead, AsyncRead};
use http_types::{Body, Headers, headers::HeaderName};

use crate::buffered::poll_read_buffered;

/// Headers that this crate or the encoder of `async-h1` sets. A value copied from another message could contradict the
/// body.
pub(crate) const FRAMING_HEADERS: [&str; 4] =
    ["connection", "content-length", "keep-alive", "transfer-encoding"];

/// Wraps a body so that it fails when it ends before its declared length.
pub(crate) fn length_checked_body(body: Body) -> Body {
    match body.len() {
        None => body,
        Some(0) => Body::empty(),
        Some(length) => {
            let reader = LengthCheckedReader {
                inner: body.into_reader(),
                remaining_bytes: length,
            };
            Body::from_reader(reader, Some(length))
        }
    }
}

struct LengthCheckedReader {
    inner: Box<dyn AsyncBufRead + Unpin + Send + Sync>,
    remaining_bytes: usize,
}

impl AsyncBufRead for LengthCheckedReader {
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
                    "the body is {} bytes shorter than its declared length",
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

impl AsyncRead for LengthCheckedReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}

/// Returns the name of the first header that the peer would parse differently. `http-types` accepts any ASCII text in
/// names and values, including line breaks.
pub(crate) fn invalid_header(headers: &Headers) -> Option<&HeaderName> {
    let is_invalid = |name: &HeaderName, value: &str| {
        !is_token(name.as_str().as_bytes()) || !is_field_value(value.as_bytes())
    };
    headers
        .iter()
        .find(|(name, values)| values.iter().any(|value| is_invalid(name, value.as_str())))
        .map(|(name, _)| name)
}

/// Whether `name` can be the name of a header (RFC 9110, section 5.6.2).
pub(crate) fn is_token(name: &[u8]) -> bool {
    let is_token_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !name.is_empty() && name.iter().all(is_token_byte)
}

/// Whether `value` has no control characters, apart from tabs.
pub(crate) fn is_field_value(value: &[u8]) -> bool {
    !value.iter().any(|byte| *byte != b'\t' && byte.is_ascii_control())
}
