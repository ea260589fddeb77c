//! Orders at desks that crash, respond late or send a response of the wrong length, and orders of callers that
//! disconnect.

use async_std::{io::WriteExt, net::TcpStream};
use jm_http::Method;
use jm_standins::ServiceFault;
use jm_types::DurationMs;

use crate::{
    harness::{CLERK_KEY, Fleet, call, loopback, wait_for},
    lost_dispatch::{OrderHistory, send_order_to},
    operator::Outcome,
};

const FAULTS: [(&str, ServiceFault); 7] = [
    ("crash-before", ServiceFault::CrashBefore),
    ("crash-after", ServiceFault::CrashAfter),
    (
        "slow",
        ServiceFault::Slow {
            delay_ms: DurationMs::new(2_500),
        },
    ),
    (
        "late",
        ServiceFault::Late {
            delay_ms: DurationMs::new(2_500),
        },
    ),
    ("short", ServiceFault::ShortAnswer { missing_bytes: 10 }),
    (
        "cut-head",
        ServiceFault::ShortAnswer {
            missing_bytes: 10_000,
        },
    ),
    ("long", ServiceFault::LongAnswer { surplus_bytes: 40 }),
];

/// Requests per daemon. The retry budget allows a tenth of them as retries.
const BUDGET_REQUESTS: usize = 60;

/// Fills the retry budgets with successful requests. With an empty budget no order is retried, and the test could not
/// detect a wrong retry.
async fn fill_retry_budgets(fleet: &Fleet) {
    for daemon in 0..3 {
        let url = fleet.caller_url(daemon, "/v1/services/order-desk/orders");
        for _ in 0..BUDGET_REQUESTS {
            call(Method::Get, &url, Some(CLERK_KEY), &[], b"").await;
        }
    }
}

/// Guards against answers that a later repetition contradicts. Each fault is applied to an order with a ticket, one
/// with an idempotency key and one with neither. The orders are then repeated at all daemons, the third by the ticket
/// in its answer, and must return the recorded outcome instead of running again.
#[async_std::test]
async fn answers_stay_true() {
    // Each dispatch daemon owns two desks, so that it could retry an order at the other desk.
    let fleet = Fleet::start(3, 0, 6).await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_for_revision_everywhere().await;
    let mut history = OrderHistory::default();
    fill_retry_budgets(&fleet).await;
    for (name, fault) in FAULTS {
        for desk in &fleet.desks {
            desk.set_fault(Some(fault));
        }
        let ticket = fleet.ticket(0).await;
        let [by_ticket, by_key, unnamed] = ["ticket", "key", "none"].map(|how| format!("{name}-{how}"));
        let ticket_header = [("order-ticket", ticket.as_str())];
        let key_header = [("idempotency-key", by_key.as_str())];
        let (one, two, three) = futures::join!(
            send_order_to(&fleet, &[0, 1, 2], &by_ticket, &ticket_header),
            send_order_to(&fleet, &[0, 1, 2], &by_key, &key_header),
            send_order_to(&fleet, &[2], &unnamed, &[]),
        );
        history.add(&by_ticket, one);
        history.add(&by_key, two);
        let returned_ticket = three[0].as_ref().and_then(|answer| answer.ticket.clone());
        history.add(&unnamed, three);
        for desk in &fleet.desks {
            desk.set_fault(None);
        }
        history.add(
            &by_ticket,
            send_order_to(&fleet, &[0, 1, 2], &by_ticket, &ticket_header).await,
        );
        history.add(
            &by_key,
            send_order_to(&fleet, &[0, 1, 2], &by_key, &key_header).await,
        );
        if let Some(returned_ticket) = returned_ticket {
            let headers = [("order-ticket", returned_ticket.as_str())];
            history.add(
                &unnamed,
                send_order_to(&fleet, &[0, 1, 2], &unnamed, &headers).await,
            );
        }
        fleet.wait_until_serving().await;
        history.check(&fleet);
    }
    history.check(&fleet);
}

/// Guards against an order that runs after "not run" was reported, and against a ticket that a refusal uses up. A desk
/// that is down receives no byte of the order.
#[async_std::test]
async fn refused_then_placed() {
    let fleet = Fleet::start(3, 0, 1).await;
    let ticket = fleet.ticket(0).await;
    let headers = [("order-ticket", ticket.as_str())];
    fleet.desks[0].crash().await;
    let refused = send_order_to(&fleet, &[0, 1, 2], "order-1", &headers).await;
    for answer in refused.iter().flatten() {
        assert_ne!(answer.outcome(), Outcome::Ran, "{answer:?}");
    }
    assert_eq!(fleet.executions("order-1"), 0);
    fleet.desks[0].restart().await.expect("the desk listens again");
    let is_unknown = refused
        .iter()
        .flatten()
        .any(|answer| answer.outcome() == Outcome::Unknown);
    assert!(!is_unknown, "{refused:?}");
    wait_for("the order", || async {
        let answer = fleet.order(1, "order-1", &headers).await;
        answer.is_some_and(|answer| answer.outcome() == Outcome::Ran)
    })
    .await;
    assert_eq!(fleet.executions("order-1"), 1);
}

/// Guards against a second execution when the caller's connection closes while the desk executes the order. The
/// repeated order must receive the recorded answer at every daemon.
#[async_std::test]
async fn disconnect_then_repeat() {
    let fleet = Fleet::start(3, 0, 2).await;
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(500));
    }
    let ticket = fleet.ticket(1).await;
    let body = r#"{"request_id":"order-1"}"#;
    let request = format!(
        "POST /v1/services/order-desk/orders HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {CLERK_KEY}\r\n\
         order-ticket: {ticket}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let address = loopback(fleet.daemons[0].ports.entry);
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    connection
        .write_all(request.as_bytes())
        .await
        .expect("the request is written");
    wait_for("the execution", || async { fleet.executions("order-1") == 1 }).await;
    drop(connection);
    let answers = send_order_to(&fleet, &[0, 1, 2], "order-1", &[("order-ticket", &ticket)]).await;
    for answer in &answers {
        let answer = answer.as_ref().expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Ran, "{answer:?}");
        assert!(answer.text().contains("order-1"), "{answer:?}");
    }
    assert_eq!(fleet.executions("order-1"), 1);
}
