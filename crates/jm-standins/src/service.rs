//! A plain HTTP service that counts how often each request runs.

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
    front::{Front, RECORDED_BYTES, any_loopback_port, json_response, query_value},
    notify::lock,
    plan::FaultPlan,
    recording::Recording,
    relay::RelayControl,
};

/// Header that names a request.
pub const REQUEST_ID_HEADER: &str = "jm-request-id";

/// Field of a JSON body, or parameter of the query string, that names a request.
pub const REQUEST_ID_FIELD: &str = "request_id";

/// How a plain service is started.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Name that stands in each answer.
    pub name: String,
    /// Time that each request takes.
    pub processing_time_ms: DurationMs,
    /// Most bytes of received requests that are recorded.
    pub max_recorded_bytes: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            name: "service".to_owned(),
            processing_time_ms: DurationMs::new(0),
            max_recorded_bytes: RECORDED_BYTES,
        }
    }
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// The request waits this long before it runs.
    Slow {
        /// The wait.
        delay_ms: DurationMs,
    },
    /// The connection ends before the request runs.
    CrashBefore,
    /// The connection ends after the request has run, without an answer.
    CrashAfter,
    /// The answer comes this long after the request has run.
    Late {
        /// The wait.
        delay_ms: DurationMs,
    },
    /// The request runs, and its answer states more bytes than it has.
    ShortAnswer {
        /// Bytes of the body that are missing at most.
        missing_bytes: usize,
    },
    /// The request runs, and more bytes follow its answer than it states.
    LongAnswer {
        /// Additional bytes.
        surplus_bytes: usize,
    },
}

/// Body of each answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Name of the service.
    pub service: String,
    /// The request's id.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// The path without the query string.
    pub path: String,
    /// The body as text, so that a caller recognises the answer to its own request.
    pub echo: String,
}

/// A running plain service. Dropping it closes all connections.
pub struct PlainService {
    front: Front,
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
    /// Starts a plain service.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let mut started = None;
        let front = Front::start(options.listen, options.max_recorded_bytes, |relay| {
            let state = Arc::new(ServiceState::new(options, relay));
            started = Some(Arc::clone(&state));
            state
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { front, state })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.front.relay().address()
    }

    /// Sets the time that each request takes.
    pub fn set_processing_time(&self, processing_time_ms: DurationMs) {
        lock(&self.state.inner).processing_time_ms = processing_time_ms;
    }

    /// Adds a fault for one later request; requests meet these faults in the order in which they were added.
    pub fn fail_next(&self, fault: ServiceFault) {
        lock(&self.state.inner).faults.push(fault);
    }

    /// Sets the fault of all requests for which no single fault is left.
    pub fn set_fault(&self, fault: Option<ServiceFault>) {
        lock(&self.state.inner).faults.set_always(fault);
    }

    /// Dies as a process does: all connections end and later ones are refused until [`PlainService::restart`].
    pub async fn crash(&self) {
        self.front.relay().close().await;
    }

    /// Accepts connections again after a crash, at the same address. The counts remain.
    pub async fn restart(&self) -> io::Result<()> {
        self.front.relay().open().await
    }

    /// How often the request with this id ran.
    pub fn executions(&self, request_id: &str) -> u64 {
        let inner = lock(&self.state.inner);
        inner.executions.get(request_id).copied().unwrap_or(0)
    }

    /// How often each request ran, by id.
    pub fn all_executions(&self) -> BTreeMap<String, u64> {
        lock(&self.state.inner).executions.clone()
    }

    /// How many requests without an id ran.
    pub fn executions_without_id(&self) -> u64 {
        lock(&self.state.inner).executions_without_id
    }

    /// What callers have sent.
    pub fn recording(&self) -> Recording {
        self.front.relay().recording()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.front.stop().await;
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
        (inner.processing_time_ms, inner.faults.take())
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
                let raw = raw_answer(body.len(), &body.as_bytes()[..kept]);
                self.relay.answer_raw(peer, &raw).await;
            }
            Some(ServiceFault::LongAnswer { surplus_bytes }) => {
                let body = body_text(&answer);
                let mut long = body.clone().into_bytes();
                long.resize(body.len() + surplus_bytes, b'x');
                self.relay.answer_raw(peer, &raw_answer(body.len(), &long)).await;
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
            return error_response(ResultCode::CutBody, "the body is not whole");
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

fn raw_answer(stated_bytes: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {stated_bytes}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}
