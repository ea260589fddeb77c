//! Guards against a host that was frozen while another host took its batch over, and that goes on with the batch after it
//! was closed. What decides it is which states the host receives, so each test plays all orders of events.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{CallKind, FaultyStore, Hold, Hosts, Script, Step, TestHost, engine, spec, text, with_timeout};
use futures::future::join_all;
use jm_batch::{
    BATCH_STATE_PREFIX, BatchPhase, BatchResult, BatchState, CopyDecision, GenerationRequest, ResultPiece,
    copy_decision,
};
use jm_platform::{Condition, ObjectStore, Version};
use jm_types::{BatchId, DurationMs, Incarnation, OrganisationId, WeightVersion};

const PAUSE_MS: u64 = 5_000;

/// Something that happens to the host or to the stored state of its batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// Another host takes the batch over in the store.
    Claim,
    /// The batch is closed in the store, with results of the other host.
    Close,
    /// The host goes on after its pause and asks for the state, which the store reads at once.
    Wake,
    /// The store's answer arrives.
    Answer,
    /// The watch delivers the takeover. It may miss it and deliver only the newest state.
    WatchClaim,
    /// The watch delivers the closed state.
    WatchClose,
}

use Event::{Answer, Claim, Close, Wake, WatchClaim, WatchClose};

/// Pairs of events of which the first always comes first.
const BEFORE: [(Event, Event); 6] = [
    (Claim, Close),
    (Claim, Wake),
    (Claim, WatchClaim),
    (Close, WatchClose),
    (Wake, Answer),
    (WatchClaim, WatchClose),
];

/// All orders of `events` that `BEFORE` allows.
fn orders(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let may_be_first = |first: &Event| {
        let is_earlier = |other: &Event| BEFORE.contains(&(*other, *first));
        !events.iter().any(is_earlier)
    };
    let firsts = events.iter().copied().filter(may_be_first);
    let orders_from = |first: Event| {
        let rest: Vec<Event> = events.iter().copied().filter(|event| *event != first).collect();
        let rests = orders(&rest).into_iter();
        rests.map(move |rest| [vec![first], rest].concat())
    };
    firsts.flat_map(orders_from).collect()
}

/// All orders, also those in which the watch misses the takeover or the host does not notice its pause.
fn all_orders() -> Vec<Vec<Event>> {
    let sets: [&[Event]; 4] = [
        &[Claim, Close, Wake, Answer, WatchClaim, WatchClose],
        &[Claim, Close, Wake, Answer, WatchClose],
        &[Claim, Close, WatchClaim, WatchClose],
        &[Claim, Close, WatchClose],
    ];
    sets.into_iter().flat_map(orders).collect()
}

struct Case {
    store: Arc<FaultyStore>,
    host: TestHost,
    /// States that the other host stored.
    stored: Vec<(BatchState, Version)>,
    /// Keeps the answer to the host's read of the state back.
    answer: Option<Hold>,
}

