//! Orders at desks that crash, are late or answer with a wrong length, and from callers that disconnect.

use async_std::{io::WriteExt, net::TcpStream};
use jm_http::Method;
use jm_standins::ServiceFault;
use jm_types::DurationMs;

use crate::{
    harness::{CLERK_KEY, Fleet, call, loopback, wait_for},
    lost_dispatch::{Ledger, order_at},
    operator::Said,
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

/// Requests a daemon; a tenth of them may be repeated.
const BUDGET_REQUESTS: usize = 60;

/// Fills the retry budgets with requests that succeed. Without a budget no order would be repeated, whatever the rules
/// about its repetition.
async fn fill_retry_budgets(fleet: &Fleet) {
    for daemon in 0..3 {
        let url = fleet.caller_url(daemon, "/v1/services/order-desk/orders");
        for _ in 0..BUDGET_REQUESTS {
            call(Method::Get, &url, Some(CLERK_KEY), &[], b"").await;
        }
    }
}

/// Each fault meets an order with a ticket, one with a key and one without a name. What is repeated afterwards at all
/// daemons, the unnamed order by the ticket in its answer, must give the recorded outcome instead of a second run.
#[async_std::test]
async fn answers_stay_true() {
    // Each dispatch daemon owns two desks, so that it could send an order to a second one.
    let fleet = Fleet::start(3, 0, 6).await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_revision_everywhere().await;
    let mut ledger = Ledger::default();
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
            order_at(&fleet, &[0, 1, 2], &by_ticket, &ticket_header),
            order_at(&fleet, &[0, 1, 2], &by_key, &key_header),
            order_at(&fleet, &[2], &unnamed, &[]),
        );
        ledger.add(&by_ticket, one);
        ledger.add(&by_key, two);
        let given = three[0].as_ref().and_then(|answer| answer.ticket.clone());
        ledger.add(&unnamed, three);
        for desk in &fleet.desks {
            desk.set_fault(None);
        }
        ledger.add(
            &by_ticket,
            order_at(&fleet, &[0, 1, 2], &by_ticket, &ticket_header).await,
        );
        ledger.add(&by_key, order_at(&fleet, &[0, 1, 2], &by_key, &key_header).await);
        if let Some(given) = given {
            let headers = [("order-ticket", given.as_str())];
            ledger.add(&unnamed, order_at(&fleet, &[0, 1, 2], &unnamed, &headers).await);
        }
        fleet.wait_served().await;
        ledger.check(&fleet);
    }
    ledger.check(&fleet);
}

/// A desk that is down gets no byte, so "not run" must be true, and the ticket stays usable.
#[async_std::test]
async fn refused_then_placed() {
    let fleet = Fleet::start(3, 0, 1).await;
    let ticket = fleet.ticket(0).await;
    let headers = [("order-ticket", ticket.as_str())];
    fleet.desks[0].crash().await;
    let refused = order_at(&fleet, &[0, 1, 2], "order-1", &headers).await;
    for answer in refused.iter().flatten() {
        assert_ne!(answer.said(), Said::Ran, "{answer:?}");
    }
    assert_eq!(fleet.executions("order-1"), 0);
    fleet.desks[0].restart().await.expect("the desk listens again");
    let is_unknown = refused
        .iter()
        .flatten()
        .any(|answer| answer.said() == Said::Unknown);
    assert!(!is_unknown, "{refused:?}");
    wait_for("the order", || async {
        let answer = fleet.order(1, "order-1", &headers).await;
        answer.is_some_and(|answer| answer.said() == Said::Ran)
    })
    .await;
    assert_eq!(fleet.executions("order-1"), 1);
}

/// The caller's connection is lost while the desk works; the repeated order at every daemon gets the one answer.
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
    wait_for("the run", || async { fleet.executions("order-1") == 1 }).await;
    drop(connection);
    let answers = order_at(&fleet, &[0, 1, 2], "order-1", &[("order-ticket", &ticket)]).await;
    for answer in &answers {
        let answer = answer.as_ref().expect("an answer");
        assert_eq!(answer.said(), Said::Ran, "{answer:?}");
        assert!(answer.text().contains("order-1"), "{answer:?}");
    }
    assert_eq!(fleet.executions("order-1"), 1);
}
