//! Datagrams between members: CBOR with an authentication tag keyed by the fleet secret.

use jm_link::FleetSecret;
use jm_types::{MemberId, Revision};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{ContactReport, Epoch, LoadSummary, MemberState};

/// Largest datagram including its tag. It fits into one packet on every path with at least the IPv6 minimum MTU of
/// 1,280 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the tag before the CBOR bytes: HMAC-SHA-256 truncated to 128 bits, as RFC 2104 permits. A full-length tag
/// would make up a tenth of the traffic.
const TAG_BYTES: usize = 16;

/// A message with the sender's state and piggybacked updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Id of the sender.
    #[serde(rename = "f")]
    pub from: MemberId,
    /// Epoch of the sender.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// State of the sender: alive or leaving.
    #[serde(rename = "t")]
    pub state: MemberState,
    /// Configuration revision that the sender has applied.
    #[serde(rename = "r")]
    pub applied: Revision,
    /// Newest accepted revision that the sender has learned of.
    #[serde(rename = "n")]
    pub accepted: Revision,
    /// Message that the receiver handles after the sender's state.
    #[serde(rename = "b")]
    pub body: Body,
    /// Piggybacked membership updates.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Piggybacked load summaries.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<LoadSummary>,
}

/// Message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`] with the same number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Answers a ping and reports the sender's contacts with other members. The second number requests a
    /// [`Body::AckReply`], so that one exchange gives both sides a report.
    #[serde(rename = "a")]
    Ack(u64, u64, ContactReport),
    /// Answers an ack with the contact report of the other side.
    #[serde(rename = "r")]
    AckReply(u64, ContactReport),
    /// Pings the receiver on behalf of another member. Requests a [`Body::RelayedAck`] with the same number.
    #[serde(rename = "c")]
    RelayedPing(u64),
    /// Answers a relayed ping.
    #[serde(rename = "o")]
    RelayedAck(u64),
    /// Requests that the receiver ping a member and send [`Body::IndirectAck`] with the same number if the member
    /// answers.
    #[serde(rename = "q")]
    PingRequest(u64, MemberId),
    /// Reports that the member of a ping request answered.
    #[serde(rename = "i")]
    IndirectAck(u64),
    /// Digests of the sender's view, one for each bucket of members.
    #[serde(rename = "d")]
    Sync(Vec<u32>),
    /// The sender's updates about all members of a bucket. Requests the updates of the receiver that are newer.
    #[serde(rename = "v")]
    BucketUpdates(u8, Vec<Update>),
    /// Updates that are newer than those received in [`Body::BucketUpdates`].
    #[serde(rename = "w")]
    NewerUpdates(Vec<Update>),
}

/// State of a member in one epoch, as passed between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Id of the member.
    #[serde(rename = "i")]
    pub member: MemberId,
    /// Epoch that the state belongs to.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// State of the member in that epoch.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Update {
    /// Estimated encoded size.
    pub(crate) fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 20;
        FIXED_BYTES + self.member.as_str().len()
    }
}

/// Errors of encoding or decoding a datagram.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`], when encoding even without its optional parts.
    #[snafu(display("the datagram has {bytes} bytes, the limit is {MAX_DATAGRAM_BYTES}"))]
    TooLarge {
        /// Size of the datagram.
        bytes: usize,
    },
    /// The tag does not match, so the sender does not have the fleet secret or the bytes were changed.
    #[snafu(display("the authentication tag of the datagram does not match"))]
    WrongTag,
    /// The bytes after the tag are not a valid datagram.
    #[snafu(display("cannot decode the datagram: {source}"))]
    Malformed {
        /// Decoding error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a datagram and prepends its tag. Optional parts that do not fit are left out and sent with a later
/// datagram.
pub fn encode_datagram(mut datagram: Datagram, secret: &FleetSecret) -> Result<Vec<u8>, DatagramError> {
    loop {
        let mut bytes = vec![0; TAG_BYTES];
        ciborium::into_writer(&datagram, &mut bytes).expect("writing to a vector cannot fail");
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let tag = secret.sign(&bytes[TAG_BYTES..]);
            bytes[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
            return Ok(bytes);
        }
        ensure!(
            drop_optional_part(&mut datagram),
            TooLargeSnafu { bytes: bytes.len() }
        );
    }
}

fn drop_optional_part(datagram: &mut Datagram) -> bool {
    if datagram.summaries.pop().is_some() || datagram.updates.pop().is_some() {
        return true;
    }
    match &mut datagram.body {
        Body::Ack(_, _, report) | Body::AckReply(_, report) => report.drop_last_row(),
        Body::BucketUpdates(_, updates) | Body::NewerUpdates(updates) => updates.pop().is_some(),
        _ => false,
    }
}

/// Verifies the tag and decodes a datagram.
pub fn decode_datagram(bytes: &[u8], secret: &FleetSecret) -> Result<Datagram, DatagramError> {
    ensure!(bytes.len() > TAG_BYTES, WrongTagSnafu);
    ensure!(
        bytes.len() <= MAX_DATAGRAM_BYTES,
        TooLargeSnafu { bytes: bytes.len() }
    );
    let (tag, content) = bytes.split_at(TAG_BYTES);
    ensure!(
        constant_time_eq(&secret.sign(content)[..TAG_BYTES], tag),
        WrongTagSnafu
    );
    ciborium::from_reader(content).context(MalformedSnafu)
}

/// Compares in constant time, so that the timing does not reveal how much of a wrong tag matches.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
