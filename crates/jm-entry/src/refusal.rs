//! Refusals and failures in the form in which they are returned to callers.

use jm_http::{Response, error_response};
use jm_node::{Node, RouteError};
use jm_order::TicketError;
use jm_types::{Execution, LogEvent, ResultCode};
use serde_json::{Value, json};

use crate::ForwardError;

/// Response header with the ticket of an order. It is set on answers and on refusals after which the caller may retry
/// the order.
pub(crate) const TICKET_HEADER: &str = "jm-ticket";

/// The reason why a request does not get a normal answer.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    /// Sent to the caller only. It is never logged, because it may include parts of the request.
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
            "the endpoint does not support this method",
        )
    }

    /// Adds the ticket with which the caller may query the outcome of the order.
    pub(crate) fn with_ticket(mut self, ticket: &str) -> Self {
        self.ticket = Some(ticket.to_owned());
        self
    }

    /// Replaces the code by `code` if it says "not run". Used when the request may have run in spite of that code.
    pub(crate) fn with_code_if_not_run(mut self, code: ResultCode) -> Self {
        if self.code.execution() == Execution::NotRun {
            self.code = code;
        }
        self
    }

    /// Replaces the code by `code` unless it says "not run". Used when a preparation failed and the request itself was
    /// not sent.
    pub(crate) fn with_not_run_code(mut self, code: ResultCode) -> Self {
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

    /// The HTTP response for the caller.
    pub(crate) fn response(&self) -> Response {
        let mut response = error_response(self.code, &self.message);
        if let Some(ticket) = &self.ticket {
            response.insert_header(TICKET_HEADER, ticket.as_str());
        }
        response
    }

    /// The line with the error that ends a truncated body.
    pub(crate) fn error_line(&self) -> Vec<u8> {
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