impl Case {
    /// A host that runs the batch `b1` on one engine with two slots.
    async fn start(items: &[u64], script: Script) -> Self {
        let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
        let host = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], script);
        host.service.submit(spec("b1", items)).await.unwrap();
        host.started(2).await;
        hosts.start("host-b");
        Self::new(host, store)
    }

    fn new(host: TestHost, store: Arc<FaultyStore>) -> Self {
        Self {
            store,
            host,
            stored: Vec::new(),
            answer: None,
        }
    }

    async fn stored_state(&self) -> Option<(BatchState, Version)> {
        let key = format!("{BATCH_STATE_PREFIX}b1");
        let object = self.store.inner.get(&key).await.unwrap()?;
        Some((serde_json::from_slice(&object.value).unwrap(), object.version))
    }

    /// Waits until the store names the host as the owner.
    async fn owned(&self) {
        let is_owner = |(state, _): (BatchState, Version)| state.owner.as_str() == "host-a";
        with_timeout(async {
            while !self.stored_state().await.is_some_and(is_owner) {
                task::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    async fn store_state(&mut self, change: impl FnOnce(&mut BatchState)) {
        let key = format!("{BATCH_STATE_PREFIX}b1");
        let (mut state, version) = self.stored_state().await.unwrap();
        change(&mut state);
        let value = serde_json::to_vec(&state).unwrap();
        let condition = Condition::Version(version);
        let version = self.store.inner.put(&key, value, condition).await.unwrap();
        self.stored.push((state, version));
    }

    async fn store_results(&self, first: usize, items: &[&str]) {
        let results = items.iter().copied().map(BatchResult::expired).collect();
        let value = serde_json::to_vec(&ResultPiece { first, results }).unwrap();
        let key = format!("batch-result/b1.{first:06}");
        self.store
            .inner
            .put(&key, value, Condition::Absent)
            .await
            .unwrap();
    }

    /// Plays an event. `phase` is that of the closed batch.
    async fn play(&mut self, event: Event, phase: BatchPhase) {
        match event {
            Claim => {
                let claim = |state: &mut BatchState| {
                    state.owner = "host-b".parse().unwrap();
                    state.earlier_owners += 1;
                };
                self.store_state(claim).await;
            }
            Close => self.store_state(|state| state.phase = phase).await,
            Wake => {
                self.answer = Some(self.store.hold_answers(CallKind::Read, BATCH_STATE_PREFIX));
                let reads = self.store.reads.load(Ordering::SeqCst);
                self.host.clock.jump(PAUSE_MS);
                let (events, store) = (&self.host.events, &self.store);
                // A host without an open batch reads nothing, and one without any batch does not notice its pause.
                until(|| {
                    let has_read = store.reads.load(Ordering::SeqCst) > reads;
                    let has_none = events.confirmations.load(Ordering::SeqCst) > 0;
                    let is_paused = events.pauses.load(Ordering::SeqCst) > 0;
                    let is_released = events.released.load(Ordering::SeqCst) > 0;
                    is_released || is_paused && (has_read || has_none)
                })
                .await;
                self.store.hold_no_more();
            }
            Answer => {
                self.answer = None;
                let events = &self.host.events;
                until(|| {
                    let is_unpaused = events.pauses.load(Ordering::SeqCst) == 0;
                    is_unpaused || events.confirmations.load(Ordering::SeqCst) > 0
                })
                .await;
            }
            WatchClaim => self.deliver(0),
            WatchClose => self.deliver(1),
        }
    }

    fn deliver(&self, index: usize) {
        let (state, version) = self.stored[index].clone();
        self.host.service.apply_state(state, version);
    }

    /// Reads the results at the host from the start on. Returns their number.
    async fn read(&self) -> usize {
        let (batch, organisation): (BatchId, OrganisationId) =
            ("b1".parse().unwrap(), "parish".parse().unwrap());
        let read = self
            .host
            .service
            .read(&batch, Some(&organisation), 0, DurationMs::new(0));
        read.await.map_or(0, |page| page.results.len())
    }

    /// Gives the host room for more items, and time to start them.
    async fn offer_engine(&self) {
        self.host
            .set_targets(vec![engine("e1", 2, 1), engine("e2", 2, 1)]);
        for _ in 0..20 {
            self.host.service.routing_changed();
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn until(is_reached: impl Fn() -> bool) {
    with_timeout(async {
        while !is_reached() {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Plays all orders and names those that break the rule.
async fn assert_all(holds: impl AsyncFn(Vec<Event>) -> bool) {
    let played = all_orders().into_iter().map(|order| {
        let held = holds(order.clone());
        async { (held.await, order) }
    });
    let played = join_all(played).await;
    let broken: Vec<String> = played
        .iter()
        .filter(|(held, _)| !held)
        .map(|(_, order)| format!("{order:?}"))
        .collect();
    let (count, all) = (broken.len(), played.len());
    assert!(
        broken.is_empty(),
        "broken in {count} of {all} orders:\n{}",
        broken.join("\n")
    );
}

/// The host must not run the items that waited when it was frozen. All results of the batch are stored, so its end by the
/// submitter changes nothing in the store.
#[async_std::test]
async fn finished_elsewhere() {
    assert_all(async |order| {
        let mut case = Case::start(&[9, 8, 7], Box::new(|_, _| vec![Step::Stall])).await;
        case.store_results(0, &["b1-0", "b1-1", "b1-2"]).await;
        for event in order {
            case.play(event, BatchPhase::Finished).await;
        }
        case.offer_engine().await;
        let started = case.host.engines.runs.lock().unwrap().len();
        started == 2 && case.host.engines.open.load(Ordering::SeqCst) == 0
    })
    .await;
}

/// Results that were read at other hosts must come again at the host that was frozen. It had listed two of them.
#[async_std::test]
async fn ended_elsewhere() {
    assert_all(async |order| {
        let script = |_: &_, request: &GenerationRequest| match request.item {
            0 | 1 => text(request, 3, 1),
            _ => vec![Step::Stall],
        };
        let mut case = Case::start(&[9, 8, 7, 6], Box::new(script)).await;
        let listed = case.host.listed("b1", 2).await;
        case.store_results(listed.results.len(), &["b1-2", "b1-3"]).await;
        for event in order {
            case.play(event, BatchPhase::Ended).await;
            case.read().await;
        }
        case.read().await == 4
    })
    .await;
}

/// The host is frozen while it takes a batch over, after its claim was stored. Another host takes the batch from it, and the
/// submitter ends it. The host had no items that wait, so it does not notice the pause.
#[async_std::test]
async fn frozen_in_a_takeover() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let stall = || Box::new(|_: &_, _: &_| vec![Step::Stall]);
    let first = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 2, 1)], stall());
    first.service.submit(spec("b1", &[9, 8])).await.unwrap();
    hosts.kill("host-b");
    let host = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], stall());
    let answers = store.hold_answers(CallKind::Read, "batch/");
    host.sync_states(&store).await;
    let mut case = Case::new(host, store);
    case.answer = Some(answers);
    case.owned().await;
    hosts.start("host-b");
    case.play(Claim, BatchPhase::Ended).await;
    case.play(Close, BatchPhase::Ended).await;
    case.host.clock.jump(PAUSE_MS);
    case.answer = None;
    case.offer_engine().await;
    let runs = case.host.engines.runs.lock().unwrap().len();
    assert_eq!(runs, 0, "an item of the ended batch began");
}

/// The host is frozen while it accepts a batch, after the batch was stored. The submitter sends the batch again to another
/// host and ends it there.
#[async_std::test]
async fn frozen_in_a_submission() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let stall = Box::new(|_: &_, _: &_| vec![Step::Stall]);
    let host = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], stall);
    let answer = store.hold_answers(CallKind::Write, BATCH_STATE_PREFIX);
    let service = Arc::clone(&host.service);
    let submission = task::spawn(async move { service.submit(spec("b1", &[9, 8])).await });
    until(|| store.state_writes.load(Ordering::SeqCst) > 0).await;
    let mut case = Case::new(host, store);
    case.answer = Some(answer);
    case.owned().await;
    hosts.start("host-b");
    case.play(Claim, BatchPhase::Ended).await;
    case.play(Close, BatchPhase::Ended).await;
    case.host.clock.jump(PAUSE_MS);
    case.answer = None;
    submission.await.unwrap();
    case.offer_engine().await;
    let runs = case.host.engines.runs.lock().unwrap().len();
    assert_eq!(runs, 0, "an item of the ended batch began");
}

fn state_of(owner: &str, phase: BatchPhase, earlier_owners: u32) -> BatchState {
    BatchState {
        batch: "b1".parse().unwrap(),
        organisation: None,
        owner: owner.parse().unwrap(),
        owner_incarnation: Incarnation::new(1),
        earlier_owners,
        phase,
        items: 4,
        model: None,
        min_version: WeightVersion::new(0),
        work_tokens: 0,
        submitted_unix_ms: 0,
        closed_unix_ms: None,
    }
}

/// A decision that looks at the phase before the owner. Only a batch that was handed over, whose state is not stored yet,
/// is newer at this host than the state says.
#[test]
fn decisions_on_copies() {
    let decide = |owner: &str, phase: BatchPhase, earlier_owners: u32, copy: u32| {
        let state = state_of(owner, phase, earlier_owners);
        copy_decision(&state, &"host-a".parse().unwrap(), Incarnation::new(1), copy)
    };
    use BatchPhase::{Ended, Finished, Removing, Running};
    use CopyDecision::{Keep, Release, Stop};
    for phase in [Running, Finished, Ended, Removing] {
        assert_eq!(decide("host-b", phase, 1, 0), Release, "taken over, {phase:?}");
        assert_eq!(decide("host-b", phase, 1, 1), Release, "two owners, {phase:?}");
        assert_eq!(decide("host-a", phase, 2, 0), Release, "came back, {phase:?}");
    }
    let own = [Running, Finished, Ended, Removing].map(|phase| decide("host-a", phase, 1, 1));
    assert_eq!(own, [Keep, Keep, Stop, Release]);
    let handed_over = [Running, Finished, Ended, Removing].map(|phase| decide("host-b", phase, 0, 1));
    assert_eq!(handed_over, [Release, Stop, Stop, Release]);
}
