//! One connection of the server: reads whole requests, calls the handler, writes answers.

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
    answer::{After, checked, error_response, write_answer},
    framing::{BodyDecoder, BodyError, BodyStep, Framing},
    head::{Refusal, RequestHead, parse_request},
    stream::{BufferedStream, write_all},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long a peer may go on sending after the last answer. Closing a socket with unread bytes resets the connection, and the peer
/// could lose the answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);
pub(crate) struct ServerConnection {
    stream: BufferedStream,
    connection: Connection,
    limits: SharedLimits,
    handler: Arc<dyn Handler>,
    stopping: Receiver<Infallible>,
    served: u64,
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
            served: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        while self.wait_for_request().await {
            let after = match self.read_request().await {
                Ok((request, after)) => self.answer(request, after).await,
                Err(refusal) => {
                    let stall_timeout = self.limits.get().body_timeout_ms.as_std();
                    refuse(&mut self.stream, self.connection.peer, refusal, stall_timeout).await;
                    After::Close
                }
            };
            if after == After::Close {
                return;
            }
            self.served += 1;
        }
    }

    /// Waits for the first byte of a request; false when the connection is to be closed instead.
    async fn wait_for_request(&mut self) -> bool {
        if !self.stream.data().is_empty() {
            return true;
        }
        let idle = timeout(self.limits.get().idle_timeout_ms.as_std(), self.stream.fill()).boxed();
        if let Either::Left((read, _)) = select(idle, self.stopping.recv().boxed()).await {
            return matches!(read, Ok(Ok(1..)));
        }
        // A peer that has just connected has most likely written its request already; closing would leave the outcome
        // of that request open.
        let last_wait = match self.served {
            0 => self.limits.get().head_timeout_ms.as_std(),
            _ => Duration::ZERO,
        };
        matches!(timeout(last_wait, self.stream.fill()).await, Ok(Ok(1..)))
    }

    async fn read_request(&mut self) -> Result<(Request, After), Refusal> {
        let time = self.limits.get().head_timeout_ms;
        let late = |_| {
            let message = format!("the head did not arrive within {time}");
            Refusal::new(ResultCode::RequestTimeout, message)
        };
        let head = timeout(time.as_std(), self.read_head()).await.map_err(late)??;
        self.stream.consume(head.size_bytes);
        self.check_length(head.framing)?;
        if head.expects_continue && head.framing != Framing::Length(0) && self.stream.data().is_empty() {
            self.write_continue().await?;
        }
        let body = self.read_body(head.framing).await?;
        let mut request = head.request;
        // The body has arrived whole; what described its transfer no longer applies.
        for name in ["expect", "transfer-encoding"] {
            request.remove_header(name);
        }
        set_request_body(&mut request, body);
        request.set_peer_addr(self.connection.peer);
        let after = match head.keep_alive {
            true => After::KeepAlive,
            false => After::Close,
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
                return Err(Refusal::new(ResultCode::MalformedRequest, "the head was cut"));
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
            Ok(_) => Err(body_refusal(BodyError::Cut)),
            Err(_) => Err(Refusal::new(
                ResultCode::RequestTimeout,
                format!("no byte of the body arrived within {time}"),
            )),
        }
    }

    /// Runs the handler and writes its answer, unless the peer closes first.
    async fn answer(&mut self, request: Request, after: After) -> After {
        let method = request.method();
        let limit_bytes = self.limits.get().head_bytes.get() as usize;
        let limits = self.limits.get();
        let answered = handle(&*self.handler, request, &self.connection, &limits);
        let Some(response) = unless_closed(answered, &mut self.stream, limit_bytes).await else {
            LogEvent::ConnectionFailed.write(format!(
                "{:?} disconnected before its answer",
                self.connection.peer
            ));
            return After::Close;
        };
        let after = match self.stopping.is_closed() {
            true => After::Close,
            false => after,
        };
        let stall_timeout = self.limits.get().body_timeout_ms.as_std();
        let response = checked(response, method, after);
        let written = write_answer(self.stream.socket(), response, method, stall_timeout);
        match unless_closed(written, &mut self.stream, limit_bytes).await {
            Some(Ok(())) if after == After::Close => {
                close(&mut self.stream).await;
                After::Close
            }
            Some(Ok(())) => After::KeepAlive,
            Some(Err(error)) => self.answer_cut(&error),
            None => self.answer_cut(&io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// A cut answer has no last chunk or lacks bytes of its length; closing tells the peer that it is not whole.
    fn answer_cut(&self, error: &io::Error) -> After {
        LogEvent::ConnectionFailed.write(format!("answer to {:?} was cut: {error}", self.connection.peer));
        After::Close
    }
}

/// The result of `work`, or `None` when the peer closes first; `work` is dropped then.
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
        Err(_) => error_response(ResultCode::AnswerTimeout, &format!("no answer within {time}")),
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    let code = match error {
        BodyError::Cut => ResultCode::CutBody,
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

/// Answers with an error, then closes once the peer has read it or its time is over.
pub(crate) async fn refuse(
    stream: &mut BufferedStream,
    peer: Option<SocketAddr>,
    refusal: Refusal,
    stall_timeout: Duration,
) {
    let Refusal { code, message } = refusal;
    LogEvent::RequestRefused.write(format!("{code} {peer:?}: {message}"));
    let response = checked(error_response(code, &message), Method::Get, After::Close);
    let written = write_answer(stream.socket(), response, Method::Get, stall_timeout).await;
    if written.is_ok() {
        close(stream).await;
    }
}

/// Closes after a whole answer. The peer may still be sending, and would lose the answer to a reset.
async fn close(stream: &mut BufferedStream) {
    if stream.socket().shutdown(Shutdown::Write).is_ok() {
        let _ = timeout(DISCARD_TIME, stream.discard()).await;
    }
}
