//! Digest of a request, used to bind a ticket or an idempotency key to one request.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

const DIGEST_BYTES: usize = 32;

/// SHA-256 over the method, path and body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// The text is not a digest of 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a request digest must have 64 lower-case hexadecimal digits"))]
pub struct ParseDigestError;

impl RequestDigest {
    /// Computes the digest of a request. Each part is prefixed with its length, so that moving bytes from one part
    /// to another changes the digest.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&encode_hex(&self.0))
    }
}

impl FromStr for RequestDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        decode_hex(text).map(Self).ok_or(ParseDigestError)
    }
}

pub(crate) fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn decode_hex(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * DIGEST_BYTES {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
    }
    Some(bytes)
}

fn hex_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
