//! Tests of the batched start of training requests, which limits the delay of live requests.

mod common;

use std::collections::BTreeSet;

use common::{at, engines, engines_with, request, start_all};
use jm_route::{Assignment, Class, Outcome, Scheduler, SchedulerOptions};
use jm_types::{RequestId, TargetId, TokenCount};

/// Fills the windows with drafts that have generated their first token, and leaves more drafts queued.
fn saturated(mut scheduler: Scheduler) -> (Scheduler, Vec<Assignment>) {
    for id in 0..250 {
        scheduler
            .submit(request(id, 0, Class::Training, 50), at(0))
            .unwrap();
    }
    let started = start_all(&mut scheduler, 40);
    started
        .iter()
        .for_each(|assignment| scheduler.progress(assignment.request, TokenCount::new(1), at(1_000)));
    (scheduler, started)
}

/// Finishes the first drafts of each engine, so that its free window has space for a batch.
fn finish_drafts(scheduler: &mut Scheduler, started: &[Assignment], drafts: usize) {
    let targets: BTreeSet<&TargetId> = started.iter().map(|assignment| &assignment.target).collect();
    for target in targets {
        let own = started
            .iter()
            .filter(|assignment| assignment.target == *target)
            .take(drafts);
        own.for_each(|assignment| {
            scheduler.finish(
                assignment.request,
                Outcome::Finished(TokenCount::new(1)),
                at(1_000),
            )
        });
    }
}

/// Guards against drafts that make all engines process prompts at the same time. The next live request would wait for
/// one of these prompts.
#[test]
fn half_of_engines_stay_free_of_prompts() {
    let (mut scheduler, started) = saturated(engines(4, 1_000));
    finish_drafts(&mut scheduler, &started, 3);
    let next: Vec<Assignment> = std::iter::from_fn(|| scheduler.next(at(1_000))).collect();
    let targets: BTreeSet<&TargetId> = next.iter().map(|assignment| &assignment.target).collect();
    assert!(!next.is_empty() && targets.len() <= 2, "{next:?}");
}

/// Guards against batching that remains active with `training_batch_tokens` set to 0.
#[test]
fn zero_disables_batches() {
    let options = SchedulerOptions {
        training_batch_tokens: 0,
        ..SchedulerOptions::default()
    };
    let (mut scheduler, started) = saturated(engines_with(4, 1_000, options));
    finish_drafts(&mut scheduler, &started, 3);
    assert_eq!(std::iter::from_fn(|| scheduler.next(at(1_000))).count(), 12);
}

/// Guards against a draft that starts on an engine where a live request waits for its first token, and against drafts
/// that do not start there after this token.
#[test]
fn drafts_wait_for_live_first_token() {
    let (mut scheduler, started) = saturated(engines(1, 1_000));
    scheduler
        .submit(request(900, 1, Class::Live, 60), at(1_000))
        .unwrap();
    assert_eq!(scheduler.next(at(1_000)).unwrap().request, RequestId::new(900));
    finish_drafts(&mut scheduler, &started, 4);
    assert_eq!(scheduler.next(at(1_000)), None);
    scheduler.progress(RequestId::new(900), TokenCount::new(1), at(1_050));
    assert!(scheduler.next(at(1_050)).is_some());
}
