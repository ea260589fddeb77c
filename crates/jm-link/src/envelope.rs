//! Encoding of one message on the wire.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{PeerReply, PeerRequest};

/// One message of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Number of the call, chosen by the calling side.
    pub(crate) call: u64,
    /// Content.
    pub(crate) kind: Kind,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// First message of a connection, from the accepting side.
    Challenge { nonce: serde_bytes::ByteBuf },
    /// Answer to the challenge.
    Proof { proof: serde_bytes::ByteBuf },
    /// Opens a call.
    Request(PeerRequest),
    /// One reply of a call.
    Reply(PeerReply),
    /// The call has no more replies.
    End,
    /// The calling side has no more interest.
    Cancel,
    /// The calling side has consumed this many bytes of replies.
    Credit { bytes: u64 },
}

/// The bytes are not a message.
#[derive(Debug, Snafu)]
pub(crate) enum DecodeError {
    /// Not valid CBOR or not a known message.
    #[snafu(display("cannot decode a link message: {source}"))]
    Cbor {
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl Envelope {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(64);
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector does not fail");
        bytes
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        ciborium::from_reader(bytes).context(CborSnafu)
    }
}
