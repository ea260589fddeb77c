//! Guards against batches that make no progress, lose texts or run twice when their owners stop one after another.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task::{sleep, spawn};
use common::{
    CallKind, FaultyStore, Hosts, Script, Step, TestHost, data, engine, spec, text, text_version, whole_text,
};
use jm_batch::{
    BatchPhase, BatchResult, BatchState, GenerationEnd, GenerationRequest, Giver, Handover, HandoverStatus,
    ItemText, PendingHandover,
};
use jm_platform::{Condition, ObjectStore, Version};
use jm_route::owner_by_key;
use jm_types::{Incarnation, MemberId, WeightVersion};

/// Each text takes `ms`.
fn slow(ms: u64) -> Script {
    Box::new(move |_, request| {
        let mut steps = text(request, 3, 1);
        steps.insert(1, Step::Wait(Duration::from_millis(ms)));
        steps
    })
}

fn endless() -> Script {
    Box::new(|_, _| vec![text_version(1), data(1), data(2), Step::Stall])
}

/// An event every 20 ms, for longer than a host continues its items after a handover.
fn steady() -> Script {
    Box::new(|_, _| {
        let events = (1..=400).flat_map(|index| [data(index), Step::Wait(Duration::from_millis(20))]);
        [text_version(1)].into_iter().chain(events).collect()
    })
}

struct Fleet {
    store: Arc<FaultyStore>,
    hosts: Arc<Hosts>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: FaultyStore::new(),
            hosts: Arc::default(),
        }
    }

    fn start(&self, name: &str, slots: usize, script: Script) -> TestHost {
        let engines = vec![engine("e1", slots, 1)];
        let scoring = Box::new(|_: &_, _: &_| common::scored());
        let (hosts, store) = (&self.hosts, &self.store);
        TestHost::start_patient(name, hosts, store, engines, script, scoring, 10_000)
    }

    fn silence(&self, is_silent: bool) {
        self.store.is_silent.store(is_silent, Ordering::SeqCst);
    }

    async fn stored_state(&self) -> (BatchState, Version) {
        let object = self.store.inner.get("batch-state/b1").await.unwrap().unwrap();
        (serde_json::from_slice(&object.value).unwrap(), object.version)
    }
}

fn runs_of(host: &TestHost, item: &str) -> usize {
    let runs = host.engines.runs.lock().unwrap();
    runs.iter().filter(|(_, run)| run == item).count()
}

/// Three hosts stop one after another while the store does not respond. All items run once, before the store responds.
/// The old way, through the store, starts none on the next owner until then.
#[async_std::test]
async fn rolling_restart_without_store() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 2, slow(40));
    first
        .service
        .submit(spec("b1", &[6, 5, 4, 3, 2, 1]))
        .await
        .unwrap();
    first.started(1).await;
    fleet.silence(true);
    let second = fleet.start("host-b", 2, slow(40));
    first.connect("host-b", &second);
    first.service.hand_over().await;
    fleet.hosts.kill("host-a");
    second.started(1).await;
    let third = fleet.start("host-c", 2, slow(40));
    second.connect("host-c", &third);
    second.service.hand_over().await;
    fleet.hosts.kill("host-b");
    let runs = |host: &TestHost| host.engines.runs.lock().unwrap().len();
    common::with_timeout(async {
        while runs(&first) + runs(&second) + runs(&third) < 6 || third.engines.open.load(Ordering::SeqCst) > 0
        {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    fleet.silence(false);
    let page = third.listed("b1", 6).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
    assert_eq!(
        runs(&first) + runs(&second) + runs(&third),
        6,
        "no item ran twice"
    );
    third.confirmed().await;
    let (state, _) = fleet.stored_state().await;
    assert_eq!((state.owner.as_str(), state.earlier_owners), ("host-c", 2));

    let fleet = Fleet::new();
    let first = fleet.start("host-a", 2, slow(40));
    first
        .service
        .submit(spec("b1", &[6, 5, 4, 3, 2, 1]))
        .await
        .unwrap();
    first.started(1).await;
    fleet.silence(true);
    let second = fleet.start("host-b", 2, slow(40));
    let leaving = Arc::clone(&first.service);
    let old_way = spawn(async move { leaving.hand_over().await });
    sleep(Duration::from_millis(300)).await;
    assert_eq!(runs(&second), 0, "the old way waits for the store");
    fleet.silence(false);
    old_way.await;
    second.sync_states(&fleet.store).await;
    second.listed("b1", 6).await;
}

/// The next owner accepts, but its reply is lost. The former owner hands over through the store as well, and one owner
/// remains.
#[async_std::test]
async fn lost_reply() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    first.service.submit(spec("b1", &[2, 1])).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, slow(1));
    first.connect("host-b", &second);
    first.peers.loses_replies.store(true, Ordering::SeqCst);
    first.service.hand_over().await;
    fleet.hosts.kill("host-a");
    second.sync_states(&fleet.store).await;
    let page = second.listed("b1", 2).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
    let (state, _) = fleet.stored_state().await;
    assert_eq!(state.owner.as_str(), "host-b");
    assert_eq!(second.events.overruled.load(Ordering::SeqCst), 0);
}

