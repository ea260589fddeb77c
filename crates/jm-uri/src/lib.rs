//! Encoding and decoding of ids and names in paths and queries.
//!
//! Clients may percent-encode any character of a path or query (RFC 3986, section 2.1), and libraries differ in which ones
//! they encode. An id therefore has to be decoded before it is compared.
//!
//! In the other direction, a name may hold any character, so it is encoded wherever it becomes a part of a path or query.

#![deny(missing_docs, unsafe_code)]

use std::borrow::Cow;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Every byte but the unreserved ones (RFC 3986, section 2.3), which no library changes or gives a meaning.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes a name as one segment of a path, also a name with a slash.
///
/// The names `.` and `..` get encoded dots. A URL library still treats them as relative segments, so a path with names of
/// others has to be sent as it is, without being parsed as a URL.
pub fn encoded_segment(name: &str) -> Cow<'_, str> {
    match name {
        "." => Cow::Borrowed("%2E"),
        ".." => Cow::Borrowed("%2E%2E"),
        _ => encoded_value(name),
    }
}

/// Encodes the value of a parameter in a query. Spaces and plus signs are encoded, because only some libraries decode a plus
/// sign as a space.
pub fn encoded_value(value: &str) -> Cow<'_, str> {
    utf8_percent_encode(value, RESERVED).into()
}

/// Decodes a segment of a path. A plus sign stands for itself, and so does a percent sign that no two hexadecimal digits
/// follow. Returns `None` if the decoded bytes are not UTF-8.
pub fn decoded_segment(segment: &str) -> Option<Cow<'_, str>> {
    percent_decode_str(segment).decode_utf8().ok()
}

/// The decoded value of the first parameter with this name. Unlike in a form, a plus sign stands for itself, because ids
/// may hold plus signs but no spaces.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let pairs = query.split('&');
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let (_, value) = pairs.find(|(key, _)| decoded_segment(key).is_some_and(|key| key == name))?;
    decoded_segment(value)
}
