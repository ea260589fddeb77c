//! CBOR encoding of stored objects and of message bodies.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Error for bytes that are not the CBOR encoding of the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("cannot decode a stored value or message: {source}"))]
pub struct DecodeError {
    source: ciborium::de::Error<std::io::Error>,
}

/// Encodes a value as CBOR.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector does not fail");
    bytes
}

/// Decodes a value from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).context(DecodeSnafu)
}
