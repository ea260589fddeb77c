//! Guards against a step that ends late because the long texts which it took over from the step before start anew, and
//! against texts that are older than the step allows.

mod common;

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{FaultyStore, Hosts, Step, TestHost, data, engine, spec, text, whole_text, without_hang};
use jm_batch::{BatchPlan, BatchSpec, CarriedOver, GenerationRequest, PlanOptions, ResultState};
use jm_types::{Timestamp, WeightVersion};

/// Events of a whole text.
const WHOLE: u64 = 50;
/// Event after which the long text stands still in the first step; enough for a checkpoint.
const BEGUN: u64 = 45;
/// Events of a text that does not end within a test.
const ENDLESS: u64 = 5_000;

/// The next step of the same trainer: the items of `earlier` come again under their ids, and a new one after them.
fn next_step(earlier: &BatchSpec, min_version: u64) -> BatchSpec {
    let mut next = spec("b2", &[900]);
    next.min_version = WeightVersion::new(min_version);
    next.items.splice(0..0, earlier.items.iter().cloned());
    next
}

/// In the first step, item 0 stands still after some events and item 1 is whole at once; both are made under `version`.
fn script(version: u64) -> common::Script {
    Box::new(move |_: &_, request: &GenerationRequest| {
        let item = request.spec.items[request.item].id.as_str();
        if (item, request.spec.id.as_str()) != ("b1-0", "b1") {
            return text(request, WHOLE, version);
        }
        let mut steps = text(request, BEGUN, version);
        steps.pop();
        steps.push(Step::Silence);
        steps
    })
}

/// In the first step, item 0 goes on and on; everything else is whole at once.
fn endless_script() -> common::Script {
    Box::new(|_: &_, request: &GenerationRequest| {
        let item = request.spec.items[request.item].id.as_str();
        if (item, request.spec.id.as_str()) != ("b1-0", "b1") {
            return text(request, WHOLE, 3);
        }
        let mut steps = text(request, BEGUN, 3);
        steps.pop();
        for event in BEGUN + 1..ENDLESS {
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

/// Runs the first step until its short text is listed and its long one is saved as far as it came, and ends it.
async fn ended_step(version: u64) -> EndedStep {
    let step = open_step(version, script(version)).await;
    let organisation = "parish".parse().unwrap();
    let ended = step.host.service.end(&step.first.id, Some(&organisation));
    ended.await.unwrap();
    step
}

/// The same without the end.
async fn open_step(version: u64, script: common::Script) -> EndedStep {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let targets = vec![engine("e1", 4, version)];
    let host = TestHost::start("host-a", &hosts, &store, targets, script);
    let first = spec("b1", &[500, 1]);
    host.service.submit(first.clone()).await.unwrap();
    host.listed("b1", 1).await;
    store.until_texts_saved("b1").await;
    EndedStep {
        host,
        first,
        store,
        hosts,
    }
}

/// Items of the second step that ran, and the event after which each went on.
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

/// The long text goes on where the first step left it and the short one does not run again.
#[async_std::test]
async fn texts_go_on() {
    let EndedStep { host, first, .. } = ended_step(3).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(WHOLE)));
    let expected = CarriedOver {
        items: 2,
        continued: 1,
        complete: 1,
    };
    assert_eq!(*host.events.carried.lock().unwrap(), expected);
    assert_eq!(
        second_starts(&host),
        starts([("b1-0", Some(BEGUN)), ("b2-0", None)])
    );
}

/// The host that ran the first step is killed before the second one. Its successor finds the results in the store, and the
/// long text as far as it was saved there.
#[async_std::test]
async fn owner_dies_between_steps() {
    let EndedStep {
        first, store, hosts, ..
    } = ended_step(3).await;
    hosts.kill("host-a");
    let host = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 4, 3)], script(3));
    host.learn(&store).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(WHOLE)));
    assert_eq!(
        second_starts(&host),
        starts([("b1-0", Some(BEGUN)), ("b2-0", None)])
    );
}

/// The owner has not heard of the end of the first step when the second one comes. Its text goes on at one engine only.
#[async_std::test]
async fn end_not_heard_of() {
    let EndedStep { host, first, .. } = open_step(3, endless_script()).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    host.listed("b2", 3).await;
    without_hang(async {
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
        "the first step's run was stopped and not started again"
    );
}

/// Texts of weights that the next step does not accept are made again from the start.
#[async_std::test]
async fn old_texts_start_anew() {
    let EndedStep { host, first, .. } = ended_step(3).await;
    *host.world.catalog.lock().unwrap() = Arc::new([engine("e2", 4, 4)].into_iter().collect());
    host.service.submit(next_step(&first, 4)).await.unwrap();
    without_hang(async {
        while second_starts(&host).len() < 3 {
            task::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let expected = starts([("b1-0", None), ("b1-1", None), ("b2-0", None)]);
    assert_eq!(second_starts(&host), expected);
}

/// An item with the same id and another body is another request; nothing of the earlier one is used.
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

/// The submitter waits for each item that it carried over, so the shortest of them starts before the longest new one.
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
        "two attempts of the route, as without earlier failures four"
    );
}
