//! Refusals and failures as callers see them.

use jm_http::{Response, error_response};
use jm_node::{Node, RouteError};
use jm_order::TicketError;
use jm_types::{Execution, LogEvent, ResultCode};
use serde_json::{Value, json};

use crate::ForwardError;

/// Header that names the ticket of an order, in answers and in refusals after which the order may be asked for again.
pub(crate) const TICKET_HEADER: &str = "jm-ticket";

/// Why a request is not answered normally.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    /// For the caller only. It may repeat parts of the request, so it is never logged.
    pub(crate) message: String,
    ticket: Option<String>,
}

impl Refusal {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ticket: None,
        }
    }

    pub(crate) fn unknown_endpoint() -> Self {
        Self::new(ResultCode::UnknownEndpoint, "no endpoint at this path")
    }

    pub(crate) fn method_not_allowed() -> Self {
        Self::new(
            ResultCode::MethodNotAllowed,
            "the endpoint does not take this method",
        )
    }

    /// The same refusal with the ticket under which the caller may ask for the outcome.
    pub(crate) fn with_ticket(mut self, ticket: &str) -> Self {
        self.ticket = Some(ticket.to_owned());
        self
    }

    /// The same refusal, unless its code says "not run" although the request may have run.
    pub(crate) fn after_possible_run(mut self, code: ResultCode) -> Self {
        if self.code.execution() == Execution::NotRun {
            self.code = code;
        }
        self
    }

    /// The same refusal of a request that was certainly not run, whatever its code says of the failed preparation.
    pub(crate) fn not_run(mut self, code: ResultCode) -> Self {
        if self.code.execution() != Execution::NotRun {
            self.code = code;
        }
        self
    }

    /// Counts and logs the refusal.
    pub(crate) fn record(&self, node: &Node, endpoint: &str) {
        node.metrics.count_refusal(self.code);
        let event = match self.code.execution() {
            Execution::NotRun => LogEvent::RequestRefused,
            Execution::Ran | Execution::Unknown => LogEvent::RequestFailed,
        };
        event.write(format_args!("{endpoint}: {} {}", self.code, self.code.name()));
    }

    /// The answer to the caller.
    pub(crate) fn response(&self) -> Response {
        let mut response = error_response(self.code, &self.message);
        if let Some(ticket) = &self.ticket {
            response.insert_header(TICKET_HEADER, ticket.as_str());
        }
        response
    }

    /// The last line of a body that is cut.
    pub(crate) fn line(&self) -> Vec<u8> {
        format!("{}\n", json!({ "error": self.content() })).into_bytes()
    }

    fn content(&self) -> Value {
        json!({
            "code": self.code.to_string(),
            "name": self.code.name(),
            "execution": self.code.execution().to_string(),
            "message": self.message,
        })
    }
}

impl From<ForwardError> for Refusal {
    fn from(error: ForwardError) -> Self {
        Self::new(error.code(), error.to_string())
    }
}

impl From<TicketError> for Refusal {
    fn from(error: TicketError) -> Self {
        Self::new(error.code(), error.to_string())
    }
}

impl From<RouteError> for Refusal {
    fn from(error: RouteError) -> Self {
        Self::new(error.code(), error.to_string())
    }
}
