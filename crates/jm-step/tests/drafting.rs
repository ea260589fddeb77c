//! Starting, reissuing, cancelling and ignoring drafts.

mod common;

use std::collections::BTreeSet;

use common::{VERSION, copy_all, delivered, finish, free, spec, start, step};
use jm_step::{Draft, SpecError, StepAssembly, StepCopy, StepEvent, StepOptions};
use jm_types::{AttemptId, SlotIndex, TargetId, Timestamp, TokenCount, WeightVersion};

const GOOD: &[Option<u64>] = &[Some(VERSION)];

fn target(name: &str) -> TargetId {
    name.parse().unwrap()
}

fn started(step: &mut StepAssembly, draft: &Draft, name: &str, now_ms: u64) {
    let version = Some(WeightVersion::new(VERSION));
    step.on_started(draft.attempt, target(name), version, Timestamp::new(now_ms));
}

/// Ten drafts with 40 tokens each, except that the first has a tenth of that.
fn one_slow() -> (StepAssembly, Vec<Draft>) {
    one_slow_of(40)
}

fn one_slow_of(tokens: u64) -> (StepAssembly, Vec<Draft>) {
    let mut step = step(10, &[]);
    let drafts = start(&mut step, 10, 0);
    for (index, draft) in drafts.iter().enumerate() {
        let name = if index == 0 { "slow" } else { "fast" };
        started(&mut step, draft, name, 0);
        let tokens = if index == 0 { tokens / 10 } else { tokens };
        step.on_progress(draft.attempt, TokenCount::new(tokens));
    }
    (step, drafts)
}

fn reissue(step: &mut StepAssembly, now_ms: u64) -> Draft {
    let mut drafts = start(step, 5, now_ms);
    assert_eq!(drafts.len(), 1, "{drafts:?}");
    drafts.remove(0)
}

/// Guards against samples of one group that use different prompts.
#[test]
fn group_prompt() {
    let mut step = step(5, &[]);
    let prompts: Vec<usize> = start(&mut step, 9, 0).iter().map(|draft| draft.prompt).collect();
    assert_eq!(prompts, [0, 0, 1, 1, 2]);
}

/// Guards against drafts for slots whose sample the trainer already holds.
#[test]
fn held_slots() {
    let mut step = step(4, &[0, 2, 2]);
    let slots: Vec<u64> = start(&mut step, 9, 0)
        .iter()
        .map(|draft| draft.slot.get())
        .collect();
    assert_eq!(slots, [1, 3]);
    assert_eq!(step.status().done, 2);
    assert!(common::step(2, &[0, 1]).is_complete());
}

/// Guards against acceptance of inconsistent specifications.
#[test]
fn bad_spec() {
    let mut no_group = spec(2, &[]);
    no_group.group_size = 0;
    assert_eq!(no_group.check(), Err(SpecError::EmptyGroup));
    let mut no_prompt = spec(4, &[]);
    no_prompt.prompts.pop();
    let expected = SpecError::PromptCount {
        expected: 2,
        found: 1,
    };
    assert_eq!(no_prompt.check(), Err(expected));
    assert!(matches!(
        spec(2, &[2]).check(),
        Err(SpecError::HeldOutside { .. })
    ));
    assert!(matches!(
        spec(0, &[]).check(),
        Err(SpecError::SampleCount { samples: 0 })
    ));
}

/// Guards against more drafts than the free capacity allows.
#[test]
fn limited_capacity() {
    let mut step = step(4, &[]);
    assert_eq!(start(&mut step, 3, 0).len(), 3);
    assert_eq!(start(&mut step, 0, 0).len(), 0);
    assert_eq!(start(&mut step, 3, 0).len(), 1);
}

/// Guards against a duplicate or late answer that binds a slot twice.
#[test]
fn late_answer() {
    let mut step = step(1, &[]);
    let mut copy = StepCopy::default();
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    let late = finish(&mut step, &drafts[0], GOOD);
    let unknown = step.on_failed(AttemptId::new(99));
    assert_eq!(
        late.events,
        [StepEvent::LateAnswer {
            attempt: drafts[0].attempt
        }]
    );
    assert_eq!(unknown.events.len(), 1);
    copy_all(&mut step, &mut copy);
    assert_eq!(delivered(&step, 0), [(1, 0)]);
}

