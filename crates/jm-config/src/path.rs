//! Path prefixes of routes. Paths are compared segment by segment after percent-decoding, so that another spelling of
//! a path cannot reach a route with fewer restrictions.

use std::{fmt, str::FromStr};

use snafu::{OptionExt, Snafu};

/// The text cannot be a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a path prefix: it starts with '/' and has no empty, '.' or '..' segments"))]
pub struct ParsePathError {
    text: String,
}

/// A prefix of a path in whole segments: `/orders` covers `/orders` and `/orders/7`, not `/orders-old`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PathPrefix {
    segments: Vec<String>,
}

impl PathPrefix {
    /// How many segments the prefix has; the prefix with most segments wins.
    pub fn depth(&self) -> usize {
        self.segments.len()
    }

    pub(crate) fn covers(&self, segments: &[String]) -> bool {
        segments.starts_with(&self.segments)
    }
}

impl FromStr for PathPrefix {
    type Err = ParsePathError;

    fn from_str(text: &str) -> Result<Self, ParsePathError> {
        let segments = decoded_segments(text).context(ParsePathSnafu { text })?;
        Ok(Self { segments })
    }
}

impl fmt::Display for PathPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "/{}", self.segments.join("/"))
    }
}

/// The decoded segments of a path, or nothing when targets could read the path in different ways: dot segments, empty
/// segments, and encoded separators or control characters.
pub(crate) fn decoded_segments(path: &str) -> Option<Vec<String>> {
    let rest = path.strip_prefix('/')?;
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    if rest.is_empty() {
        return (path == "/").then(Vec::new);
    }
    rest.split('/').map(decoded_segment).collect()
}

fn decoded_segment(segment: &str) -> Option<String> {
    let decoded = String::from_utf8(percent_decoded(segment.as_bytes())?).ok()?;
    let ambiguous = decoded.is_empty()
        || decoded == "."
        || decoded == ".."
        || decoded
            .chars()
            .any(|c| matches!(c, '/' | '\\' | '%' | ';' | '?' | '#') || c.is_control());
    (!ambiguous).then_some(decoded)
}

fn percent_decoded(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            decoded.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
        if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &rest[2..];
    }
    Some(decoded)
}
