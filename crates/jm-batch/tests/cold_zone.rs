//! Guards against a step that overloads engines that have just started.
//!
//! The replayed load is that of a zone whose engines all return cold while a step of 144 items waits. The engines reject
//! everything at first, because they load weights, and their texts are short. The naive version sends an item whenever an
//! engine has a free slot.

mod common;

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use common::{FaultyStore, Step, TestHost, engine, routing, scorer, spec, text};
use jm_batch::{GenerationEnd, RewardKey, RewardOptions, RewardPass, RewardQueue, RewardUrgency};
use jm_forward::{Catalog, ColdGate, ColdStart, HostKnowledge, RoutingTable, Service, Target};
use jm_types::{Clock, DurationMs, Rate, SystemClock, Timestamp};

const ENGINES: usize = 6;
const ITEMS: usize = 144;
const LOADING: Duration = Duration::from_millis(400);
const TEXT: Duration = Duration::from_millis(60);
/// 8.1 requests per second times an overrun of 1.5, and a slack of 5.
const BOUND: usize = 17;

/// The service with cold engines that tolerate 8.1 requests per second.
fn limited(service: &str) -> RoutingTable {
    let mut table = routing();
    let found = table.service(&service.parse().unwrap()).unwrap().clone();
    table.add_service(Service {
        cold_start: Some(ColdStart {
            duration_ms: DurationMs::new(3_000),
            requests_per_s: Rate::new(8.1),
        }),
        ..found
    });
    table
}

fn cold(mut target: Target) -> Target {
    target.cold_left_ms = DurationMs::new(60_000);
    target
}

type Arrivals = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

fn zone() -> Vec<Target> {
    (0..ENGINES)
        .map(|index| cold(engine(&format!("e{index}"), 8, 1)))
        .collect()
}

/// Runs the step and returns when each engine received requests.
async fn run_step(is_limited: bool) -> HashMap<String, Vec<Instant>> {
    let arrivals = Arrivals::default();
    let recorded = Arc::clone(&arrivals);
    let begun = Instant::now();
    let script = Box::new(move |target: &Target, request: &_| {
        let mut arrivals = recorded.lock().unwrap();
        let of_engine = arrivals.entry(target.run.id.to_string()).or_default();
        of_engine.push(Instant::now());
        if begun.elapsed() < LOADING {
            let reason = "loading".to_owned();
            return vec![Step::End(GenerationEnd::NotRun { reason })];
        }
        let mut steps = vec![Step::Wait(TEXT)];
        steps.extend(text(request, 3, 1));
        steps
    });
    let store = FaultyStore::new();
    let host = TestHost::start("host-a", &Arc::default(), &store, zone(), script);
    if is_limited {
        let gate = &host.routing.cold;
        gate.set_limits(&limited("engines"));
        gate.set_hosts(vec!["host-a".parse().unwrap()], HostKnowledge::Certain);
        for target in zone() {
            gate.listed(&target, 0, SystemClock.now());
        }
    }
    host.service.submit(spec("b1", &[1; ITEMS])).await.unwrap();
    host.service.reconcile();
    host.listed("b1", ITEMS).await;
    arrivals.lock().unwrap().clone()
}

fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let later = arrivals.iter().filter(|at| *at >= from);
        later.filter(|at| **at < *from + Duration::from_secs(1)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[async_std::test]
async fn step_of_cold_zone() {
    let naive = run_step(false).await;
    let most = |arrivals: &HashMap<String, Vec<Instant>>| {
        let most = arrivals.values().map(|times| most_in_a_second(times));
        most.max().unwrap()
    };
    assert!(most(&naive) > BOUND, "the replay is a load that matters");
    let arrivals = run_step(true).await;
    println!("naive {}, limited {}", most(&naive), most(&arrivals));
    assert!(
        most(&arrivals) <= BOUND,
        "{} requests in a second",
        most(&arrivals)
    );
    // Each engine receives about the same part of the work, and no pass gives one of them several items at once.
    let counts: Vec<usize> = arrivals.values().map(Vec::len).collect();
    let (fewest, total) = (counts.iter().min().unwrap(), counts.iter().sum::<usize>());
    assert_eq!(counts.len(), ENGINES);
    assert!(2 * fewest * ENGINES >= total, "{counts:?}");
}

/// Reward calls count as requests too, and hedged ones among them.
#[test]
fn reward_calls() {
    let gate = Arc::new(ColdGate::new("host-a".parse().unwrap()));
    gate.set_limits(&limited("desk"));
    gate.set_hosts(vec!["host-a".parse().unwrap()], HostKnowledge::Uncertain);
    let target = cold(scorer("s1", 20));
    gate.listed(&target, 0, Timestamp::new(0));
    let catalog: Catalog = [target].into_iter().collect();
    let mut queue = RewardQueue::new(RewardOptions::default()).with_cold_gate(Some(Arc::clone(&gate)));
    for item in 0..40 {
        let batch = "b1".parse().unwrap();
        queue.push(RewardKey { batch, item }, Timestamp::new(0));
    }
    let urgency = |_: &RewardKey| RewardUrgency {
        due_at: Timestamp::new(0),
        is_awaited: Reverse(false),
        open_texts: 0,
    };
    let desk = "desk".parse().unwrap();
    let mut starts = Vec::new();
    for now in (0..1_000).step_by(10) {
        let pass = RewardPass {
            now: Timestamp::new(now),
            catalog: &catalog,
            own_work: 1,
            remote_work: &[],
        };
        let started = queue.start_ready(&pass, urgency, |_| Some("desk".parse().unwrap()));
        starts.extend(started.into_iter().map(|start| (start.key, start.serial)));
        for (key, serial) in starts.clone() {
            let hedged = queue.hedge(&key, serial, &pass, &desk);
            starts.extend(hedged.map(|start| (start.key, start.serial)));
        }
    }
    // The scoring service also answers live requests, so each kind has half of the rate.
    assert_eq!(starts.len(), 4);
}
