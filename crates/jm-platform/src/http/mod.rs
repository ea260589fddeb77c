//! Clients of the platform's HTTP API.

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

/// Longest wait of one watch; a longer one is shortened to this.
pub const MAX_WATCH_WAIT_MS: DurationMs = DurationMs::new(30_000);

/// Largest answer that is read. A listing of the configuration log between two snapshots and weights are far larger
/// than one value.
const ANSWER_BYTES: ByteSize = ByteSize::new(1_000_000_000);

/// The platform at one address. Nothing is retried here: the caller knows what a repetition means.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client,
    /// Waits longer for an answer.
    watch_client: Client,
    calls: AtomicU64,
}

/// An answer that was read to its end.
struct Answer {
    head: Response,
    body: Vec<u8>,
}

/// Why there is no answer.
struct Failure {
    /// Whether the platform may have acted on the request.
    may_be_applied: bool,
    reason: String,
}

impl HttpPlatform {
    /// The platform at `address`. Connections keep `limits`, but for the largest answer.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        let limits = Limits {
            body_bytes: ANSWER_BYTES,
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

    /// Number of calls made so far, failed ones included. A waiting watch is one call. Calls that are refused here,
    /// such as one with a value that is too large, do not count.
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

    async fn send(&self, request: Request) -> Result<Answer, Failure> {
        self.send_with(&self.client, request).await
    }

    async fn send_with(&self, client: &Client, request: Request) -> Result<Answer, Failure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut head = client.send(request).await.map_err(|error| Failure {
            may_be_applied: error.request_written(),
            reason: error.to_string(),
        })?;
        let body = head.body_bytes().await.map_err(|error| Failure {
            may_be_applied: true,
            reason: format!("the answer is not whole: {error}"),
        })?;
        let answer = Answer { head, body };
        match answer.head.status() {
            StatusCode::ServiceUnavailable => Err(answer.unavailable()),
            _ => Ok(answer),
        }
    }
}

impl Answer {
    fn status(&self) -> StatusCode {
        self.head.status()
    }

    fn header<T: FromStr>(&self, name: &str) -> Option<T> {
        self.head.header(name)?.as_str().parse().ok()
    }

    /// The failure that an answer with status 503 stands for: the platform says that it did nothing.
    fn unavailable(&self) -> Failure {
        Failure {
            may_be_applied: false,
            reason: "status 503".to_owned(),
        }
    }

    /// The failure that an answer outside the API stands for. Nothing can be said about the effect of the request.
    fn unexpected(&self) -> Failure {
        Failure {
            may_be_applied: true,
            reason: format!("unexpected answer with status {}", self.status()),
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
