//! The platform's endpoints, described in `docs/platform-api.md`.

use std::sync::Arc;

use async_std::task;
use async_trait::async_trait;
use futures::{FutureExt, pin_mut, select};
use jm_http::{Connection, Handler, Method, Request, Response, StatusCode, error_response};
use jm_platform::{
    Change, Condition, FetchError, HostList, MemoryPlatform, ObjectError, ObjectStore, OrderError, ReadError,
    ReportError, TargetOrder, TargetOrders, UsageReporter, Version, WatchError, WeightStore,
    wire::{self, FENCING_NUMBER, OBJECT_VERSION, RETRY_AFTER_MS, STORE_VERSION},
};
use jm_types::{DurationMs, FencingNumber, ModelId, ResultCode, WeightVersion};
use serde::Serialize;

use super::{CallKind, PlatformState};
use crate::server::{json_response, query_value, read_json};

pub(super) struct PlatformHandler {
    state: Arc<PlatformState>,
}

/// A platform call with the parameters from its path.
enum Call {
    Object(CallKind, String),
    List,
    Watch,
    Hosts,
    Order,
    Release(String),
    Targets,
    Report(String),
    Versions(String),
    Fetch(String, String),
}

impl Call {
    fn parse(request: &Request) -> Option<Self> {
        let path = request.url().path();
        let method = request.method();
        if let Some(key) = path.strip_prefix(wire::OBJECTS_PATH) {
            let kind = match method {
                Method::Get => CallKind::Get,
                Method::Put => CallKind::Put,
                Method::Delete => CallKind::Delete,
                _ => return None,
            };
            return Some(Self::Object(kind, key.to_owned()));
        }
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::Get, ["v1", "objects"]) => Some(Self::List),
            (Method::Get, ["v1", "changes"]) => Some(Self::Watch),
            (Method::Get, ["v1", "hosts"]) => Some(Self::Hosts),
            (Method::Get, ["v1", "targets"]) => Some(Self::Targets),
            (Method::Post, ["v1", "targets"]) => Some(Self::Order),
            (Method::Delete, ["v1", "targets", id]) => Some(Self::Release((*id).to_owned())),
            (Method::Put, ["v1", "usage", ..]) => path
                .strip_prefix(wire::USAGE_PATH)
                .map(|window| Self::Report(window.to_owned())),
            (Method::Get, ["v1", "models", model, "versions"]) => Some(Self::Versions((*model).to_owned())),
            (Method::Get, ["v1", "models", model, "versions", version]) => {
                Some(Self::Fetch((*model).to_owned(), (*version).to_owned()))
            }
            _ => None,
        }
    }

    fn kind(&self) -> CallKind {
        match self {
            Self::Object(kind, _) => *kind,
            Self::List => CallKind::List,
            Self::Watch => CallKind::Watch,
            Self::Hosts => CallKind::Hosts,
            Self::Order => CallKind::Order,
            Self::Release(_) => CallKind::Release,
            Self::Targets => CallKind::Targets,
            Self::Report(_) => CallKind::Report,
            Self::Versions(_) => CallKind::Versions,
            Self::Fetch(..) => CallKind::Fetch,
        }
    }
}

impl PlatformHandler {
    pub(super) fn new(state: Arc<PlatformState>) -> Self {
        Self { state }
    }

    fn platform(&self) -> &MemoryPlatform {
        &self.state.platform
    }

    async fn execute(&self, call: Call, mut request: Request) -> Response {
        match call {
            Call::Object(kind, key) => self.object(kind, &key, request).await,
            Call::List => self.list(&request).await,
            Call::Watch => self.watch(&request).await,
            Call::Hosts => read_response(self.platform().hosts().await),
            Call::Order => match read_json::<TargetOrder>(&mut request).await {
                Ok(order) => order_response(self.platform().order(&order).await),
                Err(response) => *response,
            },
            Call::Release(id) => self.release(&id, &request).await,
            Call::Targets => read_response(self.platform().targets().await),
            Call::Report(window) => self.report(&window, request).await,
            Call::Versions(model) => match ModelId::new(model) {
                Ok(model) => read_response(self.platform().versions(&model).await),
                Err(error) => malformed_response(&error),
            },
            Call::Fetch(model, version) => self.fetch(model, &version).await,
        }
    }

    async fn object(&self, kind: CallKind, key: &str, mut request: Request) -> Response {
        let Some(condition) = condition(&request) else {
            return malformed_response(&"the condition headers are invalid");
        };
        let Ok(body) = request.body_bytes().await else {
            return error_response(ResultCode::CutBody, "the body is incomplete");
        };
        let mut response = match kind {
            CallKind::Put => put_response(self.platform().put(key, body, condition).await),
            CallKind::Delete => match self.platform().delete(key, condition).await {
                Ok(()) => Response::new(StatusCode::NoContent),
                Err(error) => object_error_response(&error),
            },
            _ => self.get(key).await,
        };
        response.insert_header(STORE_VERSION, self.platform().version().to_string());
        response
    }

    async fn get(&self, key: &str) -> Response {
        match self.platform().get(key).await {
            Ok(Some(object)) => {
                let mut response = Response::new(StatusCode::Ok);
                response.insert_header(OBJECT_VERSION, object.version.to_string());
                response.set_body(object.value);
                response
            }
            Ok(None) => Response::new(StatusCode::NotFound),
            Err(error) => malformed_response(&error),
        }
    }

