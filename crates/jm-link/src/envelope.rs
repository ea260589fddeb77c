//! Message envelope and its CBOR encoding.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{PeerReply, PeerRequest};

/// A message together with the call it belongs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Call number, assigned by the client side. Handshake messages use 0.
    pub(crate) call: u64,
    pub(crate) kind: Kind,
}

/// Type and content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// First message of a connection, sent by the server side. The client side must sign the nonce.
    Challenge { nonce: serde_bytes::ByteBuf },
    /// Response to the challenge: the keyed digest of the nonce.
    Proof { proof: serde_bytes::ByteBuf },
    /// Opens a call. Sent by the client side.
    Request(PeerRequest),
    /// A reply of a call. A call may have several.
    Reply(PeerReply),
    /// The call has no more replies.
    End,
    /// The client side cancels the call.
    Cancel,
    /// The client side has consumed this number of reply bytes, which leave the flow-control window.
    Credit { bytes: u64 },
}

/// Reason why bytes cannot be decoded as a message.
#[derive(Debug, Snafu)]
pub(crate) enum DecodeError {
    /// The bytes are not valid CBOR or not a known message.
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
