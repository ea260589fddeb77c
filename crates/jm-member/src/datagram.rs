//! Datagrams between members: CBOR with a tag by the fleet secret.

use jm_link::FleetSecret;
use jm_types::{MemberId, Revision};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{ContactReport, Epoch, LoadSummary, MemberState};

/// Largest datagram with its tag. It fits into one packet on every path of at least the IPv6 minimum of 1,280 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the tag before the CBOR bytes: HMAC-SHA-256 cut to 128 bits, as RFC 2104 permits. The tag is a tenth of the
/// traffic at full length.
const TAG_BYTES: usize = 16;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
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
    /// Newest revision that the sender knows to be accepted.
    #[serde(rename = "n")]
    pub accepted: Revision,
    /// The message.
    #[serde(rename = "b")]
    pub body: Body,
    /// Changes of the membership.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Load summaries.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<LoadSummary>,
}

/// The message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a [`Body::Ack`] with the same number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Answers a ping and passes on what the sender knows about the contacts of others. The second number asks for a
    /// [`Body::AckReply`], so that one exchange serves both sides.
    #[serde(rename = "a")]
    Ack(u64, u64, ContactReport),
    /// Answers an ack with the evidence of the other side.
    #[serde(rename = "r")]
    AckReply(u64, ContactReport),
    /// Asks for a [`Body::RelayedAck`] with the same number, on behalf of another member.
    #[serde(rename = "c")]
    RelayedPing(u64),
    /// Answers a check.
    #[serde(rename = "o")]
    RelayedAck(u64),
    /// Asks the receiver to check a member and to send [`Body::IndirectAck`] with the same number.
    #[serde(rename = "q")]
    PingRequest(u64, MemberId),
    /// The member of a ping request answered.
    #[serde(rename = "i")]
    IndirectAck(u64),
    /// Digests of the sender's view, one for each bucket of members.
    #[serde(rename = "d")]
    Sync(Vec<u32>),
    /// The sender's statements about the members of a bucket; asks for those that the receiver knows better.
    #[serde(rename = "v")]
    BucketUpdates(u8, Vec<Update>),
    /// Statements that are newer than those in a bucket.
    #[serde(rename = "w")]
    NewerUpdates(Vec<Update>),
}

/// A statement about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    #[serde(rename = "i")]
    pub member: MemberId,
    /// The epoch that the statement is about.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The state.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Update {
    /// Rounded size in a datagram.
    pub(crate) fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 20;
        FIXED_BYTES + self.member.as_str().len()
    }
}

/// Why a datagram was not accepted or not built.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// It does not fit into [`MAX_DATAGRAM_BYTES`] even without its optional parts.
    #[snafu(display("the datagram has {bytes} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"))]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The tag does not match: the sender does not have the fleet secret.
    #[snafu(display("the tag of the datagram does not match"))]
    WrongTag,
    /// The bytes are not a datagram.
    #[snafu(display("the datagram cannot be parsed: {source}"))]
    Malformed {
        /// The cause.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a datagram. Optional parts that do not fit are left out; they go with a later one.
pub fn encode_datagram(mut datagram: Datagram, secret: &FleetSecret) -> Result<Vec<u8>, DatagramError> {
    loop {
        let mut bytes = vec![0; TAG_BYTES];
        ciborium::into_writer(&datagram, &mut bytes).expect("writing to a vector does not fail");
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let tag = secret.sign(&bytes[TAG_BYTES..]);
            bytes[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
            return Ok(bytes);
        }
        ensure!(shorten(&mut datagram), TooLargeSnafu { bytes: bytes.len() });
    }
}

fn shorten(datagram: &mut Datagram) -> bool {
    if datagram.summaries.pop().is_some() || datagram.updates.pop().is_some() {
        return true;
    }
    match &mut datagram.body {
        Body::Ack(_, _, evidence) | Body::AckReply(_, evidence) => evidence.shorten(),
        Body::BucketUpdates(_, updates) | Body::NewerUpdates(updates) => updates.pop().is_some(),
        _ => false,
    }
}

/// Checks the tag and decodes a datagram.
pub fn decode_datagram(bytes: &[u8], secret: &FleetSecret) -> Result<Datagram, DatagramError> {
    ensure!(bytes.len() > TAG_BYTES, WrongTagSnafu);
    ensure!(
        bytes.len() <= MAX_DATAGRAM_BYTES,
        TooLargeSnafu { bytes: bytes.len() }
    );
    let (tag, content) = bytes.split_at(TAG_BYTES);
    ensure!(is_equal(&secret.sign(content)[..TAG_BYTES], tag), WrongTagSnafu);
    ciborium::from_reader(content).context(MalformedSnafu)
}

/// Compares without an early end, so that the time does not tell how much of a wrong tag matches.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
