//! ContactReport about contacts of other members, as it travels in answers to pings.
//!
//! All ages are upper bounds at the moment at which the answer is built. The receiver adds the time since it sent its
//! ping, so that the sum is an upper max_revision on its own clock, however long the answer was on its way.

use jm_types::Revision;
use serde::{Deserialize, Serialize};

/// Step of an age; 254 steps reach beyond the freshness max_revision.
const AGE_STEP_MS: u64 = 16;

/// A value that is not known or too large for its byte.
const UNKNOWN: u8 = u8::MAX;

/// Most member rows in one answer. Rows of larger zones take turns.
pub(crate) const MAX_MEMBER_ROWS: usize = 64;

/// Most zone rows in one answer.
pub(crate) const MAX_ZONE_ROWS: usize = 32;

/// A short id, an age and a distance.
const MEMBER_ROW_BYTES: usize = 4;

/// A short id, a count, an age and a distance of contacts, and a count and a distance of applied revisions.
const ZONE_ROW_BYTES: usize = 7;

/// ContactReport that goes with an answer, packed: most of the control traffic is made of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// Revision that the distances count down from.
    #[serde(rename = "b")]
    base: Revision,
    /// No contact of the member rows showed a revision above the base less this.
    #[serde(rename = "o")]
    max_revision_lag: u64,
    /// Members of the common zone of sender and receiver; empty between zones.
    #[serde(
        rename = "m",
        with = "serde_bytes",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    members: Vec<u8>,
    /// Totals of the zones.
    #[serde(
        rename = "z",
        with = "serde_bytes",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    zones: Vec<u8>,
}

/// What is known about one member of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberRow {
    /// Short id of the member.
    pub member: u16,
    /// Age of the last contact, rounded up, unless it is too old to count.
    pub age_ms: Option<u64>,
    /// Revision that the member is known to have applied.
    pub applied: Option<Revision>,
}

/// Totals of one zone. Zones have no members in common, so the counts of several zones add up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRow {
    /// Short id of the zone.
    pub zone: u16,
    /// What was contacted.
    pub contact: Option<ZoneContact>,
    /// What was applied.
    pub applied: Option<ZoneApplied>,
}

/// Members of a zone were contacted at most `age_ms` ago and showed no revision above `max_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneContact {
    /// Number of members.
    pub count: usize,
    /// Age of the oldest of the contacts.
    pub age_ms: u64,
    /// Bound on the revisions.
    pub max_revision: Revision,
}

/// Members of a zone have applied at least `min_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneApplied {
    /// Number of members.
    pub count: usize,
    /// The lowest of their revisions.
    pub min_revision: Revision,
}

impl ContactReport {
    /// Packs rows; no revision in them is above `base`, and no contact of the member rows above `max_revision`.
    pub fn new(base: Revision, max_revision: Revision, members: &[MemberRow], zones: &[ZoneRow]) -> Self {
        let scale = Scale { base };
        Self {
            base,
            max_revision_lag: base.saturating_sub(max_revision).get(),
            members: members.iter().flat_map(|row| scale.pack_member(row)).collect(),
            zones: zones.iter().flat_map(|row| scale.pack_zone(row)).collect(),
        }
    }

    /// The member rows.
    pub fn members(&self) -> impl Iterator<Item = MemberRow> {
        let scale = Scale { base: self.base };
        let rows = self.members.chunks_exact(MEMBER_ROW_BYTES);
        rows.map(move |row| scale.unpack_member(row))
    }

    /// The zone rows.
    pub fn zones(&self) -> impl Iterator<Item = ZoneRow> {
        let scale = Scale { base: self.base };
        let rows = self.zones.chunks_exact(ZONE_ROW_BYTES);
        rows.map(move |row| scale.unpack_zone(row))
    }

    /// The max_revision on the revisions of the contacts in the member rows.
    pub fn max_revision(&self) -> Revision {
        self.base.saturating_sub(Revision::new(self.max_revision_lag))
    }

    pub(crate) fn shorten(&mut self) -> bool {
        let rows = if self.members.is_empty() {
            (&mut self.zones, ZONE_ROW_BYTES)
        } else {
            (&mut self.members, MEMBER_ROW_BYTES)
        };
        let rest = rows.0.len().checked_sub(rows.1);
        rest.map(|rest| rows.0.truncate(rest)).is_some()
    }
}

/// Converts between values and bytes. Rounding is always to the side that claims less: ages go up, counts and applied
/// revisions go down, bounds go up.
#[derive(Clone, Copy)]
struct Scale {
    base: Revision,
}

impl Scale {
    fn pack_member(self, row: &MemberRow) -> [u8; MEMBER_ROW_BYTES] {
        let [a, b] = row.member.to_be_bytes();
        let age = row.age_ms.and_then(age_byte).unwrap_or(UNKNOWN);
        let applied = row.applied.and_then(|applied| self.behind(applied));
        [a, b, age, applied.unwrap_or(UNKNOWN)]
    }

    fn unpack_member(self, row: &[u8]) -> MemberRow {
        MemberRow {
            member: u16::from_be_bytes([row[0], row[1]]),
            age_ms: known(row[2]).map(|steps| steps * AGE_STEP_MS),
            applied: known(row[3]).map(|behind| self.revision(behind)),
        }
    }

    fn pack_zone(self, row: &ZoneRow) -> [u8; ZONE_ROW_BYTES] {
        let [a, b] = row.zone.to_be_bytes();
        let contact = row.contact.and_then(|contact| self.pack_contact(&contact));
        let [count, age, max_revision] = contact.unwrap_or([0, UNKNOWN, 0]);
        let applied = row.applied.and_then(|applied| {
            let behind = self.behind(applied.min_revision)?;
            Some([count_byte(applied.count), behind])
        });
        let [applied, min_revision] = applied.unwrap_or([0, UNKNOWN]);
        [a, b, count, age, max_revision, applied, min_revision]
    }

    fn pack_contact(self, contact: &ZoneContact) -> Option<[u8; 3]> {
        let age = age_byte(contact.age_ms)?;
        let max_revision = self.behind(contact.max_revision).unwrap_or(UNKNOWN);
        Some([count_byte(contact.count), age, max_revision])
    }

    fn unpack_zone(self, row: &[u8]) -> ZoneRow {
        let contact = known(row[3]).map(|steps| ZoneContact {
            count: usize::from(row[2]),
            age_ms: steps * AGE_STEP_MS,
            max_revision: self.revision(u64::from(row[4])),
        });
        let applied = known(row[6]).map(|behind| ZoneApplied {
            count: usize::from(row[5]),
            min_revision: self.revision(behind),
        });
        ZoneRow {
            zone: u16::from_be_bytes([row[0], row[1]]),
            contact,
            applied,
        }
    }

    fn behind(self, revision: Revision) -> Option<u8> {
        let behind = u8::try_from(self.base.saturating_sub(revision).get()).ok()?;
        (behind != UNKNOWN).then_some(behind)
    }

    fn revision(self, behind: u64) -> Revision {
        self.base.saturating_sub(Revision::new(behind))
    }
}

fn age_byte(age_ms: u64) -> Option<u8> {
    let steps = u8::try_from(age_ms.div_ceil(AGE_STEP_MS)).ok()?;
    (steps != UNKNOWN).then_some(steps)
}

fn count_byte(count: usize) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}

fn known(byte: u8) -> Option<u64> {
    (byte != UNKNOWN).then(|| u64::from(byte))
}
