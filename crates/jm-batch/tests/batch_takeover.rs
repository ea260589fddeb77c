//! Guards against a batch that stops with its owner, and against two owners that list different results.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use common::{FaultyStore, Hosts, Step, TestHost, data, engine, spec, text, whole_text};
use jm_batch::{
    BatchPhase, BatchResult, BatchState, GenerationEnd, GenerationRequest, MembershipView, ResultPiece,
    Takeover, takeover,
};
use jm_platform::{Condition, ObjectStore};
use jm_types::{DurationMs, Incarnation, MemberId, WeightVersion};

/// The owner dies with a part of the results listed; the next host lists the rest behind them.
#[async_std::test]
async fn owner_dies() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = Box::new(|_: &_, request: &GenerationRequest| match request.item {
        0 | 1 => text(request, 3, 1),
        _ => vec![Step::Silence],
    });
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], half);
    first.service.submit(spec("b1", &[4, 3, 2, 1])).await.unwrap();
    let before = first.listed("b1", 2).await;
    hosts.kill("host-a");
    let all = Box::new(|_: &_, request: &_| text(request, 3, 1));
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], all);
    second.learn(&store).await;
    let after = second.listed("b1", 4).await;
    assert_eq!(
        after.results[..2],
        before.results[..],
        "listed results stay where they are"
    );
    let mut items: Vec<&str> = after.results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!(items.len(), 4, "each item stands once");
}

/// The earlier owner's last piece reaches the store after the takeover, and its readers have seen it: the new owner, which
/// writes nothing more, has to find it.
#[async_std::test]
async fn late_piece_of_the_earlier_owner() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = |_: &_, request: &GenerationRequest| match request.item {
        0 | 1 => text(request, 3, 1),
        _ => vec![Step::Silence],
    };
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], Box::new(half));
    first.service.submit(spec("b1", &[4, 3, 2])).await.unwrap();
    first.listed("b1", 2).await;
    hosts.kill("host-a");
    let second = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], Box::new(half));
    second.learn(&store).await;
    common::without_hang(async {
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

/// Both hosts believe that they own the batch, as after a freeze. What one lists the other takes.
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
    second.learn(&store).await;
    let (a, b) = (first.listed("b1", 24).await, second.listed("b1", 24).await);
    assert_eq!(a, b);
    assert_eq!(a.total, 24);
    let mut items: Vec<&str> = a.results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!(items.len(), 24);
    assert!(a.results.iter().all(|result| result.text == whole_text(3)));
}

/// A host that leaves hands on what its runs have brought, and the next owner continues the texts.
#[async_std::test]
async fn handed_on() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let half = Box::new(|_: &_, _: &GenerationRequest| vec![data(1), data(2), Step::Silence]);
    let first = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], half);
    first.service.submit(spec("b1", &[3, 2])).await.unwrap();
    common::without_hang(async {
        while first.engines.runs.lock().unwrap().len() < 2 {
            async_std::task::sleep(std::time::Duration::from_millis(2)).await;
        }
    })
    .await;
    async_std::task::sleep(std::time::Duration::from_millis(10)).await;
    let rest = Box::new(|_: &_, request: &GenerationRequest| {
        assert_eq!(request.resume_after, Some(2), "the text goes on where it was");
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
    }
}

/// Exactly one live host claims a batch whose owner is gone, and none a batch whose owner runs or that is over.
#[test]
fn one_successor() {
    let live: Vec<MemberId> = ["host-a", "host-b", "host-c"]
        .map(|id| id.parse().unwrap())
        .to_vec();
    let claims = |state: &BatchState, running: bool| {
        let known = FixedMembership {
            running,
            isolated: false,
            live: live.clone(),
        };
        let decide =
            |own: &&MemberId| takeover(state, own, Incarnation::new(9), &known, None) == Takeover::Claim;
        live.iter().filter(decide).count()
    };
    assert_eq!(claims(&state("gone", BatchPhase::Running), false), 1);
    assert_eq!(claims(&state("gone", BatchPhase::Running), true), 0);
    assert_eq!(claims(&state("gone", BatchPhase::Ended), false), 0);
    assert_eq!(claims(&state("gone", BatchPhase::Finished), false), 0);
}

/// Two hosts take each other for dead, as when no datagram passes between them: each claim shows that the other one is
/// alive. They took a batch from one another with every message of the store, and none of its items got anywhere.
#[test]
fn hosts_that_do_not_see_each_other() {
    let own: MemberId = "host-a".parse().unwrap();
    let decide = |isolated: bool, displaced_ms: u64| {
        let known = FixedMembership {
            running: false,
            isolated,
            live: vec![own.clone()],
        };
        let displaced = Some(DurationMs::new(displaced_ms));
        takeover(
            &state("host-b", BatchPhase::Running),
            &own,
            Incarnation::new(1),
            &known,
            displaced,
        )
    };
    assert_eq!(
        decide(false, 100),
        Takeover::None,
        "the batch was taken a moment ago"
    );
    assert_eq!(decide(false, 3_000), Takeover::Claim);
    assert_eq!(
        decide(true, 3_000),
        Takeover::None,
        "a host that is cut off waits longer"
    );
    assert_eq!(decide(true, 11_000), Takeover::Claim);
}

/// The same on whole hosts: a short batch is listed although each of two hosts believes that the other one is dead.
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
    let passing_states = async {
        loop {
            first.learn(&store).await;
            second.learn(&store).await;
            async_std::task::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let listed = second.listed("b1", 4);
    futures::pin_mut!(passing_states, listed);
    let page = match futures::future::select(passing_states, listed).await {
        futures::future::Either::Left(((), _)) => unreachable!("the states pass for ever"),
        futures::future::Either::Right((page, _)) => page,
    };
    assert_eq!(page.results.len(), 4);
    let taken_over = |host: &TestHost| host.events.taken_over.load(Ordering::SeqCst);
    let takeovers = taken_over(&first) + taken_over(&second);
    assert!(takeovers <= 4, "{takeovers} takeovers");
}

/// An engine fails an item at each run. A host that leaves hands on how often it saw that, so that the item is not tried
/// as often again at each host of a restart in turn.
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
                false => vec![Step::Silence],
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
    common::without_hang(async {
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
    assert_eq!(runs(&second), 2, "the two failures at the first host count");
}

/// The owner of a batch hears of its end from the host that took the end, and not only from a watch that may be silent.
#[async_std::test]
async fn end_at_another_host() {
    let (store, hosts) = (FaultyStore::new(), Arc::new(Hosts::default()));
    let silent = || Box::new(|_: &_, _: &GenerationRequest| vec![Step::Silence]);
    let owner = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 8, 1)], silent());
    owner.service.submit(spec("b1", &[1; 4])).await.unwrap();
    let other = TestHost::start("host-b", &hosts, &store, vec![engine("e1", 8, 1)], silent());
    other.learn(&store).await;
    let parish = "parish".parse().unwrap();
    let batch = "b1".parse().unwrap();
    other.service.end(&batch, Some(&parish)).await.unwrap();
    let told = common::without_hang(async {
        loop {
            let told = other.peers.handed_over.lock().unwrap().pop();
            if let Some(told) = told {
                return told;
            }
            async_std::task::sleep(std::time::Duration::from_millis(1)).await;
        }
    })
    .await;
    assert_eq!(
        (told.0.owner.as_str(), told.0.phase),
        ("host-a", BatchPhase::Ended)
    );
}
