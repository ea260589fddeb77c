//! Reuse of texts from earlier batches of the same submitter.
//!
//! Load pattern: a trainer ends a step as soon as enough groups are complete. It submits the remaining groups again in
//! its next step under the same ids, and that step cannot end without them. These groups have the longest texts. A step
//! that generates them from the start ends late again and repeats work that an engine has already done.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use jm_types::{DurationMs, Timestamp, WeightVersion};

use crate::{
    BatchItem, BatchSpec, CarriedOver, ItemState, ItemText,
    item_text::CarriedItem,
    owned::{OwnedBatch, Run},
    result::{BatchResult, ResultState},
};

/// Number of the submitter's newest earlier batches that are searched for the items of a new batch.
const MAX_EARLIER_BATCHES: usize = 4;

/// Time within which this host receives the end of a batch, at the latest from the store.
const END_PROPAGATION_MS: DurationMs = DurationMs::new(5_000);

/// Reuses the texts and results that the newest earlier batches of the same submitter have for items of this batch.
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
    let count =
        |has_property: &dyn Fn(usize) -> bool| items.iter().filter(|item| has_property(**item)).count();
    CarriedOver {
        items: items.len(),
        continued: count(&|item| owned.events(item) > 0),
        complete: count(&|item| matches!(owned.plan.state(item), ItemState::Scoring | ItemState::Done)),
    }
}

/// Stops the runs of an earlier batch whose items `spec` contains again, so that no text is generated on two engines.
/// The submitter has ended the earlier batch, but this host may not have received the end yet. The stopped items do not
/// start again within `END_PROPAGATION_MS`, in which the end arrives.
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

/// The items that both batches contain. A text is reused only if the new batch accepts all its weight versions.
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
    let has_same_reward = earlier.spec.items[earlier_index].reward == spec.items[index].reward;
    let empty_text = ItemText {
        item: index,
        failures,
        ..ItemText::default()
    };
    let completed = result.filter(|result| result.state == ResultState::Completed);
    if let Some(result) = completed.filter(|result| has_acceptable_versions(spec, &result.versions)) {
        let text = ItemText {
            text: result.text.clone(),
            versions: result.versions.clone(),
            is_complete: true,
            ..empty_text
        };
        let score = result.score.clone().filter(|_| has_same_reward);
        return CarriedItem { text, score };
    }
    let unfinished = earlier.text(earlier_index);
    let text = match has_acceptable_versions(spec, &unfinished.versions) {
        true => ItemText {
            item: index,
            failures,
            reward_failures: unfinished.reward_failures * usize::from(has_same_reward),
            ..unfinished.clone()
        },
        false => empty_text,
    };
    CarriedItem { text, score: None }
}

/// Whether the batch accepts a text that these weight versions generated. A text without versions is rejected because
/// its origin is unknown.
fn has_acceptable_versions(spec: &BatchSpec, versions: &[WeightVersion]) -> bool {
    let is_new_enough = versions.iter().all(|version| *version >= spec.min_version);
    let is_mixed = spec.is_single_version && versions.len() > 1;
    !versions.is_empty() && is_new_enough && !is_mixed
}

fn is_same_request(earlier: &BatchItem, new: &BatchItem) -> bool {
    earlier.path == new.path && earlier.headers == new.headers && earlier.body == new.body
}
