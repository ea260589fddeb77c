//! Guards against a batch that stops when its owner fails, and against two owners that store different results.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use common::{CallKind, FaultyStore, Hosts, Step, TestHost, data, engine, spec, text, whole_text};
use jm_batch::{
    BatchPhase, BatchResult, BatchState, GenerationEnd, GenerationRequest, MembershipView, ResultPiece,
    Takeover, takeover,
};
use jm_platform::{Condition, ObjectStore};
use jm_types::{DurationMs, Incarnation, MemberId, WeightVersion};

/// The owner dies after some results were stored. The next host stores the remaining results after them.
#[async_std::test]
async fn owner_dies() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = Box::new(|_: &_, request: &GenerationRequest| match request.item {
        0 | 1 => text(request, 3, 1),
        _ => vec![Step::Stall],
    });
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], half);
    first.service.submit(spec("b1", &[4, 3, 2, 1])).await.unwrap();
    let before = first.listed("b1", 2).await;
    hosts.kill("host-a");
    let all = Box::new(|_: &_, request: &_| text(request, 3, 1));
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], all);
    second.sync_states(&store).await;
    let after = second.listed("b1", 4).await;
    assert_eq!(
        after.results[..2],
        before.results[..],
        "stored results keep their positions"
    );
    let mut items: Vec<&str> = after.results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!(items.len(), 4, "each item has one result");
}

/// The earlier owner's last piece reaches the store after the takeover, and readers have already seen it. The new owner
/// writes nothing more and must read that piece.
#[async_std::test]
async fn late_piece_of_the_earlier_owner() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = |_: &_, request: &GenerationRequest| match request.item {
        0 | 1 => text(request, 3, 1),
        _ => vec![Step::Stall],
    };
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], Box::new(half));
    first.service.submit(spec("b1", &[4, 3, 2])).await.unwrap();
    first.listed("b1", 2).await;
    hosts.kill("host-a");
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], Box::new(half));
    second.sync_states(&store).await;
    common::with_timeout(async {
        while second.engines.runs.lock().unwrap().is_empty() {
            async_std::task::sleep(std::time::Duration::from_millis(2)).await;
        }
    })
    .await;
    let late = ResultPiece {
        first: 2,
        results: vec![BatchResult::expired("b1-2")],
    };
    let value = serde_json::to_vec(&late).unwrap();
    store
        .inner
        .put("batch-result/b1.000002", value, Condition::Absent)
        .await
        .unwrap();
    let page = second.listed("b1", 3).await;
    assert_eq!(page.results[2].item, "b1-2");
}

/// Both hosts own the batch by their own view, as after one of them was frozen. Each must adopt the pieces that the
/// other one stored.
#[async_std::test]
async fn two_owners() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let slow = |pause: u64| {
        Box::new(move |_: &_, request: &GenerationRequest| {
            let mut steps = text(request, 3, 1);
            let pause = std::time::Duration::from_millis(pause * (request.item as u64 % 4));
            steps.insert(1, Step::Wait(pause));
            steps
        })
    };
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], slow(3));
    first.service.submit(spec("b1", &[1; 24])).await.unwrap();
    hosts.kill("host-a");
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e2", 2, 1)], slow(4));
    second.sync_states(&store).await;
    let (a, b) = (first.listed("b1", 24).await, second.listed("b1", 24).await);
    assert_eq!(a, b);
    assert_eq!(a.total, 24);
    let mut items: Vec<&str> = a.results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!(items.len(), 24);
    assert!(a.results.iter().all(|result| result.text == whole_text(3)));
}

/// Guards against texts that are lost at a planned stop because the store's event of the new owner comes before the answer
/// to its write.
#[async_std::test]
async fn handed_on_after_event() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let (sent, half_done) = async_std::channel::unbounded();
    let half = Box::new(move |_: &_, _: &GenerationRequest| {
        vec![data(1), data(2), Step::Signal(sent.clone()), Step::Stall]
    });
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], half);
    first.service.submit(spec("b1", &[3])).await.unwrap();
    common::with_timeout(half_done.recv()).await.unwrap();
    hosts.start("host-b");
    let hold = store.hold_answers(CallKind::Write, "batch-state/");
    let leaving = Arc::clone(&first.service);
    let handing_over = async_std::task::spawn(async move { leaving.hand_over().await });
    common::with_timeout(async {
        while first.events.released.load(Ordering::SeqCst) == 0 {
            first.sync_states(&store).await;
        }
    })
    .await;
    drop(hold);
    handing_over.await;
    let handed = first.peers.handed_over.lock().unwrap();
    let (_, _, texts) = handed.last().unwrap();
    assert_eq!(texts[0].last_event, Some(2));
}