/// Guards against a slot that is never drafted again after a failure, and against a retry on the same target.
#[test]
fn failed_draft() {
    let mut step = step(2, &[]);
    let drafts = start(&mut step, 2, 0);
    started(&mut step, &drafts[1], "bad", 0);
    step.on_failed(drafts[1].attempt);
    let again = start(&mut step, 2, 0);
    assert_eq!(again.len(), 1);
    assert_eq!(
        (again[0].slot, again[0].avoid.clone()),
        (SlotIndex::new(1), Some(target("bad")))
    );
}

/// Guards against drafts that are considered slow after only a few tokens.
#[test]
fn early_draft() {
    let (mut step, _) = one_slow_of(10);
    assert_eq!(start(&mut step, 5, 500), []);
}

/// Guards against slow drafts that delay the step, and against a third draft for one slot.
#[test]
fn slow_draft() {
    let (mut step, drafts) = one_slow();
    let second = reissue(&mut step, 1_000);
    assert_eq!(second.slot, drafts[0].slot);
    assert_eq!(second.avoid, Some(target("slow")));
    assert_eq!(
        start(&mut step, 5, 2_000),
        [],
        "two drafts of the slot already run"
    );
}

/// Guards against delivery of both drafts of a slot, whichever finishes first.
#[test]
fn first_wins() {
    for original_wins in [true, false] {
        let (mut step, drafts) = one_slow();
        let second = reissue(&mut step, 1_000);
        let (winner, loser) = if original_wins {
            (&drafts[0], &second)
        } else {
            (&second, &drafts[0])
        };
        let effects = finish(&mut step, winner, GOOD);
        assert_eq!(effects.cancel, [loser.attempt]);
        assert_eq!(finish(&mut step, loser, GOOD).copy, []);
        assert_eq!(step.bindings().len(), 1);
    }
}

/// Guards against a slow draft that keeps using capacity after the new draft has overtaken it.
#[test]
fn overtaken_draft() {
    let (mut step, drafts) = one_slow();
    let second = reissue(&mut step, 1_000);
    started(&mut step, &second, "fast", 1_000);
    step.on_progress(second.attempt, TokenCount::new(9));
    let effects = step.next_drafts(Timestamp::new(1_200), &free(5, VERSION));
    assert_eq!(effects.cancel, [drafts[0].attempt]);
    assert_eq!(step.status().wasted_tokens, TokenCount::new(4));
}

/// Guards against unbounded redundant work. Without a budget, no draft is reissued.
#[test]
fn extra_tokens() {
    let options = StepOptions {
        max_wasted_share: 0.0,
        ..StepOptions::default()
    };
    let mut step = StepAssembly::new(spec(10, &[]), options).unwrap();
    let drafts = start(&mut step, 10, 0);
    for (index, draft) in drafts.iter().enumerate() {
        started(&mut step, draft, "a", 0);
        let tokens = if index == 0 { 4 } else { 40 };
        step.on_progress(draft.attempt, TokenCount::new(tokens));
    }
    assert_eq!(start(&mut step, 5, 1_000), []);
}

/// Guards against attempt ids that collide with those of a former owner, or of another daemon that took over from the
/// same state. A late answer would then be bound to another slot.
#[test]
fn attempt_ids() {
    let mut old = step(2, &[]);
    let mut copies = [StepCopy::default(), StepCopy::default()];
    for copy in &mut copies {
        for message in old.pending_copies() {
            copy.accept(&message).unwrap();
        }
    }
    let mut drafts = start(&mut old, 2, 0);
    let late = drafts[0].clone();
    for (copy, owner) in copies.into_iter().zip([1, 2]) {
        let options = StepOptions {
            owner,
            ..StepOptions::default()
        };
        let mut new = StepAssembly::restore(copy, options).unwrap();
        drafts.extend(start(&mut new, 2, 0));
        assert_eq!(finish(&mut new, &late, GOOD).copy, []);
    }
    let attempts: BTreeSet<AttemptId> = drafts.iter().map(|draft| draft.attempt).collect();
    assert_eq!(attempts.len(), 6);
}
