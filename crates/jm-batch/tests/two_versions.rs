//! Guards against results that are joined from texts of two software versions, and against items that are lost because no
//! engine of their version serves any more.

mod common;

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{channel::bounded, task::sleep};
use common::{FaultyStore, Hosts, Script, Step, TestHost, engine, spec, text_version, with_timeout};
use jm_batch::{
    AllowedSoftware, EngineLoads, GenerationEnd, GenerationEvent, GenerationRequest, ItemRequirements,
    LoadOptions, Placement, ProgressReport, ResultState, TextOrigin, begins_anew,
};
use jm_forward::Target;
use jm_platform::{Condition, ObjectStore};
use jm_types::{DurationMs, SystemClock, Timestamp, WallClock, WeightVersion};
use quickcheck::quickcheck;
use serde_json::{Value, json};

/// Events of a complete text.
const EVENTS: u64 = 50;

/// Events of a text that is long enough for a checkpoint.
const LONG_EVENTS: u64 = 45;

/// An engine with software version `software`, or without one if it is empty.
fn versioned(id: &str, software: &str) -> Target {
    Target {
        software: (!software.is_empty()).then(|| software.parse().unwrap()),
        ..engine(id, 4, 1)
    }
}

fn event(software: &str, index: u64) -> Step {
    Step::Send(GenerationEvent::Data {
        index,
        data: format!("{software}:{index}"),
    })
}

fn name(target: &Target) -> String {
    target
        .software
        .as_ref()
        .map_or(String::new(), ToString::to_string)
}

/// The events of one run by an engine with `software`, up to number `last`.
fn events(software: &str, request: &GenerationRequest, last: u64) -> Vec<Step> {
    let first = request.resume_after.unwrap_or(0) + 1;
    let events = (first..=last).map(|index| event(software, index));
    let weights = if software == "new" { 2 } else { 1 };
    [text_version(weights)].into_iter().chain(events).collect()
}

fn lost() -> Step {
    let reason = "reset".to_owned();
    Step::End(GenerationEnd::Lost { reason })
}

fn whole(software: &str) -> String {
    let events: Vec<String> = (1..=EVENTS).map(|index| format!("{software}:{index}")).collect();
    events.join("\n")
}

/// Each run sends the rest of the text.
fn rest() -> Script {
    Box::new(|target, request| events(&name(target), request, EVENTS))
}

/// The first run of each item breaks after `count` events.
fn breaking(count: u64) -> Script {
    let begun: Mutex<HashSet<usize>> = Mutex::default();
    Box::new(move |target, request| {
        if !begun.lock().unwrap().insert(request.item) {
            return events(&name(target), request, EVENTS);
        }
        let mut steps = events(&name(target), request, count);
        steps.push(lost());
        steps
    })
}

/// Each run sends a part of the text that is long enough for a checkpoint, and no more.
fn stalling() -> Script {
    Box::new(|target, request| {
        let mut steps = events(&name(target), request, LONG_EVENTS);
        steps.push(Step::Stall);
        steps
    })
}

/// Two engines of the version `new`, before one of the version `old`.
fn new_before_old() -> Vec<Target> {
    vec![
        versioned("e1", "new"),
        versioned("e2", "new"),
        versioned("e3", "old"),
    ]
}

/// The texts of `count` complete results.
async fn texts(host: &TestHost, batch: &str, count: usize) -> Vec<String> {
    let page = host.listed(batch, count).await;
    let results = page.results.into_iter();
    results
        .map(|result| {
            assert_eq!(result.state, ResultState::Completed);
            result.text
        })
        .collect()
}

/// Events after which the runs of an item resumed.
fn resumed_after(host: &TestHost, item: &str) -> Vec<Option<u64>> {
    let starts = host.engines.starts.lock().unwrap();
    let of_item = starts.iter().filter(|(_, started, _)| started == item);
    of_item.map(|(_, _, resume_after)| *resume_after).collect()
}

/// An owner saved a long text of version `old` and was killed.
async fn killed_owner() -> (Arc<FaultyStore>, Arc<Hosts>) {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let old = vec![versioned("e3", "old")];
    let first = TestHost::start("host-a", &hosts, &store, old, stalling());
    first.service.submit(spec("b1", &[1])).await.unwrap();
    store.wait_for_saved_texts("b1").await;
    hosts.kill("host-a");
    (store, hosts)
}

