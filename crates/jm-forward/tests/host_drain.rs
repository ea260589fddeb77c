//! Guards against requests that a host accepts during a planned stop and cuts without an answer when it exits.

mod common;

use std::{future::ready, sync::Arc};

use async_std::channel::bounded;
use common::{Does, forwarder, request, route};
use futures::future::join;
use jm_forward::{Access, Drain, ForwardRefusal, RouteKind};
use jm_types::{DurationMs, Execution, ResultCode, Timestamp};

const EXITS_AT: Timestamp = Timestamp::new(7_300);

fn admit(kind: RouteKind, limit_ms: u64, now_ms: u64) -> Result<(), ForwardRefusal> {
    let mut route = route(kind);
    route.timeout_ms = DurationMs::new(limit_ms);
    let mut request = request("/orders/1", Some("key-1"));
    request.timeout_ms = None;
    Drain::new(EXITS_AT).admit(&request, &route, Timestamp::new(now_ms))
}

/// Callers keep an address for up to six seconds. A request that must not be repeated is accepted in this time only if it
/// ends before the exit.
#[test]
fn accepted_requests_end_before_exit() {
    for now_ms in (0..9_000).step_by(50) {
        for limit_ms in [100, 1_500, 4_000, 10_000] {
            for kind in [
                RouteKind::NonIdempotent,
                RouteKind::Streaming { is_resumable: false },
            ] {
                let is_accepted = admit(kind, limit_ms, now_ms).is_ok();
                assert!(!is_accepted || now_ms + limit_ms < EXITS_AT.get());
            }
        }
    }
}

/// Guards against a host that rejects short requests, although it could answer them.
#[test]
fn short_requests_are_served() {
    admit(RouteKind::NonIdempotent, 1_500, 5_000).unwrap();
}

/// Guards against a reconnect for each request that may be repeated and has a long timeout, although it usually ends long
/// before the exit.
#[test]
fn repeatable_requests_are_tried() {
    admit(RouteKind::Idempotent, 10_000, 5_000).unwrap();
    admit(RouteKind::Idempotent, 10_000, 7_000).unwrap_err();
}

/// Guards against a refusal that leaves open whether the request ran, or keeps the caller from trying another host at
/// once.
#[test]
fn refusal_says_not_run() {
    let refusal = admit(RouteKind::NonIdempotent, 10_000, 3_500).unwrap_err();
    assert_eq!(refusal.code, ResultCode::Stopping);
    assert_eq!(refusal.code.execution(), Execution::NotRun);
    assert_eq!(refusal.retry_after_ms, Some(DurationMs::new(0)));
}

/// Guards against a request from before the stop that is cut without an answer at the exit. Its caller is told that it
/// may have run.
#[async_std::test]
async fn open_request_at_exit() {
    let test = forwarder(&["t1"], vec![("t1", Does::Hang)]);
    let access = Access::Organisation("parish".parse().unwrap());
    let (route, request) = (
        route(RouteKind::NonIdempotent),
        request("/orders/1", Some("key-1")),
    );
    let (exit, exits) = bounded::<()>(1);
    let exits = async move {
        let _ = exits.recv().await;
    };
    let catalog = || Arc::clone(&test.catalog);
    let forwarded = test.forwarder.forward(&request, &route, &access, &catalog, exits);
    let stop = async {
        while test.targets.attempts.lock().unwrap().is_empty() {
            async_std::task::yield_now().await;
        }
        exit.close();
    };
    let refusal = join(forwarded, stop).await.0.unwrap_err();
    assert_eq!(refusal.code, ResultCode::OutcomeUnknown);
    assert_eq!(refusal.retry_after_ms, None);
}

/// Guards against an answer that is dropped because the host exits when it arrives.
#[async_std::test]
async fn answer_before_exit() {
    let test = forwarder(&["t1"], Vec::new());
    let access = Access::Organisation("parish".parse().unwrap());
    let (route, request) = (route(RouteKind::Idempotent), request("/orders/1", Some("key-1")));
    let exits = ready(());
    let catalog = || Arc::clone(&test.catalog);
    let forwarded = test.forwarder.forward(&request, &route, &access, &catalog, exits);
    forwarded.await.unwrap();
}
