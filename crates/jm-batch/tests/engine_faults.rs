//! Guards against texts that are truncated, joined incorrectly, generated with old weights, or lost when their engine
//! fails.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use common::{FaultyStore, Step, TestHost, data, engine, spec, text, whole_text};
use jm_batch::{GenerationEnd, GenerationEvent, GenerationRequest, LoadOptions, ResultState};
use jm_types::WeightVersion;

fn start(targets: Vec<jm_forward::Target>, script: common::Script) -> (TestHost, Arc<FaultyStore>) {
    let store = FaultyStore::new();
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, script);
    (host, store)
}

/// The stream breaks after two events. The next run continues after them.
#[async_std::test]
async fn continued_text() {
    let script = Box::new(|_: &_, request: &GenerationRequest| match request.resume_after {
        None => vec![
            Step::Send(GenerationEvent::Version(WeightVersion::new(1))),
            data(1),
            data(2),
            Step::End(GenerationEnd::Lost {
                reason: "reset".to_owned(),
            }),
        ],
        Some(2) => text(request, 4, 2),
        Some(other) => panic!("resumed after {other}"),
    });
    let (host, _store) = start(vec![engine("e1", 1, 1), engine("e2", 1, 1)], script);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].text, whole_text(4));
    let versions: Vec<u64> = page.results[0]
        .versions
        .iter()
        .map(|version| version.get())
        .collect();
    assert_eq!(versions, [1, 2], "both versions generated a part of the text");
}

/// An engine that stops responding keeps its items only until another engine has free slots.
#[async_std::test]
async fn unresponsive_engine() {
    let script =
        Box::new(
            |target: &jm_forward::Target, request: &GenerationRequest| match target.run.id.as_str() {
                "unresponsive" => vec![data(1), Step::Stall],
                _ => text(request, 3, 1),
            },
        );
    let (host, _store) = start(vec![engine("unresponsive", 4, 1), engine("e2", 4, 1)], script);
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    let page = host.listed("b1", 8).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
}

/// After a failure an engine receives one item at a time until it sends an event. Otherwise it would repeatedly delay
/// as many items as it has slots.
#[async_std::test]
async fn one_item_for_suspect_engine() {
    let script =
        Box::new(
            |target: &jm_forward::Target, request: &GenerationRequest| match target.run.id.as_str() {
                "unresponsive" => vec![Step::Stall],
                _ => {
                    let mut steps = text(request, 2, 1);
                    steps.insert(0, Step::Wait(Duration::from_millis(30)));
                    steps
                }
            },
        );
    let (host, _store) = start(vec![engine("unresponsive", 4, 1), engine("e2", 1, 1)], script);
    host.service.submit(spec("b1", &[1; 30])).await.unwrap();
    host.listed("b1", 30).await;
    let runs = host.engines.runs.lock().unwrap();
    let at_unresponsive = runs.iter().filter(|(engine, _)| engine == "unresponsive").count();
    assert!(
        at_unresponsive <= 4 + 8,
        "{at_unresponsive} runs went to the unresponsive engine"
    );
}

/// An engine that loads weights rejects all items. It is probed with one item at a time, not with as many as it has
/// slots.
#[async_std::test]
async fn one_probe_for_rejecting_engine() {
    const SLOTS: usize = 8;
    let script =
        Box::new(
            |target: &jm_forward::Target, request: &GenerationRequest| match target.run.id.as_str() {
                "loading" => vec![Step::End(GenerationEnd::NotRun {
                    reason: "status 503".to_owned(),
                })],
                _ => {
                    let mut steps = text(request, 2, 1);
                    steps.insert(0, Step::Wait(Duration::from_millis(30)));
                    steps
                }
            },
        );
    let (host, _store) = start(vec![engine("loading", SLOTS, 1), engine("e2", 1, 1)], script);
    let begun = Instant::now();
    host.service.submit(spec("b1", &[1; 20])).await.unwrap();
    host.listed("b1", 20).await;
    let pauses = begun.elapsed().as_millis() as u64 / LoadOptions::default().avoid_rejecting_ms.get();
    let runs = host.engines.runs.lock().unwrap();
    let probes = runs.iter().filter(|(engine, _)| engine == "loading").count();
    let most = SLOTS + pauses as usize + 1;
    assert!(
        probes <= most,
        "{probes} items went to the rejecting engine in {pauses} pauses"
    );
}

/// Weights below the batch's minimum version never generate a text. The item waits for an engine with newer weights.
#[async_std::test]
async fn too_old_weights() {
    let loaded = Arc::new(AtomicUsize::new(0));
    let runs = Arc::clone(&loaded);
    let script = Box::new(move |_: &_, request: &GenerationRequest| {
        // The target list says version 3, but the engine still has version 2 at first.
        let version = if runs.fetch_add(1, Ordering::SeqCst) < 3 {
            2
        } else {
            3
        };
        text(request, 2, version)
    });
    let (host, _store) = start(vec![engine("e1", 1, 3)], script);
    let mut batch = spec("b1", &[1]);
    batch.min_version = WeightVersion::new(3);
    host.service.submit(batch).await.unwrap();
    host.service.routing_changed();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].versions, [WeightVersion::new(3)]);
}

