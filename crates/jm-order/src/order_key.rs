//! Callers' idempotency keys, each mapped to one ticket by a conditional create in the object store.

use std::{fmt, str::FromStr};

use jm_types::{OrganisationId, ResultCode};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::{RequestDigest, SignedTicket, digest::encode_hex};

const FORMAT: &str = "order1";

/// A caller's idempotency key within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderKey {
    organisation: OrganisationId,
    hash: String,
}

impl OrderKey {
    /// Hashes the key, so that its text neither stands in the store nor limits the object key.
    pub fn new(organisation: OrganisationId, key: &str) -> Self {
        let hash = encode_hex(&Sha256::digest(key.as_bytes()));
        Self { organisation, hash }
    }

    /// Key of the object that holds the [`OrderRecord`].
    pub fn object_key(&self) -> String {
        format!("order/{}/{}", self.organisation, self.hash)
    }
}

/// Value of the object of an [`OrderKey`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Digest of the request that used the key first.
    pub digest: RequestDigest,
    /// The ticket of that request. Tickets are unique, so it also tells who created the object.
    pub ticket: SignedTicket,
}

/// The value of an order object cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the order object cannot be read"))]
pub struct ParseRecordError;

impl OrderRecord {
    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        self.to_string().into_bytes()
    }

    /// Reads a stored value.
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

/// How the conditional create of an order object ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome<'a> {
    /// The object was created with the own record.
    Created,
    /// The object exists with this value.
    Exists(&'a [u8]),
    /// No answer came; the object may have been created.
    Unknown,
    /// The store was not reached or refused.
    Unavailable,
}

/// How reading an order object ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome<'a> {
    /// The object has this value.
    Found(&'a [u8]),
    /// The object does not exist.
    Absent,
    /// The store was not reached or did not answer.
    Unavailable,
}

/// What to do with a request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Begin this ticket at the incarnation that it names, which may be another daemon's.
    Begin(SignedTicket),
    /// Read the object and decide with [`OrderRecord::decide_read`].
    ReadBack,
    /// Repeat the conditional create with the same record.
    RetryCreate,
    /// Refuse with this code; no ticket was begun for the request.
    Refuse(ResultCode),
}

impl OrderRecord {
    /// Decides after the conditional create of this record.
    pub fn decide_create(&self, outcome: CreateOutcome<'_>) -> OrderDecision {
        match outcome {
            CreateOutcome::Created => OrderDecision::Begin(self.ticket.clone()),
            CreateOutcome::Exists(value) => self.decide_value(value),
            CreateOutcome::Unknown => OrderDecision::ReadBack,
            CreateOutcome::Unavailable => OrderDecision::Refuse(ResultCode::StoreUnavailable),
        }
    }

    /// Decides after reading the object back. A refusal is true even when the create took effect: no ticket
    /// was begun for this request, and a repetition finds the ticket in the object.
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
