//! What a batch takes over from earlier batches of its submitter.
//!
//! Load pattern: a trainer ends a step as soon as enough groups are complete. The other groups come again in its next
//! step under the same ids, and that step cannot end without them. They are the groups with the longest texts, so a step
//! that generates them from the start ends late again, with work that an engine has done before.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use jm_types::{DurationMs, Timestamp, WeightVersion};

use crate::{
    BatchItem, BatchSpec, CarriedOver, ItemState, ItemText,
    owned::{OwnedBatch, Run},
    result::{BatchResult, ResultState},
};

/// Batches of a submitter among which a new one looks for its items.
const MAX_EARLIER_BATCHES: usize = 4;

/// Time after which this host has heard of the end of a batch, from the store at the latest.
const END_PROPAGATION_MS: DurationMs = DurationMs::new(5_000);

/// An item that an earlier batch of the same submitter had too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CarriedItem {
    /// What of its text can be used, which may be nothing; its index is the one in the new batch.
    pub(crate) text: ItemText,
    /// Whether the text is whole.
    pub(crate) is_complete: bool,
}

/// Continues what the newest earlier batches of the same submitter have of the batch's items.
pub(crate) fn carry_over<'a>(
    owned: &mut OwnedBatch,
    others: impl Iterator<Item = &'a OwnedBatch>,
) -> CarriedOver {
    let spec = Arc::clone(&owned.spec);
    let mut earlier: Vec<&OwnedBatch> = others
        .filter(|other| spec.model.is_some() && is_earlier(&other.spec, &spec))
        .collect();
    earlier.sort_by_key(|other| Reverse(other.spec.submitted_unix_ms));
    let mut items = HashSet::new();
    for other in earlier.into_iter().take(MAX_EARLIER_BATCHES) {
        let carried = carried_items(&spec, other);
        items.extend(carried.iter().map(|carried| carried.text.item));
        owned.continue_carried(carried);
    }
    let count = |is_meant: &dyn Fn(usize) -> bool| items.iter().filter(|item| is_meant(**item)).count();
    CarriedOver {
        items: items.len(),
        continued: count(&|item| owned.events(item) > 0),
        complete: count(&|item| owned.plan.state(item) == ItemState::Done),
    }
}

/// Stops the runs of an earlier batch whose items come again in `spec`. Its submitter has ended it, which this host may not
/// have heard; a text must not go on at two engines. The items rest until the end is known.
pub(crate) fn stop_repeated_items(earlier: &mut OwnedBatch, spec: &BatchSpec, now: Timestamp) -> Vec<Run> {
    if earlier.is_ended || !is_earlier(&earlier.spec, spec) {
        return Vec::new();
    }
    let repeated: HashSet<&str> = spec.items.iter().map(|item| item.id.as_str()).collect();
    let items = earlier.runs.keys().copied();
    let items: Vec<usize> = items
        .filter(|index| repeated.contains(earlier.spec.items[*index].id.as_str()))
        .collect();
    let stopped = items.into_iter().filter_map(|index| {
        let run = earlier.stop_run(index, now)?;
        earlier.plan.requeue(index, now.after(END_PROPAGATION_MS));
        Some(run)
    });
    stopped.collect()
}

fn is_earlier(other: &BatchSpec, spec: &BatchSpec) -> bool {
    let is_same_submitter = other.organisation == spec.organisation && other.model == spec.model;
    is_same_submitter && other.id != spec.id && other.submitted_unix_ms <= spec.submitted_unix_ms
}

/// The items of a batch that an earlier one had too. A text is used when all its weight versions fit the new batch.
fn carried_items(spec: &BatchSpec, earlier: &OwnedBatch) -> Vec<CarriedItem> {
    let indexes: HashMap<&str, usize> = spec
        .items
        .iter()
        .enumerate()
        .map(|(index, item)| (item.id.as_str(), index))
        .collect();
    let results: HashMap<&str, &BatchResult> = earlier
        .listed
        .iter()
        .chain(&earlier.unlisted)
        .map(|result| (result.item.as_str(), result))
        .collect();
    let items = earlier.spec.items.iter().enumerate();
    let carried = items.filter_map(|(earlier_index, item)| {
        let index = *indexes.get(item.id.as_str())?;
        if !is_same_request(item, &spec.items[index]) {
            return None;
        }
        let result = results.get(item.id.as_str()).copied();
        Some(carried_item(spec, index, earlier, earlier_index, result))
    });
    carried.collect()
}

fn carried_item(
    spec: &BatchSpec,
    index: usize,
    earlier: &OwnedBatch,
    earlier_index: usize,
    result: Option<&BatchResult>,
) -> CarriedItem {
    let failures = earlier.plan.failures(earlier_index);
    let nothing = ItemText {
        item: index,
        failures,
        ..ItemText::default()
    };
    let whole = result.filter(|result| result.state == ResultState::Completed);
    if let Some(result) = whole.filter(|result| has_acceptable_versions(spec, &result.versions)) {
        let text = ItemText {
            text: result.text.clone(),
            versions: result.versions.clone(),
            ..nothing
        };
        return CarriedItem {
            text,
            is_complete: true,
        };
    }
    let open = earlier.text(earlier_index);
    let text = match has_acceptable_versions(spec, &open.versions) {
        true => ItemText {
            item: index,
            failures,
            ..open.clone()
        },
        false => nothing,
    };
    CarriedItem {
        text,
        is_complete: false,
    }
}

/// Whether a text with these versions may be a result of the batch. Nothing is known of a text without versions.
fn has_acceptable_versions(spec: &BatchSpec, versions: &[WeightVersion]) -> bool {
    let is_new_enough = versions.iter().all(|version| *version >= spec.min_version);
    let is_mixed = spec.is_single_version && versions.len() > 1;
    !versions.is_empty() && is_new_enough && !is_mixed
}

fn is_same_request(earlier: &BatchItem, new: &BatchItem) -> bool {
    earlier.path == new.path && earlier.headers == new.headers && earlier.body == new.body
}
