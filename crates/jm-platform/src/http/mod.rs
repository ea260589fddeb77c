//! Client of the platform's HTTP API.

mod objects;
mod resources;

use std::{
    net::SocketAddr,
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
};

use jm_http::{Client, Limits, Method, Request, Response, StatusCode, Url};
use jm_types::{ByteSize, DurationMs};

use crate::ReadError;

/// Maximum wait time of one watch. Longer wait times are reduced to this value.
pub const MAX_WATCH_WAIT_MS: DurationMs = DurationMs::new(30_000);

/// Maximum size of a response body. Weights and a listing of the configuration log between two snapshots are far larger
/// than a single value.
const MAX_RESPONSE_BYTES: ByteSize = ByteSize::new(1_000_000_000);

/// Client of the platform at one address. It does not retry failed calls, because only the caller can decide whether a
/// retry is safe.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client,
    /// Client with a longer response timeout, for watches.
    watch_client: Client,
    calls: AtomicU64,
}

/// A response of the platform whose body was read in full.
struct ApiResponse {
    head: Response,
    body: Vec<u8>,
}

/// Reason why there is no usable response.
struct Failure {
    /// Whether the platform may have applied the request.
    may_be_applied: bool,
    reason: String,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`. `limits` applies except for `body_bytes`, which is replaced by
    /// the maximum response size of the platform.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        let limits = Limits {
            body_bytes: MAX_RESPONSE_BYTES,
            ..limits
        };
        let answer_timeout_ms = limits.answer_timeout_ms.saturating_add(MAX_WATCH_WAIT_MS);
        let watch_limits = Limits {
            answer_timeout_ms,
            ..limits.clone()
        };
        Self {
            address,
            client: Client::new(limits),
            watch_client: Client::new(watch_limits),
            calls: AtomicU64::new(0),
        }
    }

    /// Returns the number of calls so far, including failed ones. A waiting watch is one call. Calls that the client
    /// rejects before sending, for example because a value is too large, do not count.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, Failure> {
        let text = format!("http://{}{path}", self.address);
        let url = Url::parse(&text).map_err(|error| Failure {
            may_be_applied: false,
            reason: format!("{text:?} is not a valid URL: {error}"),
        })?;
        Ok(Request::new(method, url))
    }

    async fn send(&self, request: Request) -> Result<ApiResponse, Failure> {
        self.send_with(&self.client, request).await
    }

    async fn send_with(&self, client: &Client, request: Request) -> Result<ApiResponse, Failure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut head = client.send(request).await.map_err(|error| Failure {
            may_be_applied: error.request_written(),
            reason: error.to_string(),
        })?;
        let body = client.read_body(&mut head).await.map_err(|error| Failure {
            may_be_applied: true,
            reason: format!("the response is incomplete: {error}"),
        })?;
        let response = ApiResponse { head, body };
        match response.head.status() {
            StatusCode::ServiceUnavailable => Err(response.unavailable()),
            _ => Ok(response),
        }
    }
}

impl ApiResponse {
    fn status(&self) -> StatusCode {
        self.head.status()
    }

    fn header<T: FromStr>(&self, name: &str) -> Option<T> {
        self.head.header(name)?.as_str().parse().ok()
    }

    /// Failure for a response with status 503, by which the platform reports that it did not apply the request.
    fn unavailable(&self) -> Failure {
        Failure {
            may_be_applied: false,
            reason: "status 503".to_owned(),
        }
    }

    /// Failure for a response that the API does not define. The request may have been applied.
    fn unexpected(&self) -> Failure {
        Failure {
            may_be_applied: true,
            reason: format!("unexpected response with status {}", self.status()),
        }
    }
}

impl From<Failure> for ReadError {
    fn from(failure: Failure) -> Self {
        Self::ReadUnavailable {
            reason: failure.reason,
        }
    }
}
