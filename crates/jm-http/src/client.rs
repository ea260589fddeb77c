//! HTTP client: sends one request at a time per connection, reuses connections and detects incomplete responses.

use std::sync::Arc;

use async_std::io;
use http_types::{Body, Method, Request, Response};
use jm_types::{DurationMs, LogEvent};
use snafu::Snafu;

use crate::{
    BufferBudget, Limits, SharedBytes,
    exchange::{Cause, ExchangeError, ExchangeResponse, exchange},
    head::RequestTarget,
    pool::{ClientConnection, Pool},
    read_body::{BodyShares, read_body_to_end, read_body_within},
    response::set_body,
    response_body::response_body,
    shared_bytes::OutgoingBody,
    validate::{FRAMING_HEADERS, invalid_header, length_checked_body},
};

/// Maximum time for which a response body waits for memory of the process. Stalled connections are rejected after 1 s.
const MEMORY_WAIT_MS: DurationMs = DurationMs::new(2_000);

/// Reason why a request failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be opened, or it failed before the first byte was sent. Nothing was written.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: String,
        /// Error of the socket call.
        source: io::Error,
    },
    /// The request cannot be encoded as valid HTTP. Nothing was written.
    #[snafu(display("the request is not valid: {reason}"))]
    InvalidRequest {
        /// Why the request cannot be encoded, as text.
        reason: String,
    },
    /// The request may have been written, and the response is missing or invalid.
    #[snafu(display("no valid response from {address}: {reason}"))]
    InvalidResponse {
        /// Address of the peer.
        address: String,
        /// Why there is no valid response, as text.
        reason: String,
    },
    /// The request may have been written, and the response did not arrive in time.
    #[snafu(display("timed out waiting for a response from {address}: {reason}"))]
    ResponseTimeout {
        /// Address of the peer.
        address: String,
        /// The timeout that passed.
        reason: String,
    },
}

impl ClientError {
    /// Whether any byte of the request may have reached the peer. If not, a retry cannot run the request twice.
    pub fn request_written(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::InvalidRequest { .. } => false,
            Self::InvalidResponse { .. } | Self::ResponseTimeout { .. } => true,
        }
    }
}

/// Selects the connection that carries a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Opens a new connection, so that the request reaches the peer at most once.
    Fresh,
    /// Uses an idle connection if there is one. When that connection ends before the first byte of a response, the
    /// request is retried once on a new connection. The request must therefore be idempotent.
    Pooled,
}

/// An HTTP client. Clones share one connection pool and one limit on the memory of buffered bodies.
#[derive(Debug, Clone)]
pub struct Client {
    limits: Limits,
    pool: Arc<Pool>,
    buffers: BufferBudget,
    process_buffers: Option<BufferBudget>,
}

impl Client {
    /// Creates a client that applies `limits` to connections and responses.
    pub fn new(limits: Limits) -> Self {
        let pool = Arc::new(Pool::new(&limits));
        let buffers = BufferBudget::new(limits.buffered_bytes);
        Self {
            limits,
            pool,
            buffers,
            process_buffers: None,
        }
    }

    /// Counts the bodies that this client reads towards the memory budget of the process as well.
    #[must_use]
    pub fn with_budget(self, budget: BufferBudget) -> Self {
        Self {
            process_buffers: Some(budget),
            ..self
        }
    }

    /// Sends one request to the address in its URL and returns the response once its head has arrived.
    ///
    /// The response body is complete when it is read to its end without an error. The error has the kind
    /// `UnexpectedEof` for a truncated body, `InvalidData` for an invalid chunk and `TimedOut` when the peer stalls.
    ///
    /// The peer may close a pooled connection while a request is being written to it. Only requests with a safe method
    /// use a pooled connection, because they may run twice. They are retried once on a new connection when the pooled
    /// one ends before the first byte of a response. `PUT` and `DELETE` are excluded: conditional ones are not
    /// idempotent, and a retried conditional `DELETE` whose first attempt took effect was reported as not applied.
    pub async fn send(&self, request: Request) -> Result<Response, ClientError> {
        let prepared = PreparedRequest::new(request, &self.limits).await?;
        let pooled = match prepared.is_safe() {
            true => self.pooled(&prepared),
            false => None,
        };
        self.send_prepared(prepared, pooled).await
    }

