//! Idempotency keys of callers. A conditional create in the object store maps each key to one ticket.

use std::{fmt, str::FromStr};

use jm_types::{OrganisationId, ResultCode};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::{RequestDigest, SignedTicket, digest::encode_hex};

const FORMAT: &str = "order1";

/// An idempotency key of a caller, scoped to the caller's organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderKey {
    organisation: OrganisationId,
    hash: String,
}

impl OrderKey {
    /// Hashes the key, so that its text is not stored and may contain characters that an object key cannot.
    pub fn new(organisation: OrganisationId, key: &str) -> Self {
        let hash = encode_hex(&Sha256::digest(key.as_bytes()));
        Self { organisation, hash }
    }

    /// Key of the object that stores the [`OrderRecord`].
    pub fn object_key(&self) -> String {
        format!("order/{}/{}", self.organisation, self.hash)
    }
}

/// Value of the object that an [`OrderKey`] refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Digest of the first request with the key.
    pub digest: RequestDigest,
    /// Ticket of the first request with the key. Tickets are unique, so the ticket identifies the creator of the
    /// object.
    pub ticket: SignedTicket,
}

/// The value of an order object is malformed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the order object is malformed"))]
pub struct ParseRecordError;

impl OrderRecord {
    /// Encodes the record as an object value.
    pub fn encode(&self) -> Vec<u8> {
        self.to_string().into_bytes()
    }

    /// Decodes an object value.
    pub fn decode(value: &[u8]) -> Result<Self, ParseRecordError> {
        std::str::from_utf8(value).map_err(|_| ParseRecordError)?.parse()
    }
}

impl fmt::Display for OrderRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{FORMAT} {} {}", self.digest, self.ticket)
    }
}

impl FromStr for OrderRecord {
    type Err = ParseRecordError;

    fn from_str(text: &str) -> Result<Self, ParseRecordError> {
        let fields: Vec<&str> = text.split(' ').collect();
        let [FORMAT, digest, ticket] = fields[..] else {
            return Err(ParseRecordError);
        };
        Ok(Self {
            digest: digest.parse().map_err(|_| ParseRecordError)?,
            ticket: ticket.parse().map_err(|_| ParseRecordError)?,
        })
    }
}

/// Result of the conditional create of an order object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome<'a> {
    /// The object was created with the caller's record.
    Created,
    /// The object already exists with this value.
    Exists(&'a [u8]),
    /// No response arrived, so the object may have been created.
    Unknown,
    /// The store was unreachable or rejected the request.
    Unavailable,
}

/// Result of reading an order object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome<'a> {
    /// The object has this value.
    Found(&'a [u8]),
    /// The object does not exist.
    Absent,
    /// The store was unreachable or did not respond.
    Unavailable,
}

/// Next action for a request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Begin this ticket at the incarnation that it names, which may belong to another daemon.
    Begin(SignedTicket),
    /// Read the object and pass the result to [`OrderRecord::decide_read`].
    ReadBack,
    /// Retry the conditional create with the same record.
    RetryCreate,
    /// Refuse the request with this code. No ticket was begun for it.
    Refuse(ResultCode),
}

impl OrderRecord {
    /// Decides what to do after a conditional create of this record.
    pub fn decide_create(&self, outcome: CreateOutcome<'_>) -> OrderDecision {
        match outcome {
            CreateOutcome::Created => OrderDecision::Begin(self.ticket.clone()),
            CreateOutcome::Exists(value) => self.decide_value(value),
            CreateOutcome::Unknown => OrderDecision::ReadBack,
            CreateOutcome::Unavailable => OrderDecision::Refuse(ResultCode::StoreUnavailable),
        }
    }

    /// Decides what to do after reading the object back. A refusal is correct even if the create succeeded: no
    /// ticket was begun for this request, and a retry finds the ticket in the object.
    pub fn decide_read(&self, outcome: ReadOutcome<'_>) -> OrderDecision {
        match outcome {
            ReadOutcome::Found(value) => self.decide_value(value),
            ReadOutcome::Absent => OrderDecision::RetryCreate,
            ReadOutcome::Unavailable => OrderDecision::Refuse(ResultCode::StoreUnavailable),
        }
    }

    fn decide_value(&self, value: &[u8]) -> OrderDecision {
        match Self::decode(value) {
            Ok(stored) if stored.digest == self.digest => OrderDecision::Begin(stored.ticket),
            Ok(_) => OrderDecision::Refuse(ResultCode::RequestMismatch),
            Err(_) => OrderDecision::Refuse(ResultCode::Internal),
        }
    }
}
