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
use jm_types::{LogEvent, ResultCode};

use crate::{
    Connection, Handler, Limits, SharedLimits,
    framing::{BodyDecoder, BodyError, BodyStep, Framing},
    head::{Refusal, RequestHead, parse_request},
    response::{AfterResponse, error_response, prepare_response, write_response},
    stream::{BufferedStream, write_all},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum time for discarding bytes that the peer sends after the last response. Closing a socket with unread bytes
/// resets the connection, and the peer could lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) struct ServerConnection {
    stream: BufferedStream,
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
        handler: Arc<dyn Handler>,
        stopping: Receiver<Infallible>,
    ) -> Self {
        Self {
            stream,
            connection,
            limits,
            handler,
            stopping,
            requests_served: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        while self.wait_for_request().await {
            let after = match self.read_request().await {
                Ok((request, after)) => self.respond(request, after).await,
                Err(refusal) => {
                    let stall_timeout = self.limits.get().body_timeout_ms.as_std();
                    refuse(&mut self.stream, self.connection.peer, refusal, stall_timeout).await;
                    AfterResponse::Close
                }
            };
            if after == AfterResponse::Close {
                return;
            }
            self.requests_served += 1;
        }
    }

    /// Waits for the first byte of a request. Returns false when the connection must be closed instead.
    async fn wait_for_request(&mut self) -> bool {
        if !self.stream.data().is_empty() {
            return true;
        }
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
        let body = self.read_body(head.framing).await?;
        let mut request = head.request;
        // These headers described the transfer of the body, which has been received completely.
        for name in ["expect", "transfer-encoding"] {
            request.remove_header(name);
        }
        set_request_body(&mut request, body);
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
            if matches!(self.stream.fill().await, Ok(0) | Err(_)) {
                return Err(Refusal::new(
                    ResultCode::MalformedRequest,
                    "the connection ended within the head",
                ));
            }
        }
    }

    fn check_length(&self, framing: Framing) -> Result<(), Refusal> {
        match framing {
            Framing::Length(length) => self.check_size(length),
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
        let written = write_all(&mut self.stream.socket(), CONTINUE, stall_timeout, || {}).await;
        written.map_err(|error| Refusal::new(ResultCode::CutBody, error))
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Vec<u8>, Refusal> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        loop {
            match decoder.step(self.stream.data()).map_err(body_refusal)? {
                BodyStep::Done => return Ok(body),
                BodyStep::Skip(amount) => self.stream.consume(amount),
                BodyStep::Data(amount) => {
                    self.check_size((body.len() + amount) as u64)?;
                    body.extend_from_slice(&self.stream.data()[..amount]);
                    self.stream.consume(amount);
                }
                BodyStep::NeedMore => self.read_piece().await?,
            }
        }
    }

    async fn read_piece(&mut self) -> Result<(), Refusal> {
        let time = self.limits.get().body_timeout_ms;
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
        let written = write_response(self.stream.socket(), response, method, stall_timeout);
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
        BodyError::Truncated => ResultCode::CutBody,
        BodyError::BadChunk { .. } => ResultCode::MalformedRequest,
    };
    Refusal::new(code, error)
}

fn set_request_body(request: &mut Request, body: Vec<u8>) {
    let has_type = request.header("content-type").is_some();
    request.set_body(body);
    if !has_type {
        request.remove_header("content-type");
    }
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
    LogEvent::RequestRefused.write(format!("{code} {peer:?}: {message}"));
    let response = prepare_response(error_response(code, &message), Method::Get, AfterResponse::Close);
    let written = write_response(stream.socket(), response, Method::Get, stall_timeout).await;
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
