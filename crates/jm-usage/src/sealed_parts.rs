//! Set of the parts that sealed windows already contain.

use std::collections::BTreeMap;

use jm_types::{Incarnation, MemberId};

use crate::{PartId, PartRange, SealedWindow};

/// The parts that a set of sealed windows contains. It detects a part that a daemon writes again after the part's
/// object was removed. The set must therefore include the windows of at least the maximum time for which a daemon
/// retries a write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SealedParts {
    /// Last number of each range by its first number. Ranges do not overlap, because each part is counted once.
    ranges: BTreeMap<(MemberId, Incarnation), BTreeMap<u64, u64>>,
}

impl SealedParts {
    /// Adds the parts of a sealed window, which must be the one in the store.
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
            // The part numbers of an incarnation usually continue where the last window ended, so adjacent ranges are
            // merged.
            Some((_, last)) if last.saturating_add(1) >= range.first => *last = range.last.max(*last),
            _ => {
                ranges.insert(range.first, range.last);
            }
        }
    }

    /// Whether one of the sealed windows contains the part.
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
