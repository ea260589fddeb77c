//! Parsing and validation of request and response heads.

use std::time::Duration;

use http_types::{
    Method, Request, Response, StatusCode, Url, Version,
    headers::{HeaderName, HeaderValue},
};
use httparse::{EMPTY_HEADER, Header, Status};
use jm_types::ResultCode;
use snafu::Snafu;

use crate::{
    SentStatus,
    framing::{Framing, FramingError, declared_framing, has_token, header_values},
    status::known_status,
};

/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 128;

/// The path and query of a request as received. [`Url`] normalises both, so a request that is forwarded unchanged
/// carries this value in addition to its URL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget(String);

impl RequestTarget {
    /// Wraps the path and query of a request head without validation.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the path and query as received.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.0.split('?').next().unwrap_or_default()
    }
}

/// Error response to a request that is not passed to the handler.
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
    /// Encoded size of the head.
    pub(crate) size_bytes: usize,
}

/// Parses the request head at the start of `input`. Returns `None` while the head is incomplete.
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
    if header_values(headers, "authorization").len() > 1 {
        return Err(malformed("the authorization header occurs more than once"));
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
    for (name, value) in copy_headers(headers).map_err(malformed)? {
        request.append_header(name, value);
    }
    Ok(RequestHead {
        request,
        framing: declared_framing(headers)?.unwrap_or(Framing::Length(0)),
        expects_continue: expects_continue(headers)?,
        keep_alive: !has_token(headers, "connection", "close"),
        size_bytes,
    })
}

fn expects_continue(headers: &[Header<'_>]) -> Result<bool, Refusal> {
    match header_values(headers, "expect").as_slice() {
        [] => Ok(false),
        [value] if value.trim_ascii().eq_ignore_ascii_case(b"100-continue") => Ok(true),
        _ => Err(Refusal::new(
            ResultCode::UnsupportedExpectation,
            "only \"expect: 100-continue\" is supported",
        )),
    }
}

fn request_url(headers: &[Header<'_>], target: &str) -> Result<Url, Refusal> {
    let host = match header_values(headers, "host").as_slice() {
        [host] => std::str::from_utf8(host).map_err(malformed)?.trim(),
        [] => return Err(malformed("the host header is missing")),
        _ => return Err(malformed("the host header occurs more than once")),
    };
    if host.is_empty() || host.contains(['/', '\\', '@', '?', '#']) {
        return Err(malformed("the host header is not valid"));
    }
    // `Url` strips everything after "#" and converts "\" to "/", so the handler would receive a different path.
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

/// Reason why a response head is rejected.
#[derive(Debug, Snafu)]
pub(crate) enum ResponseHeadError {
    #[snafu(display("the head cannot be read: {reason}"))]
    Syntax { reason: String },
    #[snafu(display("the head exceeds the limit"))]
    TooLarge,
    #[snafu(display("{source}"), context(false))]
    ResponseFraming { source: FramingError },
}

/// A complete and valid response head.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) response: Response,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
    /// Idle timeout that the peer announced in the `keep-alive` header.
    pub(crate) idle_timeout: Option<Duration>,
    /// Encoded size of the head.
    pub(crate) size_bytes: usize,
}

impl ResponseHead {
    /// Whether another response head follows for the same request.
    pub(crate) fn is_interim(&self) -> bool {
        self.response.status().is_informational()
    }
}

/// Parses the head at the start of `input` of the response to a request with `method`. Returns `None` while the head is
/// incomplete.
pub(crate) fn parse_response(
    input: &[u8],
    limit_bytes: usize,
    method: Method,
) -> Result<Option<ResponseHead>, ResponseHeadError> {
    // `httparse` skips empty lines. Only servers may do so, and only in front of a request.
    if input.first().is_some_and(|byte| b"\r\n".contains(byte)) {
        return response_syntax("the head begins with an empty line");
    }
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(input).or_else(response_syntax)?;
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
        return response_syntax("a line does not end with CR LF");
    }
    response_head(&parsed, used, method).map(Some)
}

fn response_syntax<T>(reason: impl ToString) -> Result<T, ResponseHeadError> {
    let reason = reason.to_string();
    SyntaxSnafu { reason }.fail()
}

fn response_head(
    parsed: &httparse::Response<'_, '_>,
    size_bytes: usize,
    method: Method,
) -> Result<ResponseHead, ResponseHeadError> {
    let headers = &*parsed.headers;
    let code = parsed.code.unwrap_or_default();
    let status = known_status(code).map_or_else(|| response_syntax(format!("unknown status {code}")), Ok)?;
    // This client never requests a protocol upgrade.
    if status == StatusCode::SwitchingProtocols {
        return response_syntax("unexpected status 101 Switching Protocols");
    }
    let is_http_1_1 = parsed.version == Some(1);
    let declared = declared_framing(headers)?;
    if !is_http_1_1 && declared == Some(Framing::Chunked) {
        return response_syntax("transfer-encoding is not valid in HTTP/1.0");
    }
    let mut response = Response::new(status);
    if let Some(sent) = SentStatus::new(code) {
        sent.keep_in(&mut response);
    }
    for (name, value) in copy_headers(headers).or_else(response_syntax)? {
        response.append_header(name, value);
    }
    let framing = match declared {
        _ if has_no_body(status, method) => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    Ok(ResponseHead {
        keep_alive: is_http_1_1
            && framing != Framing::UntilClose
            && !has_token(headers, "connection", "close"),
        idle_timeout: keep_alive_timeout(headers),
        response,
        framing,
        size_bytes,
    })
}

/// Parses the timeout parameter of the `keep-alive` header.
fn keep_alive_timeout(headers: &[Header<'_>]) -> Option<Duration> {
    let parameters = header_values(headers, "keep-alive").into_iter().next()?;
    let text = std::str::from_utf8(parameters).ok()?;
    let seconds = text
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// Whether a response with `status` to a request with `method` never has a body.
pub(crate) fn has_no_body(status: StatusCode, method: Method) -> bool {
    let bodiless = [StatusCode::NoContent, StatusCode::NotModified];
    method == Method::Head || status.is_informational() || bodiless.contains(&status)
}

fn copy_headers(headers: &[Header<'_>]) -> Result<Vec<(HeaderName, HeaderValue)>, http_types::Error> {
    let copy = |header: &Header<'_>| {
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec())?;
        let value = HeaderValue::from_bytes(header.value.to_vec())?;
        Ok((name, value))
    };
    headers.iter().map(copy).collect()
}

/// Whether a line of the head ends without a carriage return. `httparse` accepts such lines and other parsers do not.
/// This difference would allow request smuggling.
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
