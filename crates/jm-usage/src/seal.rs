//! Sealing of windows.

use std::collections::{BTreeMap, btree_map::Entry};

use jm_types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{PartId, SealedParts, UsageCounts, UsageKey, UsagePart, WindowId};

/// Usage of one key in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The window in which the usage took place; earlier than the sealed one for parts that arrived late.
    pub window: WindowId,
    /// What the usage is counted by.
    pub key: UsageKey,
    /// The figures.
    pub counts: UsageCounts,
}

/// Consecutive parts of one run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRange {
    /// The daemon.
    pub member: MemberId,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// First number.
    pub first: u64,
    /// Last number.
    pub last: u64,
}

/// The figures of a window that are reported, however often. The object in the store is the only valid one:
/// create it on condition that it does not exist, and read it back when it exists or the response was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// The window.
    pub window: WindowId,
    /// Figures in the order of window and key.
    pub rows: Vec<UsageRow>,
    /// The parts that the figures are made of.
    pub parts: Vec<PartRange>,
}

/// The value of a sealed object cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("the sealed window cannot be read: {source}"))]
pub struct DecodeError {
    source: serde_json::Error,
}

impl SealedWindow {
    /// The value to store. Equal windows give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        match serde_json::to_vec(self) {
            Ok(bytes) => bytes,
            Err(error) => unreachable!("numbers and ids always have a JSON form: {error}"),
        }
    }

    /// Reads a stored value.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }
}

/// Seals a window from the parts of this and of earlier windows that no sealed window contains. Windows are
/// sealed in their order, and `counted` holds the earlier ones as they stand in the store. Parts of later
/// windows are left for those. The result does not depend on the order of the parts or on repetitions.
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
            // Parts of one id are equal; a fixed choice keeps the result the same if one was damaged.
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

/// Joins consecutive numbers, because a window can have tens of thousands of parts.
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