async fn next_owner(store: &Arc<FaultyStore>, hosts: &Arc<Hosts>, targets: Vec<Target>) -> TestHost {
    let next = TestHost::start("host-b", hosts, store, targets, rest());
    next.sync_states(store).await;
    next
}

/// 48 items whose first run breaks after three events, with six engines of each version.
#[async_std::test]
async fn broken_runs() {
    let targets = (0..12).map(|index| Target {
        slots: [3, 5][index % 2],
        ..versioned(&format!("e{index}"), ["old", "new"][index % 2])
    });
    let store = FaultyStore::new();
    let host = TestHost::start("host-a", &Arc::default(), &store, targets.collect(), breaking(3));
    host.service.submit(spec("b1", &[1; 48])).await.unwrap();
    let texts = texts(&host, "b1", 48).await;
    let is_joined = |text: &&String| **text != whole("old") && **text != whole("new");
    let joined = texts.iter().filter(is_joined).count();
    assert_eq!(joined, 0, "{joined} of 48 results are joined");
}

/// An engine of the same version has room, but others are listed before it.
#[async_std::test]
async fn resumes_at_its_version() {
    let mut targets = new_before_old();
    targets.insert(0, versioned("e0", "old"));
    let store = FaultyStore::new();
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, breaking(3));
    host.service.submit(spec("b1", &[1])).await.unwrap();
    assert_eq!(texts(&host, "b1", 1).await, [whole("old")]);
    assert_eq!(resumed_after(&host, "b1-0"), [None, Some(3)]);
}

#[async_std::test]
async fn saved_text() {
    let (store, hosts) = killed_owner().await;
    let second = next_owner(&store, &hosts, new_before_old()).await;
    assert_eq!(texts(&second, "b1", 1).await, [whole("old")]);
    assert_eq!(resumed_after(&second, "b1-0"), [Some(LONG_EVENTS)]);
}

/// The item is not lost, and the version that left costs it no attempt.
#[async_std::test]
async fn version_has_left() {
    let (store, hosts) = killed_owner().await;
    let second = next_owner(&store, &hosts, vec![versioned("e1", "new")]).await;
    assert_eq!(texts(&second, "b1", 1).await, [whole("new")]);
    assert_eq!(resumed_after(&second, "b1-0"), [None]);
    let versions = second.listed("b1", 1).await.results.remove(0).versions;
    assert_eq!(versions, [WeightVersion::new(2)], "the weights of the new text");
    let begun_anew = second.events.begun_anew.lock().unwrap().clone();
    assert_eq!(begun_anew, [(LONG_EVENTS, None)]);
    assert!(second.events.failed_runs.lock().unwrap().is_empty());
}

/// Earlier releases saved texts without their origin. Such a text goes on only where targets name no version.
#[async_std::test]
async fn saved_without_version() {
    for (software, resumed) in [("new", None), ("", Some(LONG_EVENTS))] {
        let (store, hosts) = killed_owner().await;
        let saved = store.inner.list("batch-texts/b1.").await.unwrap().objects;
        let mut older: Value = serde_json::from_slice(&saved[0].object.value).unwrap();
        older[0].as_object_mut().unwrap().remove("origin");
        let value = serde_json::to_vec(&older).unwrap();
        let key = &saved[0].key;
        store.inner.put(key, value, Condition::Any).await.unwrap();
        let second = next_owner(&store, &hosts, vec![versioned("e1", software)]).await;
        texts(&second, "b1", 1).await;
        assert_eq!(resumed_after(&second, "b1-0"), [resumed]);
    }
}

#[async_std::test]
async fn handed_over() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let old = vec![versioned("e3", "old")];
    let first = TestHost::start("host-a", &hosts, &store, old, stalling());
    first.service.submit(spec("b1", &[1])).await.unwrap();
    store.wait_for_saved_texts("b1").await;
    let second = TestHost::start("host-b", &hosts, &store, new_before_old(), rest());
    first.connect("host-b", &second);
    first.service.hand_over().await;
    assert_eq!(texts(&second, "b1", 1).await, [whole("old")]);
}

