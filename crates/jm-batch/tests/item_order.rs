//! Guards against a step that ends late because its longest text started last or stayed on a slow engine.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FaultyStore, Script, Step, TestHost, data, engine, spec};
use jm_batch::{BatchPlan, GenerationEnd, GenerationRequest, PlanOptions};
use jm_types::Timestamp;
use quickcheck::quickcheck;

/// Time at which the last of `lengths` ends on `slots` slots, started in the given order.
fn last_end(lengths: &[u64], order: impl Iterator<Item = usize>, slots: usize) -> u64 {
    let mut free_at = vec![0_u64; slots.max(1)];
    for index in order {
        let slot = free_at.iter_mut().min().expect("there is a slot");
        *slot += lengths[index];
    }
    free_at.into_iter().max().unwrap_or(0)
}

/// A step has 232 texts on 132 slots, and one text in twelve is about five times as long as the others.
#[test]
fn long_texts_first() {
    let lengths: Vec<u64> = (0..232)
        .map(|index| if index % 12 == 11 { 50 } else { 4 + index % 13 })
        .collect();
    let plan = BatchPlan::new(&spec("b", &lengths), PlanOptions::default());
    let planned = last_end(&lengths, plan.ready(Timestamp::new(0)), 132);
    let as_submitted = last_end(&lengths, 0..lengths.len(), 132);
    assert_eq!(planned, 50, "the longest texts start first");
    assert!(
        as_submitted > planned,
        "the order as submitted ends at {as_submitted}"
    );
}

quickcheck! {
    /// The plan never ends later than the sum of the longest text and the mean load of a slot.
    fn bounded_end(lengths: Vec<u8>, slots: u8) -> bool {
        let lengths: Vec<u64> = lengths.into_iter().map(|length| u64::from(length) + 1).collect();
        if lengths.is_empty() {
            return true;
        }
        let slots = usize::from(slots % 32) + 1;
        let plan = BatchPlan::new(&spec("b", &lengths), PlanOptions::default());
        let end = last_end(&lengths, plan.ready(Timestamp::new(0)), slots);
        let mean = lengths.iter().sum::<u64>() / slots as u64;
        end <= mean + lengths.iter().max().copied().unwrap_or(0) + 1
    }
}

/// No engine receives more items than it has slots, so that the plan decides the order and not the engine's queue.
#[async_std::test]
async fn within_slots() {
    let store = FaultyStore::new();
    let script = Box::new(|_: &_, _: &GenerationRequest| vec![data(1), Step::Wait(Duration::from_secs(30))]);
    let targets = vec![engine("e1", 3, 1), engine("e2", 2, 1)];
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, script);
    host.service.submit(spec("b1", &[1; 12])).await.unwrap();
    async_std::task::sleep(Duration::from_millis(30)).await;
    let runs = host.engines.runs.lock().unwrap();
    let at = |id: &str| runs.iter().filter(|(engine, _)| engine == id).count();
    assert_eq!((at("e1"), at("e2")), (3, 2));
}

/// Texts of 40 events, with a pause before each next event that depends on the engine.
fn paced(pause_ms: impl Fn(&str) -> u64 + Send + Sync + 'static) -> Script {
    Box::new(move |target, request| {
        let pause = Duration::from_millis(pause_ms(target.run.id.as_str()));
        let first = request.resume_after.unwrap_or(0) + 1;
        let mut steps = Vec::new();
        for index in first..=40 {
            steps.push(data(index));
            steps.push(Step::Wait(pause));
        }
        steps.push(Step::End(GenerationEnd::Complete));
        steps
    })
}

/// A text on an engine that became slow continues on a fast engine with free slots.
#[async_std::test]
async fn moves_from_slow_engine() {
    let store = FaultyStore::new();
    let script = paced(|engine| if engine == "slow" { 40 } else { 2 });
    let targets = vec![engine("slow", 4, 1), engine("fast", 4, 1)];
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, script);
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    let page = host.listed("b1", 8).await;
    assert!(
        page.results
            .iter()
            .all(|result| result.text == common::whole_text(40))
    );
    assert!(host.events.moved.load(Ordering::SeqCst) > 0);
}

/// Guards against work that is thrown away: an engine that has more free slots is not faster for that reason.
#[async_std::test]
async fn no_moves_between_equal_engines() {
    let store = FaultyStore::new();
    let targets = vec![engine("small", 4, 1), engine("large", 12, 1)];
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, paced(|_| 20));
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    host.listed("b1", 8).await;
    assert!(host.events.placed.load(Ordering::SeqCst) >= 8);
    assert_eq!(host.events.moved.load(Ordering::SeqCst), 0);
}