/// A host that shuts down hands over its partial texts, and the next owner resumes them.
#[async_std::test]
async fn handed_on() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = Box::new(|_: &_, _: &GenerationRequest| vec![data(1), data(2), Step::Stall]);
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], half);
    first.service.submit(spec("b1", &[3, 2])).await.unwrap();
    common::with_timeout(async {
        while first.engines.runs.lock().unwrap().len() < 2 {
            async_std::task::sleep(std::time::Duration::from_millis(2)).await;
        }
    })
    .await;
    async_std::task::sleep(std::time::Duration::from_millis(10)).await;
    let rest = Box::new(|_: &_, request: &GenerationRequest| {
        assert_eq!(
            request.resume_after,
            Some(2),
            "the text resumes after its last event"
        );
        text(request, 4, 1)
    });
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], rest);
    first.service.hand_over().await;
    hosts.kill("host-a");
    let handed = std::mem::take(&mut *first.peers.handed_over.lock().unwrap());
    assert_eq!(handed.len(), 1);
    for (state, version, texts) in handed {
        second.service.receive_handover(state, version, texts);
    }
    let page = second.listed("b1", 2).await;
    assert!(page.results.iter().all(|result| result.text == whole_text(4)));
}

struct FixedMembership {
    running: bool,
    isolated: bool,
    live: Vec<MemberId>,
}

impl MembershipView for FixedMembership {
    fn is_isolated(&self) -> bool {
        self.isolated
    }

    fn is_running(&self, _member: &MemberId, _incarnation: Incarnation) -> bool {
        self.running
    }