/// Another host claims the batch while the store does not respond to the next owner. The stored state decides, and the
/// progress of the next owner reaches the host that it names.
#[async_std::test]
async fn conflict() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    first.service.submit(spec("b1", &[2, 1])).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, endless());
    first.connect("host-b", &second);
    fleet.silence(true);
    let leaving = Arc::clone(&first.service);
    let stopping = spawn(async move { leaving.hand_over().await });
    common::with_timeout(async {
        while first.peers.offers.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let (mut state, version) = fleet.stored_state().await;
    state.owner = "host-c".parse().unwrap();
    state.earlier_owners = 1;
    let claimed = serde_json::to_vec(&state).unwrap();
    let condition = Condition::Version(version);
    fleet
        .store
        .inner
        .put("batch-state/b1", claimed, condition)
        .await
        .unwrap();
    let third = fleet.start("host-c", 4, slow(1));
    second.connect("host-c", &third);
    fleet.silence(false);
    third.sync_states(&fleet.store).await;
    let page = third.listed("b1", 2).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
    common::with_timeout(async {
        while second.events.released.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    assert_eq!(second.events.overruled.load(Ordering::SeqCst), 1);
    stopping.await;
}

/// Guards against a third host that claims the batch while the store does not name the host that runs it, and against
/// readers there that get no results.
#[async_std::test]
async fn third_host_while_unconfirmed() {
    let fleet = Fleet::new();
    let half: Script = Box::new(|_, request| match request.item {
        1 => text(request, 3, 1),
        _ => vec![data(1), Step::Stall],
    });
    let first = fleet.start("host-a", 2, half);
    first.service.submit(spec("b1", &[1, 9])).await.unwrap();
    first.listed("b1", 1).await;
    // The third host is the successor by rendezvous, but it does not answer the offer.
    let names: Vec<MemberId> = ["host-b", "host-c"].map(|name| name.parse().unwrap()).to_vec();
    let successor = owner_by_key("m", &names).unwrap().as_str();
    let next = if successor == "host-b" { "host-c" } else { "host-b" };
    let second = fleet.start(next, 1, endless());
    let third = fleet.start(successor, 1, endless());
    third.sync_states(&fleet.store).await;
    first.connect(next, &second);
    second.connect(successor, &third);
    third.connect(next, &second);
    fleet.silence(true);
    fleet.store.state_writes.store(0, Ordering::SeqCst);
    first.service.hand_over().await;
    fleet.hosts.kill("host-a");
    assert_eq!(third.listed("b1", 1).await.results.len(), 1);
    third.service.reconcile();
    sleep(Duration::from_millis(30)).await;
    let writes = fleet.store.state_writes.load(Ordering::SeqCst);
    assert_eq!(writes, 1, "only the next owner updates the state");
    fleet.silence(false);
    second.confirmed().await;
    let (state, _) = fleet.stored_state().await;
    assert_eq!((state.owner.as_str(), state.earlier_owners), (next, 1));
}

/// An owner that the store does not name yet stops, and its next owner does not know the message. The batch goes through the
/// store, with the texts.
#[async_std::test]
async fn unconfirmed_owner_stops() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    first.service.submit(spec("b1", &[1])).await.unwrap();
    first.started(1).await;
    let second = fleet.start("host-b", 4, endless());
    first.connect("host-b", &second);
    fleet.silence(true);
    first.service.hand_over().await;
    fleet.hosts.kill("host-a");
    let third = fleet.start("host-c", 4, slow(1));
    let leaving = Arc::clone(&second.service);
    let stopping = spawn(async move { leaving.hand_over().await });
    sleep(Duration::from_millis(30)).await;
    fleet.silence(false);
    stopping.await;
    fleet.hosts.kill("host-b");
    let (state, version, texts) = second.peers.handed_over.lock().unwrap().pop().unwrap();
    assert_eq!((state.owner.as_str(), state.earlier_owners), ("host-c", 2));
    third.service.receive_handover(state, version, texts);
    assert_eq!(third.listed("b1", 1).await.results[0].text, whole_text(3));
    let starts = third.engines.starts.lock().unwrap().clone();
    assert_eq!(starts[0].2, Some(2));
}

/// Both hosts run the batch, because the store named the next owner before the message arrived. It adopts the complete texts
/// and stops its own runs of those items.
#[async_std::test]
async fn message_after_store() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    first.service.submit(spec("b1", &[2, 1])).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, endless());
    first.service.hand_over().await;
    fleet.hosts.kill("host-a");
    second.sync_states(&fleet.store).await;
    second.started(2).await;
    let mut late = first.peers.offers.lock().unwrap()[0].clone();
    late.texts = (0..2).map(complete_text).collect();
    assert!(second.service.accept_handover(late));
    let page = second.listed("b1", 2).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(3)));
    let open = &second.engines.open;
    common::with_timeout(async {
        while open.load(Ordering::SeqCst) > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

fn complete_text(item: usize) -> ItemText {
    ItemText {
        item,
        text: whole_text(3),
        last_event: Some(3),
        is_complete: true,
        ..ItemText::default()
    }
}

/// The store's event of the new owner arrives before the answer to its write.
#[async_std::test]
async fn event_before_answer() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, slow(20));
    first.service.submit(spec("b1", &[2, 1])).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, slow(20));
    first.connect("host-b", &second);
    let hold = fleet.store.hold_answers(CallKind::Write, "batch-state/");
    first.service.hand_over().await;
    common::with_timeout(async {
        while second.events.confirmed.load(Ordering::SeqCst) == 0 {
            second.sync_states(&fleet.store).await;
            first.sync_states(&fleet.store).await;
        }
    })
    .await;
    drop(hold);
    assert_eq!(second.listed("b1", 2).await.results.len(), 2);
    assert_eq!(second.events.released.load(Ordering::SeqCst), 0);
    assert_eq!(second.events.confirmed.load(Ordering::SeqCst), 1);
}

