//! The outcome that is reported for an order, for each way in which the order can fail.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use async_std::task;
use common::{Fixture, KEY_A, KEY_B, body, code_of, get, json_answer, order, post, wait_until};
use jm_types::{Incarnation, ResultCode};

const RAN: &str = "head 201 desk-1 | chunk cut | chunk  wood | done";

async fn ticket(fixture: &Fixture, key: &str, service: &str) -> String {
    let request = post("/v1/tickets", Some(key), &format!(r#"{{"service":"{service}"}}"#));
    let (status, content) = fixture.json(request).await;
    assert_eq!(status, 200);
    content["ticket"].as_str().unwrap().to_owned()
}

/// Guards against an answer to an order without its ticket, with which the caller could not query the outcome.
#[async_std::test]
async fn answer_names_ticket() {
    let fixture = Fixture::start(2).await;
    fixture.add_answer(RAN);
    let answer = fixture.send(order(None)).await;
    assert_eq!(u16::from(answer.status()), 201);
    let named = answer.header("jm-ticket").unwrap().as_str().to_owned();
    assert_eq!(body(answer).await.unwrap(), "cut wood");
    let (member, executed) = fixture.executed().remove(0);
    assert_eq!(executed.ticket, Some(named.clone()));
    assert!(!executed.repeatable && named.contains(member.as_str()));
}

/// Guards against "outcome unknown" when no request was written, whether or not a ticket was obtained before.
#[async_std::test]
async fn refused_connection_is_not_run() {
    let fixture = Fixture::start(2).await;
    let [first, second] = &fixture.dispatchers[..] else {
        unreachable!()
    };
    fixture.set_reachable(second, false);
    *first.handler.ticket_issuer.lock().unwrap() = Some(second.member.clone());
    let refused = fixture.send(order(None)).await;
    assert!(refused.header("jm-ticket").is_some());
    assert_eq!(
        code_of(&json_answer(refused).await.1),
        ResultCode::DispatchUnreachable
    );
    let unreachable_fixture = Fixture::start(1).await;
    unreachable_fixture.set_reachable(&unreachable_fixture.dispatchers[0], false);
    unreachable_fixture
        .assert_refused(order(None), ResultCode::DispatchUnreachable)
        .await;
    assert!(fixture.executed().is_empty());
}

/// Guards against "not run" after the request was written, and against a second run.
#[async_std::test]
async fn closed_link_is_outcome_unknown() {
    let fixture = Fixture::start(2).await;
    fixture.add_answer("hold");
    let cut = async {
        wait_until(|| !fixture.executed().is_empty()).await;
        fixture.cut_links();
    };
    let (answer, ()) = futures::join!(fixture.send(order(None)), cut);
    let named = answer.header("jm-ticket").unwrap().as_str().to_owned();
    let (_, content) = json_answer(answer).await;
    assert_eq!(code_of(&content), ResultCode::OutcomeUnknown);
    assert_eq!(fixture.executed().len(), 1);
    fixture.add_answer(RAN);
    let again = fixture.send(order(Some(("order-ticket", &named)))).await;
    assert_eq!(body(again).await.unwrap(), "cut wood");
    let executed = fixture.executed();
    assert_eq!(executed[1].1.ticket, Some(named));
    assert_eq!(executed[0].0, executed[1].0);
}

/// Guards against a retry of an order after its target failed, and against a changed result code.
#[async_std::test]
async fn target_failure_is_reported() {
    let fixture = Fixture::start(2).await;
    let codes = [
        ResultCode::TargetFailed,
        ResultCode::QueueFull,
        ResultCode::OutcomeUnknown,
    ];
    for code in codes {
        fixture.add_answer(&format!("refuse {}", code.name()));
        fixture.assert_refused(order(None), code).await;
    }
    assert_eq!(fixture.executed().len(), codes.len());
}

/// Guards against a truncated answer that looks complete.
#[async_std::test]
async fn truncated_answer_is_not_completed() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 desk-1 | chunk half | refuse AnswerCut");
    assert!(body(fixture.send(order(None)).await).await.is_err());
}

/// Guards against "not run" when the deadline passes without a reply from the dispatch daemon.
#[async_std::test]
async fn missing_reply_is_outcome_unknown() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("hold");
    let request = post("/v1/services/hasty/orders", Some(KEY_A), "");
    fixture.assert_refused(request, ResultCode::AnswerTimeout).await;
}

/// Guards against a ticket that is accepted for another organisation or service, and against a forged ticket.
#[async_std::test]
async fn foreign_ticket_is_refused() {
    let fixture = Fixture::start(1).await;
    let of_other = ticket(&fixture, KEY_B, "desk").await;
    let other_service = ticket(&fixture, KEY_A, "hasty").await;
    let forged = ticket(&fixture, KEY_A, "desk").await.replace("org-a", "org-b");
    let refused = [
        (of_other, ResultCode::TicketMismatch),
        (other_service, ResultCode::TicketMismatch),
        (forged, ResultCode::MalformedTicket),
        ("none".to_owned(), ResultCode::MalformedTicket),
    ];
    for (text, code) in refused {
        fixture
            .assert_refused(order(Some(("order-ticket", &text))), code)
            .await;
    }
    assert!(fixture.executed().is_empty());
}

/// Guards against an order that runs on another daemon, or on a later run of the daemon, than its ticket names.
#[async_std::test]
async fn lost_issuer_is_outcome_unknown() {
    let fixture = Fixture::start(2).await;
    let text = ticket(&fixture, KEY_A, "desk").await;
    let issuer = fixture.dispatcher_in(&text);
    let again = || order(Some(("order-ticket", &text)));
    // The ticket may have been used before, so a refused connection does not determine the outcome of the order.
    fixture.set_reachable(issuer, false);
    fixture.assert_refused(again(), ResultCode::OutcomeUnknown).await;
    fixture.set_reachable(issuer, true);
    let mut restarted = issuer.record();
    restarted.incarnation = Incarnation::new(restarted.incarnation.get() + 1);
    fixture
        .node
        .peers
        .set_registered(vec![restarted], fixture.node.now(), fixture.node.now());
    fixture.assert_refused(again(), ResultCode::OutcomeUnknown).await;
    fixture
        .node
        .peers
        .set_registered(Vec::new(), fixture.node.now(), fixture.node.now());
    fixture.assert_refused(again(), ResultCode::OutcomeUnknown).await;
    assert!(fixture.executed().is_empty());
}

/// Guards against repeatable calls that are not retried after a failure, and against a retry on the same daemon.
#[async_std::test]
async fn repeatable_call_is_retried() {
    let fixture = Fixture::start(2).await;
    let requests = [
        post("/v1/services/desk/quotes", Some(KEY_A), ""),
        get("/v1/services/catalogue/list", None),
    ];
    for request in requests {
        let before = fixture.executed().len();
        fixture.add_answer("head 200 desk-1 | hold");
        fixture.add_answer(RAN);
        let cut = async {
            wait_until(|| fixture.executed().len() > before).await;
            let (member, _) = fixture.executed().pop().unwrap();
            // Lets the head arrive. Nothing has been sent to the caller at this point.
            task::yield_now().await;
            let broken = fixture.dispatcher_in(member.as_str());
            broken.relay.cut_connections();
        };
        let (answer, ()) = futures::join!(fixture.send(request), cut);
        assert!(answer.header("jm-ticket").is_none());
        assert_eq!(body(answer).await.unwrap(), "cut wood");
        let executed = fixture.executed();
        assert_ne!(executed[before].0, executed[before + 1].0);
    }
}
