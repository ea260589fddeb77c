//! Tests of weighted fair queueing between organisations.

mod common;

use std::collections::HashMap;

use common::{at, engines_with, organisation, quick, request};
use jm_route::{Class, Outcome, Scheduler, SchedulerOptions};
use jm_types::{RequestId, Share, TokenCount};

/// A reference implementation of start-time fair queueing with linear scans over all requests.
#[derive(Default)]
struct Naive {
    waiting: Vec<(u64, u64, u64)>,
    tags: HashMap<u64, u64>,
    virtual_time: u64,
}

impl Naive {
    fn submit(&mut self, id: u64, organisation: u64, tokens: u64) {
        let idle = self.waiting.iter().all(|(_, other, _)| *other != organisation);
        let tag = self.tags.entry(organisation).or_default();
        if idle {
            *tag = (*tag).max(self.virtual_time);
        }
        self.waiting.push((id, organisation, tokens));
    }

    fn next(&mut self, order: &[u64], shares: &[u64]) -> Option<u64> {
        let rank = |organisation: u64| order.iter().position(|other| *other == organisation);
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(index, (_, organisation, _))| {
                (self.tags[organisation], rank(*organisation), *index)
            })?;
        let (id, organisation, tokens) = self.waiting.remove(index);
        let tag = self.tags.get_mut(&organisation).unwrap();
        self.virtual_time = self.virtual_time.max(*tag);
        *tag += tokens * 256 / shares[organisation as usize];
        Some(id)
    }
}

fn one_at_a_time(shares: &[u64]) -> Scheduler {
    let mut scheduler = engines_with(1, 2, SchedulerOptions::default());
    scheduler.set_shares(
        (0_u64..)
            .zip(shares)
            .map(|(number, share)| (organisation(number), Share::new(*share as f64))),
    );
    scheduler
}

/// Guards against an order of service that differs from the definition of start-time fair queueing.
#[test]
fn order_matches_naive() {
    fn check(steps: Vec<(bool, u8, u8)>) -> bool {
        let shares = [1, 2, 4, 8];
        let order = [0, 1, 2, 3];
        let (mut scheduler, mut naive) = (one_at_a_time(&shares), Naive::default());
        let mut running = None;
        for (id, (serve, number, tokens)) in (1_u64..).zip(steps) {
            let (number, tokens) = (u64::from(number % 4), u64::from(tokens) + 2);
            if serve {
                if let Some(done) = running.take() {
                    scheduler.finish(done, Outcome::Finished(TokenCount::new(0)), at(0));
                }
                let ours = scheduler.next(at(0)).map(|assignment| assignment.request);
                if ours.map(RequestId::get) != naive.next(&order, &shares) {
                    return false;
                }
                running = ours;
            } else {
                scheduler
                    .submit(request(id, number, Class::Live, tokens), at(0))
                    .unwrap();
                naive.submit(id, number, tokens);
            }
        }
        true
    }
    quick().quickcheck(check as fn(_) -> _);
}

fn serve_tokens(scheduler: &mut Scheduler, rounds: usize, tokens: &HashMap<u64, (u64, u64)>) -> Vec<u64> {
    let mut served = vec![0; 4];
    for _ in 0..rounds {
        let Some(assignment) = scheduler.next(at(0)) else {
            break;
        };
        let (number, size) = tokens[&assignment.request.get()];
        served[number as usize] += size;
        scheduler.finish(assignment.request, Outcome::Finished(TokenCount::new(0)), at(0));
    }
    served
}

/// Guards against an organisation that uses more than its share of tokens by many or large requests.
#[test]
fn flood_is_limited_to_share() {
    let mut scheduler = one_at_a_time(&[1, 1]);
    let mut tokens = HashMap::new();
    for id in 0..200 {
        let (number, size) = if id % 10 == 0 { (1, 100) } else { (0, 300) };
        tokens.insert(id, (number, size));
        scheduler
            .submit(request(id, number, Class::Live, size), at(0))
            .unwrap();
    }
    let served = serve_tokens(&mut scheduler, 24, &tokens);
    assert!(served[0].abs_diff(served[1]) <= 300, "{served:?}");
}

/// Guards against credit for idle time, with which a returning organisation would starve the others.
#[test]
fn idle_time_earns_no_credit() {
    let mut scheduler = one_at_a_time(&[1, 1]);
    let mut tokens = HashMap::new();
    for id in 0..100 {
        tokens.insert(id, (0, 100));
        scheduler.submit(request(id, 0, Class::Live, 100), at(0)).unwrap();
    }
    serve_tokens(&mut scheduler, 50, &tokens);
    for id in 100..150 {
        tokens.insert(id, (1, 100));
        scheduler.submit(request(id, 1, Class::Live, 100), at(0)).unwrap();
    }
    let served = serve_tokens(&mut scheduler, 20, &tokens);
    assert!(served[0].abs_diff(served[1]) <= 100, "{served:?}");
}

/// Guards against a charge for a request that failed on the target before it generated a token.
#[test]
fn failure_is_not_charged() {
    let options = SchedulerOptions {
        failure_limit: 1_000,
        ..SchedulerOptions::default()
    };
    let mut scheduler = engines_with(1, 2, options);
    let mut order = Vec::new();
    for id in 0..20 {
        scheduler
            .submit(request(id, id % 2, Class::Live, 100), at(0))
            .unwrap();
    }
    for _ in 0..12 {
        let id = scheduler.next(at(0)).unwrap().request;
        let failed = id.get().is_multiple_of(2) && id.get() < 6;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Finished(TokenCount::new(0))
        };
        scheduler.finish(id, outcome, at(0));
        order.push((id.get() % 2, failed));
    }
    let served = |number| {
        order
            .iter()
            .filter(|(other, failed)| *other == number && !failed)
            .count()
    };
    assert!(served(0).abs_diff(served(1)) <= 1, "{order:?}");
}

/// Guards against charges by estimate instead of by use: too low when an organisation generates more tokens than
/// estimated, or too high when it generates few of its `max_tokens`.
#[test]
fn charge_follows_actual() {
    let mut scheduler = one_at_a_time(&[1, 1]);
    for id in 0..400 {
        let mut next = request(id, id % 2, Class::Live, 1);
        next.max_tokens = TokenCount::new(1_000);
        scheduler.submit(next, at(0)).unwrap();
    }
    let mut served = [0_u64; 2];
    for _ in 0..120 {
        let id = scheduler.next(at(0)).unwrap().request;
        let number = id.get() % 2;
        let actual = if number == 0 { 100 } else { 400 };
        served[number as usize] += actual + 1;
        scheduler.finish(id, Outcome::Finished(TokenCount::new(actual)), at(0));
    }
    assert!(served[0].abs_diff(served[1]) <= 1_000, "{served:?}");
}