/// An item that runs at the stopping host ends there. The next owner does not start it but lists its text.
#[async_std::test]
async fn running_item_ends() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 1, slow(50));
    first.service.submit(spec("b1", &[9, 1])).await.unwrap();
    first.started(1).await;
    let second = fleet.start("host-b", 1, slow(1));
    first.connect("host-b", &second);
    first.service.hand_over().await;
    second.listed("b1", 2).await;
    assert_eq!(runs_of(&second, "b1-0"), 0);
    assert_eq!(runs_of(&second, "b1-1"), 1);
}

/// A run that does not end at the stopping host resumes at the next owner: after the last report, or earlier once the
/// stopping host has ended.
#[async_std::test]
async fn running_item_resumes() {
    for is_killed in [false, true] {
        let fleet = Fleet::new();
        let first = fleet.start("host-a", 2, steady());
        first.service.submit(spec("b1", &[9])).await.unwrap();
        first.started(1).await;
        let rest: Script = Box::new(|_, request| text(request, 500, 1));
        let second = fleet.start("host-b", 2, rest);
        first.connect("host-b", &second);
        let leaving = Arc::clone(&first.service);
        let stopping = spawn(async move { leaving.hand_over().await });
        sleep(Duration::from_millis(300)).await;
        assert_eq!(runs_of(&second, "b1-0"), 0, "the item is held");
        if is_killed {
            fleet.hosts.kill("host-a");
            second.service.reconcile();
            second.started(1).await;
        }
        assert_eq!(second.listed("b1", 1).await.results[0].text, whole_text(500));
        let starts = second.engines.starts.lock().unwrap().clone();
        let offered = first.peers.offers.lock().unwrap()[0].texts.clone();
        let offered = offered.first().and_then(|text| text.last_event);
        assert!(starts[0].2 >= offered);
        assert!(is_killed || starts[0].2 > offered, "the last report counts");
        stopping.await;
    }
}