    async fn list(&self, request: &Request) -> Response {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        match self.platform().list(&prefix).await {
            Ok(listing) => {
                let mut body = Vec::new();
                for entry in &listing.objects {
                    let value = Some(entry.object.value.as_slice());
                    wire::append_record(&mut body, &entry.key, entry.object.version, value);
                }
                records_response(body, listing.version)
            }
            Err(error) => malformed_response(&error),
        }
    }

    async fn watch(&self, request: &Request) -> Response {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let number = |name| query_value(request, name).and_then(|text| text.parse().ok());
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return malformed_response(&"after and wait_ms are required");
        };
        let platform = self.platform();
        let watch = platform
            .watch(&prefix, Version::new(after), DurationMs::new(wait_ms))
            .fuse();
        let down = self.state.wait_until_down().fuse();
        pin_mut!(watch, down);
        select! {
            answer = watch => watch_response(answer),
            () = down => unavailable_response(),
        }
    }

    async fn release(&self, id: &str, request: &Request) -> Response {
        let fencing = request.header(FENCING_NUMBER);
        let fencing = fencing.and_then(|number| number.as_str().parse::<FencingNumber>().ok());
        match (id.parse(), fencing) {
            (Ok(id), Some(fencing)) => match self.platform().release(&id, fencing).await {
                Ok(()) => Response::new(StatusCode::NoContent),
                Err(error) => json_response(StatusCode::Conflict, &error),
            },
            _ => malformed_response(&"a target id and a fencing number are required"),
        }
    }

    async fn report(&self, window: &str, mut request: Request) -> Response {
        let Ok(body) = request.body_bytes().await else {
            return error_response(ResultCode::CutBody, "the body is incomplete");
        };
        match self.platform().report(window, &body).await {
            Ok(()) => Response::new(StatusCode::NoContent),
            Err(ReportError::ConflictingReport { .. }) => Response::new(StatusCode::Conflict),
            Err(error) => malformed_response(&error),
        }
    }

    async fn fetch(&self, model: String, version: &str) -> Response {
        let (Ok(model), Ok(version)) = (ModelId::new(model), version.parse::<WeightVersion>()) else {
            return malformed_response(&"a model id and a version are required");
        };
        match self.platform().fetch(&model, version).await {
            Ok(weights) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(weights);
                response
            }
            Err(FetchError::RateLimited { retry_after_ms }) => {
                let mut response = Response::new(StatusCode::TooManyRequests);
                response.insert_header(RETRY_AFTER_MS, retry_after_ms.get().to_string());
                response
            }
            Err(FetchError::UnknownVersion) => Response::new(StatusCode::NotFound),
            Err(error) => malformed_response(&error),
        }
    }
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: Request, connection: &Connection) -> Response {
        let Some(call) = Call::parse(&request) else {
            return error_response(ResultCode::UnknownEndpoint, "the platform has no such endpoint");
        };
        let kind = call.kind();
        let faults = self.state.count(kind);
        task::sleep(faults.delay_ms.as_std()).await;
        if self.state.is_down() {
            return unavailable_response();
        }
        let response = self.execute(call, request).await;
        if kind.is_change() && self.state.should_lose_response() {
            self.state.relay.cut(connection.peer);
        }
        response
    }
}

fn condition(request: &Request) -> Option<Condition> {
    let if_match = request.header("if-match").map(|value| value.as_str());
    let if_none_match = request.header("if-none-match").map(|value| value.as_str());
    match (if_match, if_none_match) {
        (None, None) => Some(Condition::Any),
        (None, Some("*")) => Some(Condition::Absent),
        (Some(version), None) => version.parse().ok().map(Version::new).map(Condition::Version),
        _ => None,
    }
}

fn unavailable_response() -> Response {
    error_response(ResultCode::StoreUnavailable, "the platform is down")
}

fn malformed_response(reason: &impl ToString) -> Response {
    error_response(ResultCode::MalformedRequest, &reason.to_string())
}

fn put_response(result: Result<Version, ObjectError>) -> Response {
    match result {
        Ok(version) => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header(OBJECT_VERSION, version.to_string());
            response
        }
        Err(error) => object_error_response(&error),
    }
}

fn object_error_response(error: &ObjectError) -> Response {
    match error {
        ObjectError::Conflict { current } => {
            let mut response = Response::new(StatusCode::PreconditionFailed);
            if let Some(current) = current {
                response.insert_header(OBJECT_VERSION, current.to_string());
            }
            response
        }
        ObjectError::TooLarge { .. } => error_response(ResultCode::BodyTooLarge, &error.to_string()),
        _ => malformed_response(error),
    }
}

fn records_response(body: Vec<u8>, version: Version) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header(STORE_VERSION, version.to_string());
    response.set_body(body);
    response
}

fn watch_response(result: Result<jm_platform::Changes, WatchError>) -> Response {
    match result {
        Ok(found) => {
            let mut body = Vec::new();
            for Change { key, version, value } in &found.changes {
                wire::append_record(&mut body, key, *version, value.as_deref());
            }
            records_response(body, found.version)
        }
        Err(WatchError::Relist { current }) => {
            let mut response = Response::new(StatusCode::Gone);
            response.insert_header(STORE_VERSION, current.to_string());
            response
        }
        Err(error) => malformed_response(&error),
    }
}

fn read_response<T: Serialize>(result: Result<T, ReadError>) -> Response {
    match result {
        Ok(found) => json_response(StatusCode::Ok, &found),
        Err(error) => malformed_response(&error),
    }
}

fn order_response(result: Result<impl Serialize, OrderError>) -> Response {
    match result {
        Ok(target) => json_response(StatusCode::Ok, &target),
        Err(error) => json_response(StatusCode::Conflict, &error),
    }
}
