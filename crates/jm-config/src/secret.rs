//! Key secrets and their hashes. Only the hash is stored; see section 3.1 of `docs/design.md`.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Number of random bytes in a new secret.
pub const KEY_SECRET_BYTES: usize = 32;

const HASH_BYTES: usize = 32;

/// Prefix of generated secrets, so that scanners can find leaked secrets.
const SECRET_PREFIX: &str = "jmk_";

/// The secret of a key, as the caller sends it. `Debug` hides the secret, and `Display` is not implemented.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret(String);

impl KeySecret {
    /// Creates a secret from random bytes, which must come from the random number generator of the operating system.
    pub fn from_random(bytes: [u8; KEY_SECRET_BYTES]) -> Self {
        Self(format!("{SECRET_PREFIX}{}", hex(&bytes)))
    }

    /// Wraps a secret that a caller sent.
    pub fn from_text(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret in plain text, to be displayed to its owner once.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// The SHA-256 hash of the secret, which the document stores.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySecret(..)")
    }
}

/// The SHA-256 hash of a key's secret.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

/// Error for text that is not a SHA-256 hash. It omits the text, which may be a secret that was entered by mistake.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a SHA-256 hash has 64 hexadecimal digits"))]
pub struct ParseKeyHashError;

impl FromStr for KeyHash {
    type Err = ParseKeyHashError;

    fn from_str(text: &str) -> Result<Self, ParseKeyHashError> {
        let digits: Option<Vec<u8>> = text
            .chars()
            .map(|c| c.to_digit(16).and_then(|digit| u8::try_from(digit).ok()))
            .collect();
        let digits = digits.filter(|digits| digits.len() == 2 * HASH_BYTES);
        let digits = digits.ok_or(ParseKeyHashError)?;
        let mut hash = [0; HASH_BYTES];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = pair[0] << 4 | pair[1];
        }
        Ok(Self(hash))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = ParseKeyHashError;

    fn try_from(text: String) -> Result<Self, ParseKeyHashError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
