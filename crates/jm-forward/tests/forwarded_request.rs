//! Guards against requests that run twice, wait for an unresponsive target, or are refused with a wrong statement on
//! whether they ran.

mod common;

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use common::{Does, TestForwarder, forwarder, request, route, table, target};
use jm_forward::{Access, Catalog, ForwardResult, RouteKind, TargetState};
use jm_types::{DurationMs, Execution, ResultCode};

async fn forward(test: &TestForwarder, kind: RouteKind) -> ForwardResult {
    let route = route(kind);
    let access = Access::Organisation("parish".parse().unwrap());
    let request = request("/orders/1", Some("key-1"));
    test.forwarder
        .forward(
            &request,
            &route,
            &access,
            &|| Arc::clone(&test.catalog),
            pending(),
        )
        .await
}

fn attempts(test: &TestForwarder) -> usize {
    test.targets.attempts.lock().unwrap().len()
}

#[async_std::test]
async fn served() {
    let test = forwarder(&["t1"], Vec::new());
    let answer = forward(&test, RouteKind::Idempotent).await.unwrap();
    assert_eq!(answer.attempts, 1);
    let sent = test.targets.attempts.lock().unwrap();
    assert_eq!(sent[0].1, Some("parish".parse().unwrap()));
    assert_eq!(test.counted.began.lock().unwrap().len(), 1);
}

#[async_std::test]
async fn retried_on_another_target() {
    let test = forwarder(&["t1", "t2"], vec![("t1", Does::Lose)]);
    for _ in 0..4 {
        forward(&test, RouteKind::Idempotent).await.unwrap();
    }
}

/// Guards against a second attempt of a non-idempotent request that may have run, and against a refusal that states an
/// outcome or invites a retry.
#[async_std::test]
async fn non_idempotent_runs_at_most_once() {
    let test = forwarder(
        &["t1", "t2", "t3"],
        vec![("t1", Does::Lose), ("t2", Does::Lose), ("t3", Does::Lose)],
    );
    let refusal = forward(&test, RouteKind::NonIdempotent).await.unwrap_err();
    assert_eq!(attempts(&test), 1);
    assert_eq!(refusal.code.execution(), Execution::Unknown);
    assert_eq!(refusal.retry_after_ms, None);
}

/// Guards against a rejection that counts as an execution: even a non-idempotent request is then sent to another
/// target.
#[async_std::test]
async fn rejected_once() {
    for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        let rules = vec![("t1", Does::Reject), ("t2", Does::RefuseConnection)];
        let test = forwarder(&["t1", "t2", "t3"], rules);
        forward(&test, kind).await.unwrap();
    }
}

/// Guards against a refusal by full targets that leaves open whether the request ran, or has no retry delay.
#[async_std::test]
async fn all_full() {
    let test = forwarder(&["t1", "t2"], vec![("t1", Does::Reject), ("t2", Does::Reject)]);
    let refusal = forward(&test, RouteKind::NonIdempotent).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::NoTarget);
    assert_eq!(refusal.code.execution(), Execution::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    assert!(test.counted.began.lock().unwrap().is_empty());
}

/// Guards against a target that stopped responding and delays a request until its deadline. The request must be hedged
/// after a part of the latency objective.
#[async_std::test]
async fn slow_target_is_hedged() {
    let test = forwarder(&["t1", "t2"], vec![("t1", Does::Hang)]);
    let mut served = 0;
    for _ in 0..8 {
        served += usize::from(forward(&test, RouteKind::Idempotent).await.is_ok());
    }
    assert!(served >= 4, "{served} of 8 requests were served");
}

/// Guards against the loss of a slow response when there is no second target for a hedged attempt.
#[async_std::test]
async fn slow_answer_of_the_only_target() {
    let test = forwarder(&["t1"], vec![("t1", Does::AnswerAfter(1_000))]);
    let mut slow = route(RouteKind::Idempotent);
    slow.timeout_ms = DurationMs::new(1_800);
    let mut request = request("/orders/1", Some("key-1"));
    request.timeout_ms = None;
    let access = Access::Organisation("parish".parse().unwrap());
    let forwarded = test
        .forwarder
        .forward(&request, &slow, &access, &|| Arc::clone(&test.catalog), pending())
        .await;
    assert!(forwarded.is_ok(), "{forwarded:?}");
}

