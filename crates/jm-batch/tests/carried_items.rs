//! Guards against a step that ends late because long texts carried over from the previous step restart from the
//! beginning, and against reuse of texts that are older than the step allows.

mod common;

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{FaultyStore, Hosts, Step, TestHost, data, engine, spec, text, whole_text, with_timeout};
use jm_batch::{BatchPlan, BatchSpec, CarriedOver, GenerationRequest, PlanOptions, ResultState};
use jm_types::{Timestamp, WeightVersion};

/// Number of events of a complete text.
const COMPLETE_EVENTS: u64 = 50;
/// Event after which the long text stalls in the first step. It is long enough for a checkpoint.
const STALL_EVENT: u64 = 45;
/// Number of events of a text that does not end within a test.
const ENDLESS_EVENTS: u64 = 5_000;

/// The next step of the same trainer. It repeats the items of `earlier` under their ids and adds a new one.
fn next_step(earlier: &BatchSpec, min_version: u64) -> BatchSpec {
    let mut next = spec("b2", &[900]);
    next.min_version = WeightVersion::new(min_version);
    next.items.splice(0..0, earlier.items.iter().cloned());
    next
}

/// In the first step, item 0 stalls after some events and item 1 completes at once. Both are generated with `version`.
fn script(version: u64) -> common::Script {
    Box::new(move |_: &_, request: &GenerationRequest| {
        let item = request.spec.items[request.item].id.as_str();
        if (item, request.spec.id.as_str()) != ("b1-0", "b1") {
            return text(request, COMPLETE_EVENTS, version);
        }
        let mut steps = text(request, STALL_EVENT, version);
        steps.pop();
        steps.push(Step::Stall);
        steps
    })
}

/// In the first step, item 0 keeps producing events. All other items complete at once.
fn endless_script() -> common::Script {
    Box::new(|_: &_, request: &GenerationRequest| {
        let item = request.spec.items[request.item].id.as_str();
        if (item, request.spec.id.as_str()) != ("b1-0", "b1") {
            return text(request, COMPLETE_EVENTS, 3);
        }
        let mut steps = text(request, STALL_EVENT, 3);
        steps.pop();
        for event in STALL_EVENT + 1..ENDLESS_EVENTS {
            steps.push(Step::Wait(Duration::from_millis(20)));
            steps.push(data(event));
        }
        steps
    })
}

struct EndedStep {
    host: TestHost,
    first: BatchSpec,
    store: Arc<FaultyStore>,
    hosts: Arc<Hosts>,
}

/// Runs the first step until its short text is stored and a checkpoint of its long text is saved, then ends it.
async fn ended_step(version: u64) -> EndedStep {
    let step = open_step(version, script(version)).await;
    let organisation = "parish".parse().unwrap();
    let ended = step.host.service.end(&step.first.id, Some(&organisation));
    ended.await.unwrap();
    step
}

/// Runs the first step until its short text is stored and a checkpoint of its long text is saved, and keeps it running.
async fn open_step(version: u64, script: common::Script) -> EndedStep {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let targets = vec![engine("e1", 4, version)];
    let host = TestHost::start("host-a", &hosts, &store, targets, script);
    let first = spec("b1", &[500, 1]);
    host.service.submit(first.clone()).await.unwrap();
    host.listed("b1", 1).await;
    store.wait_for_saved_texts("b1").await;
    EndedStep {
        host,
        first,
        store,
        hosts,
    }
}

/// Items of the second step that ran, with the event after which each of them continued.
fn second_starts(host: &TestHost) -> BTreeMap<String, Option<u64>> {
    let starts = host.engines.starts.lock().unwrap();
    let second = starts.iter().filter(|(batch, _, _)| batch == "b2");
    second
        .map(|(_, item, resume_after)| (item.clone(), *resume_after))
        .collect()
}

fn starts<const N: usize>(expected: [(&str, Option<u64>); N]) -> BTreeMap<String, Option<u64>> {
    let owned = expected.map(|(item, resume_after)| (item.to_owned(), resume_after));
    BTreeMap::from(owned)
}

