//! Orders with an idempotency key.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, get, order, post};
use jm_types::ResultCode;

const RAN: &str = "head 201 desk-1 | chunk done | done";

fn keyed() -> jm_http::Request {
    order(Some(("idempotency-key", "order 17")))
}

async fn run(fixture: &Fixture) -> String {
    fixture.add_answer(RAN);
    assert_eq!(fixture.text(keyed()).await, "done");
    let (_, executed) = fixture.executed().pop().unwrap();
    executed.ticket.unwrap()
}

/// Guards against a second ticket, and thus a second run, when the answer of the store is lost.
#[async_std::test]
async fn lost_answer_keeps_ticket() {
    let fixture = Fixture::start(2).await;
    // The client retries a write whose answer is lost on a pooled connection, so two answers have to be lost.
    fixture.server.set_faults(|faults| faults.lose_next = 2);
    let first = run(&fixture).await;
    // The answer that the object exists already may be lost as well.
    fixture.server.set_faults(|faults| faults.lose_next = 2);
    assert_eq!(run(&fixture).await, first);
    let members: Vec<_> = fixture.executed().into_iter().map(|(member, _)| member).collect();
    assert_eq!(members[0], members[1]);
}

/// Guards against an order that runs although its key could not be stored, and against "not run" for an order that ran.
#[async_std::test]
async fn store_down_is_not_run() {
    let fixture = Fixture::start(1).await;
    fixture.set_down(true);
    fixture
        .assert_refused(keyed(), ResultCode::StoreUnavailable)
        .await;
    assert!(fixture.executed().is_empty());
    fixture.set_down(false);
    run(&fixture).await;
}

/// Guards against an idempotency key that is accepted for two different orders.
#[async_std::test]
async fn other_request_is_refused() {
    let fixture = Fixture::start(1).await;
    run(&fixture).await;
    let mut other = post("/v1/services/desk/orders", Some(common::KEY_A), "two racks");
    other.insert_header("idempotency-key", "order 17");
    fixture.assert_refused(other, ResultCode::RequestMismatch).await;
    let mut both = keyed();
    both.insert_header("order-ticket", "x");
    fixture.assert_refused(both, ResultCode::MalformedRequest).await;
    assert_eq!(fixture.executed().len(), 1);
}

/// Guards against an order that is refused as "not run" although a request with the same key may have run it.
#[async_std::test]
async fn unreachable_issuer_is_outcome_unknown() {
    let fixture = Fixture::start(2).await;
    let ticket = run(&fixture).await;
    let issuer = fixture.dispatcher_in(&ticket);
    fixture.set_reachable(issuer, false);
    fixture.assert_refused(keyed(), ResultCode::OutcomeUnknown).await;
    assert_eq!(fixture.executed().len(), 1);
    let open = get("/v1/services/catalogue/x", None);
    fixture.add_answer(RAN);
    assert_eq!(fixture.text(open).await, "done");
}