    fn live(&self) -> Vec<(MemberId, Incarnation)> {
        self.live
            .iter()
            .map(|member| (member.clone(), Incarnation::new(1)))
            .collect()
    }
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

/// Exactly one live host claims a batch whose owner failed. No host claims a batch whose owner is alive, or one that is
/// finished or ended.
#[test]
fn one_successor() {
    let live: Vec<MemberId> = ["host-a", "host-b", "host-c"]
        .map(|id| id.parse().unwrap())
        .to_vec();
    let claims = |state: &BatchState, running: bool| {
        let membership = FixedMembership {
            running,
            isolated: false,
            live: live.clone(),
        };
        let decide =
            |own: &&MemberId| takeover(state, own, Incarnation::new(9), &membership, None) == Takeover::Claim;
        live.iter().filter(decide).count()
    };
    assert_eq!(claims(&state("gone", BatchPhase::Running), false), 1);
    assert_eq!(claims(&state("gone", BatchPhase::Running), true), 0);
    assert_eq!(claims(&state("gone", BatchPhase::Ended), false), 0);
    assert_eq!(claims(&state("gone", BatchPhase::Finished), false), 0);
}

/// Two hosts presume each other failed because no datagram passes between them, although each claim proves that the
/// other one is alive. Without a delay they took the batch from one another with each state change from the store, and
/// its items made no progress.
#[test]
fn hosts_that_do_not_see_each_other() {
    let own: MemberId = "host-a".parse().unwrap();
    let decide = |isolated: bool, displaced_ms: u64| {
        let membership = FixedMembership {
            running: false,
            isolated,
            live: vec![own.clone()],
        };
        let displaced = Some(DurationMs::new(displaced_ms));
        takeover(
            &state("host-b", BatchPhase::Running),
            &own,
            Incarnation::new(1),
            &membership,
            displaced,
        )
    };
    assert_eq!(
        decide(false, 100),
        Takeover::None,
        "the batch was taken less than the reclaim delay ago"
    );
    assert_eq!(decide(false, 3_000), Takeover::Claim);
    assert_eq!(
        decide(true, 3_000),
        Takeover::None,
        "an isolated host waits longer"
    );
    assert_eq!(decide(true, 11_000), Takeover::Claim);
}

/// Guards against endless takeovers between two complete hosts: a short batch finishes although each host presumes the
/// other one failed.
#[async_std::test]
async fn no_endless_takeovers() {
    let store = FaultyStore::new();
    let (of_first, of_second) = (Arc::new(Hosts::default()), Arc::new(Hosts::default()));
    let slow = || {
        Box::new(|_: &_, request: &GenerationRequest| {
            let mut steps = text(request, 3, 1);
            steps.insert(1, Step::Wait(std::time::Duration::from_millis(100)));
            steps
        })
    };
    let first = TestHost::start("host-a", &of_first, &store, vec![engine("e1", 8, 1)], slow());
    let second = TestHost::start("host-b", &of_second, &store, vec![engine("e1", 8, 1)], slow());
    first.service.submit(spec("b1", &[1; 4])).await.unwrap();
    let deliver_states = async {
        loop {
            first.sync_states(&store).await;
            second.sync_states(&store).await;
            async_std::task::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let listed = second.listed("b1", 4);
    futures::pin_mut!(deliver_states, listed);
    let page = match futures::future::select(deliver_states, listed).await {
        futures::future::Either::Left(((), _)) => unreachable!("the states are delivered without end"),
        futures::future::Either::Right((page, _)) => page,
    };
    assert_eq!(page.results.len(), 4);
    let taken_over = |host: &TestHost| host.events.taken_over.load(Ordering::SeqCst);
    let takeovers = taken_over(&first) + taken_over(&second);
    assert!(takeovers <= 4, "{takeovers} takeovers");
}

/// An engine fails an item in each run. A host that shuts down hands over its failure count, so that the next hosts of
/// a rolling restart don't repeat all attempts.
#[async_std::test]
async fn handed_on_failures() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let fail = |count: usize| {
        let failed = AtomicUsize::new(0);
        Box::new(move |_: &_, request: &GenerationRequest| {
            let fails = request.item == 0 && failed.fetch_add(1, Ordering::SeqCst) < count;
            match fails {
                true => vec![Step::End(GenerationEnd::Failed {
                    reason: "status 500".to_owned(),
                })],
                false => vec![Step::Stall],
            }
        })
    };
    let runs = |host: &TestHost| {
        let runs = host.engines.runs.lock().unwrap();
        runs.iter().filter(|(_, item)| item == "b1-0").count()
    };
    let mut batch = spec("b1", &[9, 2]);
    batch.max_attempts = 4;
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], fail(2));
    first.service.submit(batch).await.unwrap();
    common::with_timeout(async {
        while runs(&first) < 3 {
            async_std::task::sleep(std::time::Duration::from_millis(1)).await;
        }
    })
    .await;
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], fail(100));
    first.service.hand_over().await;
    hosts.kill("host-a");
    let handed = std::mem::take(&mut *first.peers.handed_over.lock().unwrap());
    for (state, version, texts) in handed {
        second.service.receive_handover(state, version, texts);
    }
    let page = second.listed("b1", 1).await;
    assert_eq!(page.results[0], BatchResult::expired("b1-0"));
    assert_eq!(runs(&second), 2, "the two failures on the first host are counted");
}

/// The owner of a batch receives its end from the host that processed the request, and not only from a watch, which may
/// be silent.
#[async_std::test]
async fn end_at_another_host() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let silent = || Box::new(|_: &_, _: &GenerationRequest| vec![Step::Stall]);
    let owner = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], silent());
    owner.service.submit(spec("b1", &[1; 4])).await.unwrap();
    let other = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], silent());
    other.sync_states(&store).await;
    let parish = "parish".parse().unwrap();
    let batch = "b1".parse().unwrap();
    other.service.end(&batch, Some(&parish)).await.unwrap();
    let announced = common::with_timeout(async {
        loop {
            let announced = other.peers.handed_over.lock().unwrap().pop();
            if let Some(announced) = announced {
                return announced;
            }
            async_std::task::sleep(std::time::Duration::from_millis(1)).await;
        }
    })
    .await;
    assert_eq!(
        (announced.0.owner.as_str(), announced.0.phase),
        ("host-a", BatchPhase::Ended)
    );
}
