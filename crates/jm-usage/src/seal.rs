//! Sealing of usage windows.

use std::collections::{BTreeMap, btree_map::Entry};

use jm_types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{PartId, SealedParts, UsageCounts, UsageKey, UsagePart, WindowId};

/// Usage counts of one key in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The window in which the usage took place. It is earlier than the sealed window for parts that arrived late.
    pub window: WindowId,
    /// Organisation, service and price class that the usage belongs to.
    pub key: UsageKey,
    /// Sum of the usage of all parts.
    pub counts: UsageCounts,
}

/// A range of consecutive parts of one incarnation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRange {
    /// The daemon that wrote the parts.
    pub member: MemberId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the first part.
    pub first: u64,
    /// Number of the last part, inclusive.
    pub last: u64,
}

/// The final usage counts of a window. Every report of the window contains these counts. Only the object in the store
/// is valid: it is written with a conditional create, and read back if it already exists or the response was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// The window that is sealed.
    pub window: WindowId,
    /// Usage counts, sorted by window and key.
    pub rows: Vec<UsageRow>,
    /// The parts that the counts include.
    pub parts: Vec<PartRange>,
}

/// The value of a sealed window's object is malformed.
#[derive(Debug, Snafu)]
#[snafu(display("the sealed window is malformed: {source}"))]
pub struct DecodeError {
    source: serde_json::Error,
}

impl SealedWindow {
    /// Encodes the window as an object value. Equal windows have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        match serde_json::to_vec(self) {
            Ok(bytes) => bytes,
            Err(error) => unreachable!("numbers and ids always have a JSON form: {error}"),
        }
    }

    /// Decodes an object value.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }
}

/// Seals a window with the parts of this and earlier windows that no sealed window contains. Windows are sealed in
/// order, and `counted` contains the parts of the earlier windows in the store. Parts of later windows are ignored.
/// The result does not depend on the order of the parts or on duplicates.
pub fn seal(window: WindowId, parts: &[UsagePart], counted: &SealedParts) -> SealedWindow {
    let mut chosen: BTreeMap<&PartId, &UsagePart> = BTreeMap::new();
    for part in parts {
        if part.window > window || counted.contains(&part.id) {
            continue;
        }
        match chosen.entry(&part.id) {
            Entry::Vacant(vacant) => {
                vacant.insert(part);
            }
            // Parts with the same id are equal. If one is corrupted, choosing the smaller one keeps the result
            // deterministic.
            Entry::Occupied(mut occupied) if part < *occupied.get() => {
                occupied.insert(part);
            }
            Entry::Occupied(_) => {}
        }
    }
    SealedWindow {
        window,
        rows: sum_rows(chosen.values().copied()),
        parts: ranges(chosen.keys().copied()),
    }
}

fn sum_rows<'a>(parts: impl Iterator<Item = &'a UsagePart>) -> Vec<UsageRow> {
    let mut sums: BTreeMap<(WindowId, &UsageKey), UsageCounts> = BTreeMap::new();
    for part in parts {
        for (key, counts) in &part.rows {
            sums.entry((part.window, key)).or_default().add(*counts);
        }
    }
    sums.into_iter()
        .map(|((window, key), counts)| UsageRow {
            window,
            key: key.clone(),
            counts,
        })
        .collect()
}

/// Merges consecutive numbers into ranges, because a window can contain tens of thousands of parts.
fn ranges<'a>(ids: impl Iterator<Item = &'a PartId>) -> Vec<PartRange> {
    let mut ranges: Vec<PartRange> = Vec::new();
    for id in ids {
        match ranges.last_mut() {
            Some(range)
                if range.member == id.member
                    && range.incarnation == id.incarnation
                    && range.last.checked_add(1) == Some(id.number) =>
            {
                range.last = id.number;
            }
            _ => ranges.push(PartRange {
                member: id.member.clone(),
                incarnation: id.incarnation,
                first: id.number,
                last: id.number,
            }),
        }
    }
    ranges
}
