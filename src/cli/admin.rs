//! HTTP client of the admin API.

use jm_config::{Change, ChangeAccepted, ConfigView, HistoryEntry};
use jm_http::{Client, ClientError, Limits, Method, Request, Response, Url};
use jm_types::ByteSize;
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ensure;

use crate::cli::{
    CliError, EntryOptions,
    error::{ChangeUnknownSnafu, InvalidResponseSnafu, RefusedSnafu, UnreachableSnafu},
    token::AdminToken,
};

/// Size limit of a response body. A document with 12,000 targets takes about 3 MB as JSON.
const MAX_RESPONSE_BYTES: ByteSize = ByteSize::new(64_000_000);

/// Attempts to send a change whose outcome is unknown. A retry is safe because the change id makes it idempotent.
const CHANGE_ATTEMPTS: usize = 3;

/// JSON body of a response that refuses a request.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: String,
    name: String,
    execution: String,
    message: String,
}

/// Client of the admin API of one entry daemon.
#[derive(Debug)]
pub(crate) struct AdminClient {
    client: Client,
    token: AdminToken,
    root: String,
}

impl AdminClient {
    pub(crate) fn new(options: &EntryOptions) -> Result<Self, CliError> {
        let limits = Limits {
            body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        Ok(Self {
            client: Client::new(limits),
            token: AdminToken::read(options)?,
            root: format!("http://{}/admin/v1", options.entry),
        })
    }

    /// Fetches the document in force.
    pub(crate) async fn config(&self) -> Result<ConfigView, CliError> {
        self.get("config").await
    }

    /// Fetches the history of accepted changes.
    pub(crate) async fn history(&self) -> Result<Vec<HistoryEntry>, CliError> {
        self.get("config/history").await
    }

    /// Fetches a report as JSON. `path` is relative to `/admin/v1/`.
    pub(crate) async fn report(&self, path: &str) -> Result<serde_json::Value, CliError> {
        self.get(path).await
    }

    /// Sends a change and retries while its outcome is unknown. After an attempt with an unknown outcome only an
    /// acceptance is conclusive. A refusal of a later attempt does not show whether the earlier attempt was stored.
    pub(crate) async fn send_change(&self, change: &Change) -> Result<ChangeAccepted, CliError> {
        let mut unknown = false;
        let mut reason = String::new();
        for _ in 0..CHANGE_ATTEMPTS {
            match self.post(change).await {
                Ok(accepted) => return Ok(accepted),
                Err(error) if !unknown && !error.has_unknown_outcome() => return Err(error),
                Err(error) => {
                    unknown = true;
                    reason = error.to_string();
                }
            }
        }
        let change_id = change.change_id.clone();
        ChangeUnknownSnafu { change_id, reason }.fail()
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let request = self.request(Method::Get, path)?;
        self.send(request).await
    }

    async fn post(&self, change: &Change) -> Result<ChangeAccepted, CliError> {
        let mut request = self.request(Method::Post, "config")?;
        let body = serde_json::to_string(change).map_err(invalid_response)?;
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        self.send(request).await
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, CliError> {
        let url = Url::parse(&format!("{}/{path}", self.root)).map_err(invalid_response)?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", self.token.header());
        request.insert_header("accept", "application/json");
        Ok(request)
    }

    async fn send<T: DeserializeOwned>(&self, request: Request) -> Result<T, CliError> {
        let mut response = self.client.send(request).await.map_err(client_error)?;
        let text = response.body_string().await.map_err(invalid_response)?;
        check_refusal(&response, &text)?;
        serde_json::from_str(&text).map_err(invalid_response)
    }
}

fn check_refusal(response: &Response, text: &str) -> Result<(), CliError> {
    let status = response.status();
    match serde_json::from_str::<ErrorBody>(text) {
        Ok(ErrorBody {
            code,
            name,
            execution,
            message,
        }) => RefusedSnafu {
            code,
            name,
            execution,
            message,
        }
        .fail(),
        Err(_) => {
            let reason = format!("status {status} without a result code");
            ensure!(status.is_success(), InvalidResponseSnafu { reason });
            Ok(())
        }
    }
}

fn client_error(error: ClientError) -> CliError {
    let reason = error.to_string();
    if error.request_written() {
        InvalidResponseSnafu { reason }.build()
    } else {
        UnreachableSnafu { reason }.build()
    }
}

fn invalid_response(error: impl std::fmt::Display) -> CliError {
    let reason = error.to_string();
    InvalidResponseSnafu { reason }.build()
}
