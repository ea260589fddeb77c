//! Guards against steps whose texts restart from the beginning when their owner is killed.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FaultyStore, Hosts, Step, TestHost, data, engine, spec, text, whole_text};
use jm_batch::{
    CheckpointOptions, CheckpointState, GenerationEnd, GenerationRequest, ItemText, longest_texts,
    texts_to_save,
};
use jm_platform::ObjectStore;
use jm_types::{DurationMs, Timestamp};

fn item_text(item: usize, events: u64, bytes: usize) -> ItemText {
    ItemText {
        item,
        text: "x".repeat(bytes),
        last_event: Some(events),
        ..ItemText::default()
    }
}

/// All hosts are killed in the middle of a step. On a new host the long text continues after the last checkpoint.
#[async_std::test]
async fn killed_owner() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let slow = Box::new(|_: &_, request: &GenerationRequest| match request.item {
        0 => {
            let mut steps: Vec<Step> = (1..=60).map(data).collect();
            steps.push(Step::Stall);
            steps
        }
        _ => text(request, 3, 1),
    });
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], slow);
    first.service.submit(spec("b1", &[9, 2])).await.unwrap();
    store.wait_for_saved_texts("b1").await;
    hosts.kill("host-a");
    let rest = Box::new(|_: &_, request: &GenerationRequest| {
        assert_eq!(
            request.resume_after,
            Some(60),
            "the text resumes after its last event"
        );
        text(request, 70, 1)
    });
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], rest);
    second.sync_states(&store).await;
    let page = second.listed("b1", 2).await;
    let long = page.results.iter().find(|result| result.item == "b1-0").unwrap();
    assert_eq!(long.text, whole_text(70));
}

/// A batch with only short texts causes no checkpoint and no read of the store.
#[async_std::test]
async fn short_texts() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let slow = Box::new(|_: &_, request: &GenerationRequest| {
        let mut steps = text(request, 3, 1);
        steps.insert(2, Step::Wait(Duration::from_millis(50)));
        steps
    });
    let host = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], slow);
    host.service.submit(spec("b1", &[1; 12])).await.unwrap();
    host.listed("b1", 12).await;
    let saved = store.inner.list("batch-texts/b1.").await.unwrap();
    assert!(saved.objects.is_empty());
    assert_eq!(store.reads.load(Ordering::SeqCst), 0);
}

#[test]
fn longest_within_the_limit() {
    let options = CheckpointOptions {
        min_events: 40,
        max_bytes: 1_000,
        ..CheckpointOptions::default()
    };
    let texts = vec![
        item_text(0, 39, 10),
        item_text(1, 50, 600),
        item_text(2, 90, 400),
        item_text(3, 60, 500),
    ];
    let saved: Vec<usize> = texts_to_save(texts, &options)
        .iter()
        .map(|text| text.item)
        .collect();
    assert_eq!(saved, [2, 3]);
}

/// The failure count of an item is saved from the second failure on, so that a kill does not restart it.
#[async_std::test]
async fn failures_of_killed_owner() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let fail = || {
        Box::new(|_: &_, request: &GenerationRequest| match request.item {
            0 => vec![Step::End(GenerationEnd::Failed {
                reason: "status 500".to_owned(),
            })],
            _ => vec![Step::Stall],
        })
    };
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], fail());
    let mut batch = spec("b1", &[9, 2]);
    batch.max_attempts = 4;
    first.service.submit(batch).await.unwrap();
    store.wait_for_saved_texts("b1").await;
    let saved = store.inner.list("batch-texts/b1.").await.unwrap();
    let texts: Vec<ItemText> = serde_json::from_slice(&saved.objects[0].object.value).unwrap();
    assert!(texts[0].failures >= 2);
    hosts.kill("host-a");
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], fail());
    second.sync_states(&store).await;
    second.listed("b1", 1).await;
    let runs = second.engines.runs.lock().unwrap();
    let runs = runs.iter().filter(|(_, item)| item == "b1-0").count();
    assert!(runs <= 2, "{runs} runs after at least 2 failures, with 4 allowed");
}

/// The handed-over text of an item may be older or newer than the last checkpoint of another host.
#[test]
fn longest_of_each_item() {
    let found = vec![
        item_text(0, 50, 1),
        item_text(1, 40, 1),
        item_text(0, 45, 1),
        ItemText {
            failures: 2,
            ..item_text(1, 60, 1)
        },
    ];
    let longest = longest_texts(found);
    let events: Vec<_> = longest.iter().map(|text| (text.item, text.last_event)).collect();
    assert_eq!(events, [(0, Some(50)), (1, Some(60))]);
    assert_eq!(longest[1].failures, 2);
}

/// Guards against a new text that is replaced by the longer one that it replaced, whose engines have left, at each takeover.
#[test]
fn replaced_texts() {
    let replaced = item_text(0, 60, 1);
    let new = ItemText {
        replaced_texts: 1,
        ..item_text(0, 45, 1)
    };
    let complete = ItemText {
        is_complete: true,
        ..replaced.clone()
    };
    let found = [replaced.clone(), new.clone(), replaced];
    assert_eq!(longest_texts(found), vec![new.clone()]);
    assert_eq!(longest_texts(vec![new, complete.clone()]), [complete]);
}

/// While the store is unavailable, the interval between checkpoints grows, because their calls are billed and load the
/// store.
#[test]
fn checkpoint_backoff() {
    let options = CheckpointOptions::default();
    let waits = [0, 1, 2, 9].map(|failures| {
        let state = CheckpointState {
            failures,
            ..CheckpointState::default()
        };
        let mut wait_ms = 0;
        while !state.is_due(&options, 0, false, Timestamp::new(wait_ms)) {
            wait_ms += 100;
        }
        DurationMs::new(wait_ms).get()
    });
    assert_eq!(waits, [1_000, 2_000, 4_000, 8_000]);
}

/// The service that scores texts is away, and more texts complete every moment. All hosts lose power before the regular
/// interval has passed, and the texts that are not saved are generated again.
#[test]
fn more_unscored_texts() {
    let options = CheckpointOptions::default();
    let state = CheckpointState {
        unscored: 44,
        ..CheckpointState::default()
    };
    let soon = Timestamp::new(options.unscored_interval_ms.get());
    assert!(state.is_due(&options, 100, false, soon));
    assert!(
        !state.is_due(&options, 44, false, soon),
        "the last checkpoint holds them all"
    );
    assert!(
        state.is_due(&options, 1, true, soon),
        "new failures count whatever the number of complete texts"
    );
    let short = ItemText {
        is_complete: true,
        ..item_text(3, 2, 10)
    };
    let texts = texts_to_save(
        vec![item_text(1, 50, 10), short.clone(), item_text(2, 2, 10)],
        &options,
    );
    assert_eq!(
        texts,
        [short, item_text(1, 50, 10)],
        "complete texts come first, however short"
    );
}

/// A text of few events with many tokens each takes seconds. A kill of all hosts would cost the step all of that time.
#[test]
fn few_long_events() {
    let slow = ItemText {
        took_ms: DurationMs::new(3_000),
        ..item_text(1, 12, 10)
    };
    let slower = ItemText {
        took_ms: DurationMs::new(5_000),
        ..item_text(2, 20, 10)
    };
    let short = ItemText {
        took_ms: DurationMs::new(500),
        ..item_text(3, 20, 10)
    };
    let options = CheckpointOptions::default();
    let texts = texts_to_save(vec![slow.clone(), short, slower.clone()], &options);
    assert_eq!(
        texts,
        [slower, slow],
        "the one that takes longest to generate again comes first"
    );
}
