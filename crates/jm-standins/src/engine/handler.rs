//! HTTP endpoints of the engine.

use std::sync::Arc;

use async_trait::async_trait;
use jm_http::{Connection, Handler, Method, Request, Response, StatusCode, error_response};
use jm_types::ResultCode;

use super::{EngineState, GenerateRequest, Order, cache, generate, orders};
use crate::server::{json_response, query_value, read_json};

pub(super) struct EngineHandler {
    state: Arc<EngineState>,
}

impl EngineHandler {
    pub(super) fn new(state: Arc<EngineState>) -> Self {
        Self { state }
    }

    async fn generate(&self, mut request: Request) -> Response {
        let generate: GenerateRequest = match read_json(&mut request).await {
            Ok(generate) => generate,
            Err(response) => return *response,
        };
        let Some(body) = generate::start(&self.state, generate) else {
            return error_response(ResultCode::UnknownService, "the model is not loaded");
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "application/x-ndjson");
        response
    }

    async fn order(&self, mut request: Request) -> Response {
        match read_json::<Order>(&mut request).await {
            Ok(order) => orders::run(&self.state, order).await,
            Err(response) => *response,
        }
    }

    fn cancel(&self, id: &str) -> Response {
        let mut inner = self.state.inner();
        let mut found = false;
        for running in inner.running.values_mut().filter(|running| running.request == id) {
            running.cancelled = true;
            found = true;
        }
        Response::new(if found {
            StatusCode::NoContent
        } else {
            StatusCode::NotFound
        })
    }

    fn cache_events(&self, request: &Request) -> Response {
        let after = query_value(request, "after").and_then(|after| after.parse().ok());
        let inner = self.state.inner();
        let events = inner.cache.events(after.unwrap_or(0), &inner.settings);
        json_response(StatusCode::Ok, &events)
    }

    fn load(&self) -> Response {
        json_response(StatusCode::Ok, &self.state.inner().reported_load())
    }

    fn export_kv(&self, id: &str) -> Response {
        let inner = self.state.inner();
        let Some(hashes) = inner.kv.get(id) else {
            return Response::new(StatusCode::NotFound);
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(cache::to_bytes(hashes));
        response
    }

    async fn import_kv(&self, id: &str, mut request: Request) -> Response {
        let Ok(bytes) = request.body_bytes().await else {
            return error_response(ResultCode::CutBody, "the body is incomplete");
        };
        let Some(hashes) = cache::from_bytes(&bytes) else {
            return error_response(
                ResultCode::MalformedRequest,
                "the body is not an exported KV cache",
            );
        };
        let mut inner = self.state.inner();
        inner.cache.admit(&hashes);
        inner.store_kv(id, hashes);
        Response::new(StatusCode::NoContent)
    }
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        let path = request.url().path().to_owned();
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (Method::Post, ["v1", "generate"]) => self.generate(request).await,
            (Method::Post, ["v1", "orders"]) => self.order(request).await,
            (Method::Delete, ["v1", "requests", id]) => self.cancel(id),
            (Method::Get, ["v1", "cache-events"]) => self.cache_events(&request),
            (Method::Get, ["v1", "load"]) => self.load(),
            (Method::Get, ["v1", "kv", id]) => self.export_kv(id),
            (Method::Put, ["v1", "kv", id]) => self.import_kv(id, request).await,
            _ => error_response(ResultCode::UnknownEndpoint, "the engine has no such endpoint"),
        }
    }
}
