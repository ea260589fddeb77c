//! Guards against one store call for each result, and against delaying the results that the submitter waits for.

mod common;

use std::sync::{Arc, atomic::Ordering};

use common::{FaultyStore, Hosts, Step, TestHost, engine, spec, text};
use jm_batch::{BatchState, GenerationRequest, UnwrittenResults, WriteScheduleOptions, next_write_at};
use jm_platform::ObjectStore;
use jm_types::{DurationMs, Timestamp};

const WRITTEN_AT: Timestamp = Timestamp::new(10_000);

/// Results of a step that is far from its due time.
const EARLY: UnwrittenResults = UnwrittenResults {
    results: 3,
    has_expired: false,
    has_wanted_groups: false,
    completes_group: false,
    is_final: false,
    due_at: Timestamp::new(16_000),
};

fn wait_ms(unwritten: UnwrittenResults) -> u64 {
    let at = next_write_at(&unwritten, &WriteScheduleOptions::default(), WRITTEN_AT);
    at.since(WRITTEN_AT).get()
}

/// A step has 144 results in groups of 8 over 4 s, one each 28 ms. Each write must take all finished results. Without a
/// write interval, each result after a pause was written separately.
#[test]
fn writes_of_a_step() {
    let mut written_at = Timestamp::new(0);
    let mut written = 0;
    let mut writes = 0;
    for result in 1..=144_u64 {
        let now = Timestamp::new(result * 28);
        let unwritten = UnwrittenResults {
            has_wanted_groups: result / 8 >= 16,
            completes_group: result / 8 > written / 8,
            is_final: result == 144,
            due_at: Timestamp::new(7_500),
            ..EARLY
        };
        if next_write_at(&unwritten, &WriteScheduleOptions::default(), written_at) <= now {
            written_at = now;
            written = result;
            writes += 1;
        }
    }
    assert_eq!(
        writes, 6,
        "three while the step runs, and one for each of the last groups"
    );
}

/// Guards against a step that was late by the write interval. Its trainer waited for a group carried over from the
/// previous step, although enough other groups were complete.
#[test]
fn carried_over_group() {
    assert_eq!(wait_ms(EARLY), 1_000);
    let complete = UnwrittenResults {
        completes_group: true,
        ..EARLY
    };
    assert_eq!(wait_ms(complete), 1_000);
    let enough = UnwrittenResults {
        has_wanted_groups: true,
        ..complete
    };
    assert_eq!(wait_ms(enough), 0);
    let part_of_a_group = UnwrittenResults {
        completes_group: false,
        ..enough
    };
    assert_eq!(wait_ms(part_of_a_group), 1_000);
    let whole = UnwrittenResults {
        is_final: true,
        ..part_of_a_group
    };
    assert_eq!(wait_ms(whole), 0);
}

/// The last groups of a step complete within 0.3 s around its due time. When each group was written at once, the
/// trainer read the first one and paused for half a second while the others completed. They are written together, once
/// shortly before the due time and once after it.
#[test]
fn groups_around_due_time() {
    let due = |due_in_ms: u64, completes_group: bool| UnwrittenResults {
        due_at: WRITTEN_AT.after(DurationMs::new(due_in_ms)),
        completes_group,
        ..EARLY
    };
    assert_eq!(wait_ms(due(900, true)), 400, "half a second before it is due");
    assert_eq!(wait_ms(due(400, true)), 900, "half a second after it was due");
    assert_eq!(wait_ms(due(400, false)), 1_000);
    let overdue = UnwrittenResults {
        due_at: Timestamp::new(WRITTEN_AT.get() - 3_000),
        ..due(0, true)
    };
    assert_eq!(wait_ms(overdue), 1_000);
}

/// An item that was given up is written at once. Otherwise, if this host crashed, the next owner would run the item
/// again and engines would fail it again.
#[test]
fn given_up() {
    let expired = UnwrittenResults {
        has_expired: true,
        ..EARLY
    };
    assert_eq!(wait_ms(expired), 0);
}

/// Guards against a store call in each read on an owner that received its batch from another host. The batch had no
/// earlier owner, so the store holds no results that the owner does not have.
#[async_std::test]
async fn first_owner_does_not_read_store() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = || {
        Box::new(|_: &_, request: &GenerationRequest| match request.item {
            0 | 1 => text(request, 3, 1),
            _ => vec![Step::Stall],
        })
    };
    let start = |name| TestHost::start(name, &hosts, &store, vec![engine("e1", 8, 1)], half());
    let (first, second) = (start("host-a"), start("host-b"));
    // One of the two hosts owns all batches of the model. The other one accepts this batch.
    first.service.submit(spec("b1", &[1; 4])).await.unwrap();
    let state = store.inner.get("batch-state/b1").await.unwrap().unwrap();
    let state: BatchState = serde_json::from_slice(&state.value).unwrap();
    let (owner, other) = match state.owner.as_str() {
        "host-a" => (&first, &second),
        _ => (&second, &first),
    };
    other.service.submit(spec("b2", &[1; 4])).await.unwrap();
    owner.sync_states(&store).await;
    owner.listed("b2", 2).await;
    let reads = store.reads.load(Ordering::SeqCst);
    for _ in 0..5 {
        owner.listed("b2", 1).await;
    }
    assert_eq!(store.reads.load(Ordering::SeqCst), reads);
}

/// A reader asks right after the acknowledgement, while the owner still reads the specification. The reader's host must
/// not list the results in the store every 300 ms until the end of the wait.
#[async_std::test]
async fn read_before_owner_starts() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let whole = || Box::new(|_: &_, request: &GenerationRequest| text(request, 3, 1));
    let start = |name| TestHost::start(name, &hosts, &store, vec![engine("e1", 8, 1)], whole());
    let (first, second) = (start("host-a"), start("host-b"));
    first.service.submit(spec("b1", &[1; 4])).await.unwrap();
    let state = store.inner.get("batch-state/b1").await.unwrap().unwrap();
    let state: BatchState = serde_json::from_slice(&state.value).unwrap();
    let (owner, other) = match state.owner.as_str() {
        "host-a" => (&first, &second),
        _ => (&second, &first),
    };
    other.service.submit(spec("b2", &[1; 4])).await.unwrap();
    let batch = "b2".parse().unwrap();
    let asked = owner.service.read_owned(&batch, 0, DurationMs::new(10_000));
    let named = async {
        owner.sync_states(&store).await;
        owner.service.read_owned(&batch, 0, DurationMs::new(10_000)).await
    };
    let (_, page) = futures::future::join(asked, named).await;
    assert!(!page.expect("the owner answers").results.is_empty());
}
