//! Start order of the items of a batch, and of the batches of a host.
//!
//! Load pattern: more items wait than slots are free. A submitter waits for 90% of the groups of its step and for all
//! groups that it carried over, and a group counts only with all its items. The step ends with its longest awaited text.
//! Several steps overlap on one host, and a step that cannot be on time any more would delay those that still can.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use jm_types::{DurationMs, Timestamp};

/// An item, as far as its place in the start order depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderedItem {
    /// Index of its group.
    pub group: usize,
    /// Estimated number of generated tokens.
    pub estimated_tokens: u64,
}

/// Start order of the items of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Indexes of all items, first to start first.
    items: Vec<usize>,
    /// Indexes of the items that the submitter is expected to wait for, first to start first.
    awaited: Vec<usize>,
}

/// Place of a group in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GroupPlace {
    Carried,
    Wanted,
    /// The group is beyond the wanted number.
    /// Spare groups start one after another, because a part of a group is of no use.
    Spare(usize),
}

impl StartOrder {
    /// Orders the items: carried-over groups, wanted groups, spare groups, and the longest first among each. All items are in
    /// the order, because the estimates are often wrong by a factor, and a spare group replaces a wanted one whose text is
    /// longer than estimated. Without a wanted number, all groups are wanted.
    pub fn new(items: &[OrderedItem], wanted_groups: usize, carried_groups: &HashSet<usize>) -> Self {
        let places = group_places(items, wanted_groups, carried_groups);
        let place = |index: &usize| places[&items[*index].group];
        let mut order: Vec<usize> = (0..items.len()).collect();
        order.sort_by_key(|index| (place(index), Reverse(items[*index].estimated_tokens)));
        let is_awaited = |index: &usize| place(index) <= GroupPlace::Wanted;
        let awaited = order.iter().copied().filter(is_awaited).collect();
        Self {
            items: order,
            awaited,
        }
    }

    /// All items, first to start first.
    pub fn items(&self) -> &[usize] {
        &self.items
    }

    /// Items of the carried-over and the wanted groups.
    pub fn awaited(&self) -> &[usize] {
        &self.awaited
    }
}

/// Carried-over groups count towards the wanted number. The other wanted groups are those whose longest text is shortest.
fn group_places(
    items: &[OrderedItem],
    wanted_groups: usize,
    carried_groups: &HashSet<usize>,
) -> HashMap<usize, GroupPlace> {
    let mut longest: HashMap<usize, u64> = HashMap::new();
    for item in items {
        let tokens = longest.entry(item.group).or_default();
        *tokens = item.estimated_tokens.max(*tokens);
    }
    let is_carried = |group: &usize| carried_groups.contains(group);
    let (carried, mut others): (Vec<usize>, Vec<usize>) = longest.keys().copied().partition(is_carried);
    others.sort_by_key(|group| (longest[group], *group));
    let wanted = match wanted_groups {
        0 => others.len(),
        wanted => wanted.saturating_sub(carried.len()),
    };
    let places = others.into_iter().enumerate().map(|(rank, group)| {
        let place = match rank < wanted {
            true => GroupPlace::Wanted,
            false => GroupPlace::Spare(rank),
        };
        (group, place)
    });
    let carried = carried.into_iter().map(|group| (group, GroupPlace::Carried));
    places.chain(carried).collect()
}

/// When a batch is due, and how long it still takes at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchUrgency {
    /// Priority of the batch; 0 is the most urgent.
    pub priority: u64,
    /// When its results are due.
    pub due_at: Timestamp,
    /// Expected time until its longest awaited text is complete.
    pub longest_text_ms: DurationMs,
}

impl BatchUrgency {
    /// Sort key of the batch at `now`; the batch with the smallest key starts its items first. A batch that was overtaken
    /// because it is late does not wait without end: the others are late in turn when their due time has passed, and are
    /// due later.
    pub fn key(&self, now: Timestamp) -> (u64, bool, Timestamp) {
        let is_late = now.after(self.longest_text_ms) > self.due_at;
        (self.priority, is_late, self.due_at)
    }
}
