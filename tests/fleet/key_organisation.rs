//! The organisation that a request runs for. Guards against work for an organisation other than that of the key, also
//! while a key moves from one organisation to another.

use futures::future::join;
use jm_http::Method;
use jm_types::Rate;

use crate::{
    harness::{Answer, CLERK_KEY, Fleet, TRAINER_KEY, call, wait_for},
    operator::Outcome,
};

async fn order_with(fleet: &Fleet, daemon: usize, key: Option<&str>, headers: &[(&str, &str)]) -> Answer {
    let url = fleet.caller_url(daemon, "/v1/services/order-desk/orders");
    let body = br#"{"request_id":"foreign"}"#;
    let answer = call(Method::Post, &url, key, headers, body).await;
    answer.expect("an answer")
}

fn assert_code(answer: &Answer, code: &str) {
    assert_eq!(answer.code().as_deref(), Some(code), "{answer:?}");
    assert_eq!(answer.outcome(), Outcome::NotRun, "{answer:?}");
}

/// Guards against orders that run without a key, with an unknown key, with a key of an organisation that may not use
/// the route, or with the ticket of another organisation.
#[async_std::test]
async fn nothing_runs_for_others() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    for daemon in 0..3 {
        assert_code(&order_with(&fleet, daemon, None, &[]).await, "JM1001");
        assert_code(
            &order_with(&fleet, daemon, Some("no-such-key"), &[]).await,
            "JM1002",
        );
        assert_code(
            &order_with(&fleet, daemon, Some(TRAINER_KEY), &[]).await,
            "JM1004",
        );
    }
    fleet
        .set_value(0, "route place-order", "organisations", "parish, kurpju")
        .await;
    fleet.wait_for_revision_everywhere().await;
    let ticket = fleet.ticket(0).await;
    let headers = [("order-ticket", ticket.as_str())];
    for daemon in 0..3 {
        let answer = order_with(&fleet, daemon, Some(TRAINER_KEY), &headers).await;
        assert_code(&answer, "JM4003");
    }
    assert_eq!(fleet.executions("foreign"), 0);
    let answer = order_with(&fleet, 1, Some(CLERK_KEY), &headers).await;
    assert_eq!(answer.outcome(), Outcome::Ran, "{answer:?}");
    assert_eq!(fleet.executions("foreign"), 1);
}

/// Guards against work for the previous organisation after a key moves to another one. The open stream of the key must
/// be cut, because the rest would run for the previous organisation. Its ticket and its idempotency key stay with the
/// previous organisation.
#[async_std::test]
async fn key_that_moves() {
    let fleet = Fleet::start(3, 1, 1).await;
    fleet.wait_for_stable_owners().await;
    fleet
        .set_value(0, "route place-order", "organisations", "parish, kurpju")
        .await;
    fleet.wait_for_revision_everywhere().await;
    let keyed = [("idempotency-key", "moving")];
    let before = fleet.order(0, "before", &keyed).await.expect("an answer");
    assert_eq!(before.outcome(), Outcome::Ran, "{before:?}");
    let ticket = fleet.ticket(0).await;
    fleet.engines[0].configure(|settings| settings.stream_tokens_per_s = Rate::new(25.0));
    let move_key = async {
        wait_for("the stream", || async { fleet.engines[0].running() == 1 }).await;
        fleet.set_value(1, "key clerk", "organisation", "kurpju").await;
    };
    let (stream, ()) = join(fleet.complete(2, 1_000), move_key).await;
    assert_ne!(stream.expect("an answer").outcome(), Outcome::Ran);
    fleet.wait_for_revision_everywhere().await;
    let headers = [("order-ticket", ticket.as_str())];
    for daemon in 0..3 {
        let answer = order_with(&fleet, daemon, Some(CLERK_KEY), &headers).await;
        assert_code(&answer, "JM4003");
    }
    assert_eq!(fleet.executions("foreign"), 0);
    // Idempotency keys are scoped to an organisation, so the same key now identifies a new order.
    let after = fleet.order(0, "after", &keyed).await.expect("an answer");
    assert!(after.text().contains("after"), "{after:?}");
    assert_eq!((fleet.executions("before"), fleet.executions("after")), (1, 1));
}
