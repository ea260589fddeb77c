//! Orders while the dispatch daemon that holds their ticket dies or freezes. Guards against a second run.

use std::{collections::BTreeMap, time::Duration};

use async_std::task;
use futures::future::{join, join_all};
use jm_types::DurationMs;

use crate::{
    harness::{Answer, Fleet, wait_for},
    operator::{Said, issuer_of},
};

/// Longer than the order's timeout, the silence timeout of links, the failure time of members and the freshness time.
const FREEZE: Duration = Duration::from_millis(6_000);

/// All answers about each order, by request id.
#[derive(Default)]
pub(crate) struct Ledger(BTreeMap<String, Vec<Answer>>);

impl Ledger {
    pub(crate) fn add(&mut self, id: &str, answers: impl IntoIterator<Item = Option<Answer>>) {
        let known = self.0.entry(id.to_owned()).or_default();
        known.extend(answers.into_iter().flatten());
    }

    /// Requires that the desks' counts agree with every answer that was given.
    pub(crate) fn check(&self, fleet: &Fleet) {
        for (id, answers) in &self.0 {
            let executions = fleet.executions(id);
            assert!(executions <= 1, "{id} ran {executions} times: {answers:?}");
            let said = |said| answers.iter().any(|answer| answer.said() == said);
            if said(Said::Ran) {
                assert_eq!(executions, 1, "{id}: {answers:?}");
            }
            let only_not_run = !said(Said::Ran) && !said(Said::Unknown);
            if only_not_run && !answers.is_empty() {
                assert_eq!(executions, 0, "{id}: {answers:?}");
            }
            for answer in answers.iter().filter(|answer| answer.said() == Said::Ran) {
                assert!(answer.text().contains(id), "{id} got {answer:?}");
            }
        }
    }
}

/// Sends an order with the same headers to several daemons at the same time.
pub(crate) async fn order_at(
    fleet: &Fleet,
    daemons: &[usize],
    id: &str,
    headers: &[(&str, &str)],
) -> Vec<Option<Answer>> {
    join_all(daemons.iter().map(|daemon| fleet.order(*daemon, id, headers))).await
}

/// The number of a ticket, which is its sixth field.
fn serial_of(ticket: &str) -> u64 {
    let serial = ticket.split('/').nth(5).expect("a serial number");
    serial.parse().expect("a number")
}

fn others(daemon: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != daemon).collect()
}

/// The order runs at the desk when its holder is killed: nobody may run it again, at no entry daemon and also not at
/// the holder's next run.
#[async_std::test]
async fn killed_while_desk_works() {
    let mut fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(2_000));
    }
    let ticket = fleet.ticket(0).await;
    let holder = issuer_of(&ticket);
    let entries = others(holder);
    let headers = [("order-ticket", ticket.as_str())];
    let mut ledger = Ledger::default();
    let (first, ()) = join(order_at(&fleet, &entries[..1], "order-1", &headers), async {
        wait_for("the run", || async { fleet.executions("order-1") == 1 }).await;
        fleet.daemons[holder].signal("KILL");
    })
    .await;
    let answer = first[0].as_ref().expect("an answer");
    assert_eq!(answer.said(), Said::Unknown, "{answer:?}");
    ledger.add("order-1", first);
    fleet.daemons[holder].kill();
    let repeated = order_at(&fleet, &entries, "order-1", &headers).await;
    ledger.add("order-1", repeated);
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(0));
    }
    fleet.daemons[holder].restart();
    fleet.wait_ready().await;
    fleet.wait_settled().await;
    // The new run numbers its tickets from the start, so that it has an unused one with the same number.
    while fleet.executions("order-1") == 1 {
        let other = fleet.ticket(holder).await;
        if issuer_of(&other) == holder && serial_of(&other) >= serial_of(&ticket) {
            break;
        }
    }
    let repeated = order_at(&fleet, &[0, 1, 2], "order-1", &headers).await;
    for answer in repeated.iter().flatten() {
        assert_eq!(answer.said(), Said::Unknown, "{answer:?}");
    }
    ledger.add("order-1", repeated);
    ledger.check(&fleet);
}

