//! Guards against requests to cold targets beyond the quota of this host, whatever starts them, and against targets that
//! count as cold without end.

mod common;

use std::{sync::Arc, time::Instant};

use common::{Does, TestForwarder, forwarder, limited_table, request, route, target};
use futures::future::{join_all, pending};
use indexmap::IndexMap;
use jm_forward::{
    Access, Catalog, ColdGate, ColdQuota, ColdTargets, ForwardResult, HostKnowledge, ItemSender, RouteKind,
    RunKey, SendKind, cold_quota,
};
use jm_types::{Clock, DurationMs, MemberId, ModelId, Rate, SystemClock, Timestamp, WeightVersion};

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms)
}

fn ms(ms: u64) -> DurationMs {
    DurationMs::new(ms)
}

fn model(id: &str) -> ModelId {
    id.parse().unwrap()
}

fn sender(owner: &MemberId, of_model: &str) -> ItemSender {
    ItemSender {
        owner: owner.clone(),
        model: Some(model(of_model)),
    }
}

fn members(count: usize) -> Vec<MemberId> {
    (0..count)
        .map(|index| format!("host-{index}").parse().unwrap())
        .collect()
}

/// All quotas together never exceed the rate, and no engine is left without a sender.
#[test]
fn quotas_of_all_senders() {
    for (count, rate) in [
        (1, 8.1),
        (2, 8.1),
        (3, 8.1),
        (8, 8.1),
        (9, 8.1),
        (30, 8.1),
        (4, 0.3),
    ] {
        let senders = members(count);
        let run = target("i-1").run;
        let quotas = senders
            .iter()
            .map(|own| cold_quota(Rate::new(rate), own, &senders, &run).get());
        let total: u64 = quotas.sum();
        assert!(
            (1..=(rate as u64).max(1)).contains(&total),
            "{count} senders: {total}"
        );
    }
}

/// Owners whose batches cannot use the weights of an engine must not take a part of its rate: engines that return cold would
/// then stay nearly idle. An owner whose batches can use them must be counted.
#[test]
fn owners_with_usable_weights() {
    let mut engine = target("i-1");
    engine.models = IndexMap::from([
        (model("a"), WeightVersion::new(3)),
        (model("b"), WeightVersion::new(3)),
    ]);
    engine.cold_left_ms = ms(60_000);
    let sends_in_a_second = |other_min_version: u64| {
        let hosts = members(2);
        let gate = ColdGate::new(hosts[0].clone());
        gate.set_limits(&limited_table(8.0));
        gate.listed(&engine, 0, at(0));
        gate.set_hosts(hosts.clone(), HostKnowledge::Certain);
        let sends = (0..3_000).filter(|now| {
            let own = (sender(&hosts[0], "a"), WeightVersion::new(3));
            let other = (sender(&hosts[1], "b"), WeightVersion::new(other_min_version));
            gate.set_item_senders([own, other], at(*now));
            let may_send = gate.may_send(&engine, SendKind::Item, at(*now));
            if may_send {
                gate.record_send(&engine, SendKind::Item, at(*now));
            }
            may_send && *now >= 2_000
        });
        sends.count()
    };
    assert_eq!(sends_in_a_second(4), 8);
    assert_eq!(sends_in_a_second(3), 4);
}

#[test]
fn states_of_one_target() {
    let run = target("i-1").run;
    let mut targets = ColdTargets::default();
    assert!(!targets.is_cold(&run, at(0)));
    assert!(targets.observe(&run, ms(500), at(0)));
    assert!(!targets.observe(&run, ms(100), at(100)), "a shorter report");
    assert!(targets.is_cold(&run, at(499)) && !targets.is_cold(&run, at(500)));
    assert!(!targets.connection_failed(&run, at(400)), "it was cold already");
    assert!(targets.is_cold(&run, at(3_000)), "no response yet");
    targets.answered(&run, ms(3_000), at(3_000));
    targets.answered(&run, ms(3_000), at(4_000));
    assert!(targets.is_cold(&run, at(5_999)), "the first response");
    assert!(
        !targets.is_cold(&run, at(6_000)),
        "the second response does not count"
    );
    targets.connection_failed(&run, at(6_000));
    assert!(
        !targets.is_cold(&run, at(16_000)),
        "a target that this host may not send to never answers"
    );
}

/// The record holds cold runs that are listed, and nothing else.
#[test]
fn forgotten_runs() {
    let mut targets = ColdTargets::default();
    for index in 0..100 {
        targets.observe(&target(&format!("i-{index}")).run, ms(u64::MAX), at(0));
    }
    let kept = target("i-7").run;
    let is_listed = |run: &RunKey| *run == kept;
    assert!(targets.retain(is_listed, at(1_000)).is_empty());
    targets.retain(is_listed, at(60_000));
    assert!(targets.is_cold(&kept, at(60_000)));
    assert!(!targets.is_cold(&target("i-8").run, at(60_000)));
    assert_eq!(targets.retain(is_listed, at(400_000)), [kept]);
    assert!(targets.is_empty());
}

