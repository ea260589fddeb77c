//! Groups of the items of a batch. The items of a group are only useful together.

use indexmap::IndexMap;

use crate::BatchSpec;

/// Assignment of the items of a batch to groups, by index.
#[derive(Debug)]
pub(crate) struct Groups {
    /// Group of each item.
    of_item: Vec<usize>,
    count: usize,
}

impl Groups {
    pub(crate) fn new(spec: &BatchSpec) -> Self {
        let mut indexes: IndexMap<&str, usize> = IndexMap::new();
        let mut of_item = Vec::with_capacity(spec.items.len());
        for item in &spec.items {
            let next = indexes.len();
            let name = item.group.as_deref().unwrap_or(&item.id);
            of_item.push(*indexes.entry(name).or_insert(next));
        }
        Self {
            of_item,
            count: indexes.len(),
        }
    }

    /// Group of an item.
    pub(crate) fn of(&self, item: usize) -> usize {
        self.of_item[item]
    }

    /// Number of items of each group that satisfy `is_counted`.
    pub(crate) fn count_items(&self, is_counted: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut counts = vec![0; self.count];
        for (item, group) in self.of_item.iter().enumerate() {
            counts[*group] += usize::from(is_counted(item));
        }
        counts
    }

    /// Number of groups whose items all satisfy `is_done`.
    pub(crate) fn complete(&self, is_done: impl Fn(usize) -> bool) -> usize {
        let open = self.count_items(|item| !is_done(item));
        open.iter().filter(|open| **open == 0).count()
    }
}
