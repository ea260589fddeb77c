//! Client of the admin API.

use jm_config::{Change, ChangeAccepted, ConfigView, HistoryEntry};
use jm_http::{Client, ClientError, Limits, Method, Request, Response, Url};
use jm_types::ByteSize;
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ensure;

use crate::cli::{
    CliError, EntryOptions,
    error::{AnswerSnafu, ChangeUnknownSnafu, RefusedSnafu, UnreachableSnafu},
    token::AdminToken,
};

/// A document with 12,000 targets has about 3 MB as JSON.
const ANSWER_LIMIT: ByteSize = ByteSize::new(64_000_000);

/// How often a change is sent until its outcome is known. Sending it again is safe, because it keeps its id.
const CHANGE_ATTEMPTS: usize = 3;

/// The body of a refusal.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: String,
    name: String,
    execution: String,
    message: String,
}

/// Talks to the admin API of one entry daemon.
#[derive(Debug)]
pub(crate) struct AdminClient {
    client: Client,
    token: AdminToken,
    root: String,
}

impl AdminClient {
    pub(crate) fn new(options: &EntryOptions) -> Result<Self, CliError> {
        let limits = Limits {
            body_bytes: ANSWER_LIMIT,
            ..Limits::default()
        };
        Ok(Self {
            client: Client::new(limits),
            token: AdminToken::read(options)?,
            root: format!("http://{}/admin/v1", options.entry),
        })
    }

    /// The document in force.
    pub(crate) async fn config(&self) -> Result<ConfigView, CliError> {
        self.get("config").await
    }

    /// The accepted changes.
    pub(crate) async fn history(&self) -> Result<Vec<HistoryEntry>, CliError> {
        self.get("config/history").await
    }

    /// A report as JSON.
    pub(crate) async fn report(&self, path: &str) -> Result<serde_json::Value, CliError> {
        self.get(path).await
    }

    /// Sends a change until its outcome is known. Once an attempt has an unknown outcome, only an acceptance settles it:
    /// a refusal of a later attempt does not tell what the earlier one did.
    pub(crate) async fn send_change(&self, change: &Change) -> Result<ChangeAccepted, CliError> {
        let mut unknown = false;
        let mut reason = String::new();
        for _ in 0..CHANGE_ATTEMPTS {
            match self.post(change).await {
                Ok(accepted) => return Ok(accepted),
                Err(error) if !unknown && !error.is_unknown() => return Err(error),
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
        self.exchange(request).await
    }

    async fn post(&self, change: &Change) -> Result<ChangeAccepted, CliError> {
        let mut request = self.request(Method::Post, "config")?;
        let body = serde_json::to_string(change).map_err(unreadable)?;
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        self.exchange(request).await
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, CliError> {
        let url = Url::parse(&format!("{}/{path}", self.root)).map_err(unreadable)?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", self.token.header());
        request.insert_header("accept", "application/json");
        Ok(request)
    }

    async fn exchange<T: DeserializeOwned>(&self, request: Request) -> Result<T, CliError> {
        let mut response = self.client.send(request).await.map_err(client_error)?;
        let text = response.body_string().await.map_err(unreadable)?;
        refuse_error(&response, &text)?;
        serde_json::from_str(&text).map_err(unreadable)
    }
}

fn refuse_error(response: &Response, text: &str) -> Result<(), CliError> {
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
            ensure!(status.is_success(), AnswerSnafu { reason });
            Ok(())
        }
    }
}

fn client_error(error: ClientError) -> CliError {
    let reason = error.to_string();
    if error.request_written() {
        AnswerSnafu { reason }.build()
    } else {
        UnreachableSnafu { reason }.build()
    }
}

fn unreadable(error: impl std::fmt::Display) -> CliError {
    let reason = error.to_string();
    AnswerSnafu { reason }.build()
}
