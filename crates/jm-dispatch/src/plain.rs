//! One call of a plain service.

use futures::AsyncReadExt;
use jm_config::Target;
use jm_http::{Body, ClientError, Method, Request, Response, Url};
use jm_link::{ExecuteRequest, HeaderLine, RequestHead};
use jm_node::Node;
use jm_types::ResultCode;

use crate::sink::{AnswerSink, Failure};

/// Headers of an answer that callers see. Others could name hosts inside the zone or set cookies for other callers.
const ANSWER_HEADERS: [&str; 5] = [
    "content-type",
    "content-language",
    "etag",
    "last-modified",
    "location",
];

/// Bytes read from a target at once.
const PIECE_BYTES: usize = 16_384;

/// Why a call failed, and whether it can be sent elsewhere.
pub(crate) struct CallError {
    /// What the caller is told.
    pub(crate) failure: Failure,
    /// Whether any byte of the request may have reached the target.
    pub(crate) written: bool,
    /// Whether any part of the answer was passed on.
    pub(crate) delivered: bool,
}

impl CallError {
    /// The error of a client call.
    pub(crate) fn of_client(error: &ClientError, delivered: bool) -> Self {
        let written = error.request_written();
        let code = match error {
            _ if !written => ResultCode::RetryBudgetSpent,
            ClientError::AnswerTimeout { .. } => ResultCode::AnswerTimeout,
            _ => ResultCode::OutcomeUnknown,
        };
        Self {
            failure: Failure::new(code, error.to_string()),
            written,
            delivered,
        }
    }

    /// An answer that broke off.
    pub(crate) fn cut(reason: impl std::fmt::Display, delivered: bool) -> Self {
        let failure = Failure::new(
            ResultCode::AnswerCut,
            format!("the target's answer ended early: {reason}"),
        );
        Self {
            failure,
            written: true,
            delivered,
        }
    }

    /// The calling daemon went away.
    pub(crate) fn caller_gone(failure: Failure) -> Self {
        Self {
            failure,
            written: true,
            delivered: true,
        }
    }
}

/// Builds the request for a target.
pub(crate) fn build_request(target: &Target, head: &RequestHead, body: &[u8]) -> Result<Request, Failure> {
    let malformed = |reason: String| Failure::new(ResultCode::MalformedRequest, reason);
    let method: Method = head
        .method
        .parse()
        .map_err(|_| malformed(format!("unknown method {:?}", head.method)))?;
    let url = Url::parse(&format!("http://{}{}", target.address, head.path));
    let url = url.map_err(|error| malformed(format!("path {:?}: {error}", head.path)))?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_bytes(body.to_vec()));
    for header in &head.headers {
        request.insert_header(header.name.as_str(), header.value.as_str());
    }
    Ok(request)
}

/// Calls the target and passes its answer on.
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
    let mut response = sent.map_err(|error| CallError::of_client(&error, false))?;
    let headers = answer_headers(&response, target);
    sink.head(u16::from(response.status()), headers)
        .await
        .map_err(CallError::caller_gone)?;
    let mut body = response.take_body();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = body
            .read(&mut piece)
            .await
            .map_err(|error| CallError::cut(error, true))?;
        if read == 0 {
            return Ok(());
        }
        sink.chunk(piece[..read].to_vec())
            .await
            .map_err(CallError::caller_gone)?;
    }
}

fn answer_headers(response: &Response, target: &Target) -> Vec<HeaderLine> {
    let known = ANSWER_HEADERS.into_iter().filter_map(|name| {
        let value = response.header(name)?.last().as_str().to_owned();
        Some(HeaderLine {
            name: name.to_owned(),
            value,
        })
    });
    known.chain([target_header(target)]).collect()
}

/// Names the target in the answer, for logs and for avoiding it on a retry.
pub(crate) fn target_header(target: &Target) -> HeaderLine {
    HeaderLine {
        name: "jm-target".to_owned(),
        value: target.id.to_string(),
    }
}
