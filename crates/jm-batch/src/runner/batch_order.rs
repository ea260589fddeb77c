//! Order in which the batches of a host start their items.

use jm_types::DurationMs;

use super::{share::service_targets, start::SchedulingContext};
use crate::{BatchUrgency, EngineLoads, ItemState, owned::OwnedBatch};

/// Sorts the batches by urgency, then by the time of their submission.
pub(super) fn sort_batches(
    batches: &mut [&mut OwnedBatch],
    loads: &EngineLoads,
    context: &SchedulingContext<'_>,
) {
    if batches.len() > 1 {
        batches.sort_by_cached_key(|owned| {
            let urgency = BatchUrgency {
                priority: owned.spec.priority,
                due_at: owned.due_at(context.now, context.unix_ms),
                longest_text_ms: longest_text_ms(owned, loads, context),
            };
            let submitted = (owned.spec.submitted_unix_ms, owned.spec.id.clone());
            (urgency.key(context.now), submitted)
        });
    }
}

/// Expected time until the longest open text of the carried-over and the wanted groups is complete. The texts of the
/// other groups are the longest of the batch, and it can be on time without them.
fn longest_text_ms(owned: &OwnedBatch, loads: &EngineLoads, context: &SchedulingContext<'_>) -> DurationMs {
    let is_open = |item: &&usize| {
        matches!(
            owned.plan.state(**item),
            ItemState::Waiting { .. } | ItemState::Running
        )
    };
    let open = owned.plan.awaited().iter().filter(is_open);
    let events_left = open.map(|item| {
        let estimated_tokens = owned.spec.items[*item].estimated_tokens();
        loads.text_events_left(estimated_tokens, owned.events(*item))
    });
    let longest = events_left.fold(0.0, f64::max);
    let targets = service_targets(&owned.spec, 0, context.routing, context.catalog);
    let event_ms = loads.mean_gap_ms(targets.into_iter().flatten());
    DurationMs::new((longest * event_ms) as u64)
}
