//! Guards against a step that ends late because the long texts which it took over from the step before start anew, and
//! against texts that are older than the step allows.

mod common;

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{FaultyStore, Step, TestHost, data, engine, spec, text, whole_text, without_hang};
use jm_batch::{
    BatchPlan, BatchSpec, CarriedOver, GenerationEvent, GenerationRequest, PlanOptions, ResultState,
};
use jm_types::{Timestamp, WeightVersion};

/// Events of a long text, which stands still after the second one in the first batch.
const LONG: u64 = 5;

/// The next step of the same trainer: the items of `earlier` come again under their ids, and a new one after them.
fn next_step(earlier: &BatchSpec, min_version: u64) -> BatchSpec {
    let mut next = spec("b2", &[900]);
    next.min_version = WeightVersion::new(min_version);
    next.items.splice(0..0, earlier.items.iter().cloned());
    next
}

/// Item 0 of the first batch stops after two events, item 1 is whole at once; both were made under `version`.
fn script(version: u64) -> common::Script {
    Box::new(move |_: &_, request: &GenerationRequest| {
        let item = request.spec.items[request.item].id.clone();
        match (item.as_str(), request.spec.id.as_str(), request.resume_after) {
            ("b1-0", "b1", None) => vec![
                Step::Send(GenerationEvent::Version(WeightVersion::new(version))),
                data(1),
                data(2),
                Step::Wait(Duration::from_secs(30)),
            ],
            _ => text(request, LONG, version),
        }
    })
}

/// Runs the first step until its short text is listed and its long one has two events, and ends it.
async fn ended_step(version: u64) -> (TestHost, BatchSpec) {
    let store = FaultyStore::new();
    let targets = vec![engine("e1", 4, version)];
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, script(version));
    let first = spec("b1", &[500, 1]);
    host.service.submit(first.clone()).await.unwrap();
    host.listed("b1", 1).await;
    without_hang(async {
        while host.engines.waits.load(Ordering::SeqCst) == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let organisation = "parish".parse().unwrap();
    host.service.end(&first.id, Some(&organisation)).await.unwrap();
    (host, first)
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

/// The long text goes on after its second event and the short one does not run again.
#[async_std::test]
async fn texts_go_on() {
    let (host, first) = ended_step(3).await;
    host.service.submit(next_step(&first, 3)).await.unwrap();
    let page = host.listed("b2", 3).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(LONG)));
    let expected = CarriedOver {
        items: 2,
        continued: 1,
        complete: 1,
    };
    assert_eq!(*host.events.carried.lock().unwrap(), expected);
    assert_eq!(second_starts(&host), starts([("b1-0", Some(2)), ("b2-0", None)]));
}

/// Texts of weights that the next step does not accept are made again from the start.
#[async_std::test]
async fn old_texts_start_anew() {
    let (host, first) = ended_step(3).await;
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
    let (host, mut first) = ended_step(3).await;
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
    plan.start_first(&[0, 2]);
    let order: Vec<usize> = plan.ready(Timestamp::new(0)).collect();
    assert_eq!(order, [0, 2, 1, 3]);
}

/// An item that engines failed in an earlier batch is given up sooner, but not before the attempts of its route.
#[test]
fn carried_failures() {
    let now = Timestamp::new(0);
    let mut plan = BatchPlan::new(&spec("b", &[1]), PlanOptions::default());
    plan.carry_failures(0, 3);
    assert!(!plan.failed(0, now));
    assert!(
        plan.failed(0, now),
        "two attempts of the route, as without earlier failures four"
    );
}
