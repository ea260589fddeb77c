//! Orders with the caller's own key while the object store is down, slow or loses answers. Guards against a second run and
//! against a "not run" that is not true.

use jm_types::DurationMs;

use crate::{
    harness::{Fleet, wait_for},
    lost_dispatch::{Ledger, order_at},
    operator::Said,
};

const ALL: [usize; 3] = [0, 1, 2];

fn key(id: &str) -> [(&str, &str); 1] {
    [("idempotency-key", id)]
}

/// While the store is down, an order with a key is refused as not run and orders with tickets go on.
#[async_std::test]
async fn store_down() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    let mut ledger = Ledger::default();
    ledger.add(
        "earlier",
        order_at(&fleet, &[1], "earlier", &key("earlier")).await,
    );
    fleet.platform.set_faults(|faults| faults.down = true);
    let refused = order_at(&fleet, &ALL, "keyed", &key("keyed")).await;
    for answer in refused.iter().flatten() {
        assert_eq!(answer.code().as_deref(), Some("JM2006"), "{answer:?}");
    }
    ledger.add("keyed", refused);
    // The order of the key ran before the outage; that only this request was not run must be told apart.
    for answer in order_at(&fleet, &ALL, "earlier", &key("earlier"))
        .await
        .iter()
        .flatten()
    {
        assert!(answer.text().contains("earlier request"), "{answer:?}");
    }
    for daemon in ALL {
        let id = format!("ticket-{daemon}");
        let ticket = fleet.ticket(daemon).await;
        let answers = order_at(&fleet, &ALL, &id, &[("order-ticket", &ticket)]).await;
        assert!(
            answers.iter().flatten().all(|answer| answer.said() == Said::Ran),
            "{answers:?}"
        );
        ledger.add(&id, answers);
    }
    ledger.check(&fleet);
    fleet.platform.set_faults(|faults| faults.down = false);
    wait_for("the order", || async {
        let answers = order_at(&fleet, &ALL, "keyed", &key("keyed")).await;
        answers.iter().flatten().all(|answer| answer.said() == Said::Ran)
    })
    .await;
    assert_eq!(fleet.executions("keyed"), 1);
    ledger.add(
        "earlier",
        order_at(&fleet, &ALL, "earlier", &key("earlier")).await,
    );
    assert_eq!(fleet.executions("earlier"), 1);
}

/// The create of the key takes effect and its answer is lost, at all daemons at the same time.
#[async_std::test]
async fn store_loses_answers() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    for lose_every in [1, 2] {
        fleet.platform.set_faults(|faults| faults.lose_every = lose_every);
        for index in 0..4 {
            let id = format!("lost-{lose_every}-{index}");
            let answers = order_at(&fleet, &ALL, &id, &key(&id)).await;
            assert!(
                answers.iter().flatten().all(|answer| answer.said() == Said::Ran),
                "{answers:?}"
            );
            assert_eq!(fleet.executions(&id), 1);
        }
    }
}

/// The create takes effect only after the daemon has given it up, so that a repeated order finds a ticket whose request
/// was refused as not run.
#[async_std::test]
async fn store_slow() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    let mut ledger = Ledger::default();
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(700));
    ledger.add("slow", order_at(&fleet, &ALL, "slow", &key("slow")).await);
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(2_600));
    let given_up = order_at(&fleet, &ALL, "given-up", &key("given-up")).await;
    ledger.add("given-up", given_up);
    ledger.check(&fleet);
    fleet
        .platform
        .set_faults(|faults| faults.delay_ms = DurationMs::new(0));
    wait_for("the orders", || async {
        let mut all_ran = true;
        for id in ["slow", "given-up"] {
            let answers = order_at(&fleet, &ALL, id, &key(id)).await;
            all_ran &= answers.iter().flatten().all(|answer| answer.said() == Said::Ran);
        }
        all_ran
    })
    .await;
    assert_eq!(fleet.executions("slow"), 1);
    assert_eq!(fleet.executions("given-up"), 1);
}
