//! One request and the head of its answer on an open connection.

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
    head::{AnswerHead, RequestTarget, parse_answer},
    stream::{BufferedStream, write_all},
};

/// Bytes of a request that are encoded at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Why an exchange has no answer head.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    /// Whether any byte of the request may have left.
    pub(crate) written: bool,
    /// Whether any byte of an answer arrived.
    pub(crate) answered: bool,
    pub(crate) cause: Cause,
}

impl ExchangeError {
    /// No connection could be opened.
    pub(crate) fn unwritten(source: io::Error) -> Self {
        Self {
            written: false,
            answered: false,
            cause: Cause::Io(source),
        }
    }

    /// Whether the peer had most likely closed the connection before the request reached it. A peer that is late is
    /// not asked again: that would double the time and its work.
    pub(crate) fn is_repeatable(&self) -> bool {
        let is_lost = match &self.cause {
            Cause::Closed => true,
            Cause::Io(error) => error.kind() != io::ErrorKind::TimedOut,
            Cause::Head(_) | Cause::Timeout(_) => false,
        };
        is_lost && !self.answered
    }
}

#[derive(Debug)]
pub(crate) enum Cause {
    Io(io::Error),
    /// The peer closed before the end of the answer head.
    Closed,
    Head(String),
    Timeout(&'static str),
}

impl From<io::Error> for Cause {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The head of an answer, and whether the connection can be used again after its body.
#[derive(Debug)]
pub(crate) struct Exchanged {
    pub(crate) head: AnswerHead,
    pub(crate) reusable: bool,
}

/// Writes `request` and reads the head of the answer. A peer may answer before it has read the whole request; the rest
/// is not written then.
pub(crate) async fn exchange(
    stream: &mut BufferedStream,
    request: Request,
    target: Option<&RequestTarget>,
    limits: &Limits,
) -> Result<Exchanged, ExchangeError> {
    let received_before = stream.received_bytes();
    let written = AtomicBool::new(false);
    let result = write_and_read(stream, request, target, limits, &written).await;
    result.map_err(|cause| ExchangeError {
        written: written.load(Ordering::Relaxed),
        answered: stream.received_bytes() > received_before,
        cause,
    })
}

async fn write_and_read(
    stream: &mut BufferedStream,
    request: Request,
    target: Option<&RequestTarget>,
    limits: &Limits,
    written: &AtomicBool,
) -> Result<Exchanged, Cause> {
    let method = request.method();
    let stall_timeout = limits.body_timeout_ms.as_std();
    let write = write_request(stream.socket(), request, target, stall_timeout, written);
    let read = read_head(stream, limits, method);
    pin_mut!(write, read);
    match select(write, read).await {
        Either::Left((Ok(()), read)) => {
            let late = |_| Cause::Timeout("no answer within the answer timeout");
            let head = timeout(limits.answer_timeout_ms.as_std(), read)
                .await
                .map_err(late)??;
            let reusable = head.keep_alive;
            Ok(Exchanged { head, reusable })
        }
        Either::Left((Err(WriteError::Body(error)), _)) => Err(Cause::Io(error)),
        Either::Left((Err(WriteError::Socket(error)), read)) => {
            // A peer that refuses a request closes its side while the request is still being written, so the answer
            // may be there although the write failed.
            let answer = timeout(limits.head_timeout_ms.as_std(), read).await;
            let head = answer.ok().and_then(Result::ok).ok_or(Cause::Io(error))?;
            Ok(Exchanged {
                head,
                reusable: false,
            })
        }
        Either::Right((head, _)) => Ok(Exchanged {
            head: head?,
            reusable: false,
        }),
    }
}

enum WriteError {
    /// The body of the request failed; the peer waits for the rest and will not answer.
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
    let mut piece = vec![0; PIECE_BYTES];
    let mut target = target;
    loop {
        let amount = encoder.read(&mut piece).await.map_err(WriteError::Body)?;
        if amount == 0 {
            return Ok(());
        }
        let bytes = match target.take() {
            Some(target) => &with_target(&piece[..amount], method, target),
            None => &piece[..amount],
        };
        let on_progress = || written.store(true, Ordering::Relaxed);
        let written = write_all(&mut stream, bytes, stall_timeout, on_progress).await;
        written.map_err(WriteError::Socket)?;
    }
}

/// The head with its first line replaced: the encoder writes the path of the URL, which is normalised.
fn with_target(head: &[u8], method: Method, target: &RequestTarget) -> Vec<u8> {
    let line_end = head.windows(2).position(|pair| pair == b"\r\n").unwrap_or(0);
    let mut bytes = format!("{method} {} HTTP/1.1", target.as_str()).into_bytes();
    bytes.extend_from_slice(&head[line_end..]);
    bytes
}

/// Reads heads until one is final.
async fn read_head(
    stream: &mut BufferedStream,
    limits: &Limits,
    method: Method,
) -> Result<AnswerHead, Cause> {
    loop {
        if stream.data().is_empty() {
            fill(stream).await?;
        }
        let late = |_| Cause::Timeout("the answer head did not arrive within the head timeout");
        let complete = complete_head(stream, limits.head_bytes.get() as usize, method);
        let head = timeout(limits.head_timeout_ms.as_std(), complete)
            .await
            .map_err(late)??;
        stream.consume(head.size_bytes);
        if !head.is_interim() {
            return Ok(head);
        }
    }
}

async fn complete_head(
    stream: &mut BufferedStream,
    limit_bytes: usize,
    method: Method,
) -> Result<AnswerHead, Cause> {
    loop {
        let parsed = parse_answer(stream.data(), limit_bytes, method);
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
