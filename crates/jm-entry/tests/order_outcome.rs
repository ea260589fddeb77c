//! What an order's answer says about its outcome, for each way in which it can fail.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use async_std::task;
use common::{Fixture, KEY_A, KEY_B, body, code_of, get, json_answer, order, post, until};
use jm_types::{Incarnation, ResultCode};

const RAN: &str = "head 201 desk-1 | chunk cut | chunk  wood | done";

async fn ticket(fixture: &Fixture, key: &str, service: &str) -> String {
    let request = post("/v1/tickets", Some(key), &format!(r#"{{"service":"{service}"}}"#));
    let (status, content) = fixture.json(request).await;
    assert_eq!(status, 200);
    content["ticket"].as_str().unwrap().to_owned()
}

/// Guards against a lost answer of an order that ran.
#[async_std::test]
async fn answer_names_ticket() {
    let fixture = Fixture::start(2).await;
    fixture.add(RAN);
    let answer = fixture.send(order(None)).await;
    assert_eq!(u16::from(answer.status()), 201);
    let named = answer.header("jm-ticket").unwrap().as_str().to_owned();
    assert_eq!(body(answer).await.unwrap(), "cut wood");
    let (member, executed) = fixture.executed().remove(0);
    assert_eq!(executed.ticket, Some(named.clone()));
    assert!(!executed.repeatable && named.contains(member.as_str()));
}

/// Guards against "outcome unknown" where nothing was written, with and without a ticket obtained before.
#[async_std::test]
async fn refused_connection_is_not_run() {
    let fixture = Fixture::start(2).await;
    let [first, second] = &fixture.dispatchers[..] else {
        unreachable!()
    };
    fixture.set_reachable(second, false);
    *first.handler.issuer.lock().unwrap() = Some(second.member.clone());
    let refused = fixture.send(order(None)).await;
    assert!(refused.header("jm-ticket").is_some());
    assert_eq!(
        code_of(&json_answer(refused).await.1),
        ResultCode::DispatchUnreachable
    );
    let nobody = Fixture::start(1).await;
    nobody.set_reachable(&nobody.dispatchers[0], false);
    nobody.refused(order(None), ResultCode::DispatchUnreachable).await;
    assert!(fixture.executed().is_empty());
}

/// Guards against "not run" after the request was written, and against a second run.
#[async_std::test]
async fn closed_link_is_unknown() {
    let fixture = Fixture::start(2).await;
    fixture.add("hold");
    let cut = async {
        until(|| !fixture.executed().is_empty()).await;
        fixture.cut_links();
    };
    let (answer, ()) = futures::join!(fixture.send(order(None)), cut);
    let named = answer.header("jm-ticket").unwrap().as_str().to_owned();
    let (_, content) = json_answer(answer).await;
    assert_eq!(code_of(&content), ResultCode::OutcomeUnknown);
    assert_eq!(fixture.executed().len(), 1);
    fixture.add(RAN);
    let again = fixture.send(order(Some(("order-ticket", &named)))).await;
    assert_eq!(body(again).await.unwrap(), "cut wood");
    let executed = fixture.executed();
    assert_eq!(executed[1].1.ticket, Some(named));
    assert_eq!(executed[0].0, executed[1].0);
}

/// Guards against an order that is repeated after a target failed, and against a changed code.
#[async_std::test]
async fn failed_target_is_told() {
    let fixture = Fixture::start(2).await;
    let codes = [
        ResultCode::TargetFailed,
        ResultCode::QueueFull,
        ResultCode::OutcomeUnknown,
    ];
    for code in codes {
        fixture.add(&format!("refuse {}", code.name()));
        fixture.refused(order(None), code).await;
    }
    assert_eq!(fixture.executed().len(), codes.len());
}

/// Guards against a cut answer that looks whole.
#[async_std::test]
async fn cut_answer_is_cut() {
    let fixture = Fixture::start(1).await;
    fixture.add("head 200 desk-1 | chunk half | refuse AnswerCut");
    assert!(body(fixture.send(order(None)).await).await.is_err());
}

/// Guards against "not run" when the deadline passes without a word from the dispatch daemon.
#[async_std::test]
async fn silence_is_unknown() {
    let fixture = Fixture::start(1).await;
    fixture.add("hold");
    let request = post("/v1/services/hasty/orders", Some(KEY_A), "");
    fixture.refused(request, ResultCode::AnswerTimeout).await;
}

/// Guards against a ticket that runs for another organisation or service, or that somebody made up.
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
        fixture.refused(order(Some(("order-ticket", &text))), code).await;
    }
    assert!(fixture.executed().is_empty());
}

/// Guards against an order that runs at another daemon or a later run than its ticket names.
#[async_std::test]
async fn lost_issuer_is_unknown() {
    let fixture = Fixture::start(2).await;
    let text = ticket(&fixture, KEY_A, "desk").await;
    let issuer = fixture.fake(&text);
    let again = || order(Some(("order-ticket", &text)));
    // The ticket may have been used before, so a refused connection says nothing about the order.
    fixture.set_reachable(issuer, false);
    fixture.refused(again(), ResultCode::OutcomeUnknown).await;
    fixture.set_reachable(issuer, true);
    let mut restarted = issuer.record();
    restarted.incarnation = Incarnation::new(restarted.incarnation.get() + 1);
    fixture
        .node
        .peers
        .set_registered(vec![restarted], fixture.node.now(), fixture.node.now());
    fixture.refused(again(), ResultCode::OutcomeUnknown).await;
    fixture
        .node
        .peers
        .set_registered(Vec::new(), fixture.node.now(), fixture.node.now());
    fixture.refused(again(), ResultCode::OutcomeUnknown).await;
    assert!(fixture.executed().is_empty());
}

/// Guards against repeatable calls that are given up at the first failure, and against a retry at the same daemon.
#[async_std::test]
async fn repeatable_call_is_retried() {
    let fixture = Fixture::start(2).await;
    let requests = [
        post("/v1/services/desk/quotes", Some(KEY_A), ""),
        get("/v1/services/catalogue/list", None),
    ];
    for request in requests {
        let before = fixture.executed().len();
        fixture.add("head 200 desk-1 | hold");
        fixture.add(RAN);
        let cut = async {
            until(|| fixture.executed().len() > before).await;
            let (member, _) = fixture.executed().pop().unwrap();
            // Lets the head arrive, which delivers nothing to the caller yet.
            task::yield_now().await;
            let broken = fixture.fake(member.as_str());
            broken.relay.cut_connections();
        };
        let (answer, ()) = futures::join!(fixture.send(request), cut);
        assert!(answer.header("jm-ticket").is_none());
        assert_eq!(body(answer).await.unwrap(), "cut wood");
        let executed = fixture.executed();
        assert_ne!(executed[before].0, executed[before + 1].0);
    }
}
