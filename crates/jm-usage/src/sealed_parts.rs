//! Parts that sealed windows contain already.

use std::collections::BTreeMap;

use jm_types::{Incarnation, MemberId};

use crate::{PartId, PartRange, SealedWindow};

/// The parts of a set of sealed windows. A part that is written again after its object was removed is
/// recognised here, so keep the windows of at least the longest time that a daemon repeats a write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SealedParts {
    /// Last numbers of ranges by their first number. Parts are counted once, so ranges do not overlap.
    ranges: BTreeMap<(MemberId, Incarnation), BTreeMap<u64, u64>>,
}

impl SealedParts {
    /// Adds the parts of a sealed window as it stands in the store.
    pub fn add(&mut self, sealed: &SealedWindow) {
        for range in &sealed.parts {
            self.add_range(range);
        }
    }

    fn add_range(&mut self, range: &PartRange) {
        let key = (range.member.clone(), range.incarnation);
        let ranges = self.ranges.entry(key).or_default();
        let before = ranges.range_mut(..=range.first).next_back();
        match before {
            // A run's numbers mostly go on where the last window ended, so ranges are joined.
            Some((_, last)) if last.saturating_add(1) >= range.first => *last = range.last.max(*last),
            _ => {
                ranges.insert(range.first, range.last);
            }
        }
    }

    /// Whether a sealed window contains the part.
    pub fn contains(&self, id: &PartId) -> bool {
        let key = (id.member.clone(), id.incarnation);
        self.ranges.get(&key).is_some_and(|ranges| {
            ranges
                .range(..=id.number)
                .next_back()
                .is_some_and(|(_, &last)| id.number <= last)
        })
    }
}
