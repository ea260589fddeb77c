//! Tickets and their signed text form.

use std::{fmt, str::FromStr};

use hmac::{Hmac, Mac};
use jm_types::{Incarnation, MemberId, OrganisationId, ResultCode, ServiceId, Timestamp};
use sha2::Sha256;
use snafu::Snafu;

use crate::digest::{decode_hex, encode_hex};

const FORMAT: &str = "t1";
/// Ids cannot contain this character, so the fields are unambiguous.
const SEPARATOR: char = '/';
const FIELDS: usize = 8;
const TAG_BYTES: usize = 32;

/// Permission to run one non-idempotent request at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The dispatch daemon that issued the ticket.
    pub member: MemberId,
    /// Incarnation of that daemon. No other incarnation may begin the ticket.
    pub incarnation: Incarnation,
    /// The organisation that may use the ticket.
    pub organisation: OrganisationId,
    /// The service that the request must address.
    pub service: ServiceId,
    /// Serial number of the ticket, unique within the incarnation.
    pub serial: u64,
    /// Time of issue on the issuer's monotonic clock. Only the issuer compares it.
    pub issued: Timestamp,
}

/// Why a ticket from a caller is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// The text does not have the form of a ticket.
    #[snafu(display("the ticket is malformed; send the text from /v1/tickets unchanged"))]
    Malformed,
    /// The HMAC tag does not match the ticket.
    #[snafu(display("the ticket was not issued by this system, or it was modified"))]
    Forged,
}

impl TicketError {
    /// The result code for the caller.
    pub const fn code(&self) -> ResultCode {
        ResultCode::MalformedTicket
    }
}

/// Secret of the fleet that tickets are signed with.
#[derive(Clone)]
pub struct TicketSecret(Vec<u8>);

impl fmt::Debug for TicketSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketSecret(..)")
    }
}

impl TicketSecret {
    /// Creates a secret from its bytes, which must be the same on every daemon of the fleet.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Signs a ticket. Callers receive the text form of the result.
    pub fn sign(&self, ticket: Ticket) -> SignedTicket {
        let tag = self.mac(&ticket).finalize().into_bytes().into();
        SignedTicket { ticket, tag }
    }

    fn mac(&self, ticket: &Ticket) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.0) {
            Ok(mac) => mac,
            Err(_) => unreachable!("HMAC accepts keys of every length"),
        };
        mac.update(signed_text(ticket).as_bytes());
        mac
    }
}

/// A ticket with its HMAC-SHA256 tag. Its text form is a valid header value. The ticket is only accessible through
/// [`SignedTicket::verify`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SignedTicket {
    ticket: Ticket,
    tag: [u8; TAG_BYTES],
}

impl SignedTicket {
    /// Checks the tag in constant time and returns the ticket.
    pub fn verify(&self, secret: &TicketSecret) -> Result<&Ticket, TicketError> {
        match secret.mac(&self.ticket).verify_slice(&self.tag) {
            Ok(()) => Ok(&self.ticket),
            Err(_) => Err(TicketError::Forged),
        }
    }
}

fn signed_text(ticket: &Ticket) -> String {
    let Ticket {
        member,
        incarnation,
        organisation,
        service,
        serial,
        issued,
    } = ticket;
    format!("{FORMAT}/{member}/{incarnation}/{organisation}/{service}/{serial}/{issued}")
}

impl fmt::Display for SignedTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{SEPARATOR}{}",
            signed_text(&self.ticket),
            encode_hex(&self.tag)
        )
    }
}

impl FromStr for SignedTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let signed = parse_fields(text).ok_or(TicketError::Malformed)?;
        // Rejects other spellings of a number, such as "+1", so that each ticket has exactly one text form.
        if signed.to_string() == text {
            Ok(signed)
        } else {
            Err(TicketError::Malformed)
        }
    }
}

fn parse_fields(text: &str) -> Option<SignedTicket> {
    let fields: Vec<&str> = text.splitn(FIELDS, SEPARATOR).collect();
    let [
        FORMAT,
        member,
        incarnation,
        organisation,
        service,
        serial,
        issued,
        tag,
    ] = fields[..]
    else {
        return None;
    };
    let ticket = Ticket {
        member: member.parse().ok()?,
        incarnation: incarnation.parse().ok()?,
        organisation: organisation.parse().ok()?,
        service: service.parse().ok()?,
        serial: serial.parse().ok()?,
        issued: issued.parse().ok()?,
    };
    Some(SignedTicket {
        ticket,
        tag: decode_hex(tag)?,
    })
}
