//! Plain HTTP service that counts the executions of each request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_std::{io, task};
use async_trait::async_trait;
use jm_http::{Connection, Handler, Request, Response, StatusCode, error_response};
use jm_types::{DurationMs, ResultCode};
use serde::{Deserialize, Serialize};

use crate::{
    fault_plan::FaultPlan,
    notify::lock,
    recording::Recording,
    relay::RelayControl,
    server::{DEFAULT_RECORDED_BYTES, RelayedServer, any_loopback_port, json_response, query_value},
};

/// Header with the request id; it takes precedence over [`REQUEST_ID_FIELD`].
pub const REQUEST_ID_HEADER: &str = "jm-request-id";

/// Field of a JSON body, or parameter of the query string, with the request id.
pub const REQUEST_ID_FIELD: &str = "request_id";

/// Configuration of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Name of the service in each response.
    pub name: String,
    /// Processing time of each request.
    pub processing_time_ms: DurationMs,
    /// Maximum number of received bytes that are recorded, over all connections.
    pub max_recorded_bytes: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            name: "service".to_owned(),
            processing_time_ms: DurationMs::new(0),
            max_recorded_bytes: DEFAULT_RECORDED_BYTES,
        }
    }
}

/// Fault injected into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// The request runs after a delay.
    Slow {
        /// Delay before the request runs.
        delay_ms: DurationMs,
    },
    /// The connection is closed before the request runs.
    CrashBefore,
    /// The connection is closed after the request has run, without a response.
    CrashAfter,
    /// The response is sent with a delay after the request has run.
    Late {
        /// Delay between execution and response.
        delay_ms: DurationMs,
    },
    /// The request runs, and the `content-length` of its response exceeds the size of the body.
    ShortAnswer {
        /// Number of missing bytes, at most the size of the body.
        missing_bytes: usize,
    },
    /// The request runs, and its response has more bytes than its `content-length` states.
    LongAnswer {
        /// Number of additional bytes.
        surplus_bytes: usize,
    },
}

/// Body of each response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Name of the service.
    pub service: String,
    /// The request id, or `None` when the request has none.
    pub request_id: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The request path without the query string.
    pub path: String,
    /// The request body as text, so that a caller can match the response to its request.
    pub echo: String,
}

/// A running plain service. Dropping it closes the listener and all connections.
pub struct PlainService {
    server: RelayedServer,
    state: Arc<ServiceState>,
}

struct ServiceState {
    name: String,
    relay: RelayControl,
    inner: Mutex<ServiceInner>,
}

struct ServiceInner {
    processing_time_ms: DurationMs,
    faults: FaultPlan<ServiceFault>,
    executions: BTreeMap<String, u64>,
    executions_without_id: u64,
}

impl PlainService {
    /// Starts a plain service; fails when the address cannot be bound.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let mut started = None;
        let server = RelayedServer::start(options.listen, options.max_recorded_bytes, |relay| {
            let state = Arc::new(ServiceState::new(options, relay));
            started = Some(Arc::clone(&state));
            state
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { server, state })
    }