#[async_std::test]
async fn carried_text() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let script: Script = Box::new(|target, request| {
        let is_second = request.spec.id.as_str() == "b2";
        let (last, end) = if is_second {
            (EVENTS, None)
        } else {
            (3, Some(Step::Stall))
        };
        let steps = events(&name(target), request, last);
        steps.into_iter().chain(end).collect()
    });
    let old = vec![versioned("e3", "old")];
    let host = TestHost::start_patient(
        "host-a",
        &hosts,
        &store,
        old,
        script,
        Box::new(|_, _| common::scored()),
        10_000,
    );
    let first = spec("b1", &[1]);
    host.service.submit(first.clone()).await.unwrap();
    host.started(1).await;
    host.set_targets(new_before_old());
    let mut next = spec("b2", &[1]);
    next.items = first.items;
    host.service.submit(next).await.unwrap();
    assert_eq!(texts(&host, "b2", 1).await, [whole("old")]);
    assert_eq!(resumed_after(&host, "b1-0"), [None, Some(3)]);
}

/// Five events of version `old`, which took `took_ms`, as a former owner reports them.
fn report(item: usize, took_ms: u64) -> ProgressReport {
    let text: Vec<String> = (1..=5).map(|index| format!("old:{index}")).collect();
    let text = json!({
        "item": item, "text": text.join("\n"), "last_event": 5, "versions": [1], "took_ms": took_ms,
        "origin": {"service": "engines", "software": "old"},
    });
    ProgressReport {
        batch: "b1".parse().unwrap(),
        texts: vec![serde_json::from_value(text).unwrap()],
        results: Vec::new(),
        running: Vec::new(),
    }
}

