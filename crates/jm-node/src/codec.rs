//! CBOR for stored objects and for messages of one duty.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// The bytes are not the expected value.
#[derive(Debug, Snafu)]
#[snafu(display("cannot decode a stored value or message: {source}"))]
pub struct DecodeError {
    source: ciborium::de::Error<std::io::Error>,
}

/// The CBOR form of a value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector does not fail");
    bytes
}

/// Reads a value from its CBOR form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).context(DecodeSnafu)
}
