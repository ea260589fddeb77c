//! Liveness, readiness and metrics endpoints, which every daemon serves on its admin address.

use std::sync::Arc;

use async_trait::async_trait;
use jm_http::{Connection, Handler, Request, Response, StatusCode, error_response};
use jm_types::ResultCode;

use crate::Node;

/// Serves `/healthz`, `/readyz` and `/metrics`.
pub struct AdminHandler {
    node: Arc<Node>,
}

impl AdminHandler {
    /// Creates a handler that reports the state of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// The response for a path that every daemon serves; `None` for other paths.
    pub fn common(&self, path: &str) -> Option<Response> {
        match path {
            "/healthz" => Some(text_response(StatusCode::Ok, "alive\n")),
            "/readyz" => Some(self.readiness()),
            "/metrics" => Some(self.metrics()),
            _ => None,
        }
    }

    fn readiness(&self) -> Response {
        if self.node.stop.is_leaving() {
            return error_response(ResultCode::Stopping, "the daemon is stopping");
        }
        if !self.node.is_fresh() {
            return error_response(
                ResultCode::NotFresh,
                "the configuration is not confirmed as current",
            );
        }
        text_response(StatusCode::Ok, "ready\n")
    }

    fn metrics(&self) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(self.node.metrics.render());
        response.insert_header("content-type", "text/plain; version=0.0.4");
        response
    }
}

fn text_response(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(text);
    response
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        let path = request.url().path();
        let unknown = || error_response(ResultCode::UnknownEndpoint, &format!("no endpoint at {path:?}"));
        self.common(path).unwrap_or_else(unknown)
    }
}
