//! Execution of one call to a plain service.

use futures::AsyncReadExt;
use jm_config::Target;
use jm_http::{Body, ClientError, Method, Request, Response, SentStatus, Url};
use jm_link::{ExecuteRequest, HeaderLine, RequestHead};
use jm_node::Node;
use jm_types::ResultCode;

use crate::sink::{AnswerSink, Failure};

/// Response headers that are forwarded to callers. Other headers could expose internal host names or set cookies for
/// other callers.
const ANSWER_HEADERS: [&str; 5] = [
    "content-type",
    "content-language",
    "etag",
    "last-modified",
    "location",
];

/// Size of the read buffer.
const PIECE_BYTES: usize = 16_384;

/// A failed call, with the facts that decide whether it may be retried on another target.
pub(crate) struct CallError {
    /// The failure to report to the caller.
    pub(crate) failure: Failure,
    /// Whether any byte of the request may have reached the target.
    pub(crate) written: bool,
    /// Whether any part of the response was forwarded to the caller.
    pub(crate) delivered: bool,
}

impl CallError {
    /// Converts an error of the HTTP client.
    pub(crate) fn from_client(error: &ClientError, delivered: bool) -> Self {
        let written = error.request_written();
        let code = match error {
            _ if !written => ResultCode::RetryBudgetSpent,
            ClientError::ResponseTimeout { .. } => ResultCode::AnswerTimeout,
            _ => ResultCode::OutcomeUnknown,
        };
        Self {
            failure: Failure::new(code, error.to_string()),
            written,
            delivered,
        }
    }

    /// A response that ended before it was complete.
    pub(crate) fn truncated(reason: impl std::fmt::Display, delivered: bool) -> Self {
        let failure = Failure::new(
            ResultCode::AnswerCut,
            format!("incomplete response from the target: {reason}"),
        );
        Self {
            failure,
            written: true,
            delivered,
        }
    }

    /// The connection to the calling daemon was lost. The request must not be retried.
    pub(crate) fn caller_disconnected(failure: Failure) -> Self {
        Self {
            failure,
            written: true,
            delivered: true,
        }
    }
}

/// Builds the HTTP request to a target.
pub(crate) fn build_request(target: &Target, head: &RequestHead, body: &[u8]) -> Result<Request, Failure> {
    let malformed = |reason: String| Failure::new(ResultCode::MalformedRequest, reason);
    let method: Method = head
        .method
        .parse()
        .map_err(|_| malformed(format!("unknown method {:?}", head.method)))?;
    let url = Url::parse(&format!("http://{}{}", target.address, head.path));
    let url = url.map_err(|error| malformed(format!("invalid path {:?}: {error}", head.path)))?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_bytes(body.to_vec()));
    for header in &head.headers {
        request.insert_header(header.name.as_str(), header.value.as_str());
    }
    Ok(request)
}

/// Calls the target and forwards its response to `sink`.
pub(crate) async fn call_plain(
    node: &Node,
    target: &Target,
    request: &ExecuteRequest,
    sink: &dyn AnswerSink,
) -> Result<(), CallError> {
    let refused = |failure| CallError {
        failure,
        written: false,
        delivered: false,
    };
    let http = build_request(target, &request.head, &request.body).map_err(refused)?;
    let sent = match request.repeatable {
        true => node.client.send(http).await,
        false => node.client.send_once(http).await,
    };
    let mut response = sent.map_err(|error| CallError::from_client(&error, false))?;
    let headers = answer_headers(&response, target);
    sink.head(SentStatus::of(&response).get(), headers)
        .await
        .map_err(CallError::caller_disconnected)?;
    let mut body = response.take_body();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = body
            .read(&mut piece)
            .await
            .map_err(|error| CallError::truncated(error, true))?;
        if read == 0 {
            return Ok(());
        }
        sink.chunk(piece[..read].to_vec())
            .await
            .map_err(CallError::caller_disconnected)?;
    }
}

fn answer_headers(response: &Response, target: &Target) -> Vec<HeaderLine> {
    let forwarded = ANSWER_HEADERS.into_iter().filter_map(|name| {
        let value = response.header(name)?.last().as_str().to_owned();
        Some(HeaderLine {
            name: name.to_owned(),
            value,
        })
    });
    forwarded.chain([target_header(target)]).collect()
}

/// The response header that names the target, for logs and so that a retry can avoid the target.
pub(crate) fn target_header(target: &Target) -> HeaderLine {
    HeaderLine {
        name: "jm-target".to_owned(),
        value: target.id.to_string(),
    }
}