/// A former owner reports a longer text of another version while the item waits.
#[async_std::test]
async fn late_report() {
    let store = FaultyStore::new();
    let new = vec![versioned("e1", "new")];
    let host = TestHost::start("host-a", &Arc::default(), &store, new, breaking(3));
    host.service.submit(spec("b1", &[1])).await.unwrap();
    with_timeout(async {
        while host.events.failed_runs.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    assert!(host.service.receive_report(report(0, 100)));
    host.set_targets(new_before_old());
    assert_eq!(texts(&host, "b1", 1).await, [whole("old")]);
}

/// The only engine of the text's version is full, and another one has room. A long text waits, a short one begins anew.
#[async_std::test]
async fn version_is_full() {
    for (took_ms, written_by) in [(60_000, "old"), (0, "new")] {
        let store = FaultyStore::new();
        let script: Script = Box::new(|target, request| {
            let mut steps = events(&name(target), request, EVENTS);
            if request.item == 0 {
                steps.insert(2, Step::Wait(Duration::from_millis(200)));
            }
            steps
        });
        let old = Target {
            slots: 1,
            ..versioned("e1", "old")
        };
        let hosts = Arc::default();
        let scoring = Box::new(|_: &_, _: &_| common::scored());
        let targets = vec![old.clone()];
        let host = TestHost::start_patient("host-a", &hosts, &store, targets, script, scoring, 10_000);
        host.service.submit(spec("b1", &[9, 1])).await.unwrap();
        host.started(1).await;
        assert!(host.service.receive_report(report(1, took_ms)));
        host.set_targets(vec![versioned("e2", "new"), old]);
        let mut written = texts(&host, "b1", 2).await;
        written.sort();
        let mut expected = [whole("old"), whole(written_by)];
        expected.sort();
        assert_eq!(written, expected);
    }
}

/// A faster engine of another version cannot continue a running text.
#[async_std::test]
async fn no_moves_between_versions() {
    let script: Script = Box::new(|target, request| {
        let pause = Duration::from_millis(if name(target) == "old" { 40 } else { 2 });
        let steps = events(&name(target), request, EVENTS).into_iter();
        steps.flat_map(|step| [Step::Wait(pause), step]).collect()
    });
    let store = FaultyStore::new();
    let targets = vec![versioned("e1", "old"), versioned("e2", "new")];
    let host = TestHost::start("host-a", &Arc::default(), &store, targets, script);
    host.service.submit(spec("b1", &[1; 8])).await.unwrap();
    let texts = texts(&host, "b1", 8).await;
    assert!(texts.contains(&whole("old")), "the slow engine was used");
    assert!(
        texts
            .iter()
            .all(|text| [whole("old"), whole("new")].contains(text))
    );
}

/// The only engine changes its software at the given moment of the text's second run.
async fn changed_entry(moment: Moment, started_unix_ms: u64) -> (String, Vec<Option<u64>>) {
    let (told, reached) = bounded(1);
    let (gate, open) = bounded(1);
    gate.send(()).await.unwrap();
    let broken = breaking(3);
    let runs = AtomicUsize::new(0);
    let script: Script = Box::new(move |target, request| {
        let run = runs.fetch_add(1, Ordering::SeqCst);
        let mut steps = match moment {
            Moment::FirstRun => events(&name(target), request, EVENTS),
            _ => broken(target, request),
        };
        let (paused_run, position) = match moment {
            Moment::FirstRun => (0, 2),
            Moment::BeforeEvents => (1, 0),
            Moment::AfterEvent => (1, 2),
        };
        if run == paused_run {
            // The second signal waits for the test.
            let pause = [Step::Signal(told.clone()), Step::Signal(gate.clone())];
            steps.splice(position..position, pause);
        }
        steps
    });
    let (store, hosts) = (FaultyStore::new(), Arc::default());
    let targets = vec![versioned("e1", "old")];
    let scoring = Box::new(|_: &_, _: &_| common::scored());
    let host = TestHost::start_patient("host-a", &hosts, &store, targets, script, scoring, 10_000);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    with_timeout(reached.recv()).await.unwrap();
    let mut changed = versioned("e1", "new");
    changed.run.started_unix_ms = started_unix_ms;
    host.set_targets(vec![changed]);
    open.recv().await.unwrap();
    let text = texts(&host, "b1", 1).await.remove(0);
    (text, resumed_after(&host, "b1-0"))
}

#[derive(Clone, Copy)]
enum Moment {
    /// In the first run, so that one process writes the whole text.
    FirstRun,
    /// Before the first event of the run that resumes the text.
    BeforeEvents,
    /// After the first event of that run.
    AfterEvent,
}

/// An engine restarts under its id with other software, and its entry is late, so that a text that resumed may be joined.
#[async_std::test]
async fn late_entry() {
    let anew = (whole("new"), vec![None, Some(3), None]);
    assert_eq!(changed_entry(Moment::BeforeEvents, 1).await, anew);
    assert_eq!(changed_entry(Moment::AfterEvent, 1).await, anew);
    let first_run = changed_entry(Moment::FirstRun, 1).await;
    assert_eq!(first_run, (whole("old"), vec![None]));
}

/// A process that starts after a run began wrote none of its events.
#[async_std::test]
async fn later_start() {
    let in_a_minute = SystemClock.unix_ms() + 60_000;
    let resumed = (whole("old"), vec![None, Some(3)]);
    assert_eq!(changed_entry(Moment::BeforeEvents, in_a_minute).await, resumed);
    assert_eq!(changed_entry(Moment::AfterEvent, in_a_minute).await, resumed);
}

/// The number of a version means nothing in another service.
#[test]
fn other_service() {
    let (targets, mut loads) = ([versioned("e1", "old")], EngineLoads::new(LoadOptions::default()));
    let origin = |service: &str| TextOrigin {
        service: service.parse().unwrap(),
        software: "old".parse().unwrap(),
    };
    let mut starts = |origin: &TextOrigin| {
        let requirements = ItemRequirements {
            model: None,
            min_version: WeightVersion::new(0),
            own_work: 1,
            remote_work: &[],
            tokens: 1,
            memory_tokens: None,
            prompt_tokens: 0,
            prompt_parts: &[],
            events_done: 5,
            software: AllowedSoftware::Same(Some(origin)),
        };
        let now = Timestamp::new(0);
        let mut placement = Placement::new(&loads, targets.iter(), requirements, now);
        placement.start(&mut loads, requirements, now).is_some()
    };
    assert!(starts(&origin("engines")));
    assert!(!starts(&origin("other-engines")));
}

/// Time from the break of a text that took `took_ms` to the moment at which a text is as long again, if an engine of its
/// version has room after `full_ms` and others at once.
fn delay_ms(took_ms: u64, full_ms: u64, waits: impl Fn(u64) -> bool) -> u64 {
    let gives_up = (0..full_ms).find(|waited| !waits(*waited));
    gives_up.map_or(full_ms, |waited| waited + took_ms)
}

quickcheck! {
    /// Waiting for the text's version costs no text more than twice what the better choice would have cost, unlike a rule
    /// that always waits and one that never does, and it ends.
    fn bounded_delay(took_ms: u16, full_ms: u16) -> bool {
        let (took_ms, full_ms) = (u64::from(took_ms) % 2_000, u64::from(full_ms));
        let waits = |waited| !begins_anew(DurationMs::new(took_ms), DurationMs::new(waited));
        let always = delay_ms(took_ms, full_ms, |_| true);
        let never = delay_ms(took_ms, full_ms, |_| false);
        let delay = delay_ms(took_ms, full_ms, waits);
        delay <= 2 * always.min(never) && begins_anew(DurationMs::new(3_600_000), DurationMs::new(2_000))
    }
}
