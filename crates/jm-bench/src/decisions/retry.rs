//! Retries during and after the outage of a zone.

use std::collections::{BTreeMap, HashMap};

use jm_route::{
    Backoff, Class, Outcome, QueuedRequest, RetryBudget, Scheduler, SchedulerOptions, TargetKind, TargetSpec,
    WindowBounds,
};
use jm_types::{DurationMs, RequestId, TargetId, Timestamp, TokenCount};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Bound, Row,
    decisions::Size,
    sim::{NaiveRouter, Router, organisation, service, target, zone},
};

const TARGETS: usize = 9;
const WINDOW: u64 = 8;
const SERVICE_MS: u64 = 100;
/// Time after which an attempt at an unavailable target fails.
const ATTEMPT_TIMEOUT_MS: u64 = 300;
/// Requests per second: 80% of the capacity of two of the three zones.
const RATE: f64 = 384.0;
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Maximum retries per request in the naive version.
const NAIVE_RETRIES: u32 = 3;

struct Request {
    attempts: u32,
    avoid: Vec<TargetId>,
    deadline_ms: u64,
}

struct Outage {
    router: Box<dyn Router>,
    budget: Option<RetryBudget>,
    random: StdRng,
    down: bool,
    now_ms: u64,
    next_ms: f64,
    next_id: u64,
    requests: HashMap<RequestId, Request>,
    /// Running attempts by end time, with the target and whether the attempt succeeds.
    running: BTreeMap<(u64, RequestId), (TargetId, bool)>,
    retries: BTreeMap<(u64, RequestId), ()>,
    offered: Vec<u64>,
    sent: Vec<u64>,
    answered: Vec<u64>,
    answered_by_zone: Vec<u64>,
}

impl Outage {
    fn new(seed: u64, seconds: u64, router: Box<dyn Router>, budget: Option<RetryBudget>) -> Self {
        let counts = || vec![0; seconds as usize + 1];
        let mut outage = Self {
            router,
            budget,
            random: StdRng::seed_from_u64(seed),
            down: false,
            now_ms: 0,
            next_ms: 0.0,
            next_id: 0,
            requests: HashMap::new(),
            running: BTreeMap::new(),
            retries: BTreeMap::new(),
            offered: counts(),
            sent: counts(),
            answered: counts(),
            answered_by_zone: counts(),
        };
        outage.router.set_targets(specs(), Timestamp::new(0));
        outage
    }

    fn second(&self) -> usize {
        (self.now_ms / 1_000) as usize
    }

    fn tick(&mut self) {
        self.submit_arrivals();
        self.end_running();
        let now = self.now_ms;
        while let Some(((at, id), ())) = self.retries.first_key_value().map(|(key, ())| (*key, ()))
            && at <= now
        {
            self.retries.remove(&(at, id));
            self.submit(id);
        }
        for id in self.router.expire(Timestamp::new(now)) {
            self.requests.remove(&id);
        }
        while let Some(assignment) = self.router.next(Timestamp::new(now)) {
            let second = self.second();
            self.sent[second] += 1;
            let fails = self.down && zone_of(&assignment.target) == 0;
            let end = now + if fails { ATTEMPT_TIMEOUT_MS } else { SERVICE_MS };
            self.running
                .insert((end, assignment.request), (assignment.target, !fails));
        }
        self.now_ms += 1;
    }

    fn submit_arrivals(&mut self) {
        while self.next_ms < (self.now_ms + 1) as f64 {
            self.next_ms += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / RATE;
            self.next_id += 1;
            let id = RequestId::new(self.next_id);
            let request = Request {
                attempts: 0,
                avoid: Vec::new(),
                deadline_ms: self.now_ms + REQUEST_TIMEOUT_MS,
            };
            self.requests.insert(id, request);
            let second = self.second();
            self.offered[second] += 1;
            if let Some(budget) = &mut self.budget {
                budget.deposit();
            }
            self.submit(id);
        }
    }

