//! One server connection: reads complete requests, calls the handler and writes responses.

use std::{
    convert::Infallible, net::Shutdown, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration,
};

use async_std::{channel::Receiver, future::timeout, io};
use futures::{
    FutureExt,
    future::{Either, select},
    pin_mut,
};
use http_types::{Method, Request, Response};
use jm_types::{DurationMs, LogEvent, ResultCode};

use crate::{
    BufferShare, Connection, Handler, Limits, SharedBytes, SharedLimits,
    framing::{BodyDecoder, BodyError, BodyStep, Framing},
    head::{Refusal, RequestHead, parse_request},
    read_body::next_capacity,
    rejection::{Phase, SMALL_BYTES},
    response::{AfterResponse, error_response, prepare_response, write_response},
    stream::{BufferedStream, write_all},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum time for discarding bytes that the peer sends after the last response. Closing a socket with unread bytes
/// resets the connection, and the peer could lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Memory that a connection uses apart from its buffers, most of it the state of its task. 800 idle connections took
/// 7,116 bytes each before their first request and 8,509 bytes after it.
const CONNECTION_BYTES: u64 = 8 * 1024;
/// Maximum time for which a body that arrives waits for memory. Stalled connections are rejected after 1 s.
const MEMORY_WAIT_MS: DurationMs = DurationMs::new(2_000);
/// `Retry-After` of a request that was rejected for lack of memory, in seconds. By then, the connections that stalled
/// while it waited have been rejected.
const MEMORY_RETRY_AFTER_S: &str = "1";

pub(crate) struct ServerConnection {
    stream: BufferedStream,
    share: BufferShare,
    connection: Connection,
    limits: SharedLimits,
    handler: Arc<dyn Handler>,
    stopping: Receiver<Infallible>,
    requests_served: u64,
}

impl ServerConnection {
    pub(crate) fn new(
        stream: BufferedStream,
        connection: Connection,
        limits: SharedLimits,
        share: BufferShare,
        handler: Arc<dyn Handler>,
        stopping: Receiver<Infallible>,
    ) -> Self {
        Self {
            stream,
            share,
            connection,
            limits,
            handler,
            stopping,
            requests_served: 0,
        }
    }

    /// Serves requests until the connection ends or is rejected because the buffers of the process exceed their
    /// budget. A rejected request whose body has not arrived is refused as not run. In all other cases, the connection
    /// is closed.
    pub(crate) async fn run(mut self) {
        let rejection = self.share.rejection();
        let is_rejected = {
            let serve = self.serve();
            pin_mut!(serve, rejection);
            matches!(select(serve, rejection).await, Either::Right(_))
        };
        if is_rejected && self.share.phase() == Phase::Receiving {
            self.refuse(memory_refusal()).await;
        }
    }

    async fn serve(&mut self) {
        while self.share.begin(Phase::Waiting) && self.wait_for_request().await {
            let after = match self.read_request().await {
                Ok((request, after)) => self.respond(request, after).await,
                Err(refusal) => {
                    self.refuse(refusal).await;
                    AfterResponse::Close
                }
            };
            if after == AfterResponse::Close {
                return;
            }
            self.requests_served += 1;
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        // The body has been dropped, and what has arrived of it is not needed either.
        self.stream.consume(self.stream.data().len());
        self.stream.release_buffer();
        self.count_buffers(0);
        let stall_timeout = self.limits.get().body_timeout_ms.as_std();
        refuse(&mut self.stream, self.connection.peer, refusal, stall_timeout).await;
    }

    /// Counts the buffers of the connection, with `extra_bytes` for a body.
    fn count_buffers(&self, extra_bytes: u64) {
        self.share
            .set(CONNECTION_BYTES + self.stream.buffer_bytes() as u64 + extra_bytes);
    }

    /// Waits for the first byte of a request. Returns false when the connection must be closed instead.
    async fn wait_for_request(&mut self) -> bool {
        if !self.stream.data().is_empty() {
            return true;
        }
        self.stream.release_buffer();
        self.count_buffers(0);
        let idle = timeout(self.limits.get().idle_timeout_ms.as_std(), self.stream.fill()).boxed();
        if let Either::Left((read, _)) = select(idle, self.stopping.recv().boxed()).await {
            return matches!(read, Ok(Ok(1..)));
        }
        // A peer that has just connected has most likely written its request already. If the connection closed now, the
        // peer could not determine the outcome of that request.
        let last_wait = match self.requests_served {
            0 => self.limits.get().head_timeout_ms.as_std(),
            _ => Duration::ZERO,
        };
        matches!(timeout(last_wait, self.stream.fill()).await, Ok(Ok(1..)))
    }

    async fn read_request(&mut self) -> Result<(Request, AfterResponse), Refusal> {
        let time = self.limits.get().head_timeout_ms;
        let timed_out = |_| {
            let message = format!("the head did not arrive within {time}");
            Refusal::new(ResultCode::RequestTimeout, message)
        };
        let head = timeout(time.as_std(), self.read_head())
            .await
            .map_err(timed_out)??;
        self.stream.consume(head.size_bytes);
        self.check_length(head.framing)?;
        if head.expects_continue && head.framing != Framing::Length(0) && self.stream.data().is_empty() {
            self.write_continue().await?;
        }
        if !self.share.begin(Phase::Receiving) {
            return Err(memory_refusal());
        }
        if let Framing::Length(length) = head.framing {
            self.share.declare(length);
        }
        let body = self.read_body(head.framing).await?;
        if !self.share.begin(Phase::Running) {
            return Err(memory_refusal());
        }
        let body_share =
            (body.capacity() as u64 > SMALL_BYTES).then(|| self.share.split(body.capacity() as u64));
        let mut request = head.request;
        // These headers described the transfer of the body, which has been received completely.
        for name in ["expect", "transfer-encoding"] {
            request.remove_header(name);
        }
        SharedBytes::new(body, body_share).set_as_received(&mut request);
        request.set_peer_addr(self.connection.peer);
        let after = match head.keep_alive {
            true => AfterResponse::KeepAlive,
            false => AfterResponse::Close,
        };
        Ok((request, after))
    }

    async fn read_head(&mut self) -> Result<RequestHead, Refusal> {
        let limit_bytes = self.limits.get().head_bytes.get() as usize;
        loop {
            if let Some(head) = parse_request(self.stream.data(), limit_bytes)? {
                return Ok(head);
            }
            match self.stream.fill().await {
                Ok(0) | Err(_) => {
                    return Err(Refusal::new(
                        ResultCode::MalformedRequest,
                        "the connection ended within the head",
                    ));
                }
                Ok(amount) => self.share.progressed(amount),
            }
            self.count_buffers(0);
        }
    }

    fn check_length(&self, framing: Framing) -> Result<(), Refusal> {
        match framing {
            Framing::Length(length) => {
                self.check_size(length)?;
                // The whole budget cannot hold this body, so the caller need not send it.
                match length > SMALL_BYTES && length > self.share.limit().get() {
                    true => Err(memory_refusal()),
                    false => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn check_size(&self, size_bytes: u64) -> Result<(), Refusal> {
        let limit = self.limits.get().body_bytes;
        if size_bytes > limit.get() {
            let message = format!("the body exceeds {limit}");
            return Err(Refusal::new(ResultCode::BodyTooLarge, message));
        }
        Ok(())
    }

    async fn write_continue(&mut self) -> Result<(), Refusal> {
        let stall_timeout = self.limits.get().body_timeout_ms.as_std();
        let written = write_all(&mut self.stream.socket(), CONTINUE, stall_timeout, |_| {}).await;
        written.map_err(|error| Refusal::new(ResultCode::CutBody, error))
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Vec<u8>, Refusal> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        let max_bytes = match framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::UntilClose | Framing::Unfinished => {
                self.limits.get().body_bytes.get()
            }
        };
        loop {
            match decoder.step(self.stream.data()).map_err(body_refusal)? {
                BodyStep::Done => return Ok(body),
                BodyStep::Skip(amount) => self.stream.consume(amount),
                BodyStep::Data(amount) => {
                    let needed_bytes = body.len() + amount;
                    self.check_size(needed_bytes as u64)?;
                    if needed_bytes > body.capacity() {
                        let capacity = next_capacity(body.capacity(), needed_bytes, max_bytes as usize);
                        self.reserve(capacity as u64).await?;
                        body.reserve_exact(capacity - body.len());
                    }
                    body.extend_from_slice(&self.stream.data()[..amount]);
                    self.stream.consume(amount);
                    self.share.progressed(amount);
                }
                BodyStep::NeedMore => self.read_piece().await?,
            }
        }
    }

    /// Counts the buffers of the connection before its body grows to `body_bytes`.
    async fn reserve(&self, body_bytes: u64) -> Result<(), Refusal> {
        let size_bytes = CONNECTION_BYTES + self.stream.buffer_bytes() as u64 + body_bytes;
        let reserved = self.share.grow_to(size_bytes, MEMORY_WAIT_MS).await;
        reserved.map_err(|_| memory_refusal())
    }

    async fn read_piece(&mut self) -> Result<(), Refusal> {
        let time = self.limits.get().body_timeout_ms;
        // A client may pause for long, and the next read may bring a few bytes only.
        self.stream.release_buffer();
        match timeout(time.as_std(), self.stream.fill()).await {
            Ok(Ok(1..)) => Ok(()),
            Ok(_) => Err(body_refusal(BodyError::Truncated)),
            Err(_) => Err(Refusal::new(
                ResultCode::RequestTimeout,
                format!("no data of the body arrived within {time}"),
            )),
        }
    }

    /// Runs the handler and writes its response. Stops early when the peer closes the connection.
    async fn respond(&mut self, request: Request, after: AfterResponse) -> AfterResponse {
        let method = request.method();
        let limit_bytes = self.limits.get().head_bytes.get() as usize;
        let limits = self.limits.get();
        let handled = handle(&*self.handler, request, &self.connection, &limits);
        let Some(response) = unless_closed(handled, &mut self.stream, limit_bytes).await else {
            LogEvent::ConnectionFailed.write(format!(
                "{:?} disconnected before its response",
                self.connection.peer
            ));
            return AfterResponse::Close;
        };
        let after = match self.stopping.is_closed() {
            true => AfterResponse::Close,
            false => after,
        };
        let stall_timeout = self.limits.get().body_timeout_ms.as_std();
        let response = prepare_response(response, method, after);
        self.share.begin(Phase::Sending);
        // A response to `HEAD` declares a length and has no body. A body of unknown length is not in memory.
        let body_bytes = response.len().filter(|_| method != Method::Head);
        self.count_buffers(body_bytes.unwrap_or(0) as u64);
        let on_progress = |amount| self.share.progressed(amount);
        let written = write_response(self.stream.socket(), response, method, stall_timeout, on_progress);
        match unless_closed(written, &mut self.stream, limit_bytes).await {
            Some(Ok(())) if after == AfterResponse::Close => {
                close(&mut self.stream).await;
                AfterResponse::Close
            }
            Some(Ok(())) => AfterResponse::KeepAlive,
            Some(Err(error)) => self.response_truncated(&error),
            None => self.response_truncated(&io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Closes the connection after a truncated response. The peer detects the truncation by the missing last chunk or
    /// the missing bytes of the declared length.
    fn response_truncated(&self, error: &io::Error) -> AfterResponse {
        LogEvent::ConnectionFailed.write(format!(
            "response to {:?} was truncated: {error}",
            self.connection.peer
        ));
        AfterResponse::Close
    }
}

/// Runs `work` until the peer closes the connection. Returns `None` and drops `work` when the peer closes first.
async fn unless_closed<T>(
    work: impl Future<Output = T>,
    stream: &mut BufferedStream,
    limit_bytes: usize,
) -> Option<T> {
    let closed = stream.peer_closed(limit_bytes);
    pin_mut!(work, closed);
    match select(work, closed).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(((), _)) => None,
    }
}

async fn handle(
    handler: &dyn Handler,
    request: Request,
    connection: &Connection,
    limits: &Limits,
) -> Response {
    let time = limits.answer_timeout_ms;
    let work = AssertUnwindSafe(handler.handle(request, connection)).catch_unwind();
    match timeout(time.as_std(), work).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => error_response(ResultCode::Internal, "the handler failed"),
        Err(_) => error_response(ResultCode::AnswerTimeout, &format!("no response within {time}")),
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    let code = match error {
        BodyError::Truncated | BodyError::Unfinished => ResultCode::CutBody,
        BodyError::BadChunk { .. } => ResultCode::MalformedRequest,
    };
    Refusal::new(code, error)
}

fn memory_refusal() -> Refusal {
    Refusal::new(
        ResultCode::BuffersFull,
        "the buffers of this process exceed their budget",
    )
}

/// Sends an error response and closes the connection once the peer has closed its side or [`DISCARD_TIMEOUT`] has
/// passed.
pub(crate) async fn refuse(
    stream: &mut BufferedStream,
    peer: Option<SocketAddr>,
    refusal: Refusal,
    stall_timeout: Duration,
) {
    let Refusal { code, message } = refusal;
    let mut response = error_response(code, &message);
    match code {
        // The budget logs these itself, at most one line a second.
        ResultCode::BuffersFull => drop(response.insert_header("retry-after", MEMORY_RETRY_AFTER_S)),
        _ => LogEvent::RequestRefused.write(format!("{code} {peer:?}: {message}")),
    }
    let response = prepare_response(response, Method::Get, AfterResponse::Close);
    let written = write_response(stream.socket(), response, Method::Get, stall_timeout, |_| {}).await;
    if written.is_ok() {
        close(stream).await;
    }
}

/// Closes the connection after a complete response. Input is discarded first, because a reset could destroy the
/// response while the peer is still sending.
async fn close(stream: &mut BufferedStream) {
    if stream.socket().shutdown(Shutdown::Write).is_ok() {
        let _ = timeout(DISCARD_TIMEOUT, stream.discard()).await;
    }
}
