//! The endpoints for callers and trainers.

use std::sync::Arc;

use async_trait::async_trait;
use jm_http::{Connection, Handler, Method, Request, Response};

use crate::{Entry, addresses, completions, refusal::Refusal, services, steps, tickets};

const SERVICES_PREFIX: &str = "/v1/services/";
const STEPS_PREFIX: &str = "/v1/steps/";

/// Handles the requests of callers and trainers.
pub(crate) struct CallerHandler {
    entry: Arc<Entry>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Endpoint {
    Addresses,
    Completions,
    Service(String),
    Tickets,
    Steps,
    Step(String),
    Unknown,
}

impl Endpoint {
    fn of(path: &str) -> Self {
        match path {
            "/v1/addresses" => return Self::Addresses,
            "/v1/completions" => return Self::Completions,
            "/v1/tickets" => return Self::Tickets,
            "/v1/steps" => return Self::Steps,
            _ => {}
        }
        if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
            return Self::Service(rest.to_owned());
        }
        match path.strip_prefix(STEPS_PREFIX) {
            Some(rest) => Self::Step(rest.to_owned()),
            None => Self::Unknown,
        }
    }

    /// The label for metrics and logs. It does not include the path, which callers choose freely.
    const fn label(&self) -> &'static str {
        match self {
            Self::Addresses => "addresses",
            Self::Completions => "completions",
            Self::Service(_) => "services",
            Self::Tickets => "tickets",
            Self::Steps | Self::Step(_) => "steps",
            Self::Unknown => "unknown",
        }
    }
}

impl CallerHandler {
    pub(crate) fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }

    async fn answer(&self, endpoint: Endpoint, request: Request) -> Result<Response, Refusal> {
        let entry = &self.entry;
        match (endpoint, request.method()) {
            (Endpoint::Addresses, Method::Get) => addresses::addresses(&entry.node),
            (Endpoint::Completions, Method::Post) => completions::complete(entry, request).await,
            (Endpoint::Tickets, Method::Post) => tickets::issue(entry, request).await,
            (Endpoint::Service(rest), _) => services::call(entry, request, &rest).await,
            (Endpoint::Steps, Method::Post) => steps::create(entry, request).await,
            (Endpoint::Step(rest), _) => steps::operate(entry, request, &rest).await,
            (Endpoint::Unknown, _) => Err(Refusal::unknown_endpoint()),
            _ => Err(Refusal::method_not_allowed()),
        }
    }
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        let _open = self.entry.open_request();
        let endpoint = Endpoint::of(request.url().path());
        let label = endpoint.label();
        let node = &self.entry.node;
        node.metrics.requests.with_label_values(&[label]).inc();
        match self.answer(endpoint, request).await {
            Ok(response) => response,
            Err(refusal) => {
                refusal.record(node, label);
                refusal.response()
            }
        }
    }
}
