//! Reads and checks the heads of requests and answers before anything else sees them.

use std::time::Duration;

use http_types::{
    Method, Request, Response, StatusCode, Url, Version,
    headers::{HeaderName, HeaderValue},
};
use httparse::{EMPTY_HEADER, Header, Status};
use jm_types::ResultCode;
use snafu::Snafu;

use crate::framing::{Framing, FramingError, has_token, stated_framing, values};

/// Most headers in one head.
const MAX_HEADERS: usize = 128;

/// The path and query of a request as they stood in its head. [`Url`] normalises both, so a request that is passed on
/// unchanged carries this beside its URL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget(String);

impl RequestTarget {
    /// Wraps a path and query that were read from a request head.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Path and query.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.0.split('?').next().unwrap_or_default()
    }
}

/// Why a request is answered with an error before a handler sees it.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
}

impl Refusal {
    pub(crate) fn new(code: ResultCode, message: impl ToString) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}

fn malformed(message: impl ToString) -> Refusal {
    Refusal::new(ResultCode::MalformedRequest, message)
}

impl From<FramingError> for Refusal {
    fn from(error: FramingError) -> Self {
        Self::new(ResultCode::AmbiguousFraming, error)
    }
}

/// A complete and valid request head.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) request: Request,
    pub(crate) framing: Framing,
    pub(crate) expects_continue: bool,
    pub(crate) keep_alive: bool,
    /// Size on the wire.
    pub(crate) size_bytes: usize,
}

/// Parses the head at the front of `input`; `None` while it is not complete.
pub(crate) fn parse_request(input: &[u8], limit_bytes: usize) -> Result<Option<RequestHead>, Refusal> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(input).map_err(request_syntax)?;
    let used = match status {
        Status::Complete(size) => size,
        Status::Partial => input.len(),
    };
    let complete = status.is_complete();
    if used > limit_bytes || (!complete && used == limit_bytes) {
        return Err(Refusal::new(
            ResultCode::HeadTooLarge,
            "the head exceeds the limit",
        ));
    }
    if !complete {
        return Ok(None);
    }
    if has_bare_line_feed(&input[..used]) {
        return Err(malformed("a line of the head does not end with CR LF"));
    }
    request_head(&parsed, used).map(Some)
}

fn request_syntax(error: httparse::Error) -> Refusal {
    match error {
        httparse::Error::Version => unsupported_version(),
        httparse::Error::TooManyHeaders => Refusal::new(ResultCode::HeadTooLarge, "too many headers"),
        other => malformed(format!("the head cannot be read: {other}")),
    }
}

fn unsupported_version() -> Refusal {
    Refusal::new(ResultCode::UnsupportedVersion, "only HTTP/1.1 is supported")
}

fn request_head(parsed: &httparse::Request<'_, '_>, size_bytes: usize) -> Result<RequestHead, Refusal> {
    if parsed.version != Some(1) {
        return Err(unsupported_version());
    }
    let headers = &*parsed.headers;
    if values(headers, "authorization").len() > 1 {
        return Err(malformed("authorization is given more than once"));
    }
    let method = parsed.method.unwrap_or_default().parse::<Method>();
    let method = method
        .ok()
        .filter(|method| *method != Method::Connect)
        .ok_or_else(|| Refusal::new(ResultCode::MethodNotAllowed, "the method is not supported"))?;
    let url = request_url(headers, parsed.path.unwrap_or_default())?;
    let mut request = Request::new(method, url);
    request.set_version(Some(Version::Http1_1));
    let target = parsed.path.unwrap_or_default();
    if target.starts_with('/') {
        request.ext_mut().insert(RequestTarget::new(target));
    }
    for (name, value) in copied(headers).map_err(malformed)? {
        request.append_header(name, value);
    }
    Ok(RequestHead {
        request,
        framing: stated_framing(headers)?.unwrap_or(Framing::Length(0)),
        expects_continue: expects_continue(headers)?,
        keep_alive: !has_token(headers, "connection", "close"),
        size_bytes,
    })
}

