//! Guards against a host that goes on after a pause as if no time had passed: it starts items of batches that were ended or
//! taken over meanwhile, and stops runs because it did not read their events itself.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{FaultyStore, Hosts, Script, Step, TestHost, data, engine, spec, text, with_timeout};
use jm_batch::{BatchPhase, BatchState, GenerationEnd, PauseDetector};
use jm_platform::{Condition, ObjectStore};
use jm_types::{DurationMs, Timestamp};

const PAUSE_MS: u64 = 5_000;

async fn wait_until(is_reached: impl Fn() -> bool) {
    with_timeout(async {
        while !is_reached() {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Ends the batch in the store as another host would, without telling this one.
async fn end_elsewhere(store: &FaultyStore, batch: &str) {
    let key = format!("{}{batch}", jm_batch::BATCH_STATE_PREFIX);
    let object = store.inner.get(&key).await.unwrap().unwrap();
    let state: BatchState = serde_json::from_slice(&object.value).unwrap();
    let ended = BatchState {
        phase: BatchPhase::Ended,
        ..state
    };
    let value = serde_json::to_vec(&ended).unwrap();
    let condition = Condition::Version(object.version);
    store.inner.put(&key, value, condition).await.unwrap();
}

#[async_std::test]
async fn ended_during_the_pause() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let script: Script = Box::new(|_, _| vec![Step::Stall]);
    let host = TestHost::start("a", &hosts, &store, vec![engine("e1", 1, 1)], script);
    host.service.submit(spec("b1", &[4, 4])).await.unwrap();
    wait_until(|| host.engines.runs.lock().unwrap().len() == 1).await;
    end_elsewhere(&store, "b1").await;
    host.clock.jump(PAUSE_MS);
    wait_until(|| host.events.pauses.load(Ordering::SeqCst) > 0).await;
    // The other item could start on an engine that is listed now.
    let engines = [engine("e1", 1, 1), engine("e2", 1, 1)];
    *host.routing.catalog.lock().unwrap() = Arc::new(engines.into_iter().collect());
    for _ in 0..20 {
        host.service.routing_changed();
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(host.engines.runs.lock().unwrap().len(), 1);
    assert_eq!(host.engines.open.load(Ordering::SeqCst), 0);
}

/// The store is away when the host goes on. No other host can have taken the batch over without it.
#[async_std::test]
async fn goes_on_without_the_store() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let script: Script = Box::new(|_, request| {
        let mut steps = vec![Step::Wait(Duration::from_millis(30))];
        steps.extend(text(request, 3, 1));
        steps
    });
    let host = TestHost::start("a", &hosts, &store, vec![engine("e1", 1, 1)], script);
    host.service.submit(spec("b1", &[4, 4])).await.unwrap();
    wait_until(|| !host.engines.runs.lock().unwrap().is_empty()).await;
    store.is_down.store(true, Ordering::SeqCst);
    host.clock.jump(PAUSE_MS);
    wait_until(|| host.engines.runs.lock().unwrap().len() == 2).await;
}

#[async_std::test]
async fn running_texts_go_on() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let script: Script = Box::new(|_, _| {
        let wait = || Step::Wait(Duration::from_millis(25));
        let events = (1..=6).flat_map(|index| [wait(), data(index)]);
        let version = common::text_version(1);
        std::iter::once(version)
            .chain(events)
            .chain([Step::End(GenerationEnd::Complete)])
            .collect()
    });
    // The second engine could take the item over at any time.
    let targets = vec![engine("e1", 1, 1), engine("e2", 1, 1)];
    let host = TestHost::start("a", &hosts, &store, targets, script);
    host.service.submit(spec("b1", &[6])).await.unwrap();
    wait_until(|| !host.engines.runs.lock().unwrap().is_empty()).await;
    host.clock.jump(PAUSE_MS);
    host.listed("b1", 1).await;
    assert!(host.events.failed_runs.lock().unwrap().is_empty());
    assert_eq!(host.engines.runs.lock().unwrap().len(), 1);
}

#[test]
fn gaps_of_the_loop() {
    let (threshold, interval) = (DurationMs::new(1_000), DurationMs::new(100));
    let mut pauses = PauseDetector::new(threshold, Timestamp::new(0));
    assert_eq!(pauses.observe(interval, Timestamp::new(900)), None, "a slow host");
    let pause = pauses.observe(interval, Timestamp::new(4_000));
    assert_eq!(pause, Some(DurationMs::new(3_000)));
    let idle = DurationMs::new(3_600_000);
    assert_eq!(pauses.observe(idle, Timestamp::new(60_000)), None, "an idle host");
}
