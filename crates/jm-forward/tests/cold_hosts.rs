//! Guards against several hosts that together send a cold engine more requests than it tolerates: a model of hosts whose
//! views of each other lag, whose batches change their owners, and which restart.

mod common;

use common::{limited_table, target};
use jm_forward::{ColdGate, HostKnowledge, ItemSender, SendKind, Target};
use jm_types::{DurationMs, MemberId, Timestamp, WeightVersion};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// 8.1 requests per second times an overrun of 1.5, and a slack of 5.
const BOUND: usize = (8.1 * 1.5 + 5.0) as usize;
const TICK_MS: u64 = 10;
const COLD_MS: u64 = 9_000;
const START_MS: u64 = 5_000;
/// Until then hosts restart and batches change their owners. After 2 s more all hosts are certain of the senders.
const DISTURBED_MS: u64 = 4_500;
const SETTLED_MS: u64 = 7_000;
const SEEDS: u64 = 150;

struct ModelHost {
    id: MemberId,
    gate: ColdGate,
    started_at: u64,
    /// Time by which this host learns later than the owner that a batch changed its owner.
    lag_ms: u64,
}

impl ModelHost {
    fn new(index: usize, engine: &Target, now: u64, lag_ms: u64) -> Self {
        let id: MemberId = format!("host-{index}").parse().unwrap();
        let gate = ColdGate::new(id.clone());
        gate.set_limits(&limited_table(8.1));
        gate.listed(engine, 0, Timestamp::new(now));
        Self {
            id,
            gate,
            started_at: now,
            lag_ms,
        }
    }
}

/// The owners of one batch, each with the time from which on it is the owner.
type Owners = Vec<(u64, usize)>;

fn owner_at(owners: &Owners, now: u64) -> Option<usize> {
    let past = owners.iter().rev().find(|(from, _)| *from <= now);
    past.map(|(_, owner)| *owner)
}

/// Times at which the requests of all hosts reach the engine.
fn run(seed: u64, kind: SendKind) -> Vec<u64> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut engine = target("i-1");
    engine.cold_left_ms = DurationMs::new(COLD_MS);
    let count = rng.random_range(2..=12);
    let mut hosts: Vec<ModelHost> = (0..count)
        .map(|index| ModelHost::new(index, &engine, START_MS, rng.random_range(0..800)))
        .collect();
    // Long-running hosts, which know the owners.
    hosts.iter_mut().for_each(|host| host.started_at = 0);
    let registered: Vec<MemberId> = hosts.iter().map(|host| host.id.clone()).collect();
    // In every second run all batches begin at once, so that no owner knows of another one.
    let latest_start = if seed.is_multiple_of(2) { 0 } else { 3_000 };
    let mut batches: Vec<Owners> = (0..rng.random_range(1..=4))
        .map(|_| {
            let from = START_MS + rng.random_range(0..=latest_start);
            vec![(from, rng.random_range(0..count))]
        })
        .collect();
    let mut arrivals = Vec::new();
    for now in (START_MS..START_MS + COLD_MS).step_by(TICK_MS as usize) {
        let is_disturbed = now < START_MS + DISTURBED_MS;
        if is_disturbed && rng.random_ratio(1, 200) {
            let index = rng.random_range(0..count);
            hosts[index] = ModelHost::new(index, &engine, now, hosts[index].lag_ms);
        }
        if is_disturbed && rng.random_ratio(1, 200) {
            let index = rng.random_range(0..batches.len());
            let owners = &mut batches[index];
            // Hosts stop 2 s apart; an owner that is lost is replaced no faster.
            if owners.last().is_some_and(|(from, _)| now >= from + 1_000) {
                owners.push((now, rng.random_range(0..count)));
            }
        }
        for (index, host) in hosts.iter().enumerate() {
            let is_new = now < host.started_at + 2_000;
            let knowledge = match is_new {
                true => HostKnowledge::Uncertain,
                false => HostKnowledge::Certain,
            };
            host.gate.set_hosts(registered.clone(), knowledge);
            // The new owner itself knows the change at once.
            let seen = |owners: &Owners| match owner_at(owners, now) {
                Some(owner) if owner == index => Some(owner),
                _ => owner_at(owners, now.saturating_sub(host.lag_ms)),
            };
            let owned = batches.iter().filter_map(&seen);
            let senders = owned.map(|owner| {
                let sender = ItemSender {
                    owner: registered[owner].clone(),
                    model: None,
                };
                (sender, WeightVersion::new(0))
            });
            let now = Timestamp::new(now);
            host.gate.set_item_senders(senders, now);
            let is_sender = match kind {
                SendKind::Live => true,
                SendKind::Item => batches.iter().any(|owners| seen(owners) == Some(index)),
            };
            if is_sender && host.gate.may_send(&engine, kind, now) {
                host.gate.record_send(&engine, kind, now);
                arrivals.push(now.get() + rng.random_range(0..30));
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let in_second = |from: &u64| {
        arrivals
            .iter()
            .filter(|at| (*from..from + 1_000).contains(*at))
            .count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

/// No seed exceeds the bound. While hosts restart and batches change their owners, the engine receives work all the time;
/// afterwards it receives at least half of its rate.
fn check(kind: SendKind) {
    let (mut most, mut fewest) = (0, usize::MAX);
    for seed in 0..SEEDS {
        let arrivals = run(seed, kind);
        let in_second = most_in_a_second(&arrivals);
        assert!(
            in_second <= BOUND,
            "seed {seed}: {in_second} requests in a second"
        );
        let early = arrivals.iter().filter(|at| **at < START_MS + SETTLED_MS).count();
        assert!(
            early as u64 >= SETTLED_MS / 1_000,
            "seed {seed}: {early} requests at first"
        );
        let settled = arrivals.len() - early;
        assert!(settled >= 8, "seed {seed}: {settled} requests in the last 2 s");
        most = most.max(in_second);
        fewest = fewest.min(settled);
    }
    println!("{kind:?}: at most {most} in a second, at least {fewest} in the last 2 s");
}

#[test]
fn items() {
    check(SendKind::Item);
}

#[test]
fn live_requests() {
    check(SendKind::Live);
}
