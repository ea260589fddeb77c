//! Orders whose ticket holder, a dispatch daemon, is killed or frozen. Guards against a second execution.

use std::{collections::BTreeMap, time::Duration};

use async_std::task;
use futures::future::{join, join_all};
use jm_types::DurationMs;

use crate::{
    harness::{Answer, Fleet, wait_for},
    operator::{Outcome, issuer_of},
};

/// Longer than the timeout of the order, the heartbeat timeout of links, the failure detection time of members and the
/// freshness bound.
const FREEZE_DURATION: Duration = Duration::from_millis(6_000);

/// All answers to each order, by request id.
#[derive(Default)]
pub(crate) struct OrderHistory(BTreeMap<String, Vec<Answer>>);

impl OrderHistory {
    pub(crate) fn add(&mut self, id: &str, answers: impl IntoIterator<Item = Option<Answer>>) {
        let known = self.0.entry(id.to_owned()).or_default();
        known.extend(answers.into_iter().flatten());
    }

    /// Checks the execution counts of the order desks against every recorded answer.
    pub(crate) fn check(&self, fleet: &Fleet) {
        for (id, answers) in &self.0 {
            let executions = fleet.executions(id);
            assert!(executions <= 1, "{id} ran {executions} times: {answers:?}");
            let has_outcome = |outcome| answers.iter().any(|answer| answer.outcome() == outcome);
            if has_outcome(Outcome::Ran) {
                assert_eq!(executions, 1, "{id}: {answers:?}");
            }
            let only_not_run = !has_outcome(Outcome::Ran) && !has_outcome(Outcome::Unknown);
            if only_not_run && !answers.is_empty() {
                assert_eq!(executions, 0, "{id}: {answers:?}");
            }
            for answer in answers.iter().filter(|answer| answer.outcome() == Outcome::Ran) {
                assert!(answer.text().contains(id), "{id} got {answer:?}");
            }
        }
    }
}

/// Sends one order with the same headers to several daemons concurrently.
pub(crate) async fn send_order_to(
    fleet: &Fleet,
    daemons: &[usize],
    id: &str,
    headers: &[(&str, &str)],
) -> Vec<Option<Answer>> {
    join_all(daemons.iter().map(|daemon| fleet.order(*daemon, id, headers))).await
}

/// Returns the serial number of a ticket, which is its sixth field.
fn serial_number(ticket: &str) -> u64 {
    let serial = ticket.split('/').nth(5).expect("a serial number");
    serial.parse().expect("a number")
}

fn other_daemons(daemon: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != daemon).collect()
}

/// Guards against a second execution of an order whose ticket holder is killed while the desk executes it. The order is
/// repeated at every entry daemon and, after the restart, also at the holder.
#[async_std::test]
async fn killed_while_desk_works() {
    let mut fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(2_000));
    }
    let ticket = fleet.ticket(0).await;
    let holder = issuer_of(&ticket);
    let entries = other_daemons(holder);
    let headers = [("order-ticket", ticket.as_str())];
    let mut history = OrderHistory::default();
    let (first, ()) = join(send_order_to(&fleet, &entries[..1], "order-1", &headers), async {
        wait_for("the execution", || async { fleet.executions("order-1") == 1 }).await;
        fleet.daemons[holder].signal("KILL");
    })
    .await;
    let answer = first[0].as_ref().expect("an answer");
    assert_eq!(answer.outcome(), Outcome::Unknown, "{answer:?}");
    history.add("order-1", first);
    fleet.daemons[holder].kill();
    let repeated = send_order_to(&fleet, &entries, "order-1", &headers).await;
    history.add("order-1", repeated);
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(0));
    }
    fleet.daemons[holder].restart();
    fleet.wait_until_ready().await;
    fleet.wait_for_stable_owners().await;
    // The restarted holder numbers its tickets from the start again. Tickets are issued until it has an unused one with
    // the same or a higher number.
    while fleet.executions("order-1") == 1 {
        let other = fleet.ticket(holder).await;
        if issuer_of(&other) == holder && serial_number(&other) >= serial_number(&ticket) {
            break;
        }
    }
    let repeated = send_order_to(&fleet, &[0, 1, 2], "order-1", &headers).await;
    for answer in repeated.iter().flatten() {
        assert_eq!(answer.outcome(), Outcome::Unknown, "{answer:?}");
    }
    history.add("order-1", repeated);
    history.check(&fleet);
}

