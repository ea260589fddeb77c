//! Evidence about contacts of other members, as it travels in answers to pings.
//!
//! All ages are upper bounds at the moment at which the answer is built. The receiver adds the time since it sent its
//! ping, so that the sum is an upper bound on its own clock, however long the answer was on its way.

use jm_types::Revision;
use serde::{Deserialize, Serialize};

/// Step of the age in a [`MemberRow`]; 254 steps reach beyond the freshness bound.
pub(crate) const AGE_STEP_MS: u64 = 16;

/// The age of a row whose contact is too old to count.
const AGE_UNKNOWN: u8 = u8::MAX;

/// Most member rows in one answer. Rows of larger zones take turns.
pub(crate) const MAX_MEMBER_ROWS: usize = 48;

/// Most zone rows in one answer.
pub(crate) const MAX_ZONE_ROWS: usize = 24;

const ROW_BYTES: usize = 6;

/// Evidence that goes with an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Revision that the other fields count down from.
    #[serde(rename = "b")]
    pub base: Revision,
    /// No contact of the member rows showed a revision above `base` less this.
    #[serde(rename = "o")]
    pub bound_behind: u64,
    /// Members of the common zone of sender and receiver, packed; empty between zones.
    #[serde(
        rename = "m",
        with = "serde_bytes",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    rows: Vec<u8>,
    /// Totals of the zones.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneRow>,
}

/// What is known about one member of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberRow {
    /// Short id of the member.
    pub member: u32,
    /// Age of the last contact, rounded up, unless it is too old to count.
    pub age_ms: Option<u64>,
    /// How far the revision that the member is known to have applied is behind the base; none when it is too far.
    pub applied_behind: Option<u64>,
}

/// Totals of one zone. Zones have no members in common, so the counts of several zones add up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow(
    /// Short id of the zone.
    pub u32,
    /// What was contacted.
    pub Option<ZoneContact>,
    /// What was applied.
    pub Option<ZoneApplied>,
);

/// Members of a zone were contacted at most `age_ms` ago and showed no revision above the base less `bound_behind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneContact(
    /// Number of members.
    pub u16,
    /// Age of the oldest of the contacts.
    pub u16,
    /// Distance of the bound from the base.
    pub u64,
);

/// Members of a zone have applied at least the base less a distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneApplied(
    /// Number of members.
    pub u16,
    /// Distance of the lowest of their revisions from the base.
    pub u64,
);

impl Evidence {
    /// Packs the rows; all behind `base`.
    pub fn new(base: Revision, bound: Revision, rows: &[MemberRow], zones: Vec<ZoneRow>) -> Self {
        Self {
            base,
            bound_behind: base.saturating_sub(bound).get(),
            rows: rows.iter().flat_map(|row| row.pack()).collect(),
            zones,
        }
    }

    /// The member rows.
    pub fn rows(&self) -> impl Iterator<Item = MemberRow> {
        self.rows.chunks_exact(ROW_BYTES).map(MemberRow::unpack)
    }

    /// The bound on the revisions of the member rows.
    pub fn bound(&self) -> Revision {
        self.before_base(self.bound_behind)
    }

    /// The revision at a distance from the base.
    pub fn before_base(&self, behind: u64) -> Revision {
        self.base.saturating_sub(Revision::new(behind))
    }

    pub(crate) fn shorten(&mut self) -> bool {
        if self.rows.is_empty() {
            return self.zones.pop().is_some();
        }
        self.rows.truncate(self.rows.len() - ROW_BYTES);
        true
    }
}

impl MemberRow {
    fn pack(self) -> [u8; ROW_BYTES] {
        let [a, b, c, d] = self.member.to_be_bytes();
        let steps = self.age_ms.map(|age| age.div_ceil(AGE_STEP_MS));
        let age = steps.and_then(|steps| u8::try_from(steps).ok());
        let behind = self.applied_behind.and_then(|behind| u8::try_from(behind).ok());
        [a, b, c, d, age.unwrap_or(AGE_UNKNOWN), behind.unwrap_or(u8::MAX)]
    }

    fn unpack(row: &[u8]) -> Self {
        let known = |byte: u8| (byte != u8::MAX).then(|| u64::from(byte));
        Self {
            member: u32::from_be_bytes([row[0], row[1], row[2], row[3]]),
            age_ms: known(row[4]).map(|steps| steps * AGE_STEP_MS),
            applied_behind: known(row[5]),
        }
    }
}
