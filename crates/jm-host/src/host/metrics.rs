//! Serves the metrics of the host.

use std::sync::Arc;

use async_trait::async_trait;
use jm_http::{Connection, Handler, Request, Response};

use crate::HostObserver;

/// Serves the metrics on any path.
pub(super) struct MetricsHandler(pub(super) Arc<HostObserver>);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _request: Request, _connection: &Connection) -> Response {
        let mut response = Response::new(200);
        response.set_body(self.0.render());
        response.insert_header("content-type", "text/plain; version=0.0.4");
        response
    }
}
