//! Reports of contacts with other members, as sent in answers to pings.
//!
//! All ages are upper bounds at the time at which the answer is built. The receiver adds the time since it sent its
//! ping. The sum is an upper bound on the receiver's clock, independent of the delay of the answer.

use jm_types::Revision;
use serde::{Deserialize, Serialize};

/// Resolution of an encoded age. The largest encoded age, 254 steps, exceeds the freshness bound.
const AGE_STEP_MS: u64 = 16;

/// Encodes a value that is unknown or too large for one byte.
const UNKNOWN: u8 = u8::MAX;

/// Maximum number of member rows in one answer. In larger zones, successive answers report different members.
pub(crate) const MAX_MEMBER_ROWS: usize = 64;

/// Maximum number of zone rows in one answer.
pub(crate) const MAX_ZONE_ROWS: usize = 32;

/// Size of a member row: a short id (2 bytes), an age and a revision lag.
const MEMBER_ROW_BYTES: usize = 4;

/// Size of a zone row: a short id (2 bytes), the count, age and revision lag of contacts, and the count and revision
/// lag of applied revisions.
const ZONE_ROW_BYTES: usize = 7;

/// Contact report in an answer. Rows are packed into bytes, because these reports make up most of the control traffic.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// Revision from which encoded lags are subtracted.
    #[serde(rename = "b")]
    base: Revision,
    /// Difference between the base and the highest revision that any contact of the member rows had.
    #[serde(rename = "o")]
    max_revision_lag: u64,
    /// Packed rows of members in the zone of sender and receiver. Empty when their zones differ.
    #[serde(
        rename = "m",
        with = "serde_bytes",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    members: Vec<u8>,
    /// Packed zone totals.
    #[serde(
        rename = "z",
        with = "serde_bytes",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    zones: Vec<u8>,
}

/// Last contact and applied revision of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberRow {
    /// Short id of the member.
    pub member: u16,
    /// Age of the last contact, rounded up. `None` without a contact or when the age exceeds the encodable range.
    pub age_ms: Option<u64>,
    /// Lower bound on the revision that the member has applied. `None` when it is unknown or too far below the base.
    pub applied: Option<Revision>,
}

/// Totals of one zone. A member belongs to one zone only, so the counts of several zones can be added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRow {
    /// Short id of the zone.
    pub zone: u16,
    /// Contacts with members of the zone.
    pub contact: Option<ZoneContact>,
    /// Revisions that members of the zone have applied.
    pub applied: Option<ZoneApplied>,
}

/// States that members of a zone were contacted at most `age_ms` ago and had no revision above `max_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneContact {
    /// Number of members.
    pub count: usize,
    /// Age of the oldest contact.
    pub age_ms: u64,
    /// Upper bound on the revisions of these members.
    pub max_revision: Revision,
}

/// States that members of a zone have applied at least `min_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneApplied {
    /// Number of members.
    pub count: usize,
    /// Lower bound on the revisions of these members.
    pub min_revision: Revision,
}

impl ContactReport {
    /// Packs rows. No revision in them may be above `base`, and no contact of the member rows above `max_revision`.
    pub fn new(base: Revision, max_revision: Revision, members: &[MemberRow], zones: &[ZoneRow]) -> Self {
        let codec = RowCodec { base };
        Self {
            base,
            max_revision_lag: base.saturating_sub(max_revision).get(),
            members: members.iter().flat_map(|row| codec.pack_member(row)).collect(),
            zones: zones.iter().flat_map(|row| codec.pack_zone(row)).collect(),
        }
    }

    /// Decodes the member rows.
    pub fn members(&self) -> impl Iterator<Item = MemberRow> {
        let codec = RowCodec { base: self.base };
        let rows = self.members.chunks_exact(MEMBER_ROW_BYTES);
        rows.map(move |row| codec.unpack_member(row))
    }

