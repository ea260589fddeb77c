//! Delivery order, replication of bindings, and staleness.

mod common;

use common::{VERSION, copy_all, delivered, finish, free, start, step};
use jm_step::{CopyBody, StepAssembly, StepCopy, StepEvent, StepOptions, Term, UnusableReason};
use jm_types::{Sequence, SlotIndex, Timestamp, WeightVersion};

const GOOD: &[Option<u64>] = &[Some(VERSION)];

fn unusable(events: &[StepEvent]) -> Vec<UnusableReason> {
    events
        .iter()
        .filter_map(|event| match event {
            StepEvent::Unusable { reason, .. } => Some(*reason),
            _ => None,
        })
        .collect()
}

/// Guards against delivery of a sample that only one daemon holds, and against delivery of a later sample before it.
/// The trainer would never ask for the skipped sample again.
#[test]
fn uncopied_binding() {
    let mut step = step(4, &[]);
    let mut copy = StepCopy::default();
    copy_all(&mut step, &mut copy);
    let drafts = start(&mut step, 3, 0);
    finish(&mut step, &drafts[0], GOOD);
    let second = finish(&mut step, &drafts[1], GOOD);
    assert_eq!(delivered(&step, 0), []);
    step.on_copy_receipt(copy.accept(&second.copy[0]).unwrap());
    assert_eq!(delivered(&step, 0), []);
    copy_all(&mut step, &mut copy);
    assert_eq!(delivered(&step, 0), [(1, 0), (2, 1)]);
}

/// Guards against samples that change their sequence number before they are acknowledged.
#[test]
fn repeated_delivery() {
    let mut step = step(4, &[]);
    let mut copy = StepCopy::default();
    let drafts = start(&mut step, 4, 0);
    for draft in drafts.iter().rev() {
        finish(&mut step, draft, GOOD);
    }
    copy_all(&mut step, &mut copy);
    let all = [(1, 3), (2, 2), (3, 1), (4, 0)];
    assert_eq!(delivered(&step, 0), all);
    assert_eq!(delivered(&step, 0), all);
    assert_eq!(delivered(&step, 2), all[2..]);
    step.acknowledge(Sequence::new(1)).unwrap();
    assert_eq!(delivered(&step, 0), all[1..]);
    step.acknowledge(Sequence::new(4)).unwrap();
    assert!(step.is_complete());
    assert!(step.acknowledge(Sequence::new(5)).is_err());
}

/// Guards against a step that waits forever for a copy holder in a fleet with one daemon.
#[test]
fn single_daemon() {
    let mut step = step(2, &[]);
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    step.on_copy_holder_lost();
    assert_eq!(delivered(&step, 0), [(1, 0)]);
    assert!(step.status().degraded);
}

/// Guards against delivery of a sample without a weight version. The version must not be inferred, so the sample is
/// drafted again.
#[test]
fn missing_version() {
    for versions in [&[][..], &[None], &[Some(VERSION), None]] {
        let mut step = step(1, &[]);
        let drafts = start(&mut step, 1, 0);
        let effects = finish(&mut step, &drafts[0], versions);
        assert_eq!(unusable(&effects.events), [UnusableReason::MissingVersion]);
        let again = start(&mut step, 1, 0);
        assert_eq!(again[0].slot, drafts[0].slot);
        assert_ne!(again[0].attempt, drafts[0].attempt);
    }
}

/// Guards against staleness measured by the newest or the last segment instead of the oldest one.
#[test]
fn oldest_segment() {
    let mut step = step(2, &[]);
    let drafts = start(&mut step, 2, 0);
    let effects = finish(&mut step, &drafts[0], &[Some(10), Some(8), Some(10)]);
    assert_eq!(unusable(&effects.events), [UnusableReason::TooOld]);
    let effects = finish(&mut step, &drafts[1], &[Some(12), Some(9)]);
    assert_eq!(unusable(&effects.events), []);
}

/// Guards against delivery of samples that became too old after they were bound, and against dropping a sample that
/// the trainer already holds.
#[test]
fn newer_version() {
    let mut step = step(3, &[]);
    let mut copy = StepCopy::default();
    let drafts = start(&mut step, 3, 0);
    finish(&mut step, &drafts[0], &[Some(9)]);
    finish(&mut step, &drafts[1], &[Some(9)]);
    finish(&mut step, &drafts[2], &[Some(10)]);
    copy_all(&mut step, &mut copy);
    let effects = step.on_version_named(WeightVersion::new(11), Sequence::new(1));
    assert_eq!(unusable(&effects.events), [UnusableReason::TooOld]);
    assert_eq!(delivered(&step, 1), [], "the named version is not copied yet");
    copy_all(&mut step, &mut copy);
    assert_eq!(delivered(&step, 1), [(3, 2)]);
    let again = step.next_drafts(Timestamp::new(0), &free(3, 11)).start;
    assert_eq!(
        again.iter().map(|draft| draft.slot).collect::<Vec<_>>(),
        [SlotIndex::new(1)]
    );
}

