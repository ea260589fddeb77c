//! Path prefixes of routes. Paths are compared segment by segment after percent-decoding. Otherwise a caller could
//! bypass a restrictive route by encoding its path differently.

use std::{fmt, str::FromStr};

use jm_uri::decoded_segment;
use snafu::{OptionExt, Snafu};

/// Error for text that is not a valid path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a path prefix: a prefix starts with '/' and has no empty, '.' or '..' segments"
))]
pub struct ParsePathError {
    text: String,
}

/// A path prefix that matches whole segments: `/orders` matches `/orders` and `/orders/7`, but not `/orders-old`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PathPrefix {
    segments: Vec<String>,
}

impl PathPrefix {
    /// The number of segments. Among matching prefixes, the one with the most segments takes precedence.
    pub fn depth(&self) -> usize {
        self.segments.len()
    }

    pub(crate) fn matches(&self, segments: &[String]) -> bool {
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

/// Splits a path into percent-decoded segments. Returns `None` for an ambiguous path, which targets could interpret in
/// different ways: one with dot segments, empty segments, or encoded separators or control characters.
pub(crate) fn decoded_segments(path: &str) -> Option<Vec<String>> {
    let rest = path.strip_prefix('/')?;
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    if rest.is_empty() {
        return (path == "/").then(Vec::new);
    }
    rest.split('/').map(unambiguous_segment).collect()
}

fn unambiguous_segment(segment: &str) -> Option<String> {
    // An escape that is not valid stays as it is, so its percent sign makes the segment ambiguous.
    let decoded = decoded_segment(segment)?;
    let ambiguous = decoded.is_empty()
        || decoded == "."
        || decoded == ".."
        || decoded
            .chars()
            .any(|c| matches!(c, '/' | '\\' | '%' | ';' | '?' | '#') || c.is_control());
    (!ambiguous).then(|| decoded.into_owned())
}