    /// Sends one request to `address` instead of the address in its URL. The URL provides only the `host` header and
    /// the path. A [`RequestTarget`] in the extensions of the request replaces the path of the URL.
    pub async fn send_to(
        &self,
        address: impl Into<String>,
        request: Request,
        reuse: Reuse,
    ) -> Result<Response, ClientError> {
        let mut prepared = PreparedRequest::new(request, &self.limits).await?;
        prepared.address = address.into();
        let pooled = match reuse {
            Reuse::Pooled => self.pooled(&prepared),
            Reuse::Fresh => None,
        };
        self.send_prepared(prepared, pooled).await
    }

    /// Reads the whole body of a response of this client.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds the size limit of the client, with [`io::ErrorKind::QuotaExceeded`] when all bodies that
    /// are being read exceed [`Limits::buffered_bytes`] or the budget of the process, and with the error of the body when it is
    /// incomplete.
    pub async fn read_body(&self, response: &mut Response) -> io::Result<Vec<u8>> {
        let process = self.process_buffers.as_ref();
        let shares = BodyShares {
            client: self.buffers.share(),
            process: process.map(|budget| (budget.response_share(), MEMORY_WAIT_MS)),
        };
        read_body_within(response.take_body(), self.limits.body_bytes, &shares).await
    }

    /// Sends a request that must run at most once, regardless of its method. It uses a new connection and is never
    /// retried.
    pub async fn send_once(&self, request: Request) -> Result<Response, ClientError> {
        let prepared = PreparedRequest::new(request, &self.limits).await?;
        self.send_prepared(prepared, None).await
    }

    async fn send_prepared(
        &self,
        mut prepared: PreparedRequest,
        pooled: Option<(ClientConnection, Request)>,
    ) -> Result<Response, ClientError> {
        if let Some((connection, request)) = pooled {
            match self.exchange(connection, request, &prepared).await {
                Err(error) if error.is_repeatable() => prepared.written |= error.written,
                result => return result.map_err(|error| prepared.error(error)),
            }
        }
        let opened = self.pool.open(&prepared.address).await;
        let connection = opened.map_err(|source| prepared.error(ExchangeError::unwritten(source)))?;
        let request = prepared.take_request();
        let result = self.exchange(connection, request, &prepared).await;
        result.map_err(|error| prepared.error(error))
    }

    fn pooled(&self, prepared: &PreparedRequest) -> Option<(ClientConnection, Request)> {
        let request = prepared.repeatable_request()?;
        let connection = self.pool.take(&prepared.address)?;
        Some((connection, request))
    }

    async fn exchange(
        &self,
        mut connection: ClientConnection,
        request: Request,
        prepared: &PreparedRequest,
    ) -> Result<Response, ExchangeError> {
        let target = prepared.target.as_ref();
        let ExchangeResponse {
            head,
            reusable,
            write_error,
        } = exchange(&mut connection.stream, request, target, &self.limits).await?;
        let mut framing = head.framing;
        if let Some(error) = write_error {
            framing = framing.after_write_error();
            LogEvent::ConnectionFailed.write(format!(
                "{} responded, and the connection failed while the request was being written: {error}",
                prepared.address
            ));
        }
        connection.set_idle_timeout(head.idle_timeout);
        let reuse_pool = reusable.then(|| (Arc::clone(&self.pool), prepared.address.clone()));
        let piece_timeout = self.limits.body_timeout_ms.as_std();
        let mut response = head.response;
        let body = response_body(connection, framing, piece_timeout, reuse_pool);
        set_body(&mut response, body);
        Ok(response)
    }
}

/// A validated request.
struct PreparedRequest {
    address: String,
    target: Option<RequestTarget>,
    /// The request without its body.
    head: Request,
    body: RequestBody,
    /// Whether any byte may have been sent by an earlier attempt.
    written: bool,
}

