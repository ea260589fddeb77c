//! Starts of training requests that spare live calls.

mod common;

use std::collections::BTreeSet;

use common::{at, engines, engines_with, request, start_all};
use jm_route::{Assignment, Class, Outcome, Scheduler, SchedulerOptions};
use jm_types::{RequestId, TargetId, TokenCount};

/// Fills the windows with drafts that have their first token, and keeps more drafts waiting.
fn saturated(mut scheduler: Scheduler) -> (Scheduler, Vec<Assignment>) {
    for id in 0..250 {
        scheduler
            .submit(request(id, 0, Class::Training, 50), at(0))
            .unwrap();
    }
    let started = start_all(&mut scheduler, 40);
    started
        .iter()
        .for_each(|known| scheduler.progress(known.request, TokenCount::new(1), at(1_000)));
    (scheduler, started)
}

/// Ends the first drafts of each engine, so that it has room for a batch.
fn make_room(scheduler: &mut Scheduler, started: &[Assignment], drafts: usize) {
    let targets: BTreeSet<&TargetId> = started.iter().map(|known| &known.target).collect();
    for target in targets {
        let own = started
            .iter()
            .filter(|known| known.target == *target)
            .take(drafts);
        own.for_each(|known| {
            scheduler.finish(known.request, Outcome::Finished(TokenCount::new(1)), at(1_000))
        });
    }
}

/// Guards against drafts whose prompts are processed by all engines at once: a live call that comes next would
/// wait for one of them.
#[test]
fn half_the_engines_stay_free() {
    let (mut scheduler, started) = saturated(engines(4, 1_000));
    make_room(&mut scheduler, &started, 3);
    let next: Vec<Assignment> = std::iter::from_fn(|| scheduler.next(at(1_000))).collect();
    let targets: BTreeSet<&TargetId> = next.iter().map(|known| &known.target).collect();
    assert!(!next.is_empty() && targets.len() <= 2, "{next:?}");
}

/// Guards against a setting that does not turn the rule off.
#[test]
fn zero_turns_batches_off() {
    let options = SchedulerOptions {
        training_batch_tokens: 0,
        ..SchedulerOptions::default()
    };
    let (mut scheduler, started) = saturated(engines_with(4, 1_000, options));
    make_room(&mut scheduler, &started, 3);
    assert_eq!(std::iter::from_fn(|| scheduler.next(at(1_000))).count(), 12);
}

/// Guards against a draft that starts on an engine where a live call waits for its first token, and against drafts
/// that never start there again.
#[test]
fn live_first_token_comes_first() {
    let (mut scheduler, started) = saturated(engines(1, 1_000));
    scheduler
        .submit(request(900, 1, Class::Live, 60), at(1_000))
        .unwrap();
    assert_eq!(scheduler.next(at(1_000)).unwrap().request, RequestId::new(900));
    make_room(&mut scheduler, &started, 4);
    assert_eq!(scheduler.next(at(1_000)), None);
    scheduler.progress(RequestId::new(900), TokenCount::new(1), at(1_050));
    assert!(scheduler.next(at(1_050)).is_some());
}