/// Guards against a second execution by a holder that is frozen for longer than every timeout. When it resumes, its
/// sockets contain calls whose callers already received an answer.
#[async_std::test]
async fn frozen_while_desk_works() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_for_revision_everywhere().await;
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(300));
    }
    let ticket = fleet.ticket(0).await;
    let holder = issuer_of(&ticket);
    let entries = other_daemons(holder);
    let headers = [("order-ticket", ticket.as_str())];
    let mut history = OrderHistory::default();
    let (first, frozen) = join(send_order_to(&fleet, &entries, "order-1", &headers), async {
        wait_for("the execution", || async { fleet.executions("order-1") == 1 }).await;
        fleet.daemons[holder].signal("STOP");
        let names: Vec<String> = (0..8).map(|index| format!("frozen-{index}")).collect();
        let unnamed = names.iter().map(|id| send_order_to(&fleet, &entries, id, &[]));
        let repeated = send_order_to(&fleet, &entries, "order-1", &headers);
        let (unnamed, repeated) = join(join_all(unnamed), repeated).await;
        (names, unnamed, repeated)
    })
    .await;
    let (names, unnamed, repeated) = frozen;
    history.add("order-1", first);
    history.add("order-1", repeated);
    // Each of these requests was sent twice without a ticket or key, so each may run twice, as two separate orders.
    let mut sent_twice = Vec::new();
    for (id, answers) in names.iter().zip(unnamed) {
        sent_twice.push((id, answers));
    }
    task::sleep(FREEZE_DURATION).await;
    fleet.daemons[holder].signal("CONT");
    fleet.wait_until_serving().await;
    let repeated = send_order_to(&fleet, &[0, 1, 2], "order-1", &headers).await;
    history.add("order-1", repeated);
    for (id, answers) in sent_twice {
        let count = |outcome| {
            let same = answers
                .iter()
                .flatten()
                .filter(|answer| answer.outcome() == outcome);
            same.count() as u64
        };
        let executions = fleet.executions(id);
        let least = count(Outcome::Ran);
        let most = least + count(Outcome::Unknown);
        assert!(
            (least..=most).contains(&executions),
            "{id}: {executions} {answers:?}"
        );
    }
    history.check(&fleet);
}

/// Guards against an execution after a "not run" answer when the holder freezes before the order reaches it. The order
/// waits in its socket while the callers receive "outcome unknown" or "not run".
#[async_std::test]
async fn frozen_before_order() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_for_stable_owners().await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_for_revision_everywhere().await;
    let mut tickets = Vec::new();
    for _ in 0..12 {
        tickets.push(fleet.ticket(0).await);
    }
    let holder = issuer_of(&tickets[0]);
    let entries = other_daemons(holder);
    fleet.daemons[holder].signal("STOP");
    let mut history = OrderHistory::default();
    let named: Vec<(String, &String)> = tickets
        .iter()
        .enumerate()
        .map(|(index, ticket)| (format!("held-{index}"), ticket))
        .collect();
    let sent = named.iter().map(|(id, ticket)| async {
        let headers = [("order-ticket", ticket.as_str())];
        send_order_to(&fleet, &entries, id, &headers).await
    });
    let answers = join_all(sent).await;
    for ((id, _), answers) in named.iter().zip(answers) {
        history.add(id, answers);
    }
    task::sleep(FREEZE_DURATION).await;
    fleet.daemons[holder].signal("CONT");
    fleet.wait_until_serving().await;
    history.check(&fleet);
    for (id, ticket) in &named {
        let headers = [("order-ticket", ticket.as_str())];
        history.add(id, send_order_to(&fleet, &[0, 1, 2], id, &headers).await);
    }
    history.check(&fleet);
}