    /// Decodes the zone rows.
    pub fn zones(&self) -> impl Iterator<Item = ZoneRow> {
        let codec = RowCodec { base: self.base };
        let rows = self.zones.chunks_exact(ZONE_ROW_BYTES);
        rows.map(move |row| codec.unpack_zone(row))
    }

    /// Upper bound on the revisions of the contacts in the member rows.
    pub fn max_revision(&self) -> Revision {
        self.base.saturating_sub(Revision::new(self.max_revision_lag))
    }

    pub(crate) fn drop_last_row(&mut self) -> bool {
        let rows = if self.members.is_empty() {
            (&mut self.zones, ZONE_ROW_BYTES)
        } else {
            (&mut self.members, MEMBER_ROW_BYTES)
        };
        let rest = rows.0.len().checked_sub(rows.1);
        rest.map(|rest| rows.0.truncate(rest)).is_some()
    }
}

/// Converts between values and bytes. Rounding is conservative: ages and maximum revisions are rounded up, counts and
/// applied revisions down.
#[derive(Clone, Copy)]
struct RowCodec {
    base: Revision,
}

impl RowCodec {
    fn pack_member(self, row: &MemberRow) -> [u8; MEMBER_ROW_BYTES] {
        let [a, b] = row.member.to_be_bytes();
        let age = row.age_ms.and_then(encode_age).unwrap_or(UNKNOWN);
        let applied = row.applied.and_then(|applied| self.lag(applied));
        [a, b, age, applied.unwrap_or(UNKNOWN)]
    }

    fn unpack_member(self, row: &[u8]) -> MemberRow {
        MemberRow {
            member: u16::from_be_bytes([row[0], row[1]]),
            age_ms: decode_byte(row[2]).map(|steps| steps * AGE_STEP_MS),
            applied: decode_byte(row[3]).map(|lag| self.revision(lag)),
        }
    }

    fn pack_zone(self, row: &ZoneRow) -> [u8; ZONE_ROW_BYTES] {
        let [a, b] = row.zone.to_be_bytes();
        let contact = row.contact.and_then(|contact| self.pack_contact(&contact));
        let [count, age, max_revision] = contact.unwrap_or([0, UNKNOWN, 0]);
        let applied = row.applied.and_then(|applied| {
            let lag = self.lag(applied.min_revision)?;
            Some([encode_count(applied.count), lag])
        });
        let [applied, min_revision] = applied.unwrap_or([0, UNKNOWN]);
        [a, b, count, age, max_revision, applied, min_revision]
    }

    fn pack_contact(self, contact: &ZoneContact) -> Option<[u8; 3]> {
        let age = encode_age(contact.age_ms)?;
        let max_revision = self.lag(contact.max_revision).unwrap_or(UNKNOWN);
        Some([encode_count(contact.count), age, max_revision])
    }

    fn unpack_zone(self, row: &[u8]) -> ZoneRow {
        let contact = decode_byte(row[3]).map(|steps| ZoneContact {
            count: usize::from(row[2]),
            age_ms: steps * AGE_STEP_MS,
            max_revision: self.revision(u64::from(row[4])),
        });
        let applied = decode_byte(row[6]).map(|lag| ZoneApplied {
            count: usize::from(row[5]),
            min_revision: self.revision(lag),
        });
        ZoneRow {
            zone: u16::from_be_bytes([row[0], row[1]]),
            contact,
            applied,
        }
    }

    fn lag(self, revision: Revision) -> Option<u8> {
        let lag = u8::try_from(self.base.saturating_sub(revision).get()).ok()?;
        (lag != UNKNOWN).then_some(lag)
    }

    fn revision(self, lag: u64) -> Revision {
        self.base.saturating_sub(Revision::new(lag))
    }
}

fn encode_age(age_ms: u64) -> Option<u8> {
    let steps = u8::try_from(age_ms.div_ceil(AGE_STEP_MS)).ok()?;
    (steps != UNKNOWN).then_some(steps)
}

fn encode_count(count: usize) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}

fn decode_byte(byte: u8) -> Option<u64> {
    (byte != UNKNOWN).then(|| u64::from(byte))
}
