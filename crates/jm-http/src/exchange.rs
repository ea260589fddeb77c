//! Sends one request on an open connection and reads the head of its response.

use std::{
    io,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use async_std::{future::timeout, net::TcpStream};
use futures::{
    AsyncReadExt,
    future::{Either, select},
    pin_mut,
};
use http_types::{Method, Request};

use crate::{
    Limits,
    head::{RequestTarget, ResponseHead, parse_response},
    stream::{BufferedStream, write_all},
};

/// Buffer size for encoding a request.
const ENCODE_BUFFER_BYTES: usize = 16 * 1024;

/// Reason why an exchange produced no response head.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    /// Whether any byte of the request may have been sent.
    pub(crate) written: bool,
    /// Whether any byte of a response arrived.
    pub(crate) response_started: bool,
    pub(crate) cause: Cause,
}

impl ExchangeError {
    /// No connection could be opened.
    pub(crate) fn unwritten(source: io::Error) -> Self {
        Self {
            written: false,
            response_started: false,
            cause: Cause::Io(source),
        }
    }

    /// Whether the peer had most likely closed the connection before the request reached it. A request that timed out
    /// is not retried, because a retry would double the waiting time and the work of the peer.
    pub(crate) fn is_repeatable(&self) -> bool {
        let is_lost = match &self.cause {
            Cause::Closed => true,
            Cause::Io(error) => error.kind() != io::ErrorKind::TimedOut,
            Cause::Head(_) | Cause::Timeout(_) => false,
        };
        is_lost && !self.response_started
    }
}

#[derive(Debug)]
pub(crate) enum Cause {
    Io(io::Error),
    /// The peer closed the connection before the end of the response head.
    Closed,
    Head(String),
    Timeout(&'static str),
}

impl From<io::Error> for Cause {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The head of a response, and the state of its connection.
#[derive(Debug)]
pub(crate) struct ExchangeResponse {
    pub(crate) head: ResponseHead,
    /// Whether the connection can be reused after the response body.
    pub(crate) reusable: bool,
    /// Error with which the connection failed while the request was being written.
    pub(crate) write_error: Option<io::Error>,
}

/// Writes `request` and reads the head of the response. When the peer responds before it has read the complete request,
/// the rest of the request is not written.
pub(crate) async fn exchange(
    stream: &mut BufferedStream,
    request: Request,
    target: Option<&RequestTarget>,
    limits: &Limits,
) -> Result<ExchangeResponse, ExchangeError> {
    let received_before = stream.received_bytes();
    let written = AtomicBool::new(false);
    let result = write_and_read(stream, request, target, limits, &written).await;
    result.map_err(|cause| ExchangeError {
        written: written.load(Ordering::Relaxed),
        response_started: stream.received_bytes() > received_before,
        cause,
    })
}

async fn write_and_read(
    stream: &mut BufferedStream,
    request: Request,
    target: Option<&RequestTarget>,
    limits: &Limits,
    written: &AtomicBool,
) -> Result<ExchangeResponse, Cause> {
    let method = request.method();
    let stall_timeout = limits.body_timeout_ms.as_std();
    let write = write_request(stream.socket(), request, target, stall_timeout, written);
    let read = read_head(stream, limits, method);
    pin_mut!(write, read);
    match select(write, read).await {
        Either::Left((Ok(()), read)) => {
            let timed_out = |_| Cause::Timeout("no response within the response timeout");
            let head = timeout(limits.answer_timeout_ms.as_std(), read)
                .await
                .map_err(timed_out)??;
            Ok(ExchangeResponse {
                reusable: head.keep_alive,
                head,
                write_error: None,
            })
        }
        Either::Left((Err(WriteError::Body(error)), _)) => Err(Cause::Io(error)),
        Either::Left((Err(WriteError::Socket(error)), read)) => {
            // A peer that rejects a request may close its side while the request is still being written. A response
            // can therefore be readable although the write failed.
            let response = timeout(limits.head_timeout_ms.as_std(), read).await;
            match response {
                Ok(Ok(head)) => Ok(ExchangeResponse {
                    head,
                    reusable: false,
                    write_error: Some(error),
                }),
                _ => Err(Cause::Io(error)),
            }
        }
        Either::Right((head, _)) => Ok(ExchangeResponse {
            head: head?,
            reusable: false,
            write_error: None,
        }),
    }
}

enum WriteError {
    /// The request body could not be read. The peer waits for the rest of the body and sends no response.
    Body(io::Error),
    Socket(io::Error),
}

async fn write_request(
    mut stream: TcpStream,
    request: Request,
    target: Option<&RequestTarget>,
    stall_timeout: Duration,
    written: &AtomicBool,
) -> Result<(), WriteError> {
    let method = request.method();
    let mut encoder = async_h1::client::Encoder::new(request);
    let mut buffer = vec![0; ENCODE_BUFFER_BYTES];
    let mut target = target;
    loop {
        let amount = encoder.read(&mut buffer).await.map_err(WriteError::Body)?;
        if amount == 0 {
            return Ok(());
        }
        let bytes = match target.take() {
            Some(target) => &with_target(&buffer[..amount], method, target),
            None => &buffer[..amount],
        };
        let on_progress = |_| written.store(true, Ordering::Relaxed);
        let written = write_all(&mut stream, bytes, stall_timeout, on_progress).await;
        written.map_err(WriteError::Socket)?;
    }
}

/// Replaces the request line of an encoded head, because the encoder writes the normalised path of the URL.
fn with_target(head: &[u8], method: Method, target: &RequestTarget) -> Vec<u8> {
    let line_end = head.windows(2).position(|pair| pair == b"\r\n").unwrap_or(0);
    let mut bytes = format!("{method} {} HTTP/1.1", target.as_str()).into_bytes();
    bytes.extend_from_slice(&head[line_end..]);
    bytes
}

/// Reads response heads and skips interim ones. All heads of a response together are limited in size, because a faulty peer
/// may send interim ones without end.
async fn read_head(
    stream: &mut BufferedStream,
    limits: &Limits,
    method: Method,
) -> Result<ResponseHead, Cause> {
    let mut limit_bytes = limits.head_bytes.get() as usize;
    loop {
        if stream.data().is_empty() {
            fill(stream).await?;
        }
        let timed_out = |_| Cause::Timeout("the response head did not arrive within the head timeout");
        let complete = complete_head(stream, limit_bytes, method);
        let head = timeout(limits.head_timeout_ms.as_std(), complete)
            .await
            .map_err(timed_out)??;
        stream.consume(head.size_bytes);
        if !head.is_interim() {
            return Ok(head);
        }
        limit_bytes = limit_bytes.saturating_sub(head.size_bytes);
    }
}

async fn complete_head(
    stream: &mut BufferedStream,
    limit_bytes: usize,
    method: Method,
) -> Result<ResponseHead, Cause> {
    loop {
        let parsed = parse_response(stream.data(), limit_bytes, method);
        if let Some(head) = parsed.map_err(|error| Cause::Head(error.to_string()))? {
            return Ok(head);
        }
        fill(stream).await?;
    }
}

async fn fill(stream: &mut BufferedStream) -> Result<(), Cause> {
    match stream.fill().await? {
        0 => Err(Cause::Closed),
        _ => Ok(()),
    }
}