/// An item that fails at each run expires after the same number of runs as on a single host.
#[async_std::test]
async fn failure_counts() {
    let fail = |count: usize| -> Script {
        let failed = std::sync::atomic::AtomicUsize::new(0);
        Box::new(move |_, request: &GenerationRequest| {
            let fails = request.item == 0 && failed.fetch_add(1, Ordering::SeqCst) < count;
            let reason = "status 500".to_owned();
            match fails {
                true => vec![Step::End(GenerationEnd::Failed { reason })],
                false => vec![Step::Wait(Duration::from_millis(30)), Step::Stall],
            }
        })
    };
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, fail(3));
    let mut batch = spec("b1", &[9, 2]);
    batch.max_attempts = 4;
    first.service.submit(batch).await.unwrap();
    first.started(5).await;
    let second = fleet.start("host-b", 4, fail(100));
    first.connect("host-b", &second);
    first.service.hand_over().await;
    let page = second.listed("b1", 1).await;
    assert_eq!(page.results[0], BatchResult::expired("b1-0"));
    assert_eq!(
        runs_of(&second, "b1-0"),
        5,
        "3 of 8 runs failed on the first host"
    );
}

/// A batch that is too large for the message is handed over through the store.
#[async_std::test]
async fn large_specification() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    let mut batch = spec("b1", &[2, 1]);
    batch.items[0].body = vec![b'x'; 3_500_000];
    first.service.submit(batch).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, slow(1));
    first.connect("host-b", &second);
    first.service.hand_over().await;
    assert!(first.peers.offers.lock().unwrap().is_empty());
    second.sync_states(&fleet.store).await;
    assert_eq!(second.listed("b1", 2).await.results.len(), 2);
}

/// A handover of a release without the optional fields is readable, and one that names another host is refused.
#[async_std::test]
async fn older_message() {
    let fleet = Fleet::new();
    let first = fleet.start("host-a", 4, endless());
    first.service.submit(spec("b1", &[2, 1])).await.unwrap();
    first.started(2).await;
    let second = fleet.start("host-b", 4, slow(1));
    first.service.hand_over().await;
    let offered = first.peers.offers.lock().unwrap()[0].clone();
    let mut message = serde_json::to_value(&offered).unwrap();
    for field in ["running", "has_all_failures", "speeds"] {
        message.as_object_mut().unwrap().remove(field);
    }
    let older: Handover = serde_json::from_value(message).unwrap();
    assert!(older.running.is_empty() && !older.has_all_failures && older.speeds.is_empty());
    assert!(!first.service.accept_handover(older.clone()));
    assert!(second.service.accept_handover(older));
    assert_eq!(second.listed("b1", 2).await.results.len(), 2);
}

fn state(owner: &str, phase: BatchPhase) -> BatchState {
    BatchState {
        batch: "b1".parse().unwrap(),
        organisation: None,
        owner: owner.parse().unwrap(),
        owner_incarnation: Incarnation::new(1),
        earlier_owners: 0,
        phase,
        items: 4,
        model: None,
        min_version: WeightVersion::new(0),
        work_tokens: 0,
        submitted_unix_ms: 0,
        closed_unix_ms: None,
    }
}

/// A late write of a host that gave the batch up does not end the handover, but any other owner or phase does.
#[test]
fn meaning_of_stored_states() {
    let giver = |name: &str| Giver {
        member: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    let pending = PendingHandover {
        state: state("host-c", BatchPhase::Running),
        version: Version::new(5),
        givers: vec![giver("host-a"), giver("host-b")],
    };
    let status = |owner: &str, phase, version| pending.status(&state(owner, phase), Version::new(version));
    let running = BatchPhase::Running;
    assert_eq!(status("host-a", running, 5), HandoverStatus::Pending);
    assert_eq!(status("host-b", running, 6), HandoverStatus::Delayed);
    assert_eq!(status("host-c", running, 6), HandoverStatus::Confirmed);
    assert_eq!(status("host-d", running, 6), HandoverStatus::Overruled);
    assert_eq!(status("host-c", BatchPhase::Ended, 6), HandoverStatus::Overruled);
}
