//! Filters the parts of a caller's request that are forwarded to a target. Section 3.1 of `docs/design.md` states the
//! rules.
//!
//! Headers are forwarded only if they are on an allow-list. The caller's key must not reach a target in any other part
//! of the request, so a request that contains it in the path, the query, an allowed header or the body is refused.

use std::fmt;

use indexmap::IndexMap;
use jm_http::Method;
use jm_types::ResultCode;
use snafu::{Snafu, ensure};

use crate::key_search::KeySearch;

/// Headers of the caller that are forwarded. Callers cannot set `jm-*` headers, which only the system adds.
const ALLOWED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "content-language",
    "content-length",
    "content-type",
];

/// The head of a caller's request.
#[derive(Debug, Clone, Copy)]
pub struct CallerHead<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path and query as they would be sent to the target.
    pub path_and_query: &'a str,
    /// Names and values of all headers, in the order in which they were received.
    pub headers: &'a [(&'a str, &'a str)],
}

/// The request head that is forwarded to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedHead {
    /// The HTTP method.
    pub method: Method,
    /// The path and query, unchanged.
    pub path_and_query: String,
    /// Values of the allowed headers by lower-case name. The values of a repeated header are joined with commas.
    pub headers: IndexMap<String, String>,
}

/// A part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPart {
    /// The path or the query.
    PathAndQuery,
    /// The header with this name.
    Header(&'static str),
    /// The body of the request.
    Body,
}

impl fmt::Display for RequestPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PathAndQuery => f.write_str("path or query"),
            Self::Header(name) => write!(f, "header {name}"),
            Self::Body => f.write_str("body"),
        }
    }
}

/// Why a request is not forwarded. The message never includes the key that was found.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ForwardError {
    /// A part that would be forwarded contains the caller's key.
    #[snafu(display("the {part} contains the caller's key"))]
    KeyInRequest {
        /// The part in which the key was found.
        part: RequestPart,
    },
}

impl ForwardError {
    /// The result code of the refusal.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::KeyInRequest { .. } => ResultCode::KeyInRequest,
        }
    }
}

/// Filters the head of a request that was sent with `key`. `key` is `None` when the request has no key.
///
/// Fails when the path, the query or an allowed header contains the key in any encoding. Other headers may contain the
/// key, as `authorization` does, because they are not forwarded.
pub fn forward_head(caller: &CallerHead<'_>, key: Option<&str>) -> Result<ForwardedHead, ForwardError> {
    let search = key.map(KeySearch::new);
    check(
        search.as_ref(),
        caller.path_and_query.as_bytes(),
        RequestPart::PathAndQuery,
    )?;
    let mut headers = IndexMap::new();
    for name in ALLOWED_HEADERS {
        let Some(value) = joined_value(caller.headers, name) else {
            continue;
        };
        check(search.as_ref(), value.as_bytes(), RequestPart::Header(name))?;
        headers.insert(name.to_owned(), value);
    }
    Ok(ForwardedHead {
        method: caller.method,
        path_and_query: caller.path_and_query.to_owned(),
        headers,
    })
}

/// Fails when `body` contains `key` in any encoding. `key` is `None` when the request has no key.
pub fn check_body_for_key(body: &[u8], key: Option<&str>) -> Result<(), ForwardError> {
    check(key.map(KeySearch::new).as_ref(), body, RequestPart::Body)
}

fn check(search: Option<&KeySearch>, text: &[u8], part: RequestPart) -> Result<(), ForwardError> {
    let is_found = search.is_some_and(|search| search.is_in(text));
    ensure!(!is_found, KeyInRequestSnafu { part });
    Ok(())
}

fn joined_value(headers: &[(&str, &str)], name: &str) -> Option<String> {
    let named = headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name));
    let values = named.map(|(_, value)| *value).collect::<Vec<_>>();
    (!values.is_empty()).then(|| values.join(", "))
}