/// The long text continues after the last event of the first step, and the short text is not generated again.
#[async_std::test]
async fn texts_resume() {
    let EndedStep { host, first, .. } = ended_step(3).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(
        page.results
            .iter()
            .all(|result| result.text == whole_text(COMPLETE_EVENTS))
    );
    let expected = CarriedOver {
        items: 2,
        continued: 1,
        complete: 1,
    };
    assert_eq!(*host.events.carried.lock().unwrap(), expected);
    assert_eq!(
        second_starts(&host),
        starts([("b1-0", Some(STALL_EVENT)), ("b2-0", None)])
    );
}

/// The owner of the first step is killed before the second step. The new owner loads the results and the checkpoint of
/// the long text from the store.
#[async_std::test]
async fn owner_dies_between_steps() {
    let EndedStep {
        first, store, hosts, ..
    } = ended_step(3).await;
    hosts.kill("host-a");
    let host = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 4, 3)], script(3));
    host.sync_states(&store).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(
        page.results
            .iter()
            .all(|result| result.text == whole_text(COMPLETE_EVENTS))
    );
    assert_eq!(
        second_starts(&host),
        starts([("b1-0", Some(STALL_EVENT)), ("b2-0", None)])
    );
}

/// The owner has not received the end of the first step when the second step arrives. The repeated text must not run on
/// two engines.
#[async_std::test]
async fn end_not_received_yet() {
    let EndedStep { host, first, .. } = open_step(3, endless_script()).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    host.listed("b2", 3).await;
    with_timeout(async {
        while host.engines.open.load(Ordering::SeqCst) > 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let starts = host.engines.starts.lock().unwrap();
    let of_first = starts
        .iter()
        .filter(|(batch, item, _)| (batch.as_str(), item.as_str()) == ("b1", "b1-0"));
    assert_eq!(
        of_first.count(),
        1,
        "the run of the first step is stopped and not restarted"
    );
}

/// Texts generated with weights that the next step does not accept restart from the beginning.
#[async_std::test]
async fn outdated_texts_restart() {
    let EndedStep { host, first, .. } = ended_step(3).await;
    *host.routing.catalog.lock().unwrap() = Arc::new([engine("e2", 4, 4)].into_iter().collect());
    host.service.submit(next_step(&first, 4)).await.unwrap();
    with_timeout(async {
        while second_starts(&host).len() < 3 {
            task::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let expected = starts([("b1-0", None), ("b1-1", None), ("b2-0", None)]);
    assert_eq!(second_starts(&host), expected);
}

/// An item with the same id and another body is a different request, so the earlier text must not be reused.
#[async_std::test]
async fn other_requests() {
    let EndedStep { host, mut first, .. } = ended_step(3).await;
    for item in &mut first.items {
        item.body = b"another body".to_vec();
    }
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(
        page.results
            .iter()
            .all(|result| result.state == ResultState::Completed)
    );
    let expected = starts([("b1-0", None), ("b1-1", None), ("b2-0", None)]);
    assert_eq!(second_starts(&host), expected);
}

/// The submitter waits for each item that it carried over, so even the shortest of them starts before the longest new
/// item.
#[test]
fn carried_items_first() {
    let mut plan = BatchPlan::new(&spec("b", &[5, 900, 1, 800]), PlanOptions::default());
    plan.prioritize(&[0, 2]);
    let order: Vec<usize> = plan.ready(Timestamp::new(0)).collect();
    assert_eq!(order, [0, 2, 1, 3]);
}

/// An item that engines failed in an earlier batch is given up sooner, but not before the attempts of its route.
#[test]
fn carried_failures() {
    let now = Timestamp::new(0);
    let mut plan = BatchPlan::new(&spec("b", &[1]), PlanOptions::default());
    plan.carry_failures(0, 3);
    assert!(!plan.record_failure(0, now));
    assert!(
        plan.record_failure(0, now),
        "two attempts of the route instead of four without earlier failures"
    );
}