/// A text of two versions restarts if the batch allows only one version.
#[async_std::test]
async fn single_version() {
    let runs = AtomicUsize::new(0);
    let script =
        Box::new(
            move |_: &_, request: &GenerationRequest| match runs.fetch_add(1, Ordering::SeqCst) {
                0 => vec![
                    Step::Send(GenerationEvent::Version(WeightVersion::new(1))),
                    data(1),
                    Step::End(GenerationEnd::Lost {
                        reason: "reset".to_owned(),
                    }),
                ],
                _ => text(request, 3, 2),
            },
        );
    let (host, _store) = start(vec![engine("e1", 1, 1), engine("e2", 1, 1)], script);
    let mut batch = spec("b1", &[1]);
    batch.is_single_version = true;
    host.service.submit(batch).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].text, whole_text(3));
    assert_eq!(page.results[0].versions, [WeightVersion::new(2)]);
}

/// An item that engines fail has a bounded number of runs. An item that cannot be processed runs only once.
#[async_std::test]
async fn failing_items() {
    let script = Box::new(|_: &_, request: &GenerationRequest| match request.item {
        0 => vec![Step::End(GenerationEnd::Impossible)],
        1 => vec![Step::End(GenerationEnd::Failed {
            reason: "status 500".to_owned(),
        })],
        _ => text(request, 1, 1),
    });
    let (host, _store) = start(vec![engine("e1", 4, 1)], script);
    host.service.submit(spec("b1", &[1, 1, 1])).await.unwrap();
    let page = host.listed("b1", 3).await;
    let state = |item: &str| {
        let result = page.results.iter().find(|result| result.item == item);
        result.map(|result| result.state)
    };
    assert_eq!(state("b1-0"), Some(ResultState::Expired));
    assert_eq!(state("b1-1"), Some(ResultState::Expired));
    assert_eq!(state("b1-2"), Some(ResultState::Completed));
    let runs = host.engines.runs.lock().unwrap();
    let of = |item: &str| runs.iter().filter(|(_, run)| run == item).count();
    assert_eq!(of("b1-0"), 1);
    assert_eq!(of("b1-1"), 4, "twice the attempts of the route");
}

/// A text must not be continued after a missing event.
#[async_std::test]
async fn missing_event() {
    let runs = AtomicUsize::new(0);
    let script =
        Box::new(
            move |_: &_, request: &GenerationRequest| match runs.fetch_add(1, Ordering::SeqCst) {
                0 => vec![data(1), data(3), Step::End(GenerationEnd::Complete)],
                _ => text(request, 3, 1),
            },
        );
    let (host, _store) = start(vec![engine("e1", 1, 1)], script);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    assert_eq!(host.listed("b1", 1).await.results[0].text, whole_text(3));
}

/// All engines are so slow that each event takes longer than the limit for stalled runs. Without more patience the item
/// would move from engine to engine without ever getting an event.
#[async_std::test]
async fn slow_but_sound_engines() {
    let script = Box::new(|_: &_, request: &GenerationRequest| {
        let mut steps = Vec::new();
        for step in text(request, 2, 1) {
            steps.extend([Step::Wait(Duration::from_millis(150)), step]);
        }
        steps
    });
    let (host, _store) = start(vec![engine("e1", 1, 1), engine("e2", 1, 1)], script);
    host.service.submit(spec("b1", &[2])).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].state, ResultState::Completed);
}

/// Guards against an engine whose events never end: its texts fill the memory of the host, and the items never end. Another
/// engine generates them from the start.
#[async_std::test]
async fn endless_events() {
    let endless = |index| {
        Step::Send(GenerationEvent::Data {
            index,
            data: "x".repeat(100_000),
        })
    };
    let script: common::Script = Box::new(move |target, request| match target.run.id.as_str() {
        "endless" => (1..=25).map(endless).collect(),
        _ => text(request, 3, 1),
    });
    let (host, _store) = start(vec![engine("endless", 4, 1), engine("sound", 4, 1)], script);
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    let page = host.listed("b1", 8).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
    let failed = host.events.failed_runs.lock().unwrap();
    assert!(failed.iter().any(|end| matches!(end, GenerationEnd::Lost { .. })));
}

/// Guards against a text without its beginning: the events of a late answer to an earlier run of the item, which resumed, were
/// taken for the first ones of a new text.
#[async_std::test]
async fn missing_first_event() {
    let runs = AtomicUsize::new(0);
    let script =
        Box::new(
            move |_: &_, request: &GenerationRequest| match runs.fetch_add(1, Ordering::SeqCst) {
                0 => vec![data(3), data(4), Step::End(GenerationEnd::Complete)],
                _ => text(request, 4, 1),
            },
        );
    let (host, _store) = start(vec![engine("e1", 1, 1)], script);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].text, whole_text(4));
}
