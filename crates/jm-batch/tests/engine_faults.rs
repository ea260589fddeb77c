//! Guards against texts that are cut, joined wrongly, too old, or lost with their engine.

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

/// The stream breaks after two events; the next run continues after them.
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
    assert_eq!(versions, [1, 2], "both versions made a part of the text");
}

/// An engine that went dark holds its items only until another one has room.
#[async_std::test]
async fn dark_engine() {
    let script =
        Box::new(
            |target: &jm_forward::Target, request: &GenerationRequest| match target.run.id.as_str() {
                "dark" => vec![data(1), Step::Silence],
                _ => text(request, 3, 1),
            },
        );
    let (host, _store) = start(vec![engine("dark", 4, 1), engine("e2", 4, 1)], script);
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    let page = host.listed("b1", 8).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
}

/// After its failure an engine gets one item until it brings an event: a full window would be lost again and again.
#[async_std::test]
async fn one_item_for_a_suspect() {
    let script =
        Box::new(
            |target: &jm_forward::Target, request: &GenerationRequest| match target.run.id.as_str() {
                "dark" => vec![Step::Silence],
                _ => {
                    let mut steps = text(request, 2, 1);
                    steps.insert(0, Step::Wait(Duration::from_millis(30)));
                    steps
                }
            },
        );
    let (host, _store) = start(vec![engine("dark", 4, 1), engine("e2", 1, 1)], script);
    host.service.submit(spec("b1", &[1; 30])).await.unwrap();
    host.listed("b1", 30).await;
    let runs = host.engines.runs.lock().unwrap();
    let at_dark = runs.iter().filter(|(engine, _)| engine == "dark").count();
    assert!(at_dark <= 4 + 8, "{at_dark} runs went to the dark engine");
}

/// An engine that loads weights rejects all. It is asked with one item at a time, not with as many as it has slots.
#[async_std::test]
async fn one_question_to_a_rejecting_engine() {
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
    let questions = runs.iter().filter(|(engine, _)| engine == "loading").count();
    let most = SLOTS + pauses as usize + 1;
    assert!(
        questions <= most,
        "{questions} items went to the engine in {pauses} pauses"
    );
}

/// Weights below the batch's bound never make a text; the item waits for an engine with newer ones.
#[async_std::test]
async fn too_old_weights() {
    let loaded = Arc::new(AtomicUsize::new(0));
    let runs = Arc::clone(&loaded);
    let script = Box::new(move |_: &_, request: &GenerationRequest| {
        // The list says version 3; the engine still has 2 at first.
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

/// A text of two versions starts again where only one may make it.
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

/// An item that engines fail is tried a bounded number of times, and one that can never be done only once.
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

/// A gap in the events of a run must not reach the text.
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