    fn submit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queued = QueuedRequest {
            id,
            organisation: organisation(id.get() as usize % 8),
            service: service(),
            class: Class::Live,
            prompt_tokens: TokenCount::new(0),
            max_tokens: TokenCount::new(0),
            prefix_hashes: Vec::new(),
            deadline: Timestamp::new(request.deadline_ms),
            avoid: request.avoid.clone(),
        };
        if self.router.submit(queued, Timestamp::new(self.now_ms)).is_err() {
            self.requests.remove(&id);
        }
    }

    fn end_running(&mut self) {
        while let Some((end, id)) = self.running.keys().next().copied()
            && end <= self.now_ms
        {
            let Some((used, succeeds)) = self.running.remove(&(end, id)) else {
                return;
            };
            let outcome = if succeeds {
                Outcome::Finished(TokenCount::new(0))
            } else {
                Outcome::Failed
            };
            self.router.finish(id, outcome, Timestamp::new(self.now_ms));
            if succeeds {
                self.record_answer(id, &used);
            } else {
                self.retry(id, used);
            }
        }
    }

    fn record_answer(&mut self, id: RequestId, used: &TargetId) {
        let second = self.second();
        let before_deadline = self
            .requests
            .remove(&id)
            .is_some_and(|request| request.deadline_ms >= self.now_ms);
        self.answered[second] += u64::from(before_deadline);
        self.answered_by_zone[second] += u64::from(zone_of(used) == 0);
    }

    fn retry(&mut self, id: RequestId, used: TargetId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let allowed = match &mut self.budget {
            Some(budget) => budget.withdraw(),
            None => request.attempts < NAIVE_RETRIES,
        };
        if !allowed {
            self.requests.remove(&id);
            return;
        }
        request.avoid.push(used);
        let backoff = Backoff {
            base: DurationMs::new(20),
            cap: DurationMs::new(500),
        };
        let delay = match self.budget {
            Some(_) => backoff.delay(request.attempts, &mut self.random).get(),
            None => 0,
        };
        request.attempts += 1;
        self.retries.insert((self.now_ms + delay, id), ());
    }
}

fn zone_of(id: &TargetId) -> usize {
    (0..TARGETS)
        .find(|number| target(*number) == *id)
        .map_or(0, |number| number % 3)
}

fn specs() -> Vec<TargetSpec> {
    (0..TARGETS)
        .map(|number| TargetSpec {
            id: target(number),
            zone: zone(number % 3),
            service: service(),
            kind: TargetKind::Plain,
            window: WindowBounds {
                min: 2,
                initial: WINDOW,
                max: WINDOW,
                time_limit_us: 500_000,
            },
            leaving: false,
        })
        .collect()
}

struct Measured {
    amplification: f64,
    recovery_s: f64,
    answered_after: f64,
    answered_during: f64,
}

fn run(seed: u64, size: Size, router: Box<dyn Router>, budget: Option<RetryBudget>) -> Measured {
    let (down_s, up_s, end_s) = (10, 10 + size.select(10, 60), 10 + size.select(30, 180));
    let mut outage = Outage::new(seed, end_s, router, budget);
    while outage.now_ms < end_s * 1_000 {
        outage.down = (down_s * 1_000..up_s * 1_000).contains(&outage.now_ms);
        outage.tick();
    }
    let sum =
        |counts: &[u64], from: u64, to: u64| counts[from as usize..to as usize].iter().sum::<u64>() as f64;
    let offered_rate = RATE / 3.0;
    let recovered =
        (up_s..end_s).find(|second| outage.answered_by_zone[*second as usize] as f64 >= 0.8 * offered_rate);
    let recovery_s = recovered.map_or(f64::INFINITY, |second| (second - up_s) as f64);
    let settled_s = up_s + 5;
    Measured {
        amplification: sum(&outage.sent, down_s, up_s) / sum(&outage.offered, down_s, up_s),
        recovery_s,
        answered_after: sum(&outage.answered, settled_s, end_s) / sum(&outage.offered, settled_s, end_s),
        answered_during: sum(&outage.answered, down_s, up_s) / sum(&outage.offered, down_s, up_s),
    }
}

/// Measures the load on targets during an outage of one zone, and the recovery afterwards.
pub fn retries(seed: u64, size: Size) -> Vec<Row> {
    let scheduler = Scheduler::new(SchedulerOptions::default());
    let ours = run(seed, size, Box::new(scheduler), Some(RetryBudget::default()));
    let naive = run(seed, size, Box::new(NaiveRouter::default()), None);
    let row = |measure: &str, naive, ours, bound| Row {
        group: "retries",
        measure: format!("one of three zones down: {measure}"),
        naive: Some(naive),
        ours,
        bound,
    };
    vec![
        row(
            "requests sent / offered",
            naive.amplification,
            ours.amplification,
            Bound::AtMost(1.1),
        ),
        row(
            "answered in time / offered during the outage",
            naive.answered_during,
            ours.answered_during,
            Bound::None,
        ),
        row(
            "seconds until the zone serves 80% of its part",
            naive.recovery_s,
            ours.recovery_s,
            Bound::AtMost(5.0),
        ),
        row(
            "answered in time / offered, from 5 s after the return",
            naive.answered_after,
            ours.answered_after,
            Bound::AtLeast(0.99),
        ),
    ]
}