    /// Address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.relay().address()
    }

    /// Sets the processing time of each request.
    pub fn set_processing_time(&self, processing_time_ms: DurationMs) {
        lock(&self.state.inner).processing_time_ms = processing_time_ms;
    }

    /// Queues a fault for one later request. Requests take the queued faults in the order of queueing.
    pub fn fail_next(&self, fault: ServiceFault) {
        lock(&self.state.inner).faults.push(fault);
    }

    /// Sets the fault of all requests for which no fault is queued; `None` means no fault.
    pub fn set_fault(&self, fault: Option<ServiceFault>) {
        lock(&self.state.inner).faults.set_default(fault);
    }

    /// Simulates a process crash: closes all connections and refuses new ones until [`PlainService::restart`].
    pub async fn crash(&self) {
        self.server.relay().close().await;
    }

    /// Accepts connections again after a crash, at the same address. The execution counts are kept.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.relay().open().await
    }

    /// Number of executions of the request with this id.
    pub fn executions(&self, request_id: &str) -> u64 {
        let inner = lock(&self.state.inner);
        inner.executions.get(request_id).copied().unwrap_or(0)
    }

    /// Number of executions of each request, by request id.
    pub fn all_executions(&self) -> BTreeMap<String, u64> {
        lock(&self.state.inner).executions.clone()
    }

    /// Number of executions of requests without an id.
    pub fn executions_without_id(&self) -> u64 {
        lock(&self.state.inner).executions_without_id
    }

    /// The bytes received from callers so far.
    pub fn recording(&self) -> Recording {
        self.server.relay().recording()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl ServiceState {
    fn new(options: ServiceOptions, relay: RelayControl) -> Self {
        let inner = ServiceInner {
            processing_time_ms: options.processing_time_ms,
            faults: FaultPlan::default(),
            executions: BTreeMap::new(),
            executions_without_id: 0,
        };
        Self {
            name: options.name,
            relay,
            inner: Mutex::new(inner),
        }
    }

    fn admit(&self) -> (DurationMs, Option<ServiceFault>) {
        let mut inner = lock(&self.inner);
        (inner.processing_time_ms, inner.faults.next_fault())
    }

    fn count(&self, request_id: Option<&str>) {
        let mut inner = lock(&self.inner);
        match request_id {
            Some(id) => *inner.executions.entry(id.to_owned()).or_default() += 1,
            None => inner.executions_without_id += 1,
        }
    }

    async fn finish(
        &self,
        answer: ServiceAnswer,
        fault: Option<ServiceFault>,
        peer: Option<SocketAddr>,
    ) -> Response {
        match fault {
            Some(ServiceFault::CrashAfter) => self.relay.cut(peer),
            Some(ServiceFault::Late { delay_ms }) => task::sleep(delay_ms.as_std()).await,
            Some(ServiceFault::ShortAnswer { missing_bytes }) => {
                let body = body_text(&answer);
                let kept = body.len().saturating_sub(missing_bytes);
                let raw = raw_response(body.len(), &body.as_bytes()[..kept]);
                self.relay.send_raw_response(peer, &raw).await;
            }
            Some(ServiceFault::LongAnswer { surplus_bytes }) => {
                let body = body_text(&answer);
                let mut long = body.clone().into_bytes();
                long.resize(body.len() + surplus_bytes, b'x');
                self.relay
                    .send_raw_response(peer, &raw_response(body.len(), &long))
                    .await;
            }
            _ => {}
        }
        json_response(StatusCode::Ok, &answer)
    }
}

#[async_trait]
impl Handler for ServiceState {
    async fn handle(&self, mut request: Request, connection: &Connection) -> Response {
        let Ok(body) = request.body_bytes().await else {
            return error_response(ResultCode::CutBody, "the body is incomplete");
        };
        let (processing_time_ms, fault) = self.admit();
        if fault == Some(ServiceFault::CrashBefore) {
            self.relay.cut(connection.peer);
            return error_response(ResultCode::Internal, "crashed");
        }
        if let Some(ServiceFault::Slow { delay_ms }) = fault {
            task::sleep(delay_ms.as_std()).await;
        }
        let request_id = request_id(&request, &body);
        self.count(request_id.as_deref());
        task::sleep(processing_time_ms.as_std()).await;
        let answer = ServiceAnswer {
            service: self.name.clone(),
            request_id,
            method: request.method().to_string(),
            path: request.url().path().to_owned(),
            echo: String::from_utf8_lossy(&body).into_owned(),
        };
        self.finish(answer, fault, connection.peer).await
    }
}

fn request_id(request: &Request, body: &[u8]) -> Option<String> {
    if let Some(header) = request.header(REQUEST_ID_HEADER) {
        return Some(header.as_str().to_owned());
    }
    let json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let field = json.as_ref().and_then(|json| json.get(REQUEST_ID_FIELD));
    match field.and_then(|field| field.as_str()) {
        Some(id) => Some(id.to_owned()),
        None => query_value(request, REQUEST_ID_FIELD),
    }
}

fn body_text(answer: &ServiceAnswer) -> String {
    serde_json::to_string(answer).unwrap_or_default()
}

fn raw_response(stated_bytes: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {stated_bytes}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}