fn expects_continue(headers: &[Header<'_>]) -> Result<bool, Refusal> {
    match values(headers, "expect").as_slice() {
        [] => Ok(false),
        [value] if value.trim_ascii().eq_ignore_ascii_case(b"100-continue") => Ok(true),
        _ => Err(Refusal::new(
            ResultCode::UnsupportedExpectation,
            "only \"expect: 100-continue\" is supported",
        )),
    }
}

fn request_url(headers: &[Header<'_>], target: &str) -> Result<Url, Refusal> {
    let host = match values(headers, "host").as_slice() {
        [host] => std::str::from_utf8(host).map_err(malformed)?.trim(),
        [] => return Err(malformed("host is missing")),
        _ => return Err(malformed("host is given more than once")),
    };
    if host.is_empty() || host.contains(['/', '\\', '@', '?', '#']) {
        return Err(malformed("host is not valid"));
    }
    // A URL drops what follows "#" and turns "\" into "/", so these would reach the handler as another path.
    if target.contains(['#', '\\']) {
        return Err(malformed("the path is not valid"));
    }
    let text = match target {
        "*" => format!("http://{host}/"),
        path if path.starts_with('/') => format!("http://{host}{path}"),
        absolute => absolute.to_owned(),
    };
    let url = Url::parse(&text).map_err(|error| malformed(format!("the path is not valid: {error}")))?;
    let is_plain = url.scheme() == "http" && url.has_host() && url.username().is_empty();
    if !is_plain || url.password().is_some() {
        return Err(malformed("the path is not valid"));
    }
    Ok(url)
}

/// Why an answer head is refused.
#[derive(Debug, Snafu)]
pub(crate) enum AnswerHeadError {
    #[snafu(display("the head cannot be read: {reason}"))]
    Syntax { reason: String },
    #[snafu(display("the head exceeds the limit"))]
    TooLarge,
    #[snafu(display("{source}"), context(false))]
    AnswerFraming { source: FramingError },
}

/// A complete and valid answer head.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) response: Response,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
    /// How long the peer keeps the connection open without a request, when it says so.
    pub(crate) idle_timeout: Option<Duration>,
    /// Size on the wire.
    pub(crate) size_bytes: usize,
}

impl AnswerHead {
    /// Whether another head follows for the same request.
    pub(crate) fn is_interim(&self) -> bool {
        self.response.status().is_informational()
    }
}

/// Parses the head at the front of `input` that answers a request with `method`; `None` while it is not complete.
pub(crate) fn parse_answer(
    input: &[u8],
    limit_bytes: usize,
    method: Method,
) -> Result<Option<AnswerHead>, AnswerHeadError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(input).or_else(answer_syntax)?;
    let used = match status {
        Status::Complete(size) => size,
        Status::Partial => input.len(),
    };
    let complete = status.is_complete();
    if used > limit_bytes || (!complete && used == limit_bytes) {
        return TooLargeSnafu.fail();
    }
    if !complete {
        return Ok(None);
    }
    if has_bare_line_feed(&input[..used]) {
        return answer_syntax("a line does not end with CR LF");
    }
    answer_head(&parsed, used, method).map(Some)
}

fn answer_syntax<T>(reason: impl ToString) -> Result<T, AnswerHeadError> {
    let reason = reason.to_string();
    SyntaxSnafu { reason }.fail()
}

fn answer_head(
    parsed: &httparse::Response<'_, '_>,
    size_bytes: usize,
    method: Method,
) -> Result<AnswerHead, AnswerHeadError> {
    let headers = &*parsed.headers;
    let code = parsed.code.unwrap_or_default();
    let status = known_status(code).map_or_else(|| answer_syntax(format!("unknown status {code}")), Ok)?;
    // No request of this client asks for another protocol.
    if status == StatusCode::SwitchingProtocols {
        return answer_syntax("the peer switches protocols");
    }
    let is_http_1_1 = parsed.version == Some(1);
    let stated = stated_framing(headers)?;
    if !is_http_1_1 && stated == Some(Framing::Chunked) {
        return answer_syntax("HTTP/1.0 has no transfer-encoding");
    }
    let mut response = Response::new(status);
    for (name, value) in copied(headers).or_else(answer_syntax)? {
        response.append_header(name, value);
    }
    let framing = match stated {
        _ if has_no_body(status, method) => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::ToClose,
    };
    Ok(AnswerHead {
        keep_alive: is_http_1_1 && framing != Framing::ToClose && !has_token(headers, "connection", "close"),
        idle_timeout: stated_idle_timeout(headers),
        response,
        framing,
        size_bytes,
    })
}

/// The timeout of the `keep-alive` header.
fn stated_idle_timeout(headers: &[Header<'_>]) -> Option<Duration> {
    let parameters = values(headers, "keep-alive").into_iter().next()?;
    let text = std::str::from_utf8(parameters).ok()?;
    let seconds = text
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// The status, or the first one of its class when `http-types` has no name for it (RFC 9110, section 15).
fn known_status(code: u16) -> Option<StatusCode> {
    let first_of_class = code - code % 100;
    let status = StatusCode::try_from(code).or_else(|_| StatusCode::try_from(first_of_class));
    status.ok()
}

/// Whether an answer with `status` to a request with `method` ends with its head.
pub(crate) fn has_no_body(status: StatusCode, method: Method) -> bool {
    let bodiless = [StatusCode::NoContent, StatusCode::NotModified];
    method == Method::Head || status.is_informational() || bodiless.contains(&status)
}

fn copied(headers: &[Header<'_>]) -> Result<Vec<(HeaderName, HeaderValue)>, http_types::Error> {
    let copy = |header: &Header<'_>| {
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec())?;
        let value = HeaderValue::from_bytes(header.value.to_vec())?;
        Ok((name, value))
    };
    headers.iter().map(copy).collect()
}

/// `httparse` accepts a line feed alone as the end of a line. Other parsers do not, and two readings of one head let a
/// request hide in another.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let mut previous = None;
    for byte in head {
        if *byte == b'\n' && previous != Some(b'\r') {
            return true;
        }
        previous = Some(*byte);
    }
    false
}