enum RequestBody {
    Buffered(SharedBytes),
    Stream(Body),
}

impl PreparedRequest {
    async fn new(mut request: Request, limits: &Limits) -> Result<Self, ClientError> {
        let address = address(&request)?;
        check_headers(&request)?;
        for name in FRAMING_HEADERS.into_iter().chain(["expect", "host"]) {
            request.remove_header(name);
        }
        let target = request.ext().get::<RequestTarget>().cloned();
        if let Some(OutgoingBody(body)) = request.ext_mut().remove() {
            return Ok(Self {
                address,
                target,
                head: request,
                body: RequestBody::Buffered(body),
                written: false,
            });
        }
        let body = length_checked_body(request.take_body());
        let is_small = body
            .len()
            .is_some_and(|length| length as u64 <= limits.body_bytes.get());
        let body = match is_small {
            true => RequestBody::Buffered(read_body(body, limits).await?.into()),
            false => RequestBody::Stream(body),
        };
        Ok(Self {
            address,
            target,
            head: request,
            body,
            written: false,
        })
    }

    fn is_safe(&self) -> bool {
        let safe = [Method::Get, Method::Head, Method::Options, Method::Trace];
        safe.contains(&self.head.method())
    }

    fn repeatable_request(&self) -> Option<Request> {
        match &self.body {
            RequestBody::Buffered(body) => Some(self.with_body(body.to_body())),
            RequestBody::Stream(_) => None,
        }
    }

    fn take_request(&mut self) -> Request {
        let body = match std::mem::replace(&mut self.body, RequestBody::Buffered(Vec::new().into())) {
            RequestBody::Buffered(body) => body.to_body(),
            RequestBody::Stream(body) => body,
        };
        self.with_body(body)
    }

    fn with_body(&self, body: Body) -> Request {
        let mut request = self.head.clone();
        request.set_body(body);
        if self.head.header("content-type").is_none() {
            request.remove_header("content-type");
        }
        request
    }

    fn error(&self, error: ExchangeError) -> ClientError {
        let address = self.address.clone();
        let written = self.written || error.written;
        match error.cause {
            Cause::Timeout(reason) if written => ClientError::ResponseTimeout {
                address,
                reason: reason.to_owned(),
            },
            cause if written => ClientError::InvalidResponse {
                address,
                reason: cause.reason(),
            },
            Cause::Io(source) => ClientError::Connect { address, source },
            cause => ClientError::Connect {
                address,
                source: io::Error::other(cause.reason()),
            },
        }
    }
}

impl Cause {
    fn reason(&self) -> String {
        match self {
            Self::Io(error) => error.to_string(),
            Self::Closed => "the connection closed before the end of the response head".to_owned(),
            Self::Head(reason) => reason.clone(),
            Self::Timeout(reason) => (*reason).to_owned(),
        }
    }
}

async fn read_body(body: Body, limits: &Limits) -> Result<Vec<u8>, ClientError> {
    let read = read_body_to_end(body, limits.body_bytes).await;
    read.or_else(|error| invalid(format!("the body cannot be read: {error}")))
}

fn address(request: &Request) -> Result<String, ClientError> {
    let url = request.url();
    if url.scheme() != "http" {
        return invalid("only http is supported");
    }
    let Some(host) = url.host_str() else {
        return invalid("the URL has no host");
    };
    Ok(format!("{host}:{}", url.port_or_known_default().unwrap_or(80)))
}

fn check_headers(request: &Request) -> Result<(), ClientError> {
    if let Some(name) = invalid_header(request.as_ref()) {
        return invalid(format!("header {name:?} has an invalid name or value"));
    }
    let authorization = request
        .header("authorization")
        .map_or(0, |values| values.iter().count());
    if authorization > 1 {
        return invalid("the authorization header occurs more than once");
    }
    Ok(())
}

fn invalid<T>(reason: impl Into<String>) -> Result<T, ClientError> {
    let reason = reason.into();
    InvalidRequestSnafu { reason }.fail()
}
