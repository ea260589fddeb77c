//! Orders with an idempotency key while the object store is down, slow or loses answers. Guards against a second
//! execution and against a "not run" answer to an order that ran.

use jm_types::DurationMs;

use crate::{
    harness::{Fleet, wait_for},
    lost_dispatch::{OrderHistory, send_order_to},
    operator::Outcome,
};

const ALL: [usize; 3] = [0, 1, 2];

fn key(id: &str) -> [(&str, &str); 1] {
    [("idempotency-key", id)]
}

/// Guards against an execution of a keyed order while the store is down, and against an outage that stops orders with
/// tickets. Keyed orders must be refused as not run.
#[async_std::test]
async fn store_down() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    let mut history = OrderHistory::default();
    history.add(
        "earlier",
        send_order_to(&fleet, &[1], "earlier", &key("earlier")).await,
    );
    fleet.platform.set_faults(|faults| faults.down = true);
    let refused = send_order_to(&fleet, &ALL, "keyed", &key("keyed")).await;
    for answer in refused.iter().flatten() {
        assert_eq!(answer.code().as_deref(), Some("JM2006"), "{answer:?}");
    }
    history.add("keyed", refused);
    // The order with this key ran before the outage. The refusal must say that only the repeated request was not run.
    for answer in send_order_to(&fleet, &ALL, "earlier", &key("earlier"))
        .await
        .iter()
        .flatten()
    {
        assert!(answer.text().contains("earlier request"), "{answer:?}");
    }
    for daemon in ALL {
        let id = format!("ticket-{daemon}");
        let ticket = fleet.ticket(daemon).await;
        let answers = send_order_to(&fleet, &ALL, &id, &[("order-ticket", &ticket)]).await;
        assert!(
            answers
                .iter()
                .flatten()
                .all(|answer| answer.outcome() == Outcome::Ran),
            "{answers:?}"
        );
        history.add(&id, answers);
    }
    history.check(&fleet);
    fleet.platform.set_faults(|faults| faults.down = false);
    wait_for("the order", || async {
        let answers = send_order_to(&fleet, &ALL, "keyed", &key("keyed")).await;
        answers
            .iter()
            .flatten()
            .all(|answer| answer.outcome() == Outcome::Ran)
    })
    .await;
    assert_eq!(fleet.executions("keyed"), 1);
    history.add(
        "earlier",
        send_order_to(&fleet, &ALL, "earlier", &key("earlier")).await,
    );
    assert_eq!(fleet.executions("earlier"), 1);
}

/// Guards against a second execution when the store creates the key object and its answer is lost, at all daemons
/// concurrently.
#[async_std::test]
async fn store_loses_answers() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    for lose_every in [1, 2] {
        fleet.platform.set_faults(|faults| faults.lose_every = lose_every);
        for index in 0..4 {
            let id = format!("lost-{lose_every}-{index}");
            let answers = send_order_to(&fleet, &ALL, &id, &key(&id)).await;
            assert!(
                answers
                    .iter()
                    .flatten()
                    .all(|answer| answer.outcome() == Outcome::Ran),
                "{answers:?}"
            );
            assert_eq!(fleet.executions(&id), 1);
        }
    }
}

/// Guards against a lost or second execution when the create takes effect only after the daemon's timeout. A repeated
/// order then finds a ticket whose request was refused as not run.
#[async_std::test]
async fn store_slow() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    let mut history = OrderHistory::default();
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(700));
    history.add("slow", send_order_to(&fleet, &ALL, "slow", &key("slow")).await);
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(2_600));
    let given_up = send_order_to(&fleet, &ALL, "given-up", &key("given-up")).await;
    history.add("given-up", given_up);
    history.check(&fleet);
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(0));
    wait_for("the orders", || async {
        let mut all_ran = true;
        for id in ["slow", "given-up"] {
            let answers = send_order_to(&fleet, &ALL, id, &key(id)).await;
            all_ran &= answers
                .iter()
                .flatten()
                .all(|answer| answer.outcome() == Outcome::Ran);
        }
        all_ran
    })
    .await;
    assert_eq!(fleet.executions("slow"), 1);
    assert_eq!(fleet.executions("given-up"), 1);
}
