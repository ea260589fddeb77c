//! `/admin/v1/...`: the endpoints for operators.

use std::sync::Arc;

use async_trait::async_trait;
use jm_config::{AdminAccess, Change};
use jm_http::{Connection, Handler, Method, Request, Response, StatusCode};
use jm_node::AdminHandler;
use jm_types::ResultCode;
use serde_json::{Value, json};

use crate::{
    Entry,
    access::{bearer_token, require_fresh},
    input::{body_bytes, json_response, parse_json},
    refusal::Refusal,
    status,
};

/// Handles the requests of operators.
pub(crate) struct EntryAdminHandler {
    entry: Arc<Entry>,
    common: AdminHandler,
}

impl EntryAdminHandler {
    pub(crate) fn new(entry: Arc<Entry>) -> Self {
        let common = AdminHandler::new(Arc::clone(&entry.node));
        Self { entry, common }
    }

    async fn answer(&self, request: Request) -> Result<Response, Refusal> {
        let node = &self.entry.node;
        let access = self.access(&request)?;
        let path = request.url().path().to_owned();
        match (path.as_str(), request.method()) {
            ("/admin/v1/config", Method::Get) => {
                self.require_loaded()?;
                json_response(StatusCode::Ok, &node.config.view())
            }
            ("/admin/v1/config", Method::Post) => self.change(request, access).await,
            ("/admin/v1/config/history", Method::Get) => {
                self.require_loaded()?;
                json_response(StatusCode::Ok, &node.config.history())
            }
            ("/admin/v1/status", Method::Get) => {
                json_response(StatusCode::Ok, &status::status(&self.entry).await)
            }
            ("/admin/v1/report/burn", Method::Get) => json_response(StatusCode::Ok, &self.burn_report()),
            (
                "/admin/v1/config"
                | "/admin/v1/config/history"
                | "/admin/v1/status"
                | "/admin/v1/report/burn",
                _,
            ) => Err(Refusal::method_not_allowed()),
            _ => Err(Refusal::unknown_endpoint()),
        }
    }

    fn access(&self, request: &Request) -> Result<AdminAccess, Refusal> {
        let missing = || Refusal::new(ResultCode::MissingKey, "this call requires an admin token");
        let token = bearer_token(request)?.ok_or_else(missing)?;
        let unknown = || Refusal::new(ResultCode::UnknownKey, "the admin token is unknown");
        self.entry.node.settings.admin.access(&token).ok_or_else(unknown)
    }

    /// Fails until the configuration has been read, so that a missing document is not reported as an empty one.
    fn require_loaded(&self) -> Result<(), Refusal> {
        if self.entry.node.config.is_loaded() {
            return Ok(());
        }
        let message = "the daemon has not read its configuration yet; use another address";
        Err(Refusal::new(ResultCode::NotFresh, message))
    }

    async fn change(&self, mut request: Request, access: AdminAccess) -> Result<Response, Refusal> {
        let node = &self.entry.node;
        let body = body_bytes(node, &mut request).await?;
        let mut change: Change = parse_json(&body)?;
        require_fresh(node)?;
        change.author.team = access.team();
        let accepted = node.propose(&change).await;
        let accepted = accepted.map_err(|error| Refusal::new(error.code(), error.to_string()))?;
        if accepted.in_force {
            return json_response(StatusCode::Ok, &accepted);
        }
        let code = ResultCode::NotYetConfirmed;
        let content = json!({
            "revision": accepted.revision,
            "in_force": false,
            "code": code.to_string(),
        });
        json_response(StatusCode::Accepted, &content)
    }

    /// The rows for requests that this daemon served. Each entry daemon reports its own rows.
    fn burn_report(&self) -> Value {
        let rows = self.entry.burn_rows();
        let rows = rows.iter().map(|row| {
            let rates = row.rates();
            json!({
                "organisation": row.organisation,
                "service": row.service,
                "objective": row.objective,
                "burn_5m": rates.short,
                "burn_1h": rates.long,
                "requests_5m": row.short,
                "requests_1h": row.long,
            })
        });
        json!({
            "daemon": self.entry.node.peers.own_id(),
            "note": "requests that this daemon served; other entry daemons report their own",
            "rows": rows.collect::<Vec<_>>(),
        })
    }
}

#[async_trait]
impl Handler for EntryAdminHandler {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        if let Some(response) = self.common.common(request.url().path()) {
            return response;
        }
        match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => {
                refusal.record(&self.entry.node, "admin");
                refusal.response()
            }
        }
    }
}