/// Guards against a request that counts twice in usage because it ran on two targets.
#[async_std::test]
async fn counted_once() {
    let test = forwarder(&["t1", "t2"], vec![("t1", Does::Lose)]);
    for _ in 0..4 {
        forward(&test, RouteKind::Idempotent).await.unwrap();
    }
    assert!(attempts(&test) > 4, "a request was retried");
    assert_eq!(test.counted.began.lock().unwrap().len(), 4);
}

/// Guards against a hedged attempt of a non-idempotent request.
#[async_std::test]
async fn non_idempotent_is_not_hedged() {
    let test = forwarder(
        &["t1", "t2"],
        vec![("t1", Does::AnswerAfter(120)), ("t2", Does::AnswerAfter(120))],
    );
    forward(&test, RouteKind::NonIdempotent).await.unwrap();
    assert_eq!(attempts(&test), 1);
}

/// Guards against a request that outlasts its deadline because the target never responds.
#[async_std::test]
async fn timed_out() {
    let test = forwarder(&["t1"], vec![("t1", Does::Hang)]);
    let refusal = forward(&test, RouteKind::NonIdempotent).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::AnswerTimeout);
}

#[async_std::test]
async fn no_target() {
    let test = forwarder(&[], Vec::new());
    let refusal = forward(&test, RouteKind::Idempotent).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::NoTarget);
    assert!(refusal.retry_after_ms.is_some());
}

/// Guards against a request without a matching route or a valid key that reaches a target.
#[async_std::test]
async fn not_admitted() {
    let test = forwarder(&["t1"], Vec::new());
    let table = table([route(RouteKind::Idempotent)]);
    let code = |path: &str, key: Option<&str>| {
        let refused = test.forwarder.admit(&request(path, key), &table);
        refused.map(drop).map_err(|refusal| refusal.code)
    };
    assert_eq!(
        code("/elsewhere/", Some("key-1")),
        Err(ResultCode::UnknownEndpoint)
    );
    assert_eq!(code("/orders/1", Some("key-2")), Err(ResultCode::UnknownKey));
    assert_eq!(code("/orders/1", None), Err(ResultCode::MissingKey));
    assert_eq!(code("/orders/1", Some("key-1")), Ok(()));
    assert_eq!(attempts(&test), 0);
}

/// Guards against an attempt on a target that began to leave while the request waited at another one. The later attempt
/// chooses from the present list.
#[async_std::test]
async fn target_leaves_while_request_waits() {
    let test = forwarder(&["full", "leaving"], vec![("full", Does::RejectAfter(30))]);
    let mut left = target("leaving");
    left.state = TargetState::Leaving;
    let after: Arc<Catalog> = Arc::new([target("full"), left].into_iter().collect());
    let is_first = AtomicBool::new(true);
    let catalog = || match is_first.swap(false, Ordering::SeqCst) {
        // Both serve and cost the same, so the first attempt goes to the first one.
        true => Arc::clone(&test.catalog),
        false => Arc::clone(&after),
    };
    let (route, request) = (
        route(RouteKind::NonIdempotent),
        request("/orders/1", Some("key-1")),
    );
    let access = Access::Organisation("parish".parse().unwrap());
    let forwarded = test
        .forwarder
        .forward(&request, &route, &access, &catalog, pending())
        .await;
    assert_eq!(forwarded.unwrap_err().code.execution(), Execution::NotRun);
    let attempts = test.targets.attempts.lock().unwrap();
    assert!(attempts.iter().all(|(target, _)| target == "full"));
}

/// Guards against an attempt that does not see a target which was listed while the request waited.
#[async_std::test]
async fn target_joins_while_request_waits() {
    let test = forwarder(&["full", "new"], vec![("full", Does::RejectAfter(30))]);
    let only_full: Arc<Catalog> = Arc::new([target("full")].into_iter().collect());
    let is_first = AtomicBool::new(true);
    let catalog = || match is_first.swap(false, Ordering::SeqCst) {
        true => Arc::clone(&only_full),
        false => Arc::clone(&test.catalog),
    };
    let (route, request) = (
        route(RouteKind::NonIdempotent),
        request("/orders/1", Some("key-1")),
    );
    let access = Access::Organisation("parish".parse().unwrap());
    let forwarded = test
        .forwarder
        .forward(&request, &route, &access, &catalog, pending());
    assert_eq!(forwarded.await.unwrap().attempts, 2);
}