#[test]
fn even_intervals() {
    let run = target("i-1").run;
    let mut targets = ColdTargets::default();
    targets.observe(&run, ms(10_000), at(0));
    let quota = cold_quota(Rate::new(8.1), &members(1)[0], &[], &run);
    let mut sent = Vec::new();
    for now in 0..2_000 {
        if targets.may_send(&run, SendKind::Item, quota, at(now)) {
            targets.record_send(&run, SendKind::Item, at(now));
            sent.push(now);
        } else {
            let next = targets.next_send_at([&run].into_iter(), SendKind::Item, at(now));
            assert_eq!(next, sent.last().map(|last| at(last + 125)));
        }
    }
    assert_eq!(sent.len(), 16);
    assert_eq!(targets.take_held(), 16);
    assert!(targets.may_send(&run, SendKind::Live, ColdQuota::UNKNOWN_SENDERS, at(1_999)));
}

/// A forwarder whose listed targets are cold and tolerate 8 requests per second of this host.
fn cold_forwarder(ids: &[&str], rules: Vec<(&'static str, Does)>) -> (TestForwarder, Arc<ColdGate>) {
    let mut test = forwarder(ids, rules);
    let gate = Arc::new(ColdGate::new(members(1)[0].clone()));
    gate.set_limits(&limited_table(8.1));
    gate.set_hosts(members(1), HostKnowledge::Certain);
    let now = SystemClock.now();
    let cold = |target: &jm_forward::Target| {
        let mut target = target.clone();
        target.cold_left_ms = ms(60_000);
        gate.listed(&target, 0, now);
        target
    };
    test.catalog = Arc::new(test.catalog.iter().map(cold).collect::<Catalog>());
    test.forwarder = test.forwarder.with_cold_gate(Arc::clone(&gate));
    (test, gate)
}

async fn forward(test: &TestForwarder, kind: RouteKind) -> ForwardResult {
    let catalog = || Arc::clone(&test.catalog);
    let request = request("/orders/1", None);
    test.forwarder
        .forward(&request, &route(kind), &Access::Anyone, &catalog, pending())
        .await
}

/// Requests that one target may have received since `begun`. The host's clock counts whole milliseconds, so an interval may
/// be measured one millisecond too short.
fn allowed_since(begun: Instant) -> usize {
    (begun.elapsed().as_millis() as usize + 1) / 125 + 1
}

/// Twelve requests at once, of which the quota of one target allows few: each is held back until it may be sent, or
/// refused as not run.
#[async_std::test]
async fn held_requests() {
    let (test, gate) = cold_forwarder(&["i-1"], Vec::new());
    let begun = Instant::now();
    let results = join_all((0..12).map(|_| forward(&test, RouteKind::Idempotent))).await;
    let sent = test.targets.attempts.lock().unwrap().len();
    let answered = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(sent, answered);
    let most = allowed_since(begun);
    assert!((2..=most).contains(&sent), "{sent} of at most {most}");
    for refusal in results.into_iter().filter_map(Result::err) {
        assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
    }
    assert!(gate.take_held() > 0);
}

/// Retries after rejections and hedged attempts use the same quota as first attempts.
#[async_std::test]
async fn retries_and_hedges() {
    for does in [Does::Reject, Does::Hang, Does::Lose, Does::RefuseConnection] {
        let (test, _gate) = cold_forwarder(&["i-1", "i-2"], vec![("i-1", does), ("i-2", does)]);
        let begun = Instant::now();
        join_all((0..10).map(|_| forward(&test, RouteKind::Idempotent))).await;
        let most = 2 * allowed_since(begun);
        let sent = test.targets.attempts.lock().unwrap().len();
        assert!(sent <= most, "{does:?}: {sent} requests, at most {most}");
    }
}

/// Targets of a service without a limit receive everything at once, also while targets of another service are cold.
#[async_std::test]
async fn service_without_limit() {
    let (mut test, _gate) = cold_forwarder(&["i-1"], Vec::new());
    let mut other = target("i-2");
    other.service = "other".parse().unwrap();
    other.cold_left_ms = ms(60_000);
    test.catalog = Arc::new([other].into_iter().collect::<Catalog>());
    let mut route = route(RouteKind::NonIdempotent);
    route.services[0].service = "other".parse().unwrap();
    let catalog = || Arc::clone(&test.catalog);
    let request = request("/orders/1", None);
    for _ in 0..50 {
        let result = test
            .forwarder
            .forward(&request, &route, &Access::Anyone, &catalog, pending())
            .await;
        assert!(result.is_ok());
    }
}
