//! Orders under the caller's own key.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, body, get, order, post};
use jm_types::ResultCode;

const RAN: &str = "head 201 desk-1 | chunk done | done";

fn keyed() -> jm_http::Request {
    order(Some(("idempotency-key", "order 17")))
}

async fn run(fixture: &Fixture) -> String {
    fixture.script.add(RAN);
    assert_eq!(body(fixture.send(keyed()).await).await.unwrap(), "done");
    let (_, executed) = fixture.script.executed().pop().unwrap();
    executed.ticket.unwrap()
}

/// Guards against a second ticket, and so a second run, when the answer of the store was lost.
#[async_std::test]
async fn lost_answer_keeps_ticket() {
    let fixture = Fixture::start(2).await;
    fixture.server.set_faults(|faults| faults.lose_next = 1);
    let first = run(&fixture).await;
    assert_eq!(run(&fixture).await, first);
    let members: Vec<_> = fixture
        .script
        .executed()
        .into_iter()
        .map(|(member, _)| member)
        .collect();
    assert_eq!(members[0], members[1]);
}

/// Guards against an order that runs without its key in the store, and against a false "not run" after it.
#[async_std::test]
async fn store_down_is_not_run() {
    let fixture = Fixture::start(1).await;
    fixture.set_down(true);
    assert_eq!(fixture.refusal(keyed()).await, ResultCode::StoreUnavailable);
    assert!(fixture.script.executed().is_empty());
    fixture.set_down(false);
    run(&fixture).await;
}

/// Guards against one key for two different orders.
#[async_std::test]
async fn other_request_is_refused() {
    let fixture = Fixture::start(1).await;
    run(&fixture).await;
    let mut other = post("/v1/services/desk/orders", Some(common::KEY_A), "two racks");
    other.insert_header("idempotency-key", "order 17");
    assert_eq!(fixture.refusal(other).await, ResultCode::RequestMismatch);
    let mut both = keyed();
    both.insert_header("order-ticket", "x");
    assert_eq!(fixture.refusal(both).await, ResultCode::MalformedRequest);
    assert_eq!(fixture.script.executed().len(), 1);
}

/// Guards against an order that is refused as "not run" although a request with the same key may have run it.
#[async_std::test]
async fn lost_daemon_is_unknown() {
    let fixture = Fixture::start(2).await;
    let ticket = run(&fixture).await;
    let issuer = fixture
        .dispatchers
        .iter()
        .find(|fake| ticket.contains(fake.member.as_str()))
        .unwrap();
    issuer.relay.close().await;
    assert_eq!(fixture.refusal(keyed()).await, ResultCode::OutcomeUnknown);
    assert_eq!(fixture.script.executed().len(), 1);
    let open = get("/v1/services/catalogue/x", None);
    fixture.script.add(RAN);
    assert_eq!(body(fixture.send(open).await).await.unwrap(), "done");
}