/// Guards against a delayed request that reverts the named version or drops samples received since.
#[test]
fn late_named_version() {
    let mut step = step(1, &[]);
    step.on_version_named(WeightVersion::new(12), Sequence::new(0));
    for version in [10, 11, 12] {
        let effects = step.on_version_named(WeightVersion::new(version), Sequence::new(0));
        assert_eq!(effects.copy, []);
        assert_eq!(step.version(), WeightVersion::new(12));
    }
}

/// Guards against drafts on engines that violate the staleness bound, both at the start and once a newer version is
/// named.
#[test]
fn old_engine() {
    let mut step = step(2, &[]);
    assert_eq!(step.next_drafts(Timestamp::new(0), &free(2, 8)).start, []);
    let drafts = step.next_drafts(Timestamp::new(0), &free(1, 9)).start;
    assert_eq!(drafts[0].minimum_version, WeightVersion::new(9));
    let target = "engine-1".parse().unwrap();
    let running = step.on_started(
        drafts[0].attempt,
        target,
        Some(WeightVersion::new(9)),
        Timestamp::new(0),
    );
    assert_eq!(running.cancel, []);
    let effects = step.on_version_named(WeightVersion::new(11), Sequence::new(0));
    assert_eq!(effects.cancel, [drafts[0].attempt]);
    assert_eq!(step.next_drafts(Timestamp::new(0), &free(2, 11)).start.len(), 2);
}

/// Guards against receipts of an earlier copy holder that count as receipts of the current one.
#[test]
fn old_receipt() {
    let mut step = step(1, &[]);
    let mut first = StepCopy::default();
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    let receipts: Vec<_> = step
        .pending_copies()
        .iter()
        .map(|message| first.accept(message).unwrap())
        .collect();
    step.on_copy_holder_changed();
    for receipt in receipts {
        step.on_copy_receipt(receipt);
    }
    assert_eq!(delivered(&step, 0), []);
    copy_all(&mut step, &mut StepCopy::default());
    assert_eq!(delivered(&step, 0), [(1, 0)]);
}

/// Guards against acceptance of messages of an earlier term, and against a takeover from a copy that never received
/// the samples that an earlier holder had confirmed.
#[test]
fn incomplete_copy() {
    let mut step = step(1, &[]);
    let mut first = StepCopy::default();
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    copy_all(&mut step, &mut first);
    let old = step.acknowledge(Sequence::new(0)).unwrap().copy;
    assert_eq!(old, []);
    let of_first_term = step.acknowledge(Sequence::new(1)).unwrap().copy;
    let mut second = StepCopy::default();
    step.on_copy_holder_changed();
    for message in step.pending_copies() {
        second.accept(&message).unwrap();
    }
    assert!(second.accept(&of_first_term[0]).is_err());
    assert!(StepAssembly::restore(StepCopy::default(), StepOptions::default()).is_err());
    let restored = StepAssembly::restore(second, StepOptions::default()).unwrap();
    assert!(restored.is_complete());
}

/// Guards against a takeover from a copy that received the first message of the term but not the samples it lists.
#[test]
fn missing_binding() {
    let mut step = step(1, &[]);
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    let mut copy = StepCopy::default();
    for message in step.pending_copies() {
        if matches!(message.body, CopyBody::Begin(_)) {
            copy.accept(&message).unwrap();
        }
    }
    assert!(!copy.is_complete());
}

/// Guards against an undetected takeover from an outdated copy that another holder's copy had replaced.
#[test]
fn replaced_copy() {
    let mut step = step(1, &[]);
    let mut replaced = StepCopy::default();
    copy_all(&mut step, &mut replaced);
    let first_term = step.term();
    step.on_copy_holder_changed();
    let drafts = start(&mut step, 1, 0);
    finish(&mut step, &drafts[0], GOOD);
    copy_all(&mut step, &mut StepCopy::default());
    assert_eq!(delivered(&step, 0), [(1, 0)]);
    let options = StepOptions {
        owner: 1,
        ..StepOptions::default()
    };
    let stale = StepAssembly::restore(replaced, options).unwrap();
    assert!(stale.descends_from(first_term));
    assert!(step.descends_from(first_term));
    assert_eq!(stale.term().number, step.term().number);
    assert!(!stale.descends_from(step.term()));
}

/// Guards against a term that changes when it is formatted for the trainer and parsed again.
#[test]
fn term_text() {
    let term = Term { number: 3, owner: 77 };
    assert_eq!(term.to_string().parse(), Ok(term));
    for text in ["", "3", "3-", "-7", "x-7", "3-7-1"] {
        assert!(text.parse::<Term>().is_err(), "{text}");
    }
}
