//! Decoding of ids in paths and queries.
//!
//! Clients may percent-encode any character of a path or query (RFC 3986, section 2.1), and libraries differ in which ones
//! they encode. An id therefore has to be decoded before it is compared.

#![deny(missing_docs, unsafe_code)]

use std::borrow::Cow;

use percent_encoding::percent_decode_str;

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