/// A holder that is frozen for longer than every timeout finds calls in its sockets whose callers were told something
/// long ago.
#[async_std::test]
async fn frozen_while_desk_works() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_revision_everywhere().await;
    for desk in &fleet.desks {
        desk.set_processing_time(DurationMs::new(300));
    }
    let ticket = fleet.ticket(0).await;
    let holder = issuer_of(&ticket);
    let entries = others(holder);
    let headers = [("order-ticket", ticket.as_str())];
    let mut ledger = Ledger::default();
    let (first, frozen) = join(order_at(&fleet, &entries, "order-1", &headers), async {
        wait_for("the run", || async { fleet.executions("order-1") == 1 }).await;
        fleet.daemons[holder].signal("STOP");
        let names: Vec<String> = (0..8).map(|index| format!("frozen-{index}")).collect();
        let unnamed = names.iter().map(|id| order_at(&fleet, &entries, id, &[]));
        let repeated = order_at(&fleet, &entries, "order-1", &headers);
        let (unnamed, repeated) = join(join_all(unnamed), repeated).await;
        (names, unnamed, repeated)
    })
    .await;
    let (names, unnamed, repeated) = frozen;
    ledger.add("order-1", first);
    ledger.add("order-1", repeated);
    // Each of these was sent twice without a name, so that two runs of it are two orders.
    let mut sent_twice = Vec::new();
    for (id, answers) in names.iter().zip(unnamed) {
        sent_twice.push((id, answers));
    }
    task::sleep(FREEZE).await;
    fleet.daemons[holder].signal("CONT");
    fleet.wait_served().await;
    let repeated = order_at(&fleet, &[0, 1, 2], "order-1", &headers).await;
    ledger.add("order-1", repeated);
    for (id, answers) in sent_twice {
        let count = |said| {
            let same = answers.iter().flatten().filter(|answer| answer.said() == said);
            same.count() as u64
        };
        let executions = fleet.executions(id);
        let least = count(Said::Ran);
        let most = least + count(Said::Unknown);
        assert!(
            (least..=most).contains(&executions),
            "{id}: {executions} {answers:?}"
        );
    }
    ledger.check(&fleet);
}

/// A holder that freezes before the order reaches it: the order waits in its socket while the callers are told that
/// the outcome is unknown, or that it was not run.
#[async_std::test]
async fn frozen_before_order() {
    let fleet = Fleet::start(3, 0, 2).await;
    fleet.wait_settled().await;
    fleet.set_value(0, "service order-desk", "timeout", "2s").await;
    fleet.wait_revision_everywhere().await;
    let mut tickets = Vec::new();
    for _ in 0..12 {
        tickets.push(fleet.ticket(0).await);
    }
    let holder = issuer_of(&tickets[0]);
    let entries = others(holder);
    fleet.daemons[holder].signal("STOP");
    let mut ledger = Ledger::default();
    let named: Vec<(String, &String)> = tickets
        .iter()
        .enumerate()
        .map(|(index, ticket)| (format!("held-{index}"), ticket))
        .collect();
    let sent = named.iter().map(|(id, ticket)| async {
        let headers = [("order-ticket", ticket.as_str())];
        order_at(&fleet, &entries, id, &headers).await
    });
    let answers = join_all(sent).await;
    for ((id, _), answers) in named.iter().zip(answers) {
        ledger.add(id, answers);
    }
    task::sleep(FREEZE).await;
    fleet.daemons[holder].signal("CONT");
    fleet.wait_served().await;
    ledger.check(&fleet);
    for (id, ticket) in &named {
        let headers = [("order-ticket", ticket.as_str())];
        ledger.add(id, order_at(&fleet, &[0, 1, 2], id, &headers).await);
    }
    ledger.check(&fleet);
}
