//! Withdrawal of keys under traffic. Guards against a withdrawn key that is still accepted, also on open connections,
//! and against a key that is forwarded to a target.

use std::time::Duration;

use async_std::{io::ReadExt, io::WriteExt, net::TcpStream, task};
use futures::future::{join, join_all};
use jm_http::Method;
use jm_standins::{Direction, Flow, Relay};
use jm_types::Rate;

use crate::{
    cut_off_daemon::restart_behind_store_relay,
    harness::{Answer, CLERK_KEY, Fleet, TRAINER_KEY, call, loopback, wait_for},
    operator::{Outcome, issuer_of},
};

/// Longer than the freshness bound, so that a frozen daemon's last confirmation has expired when it resumes.
const FREEZE_DURATION: Duration = Duration::from_millis(3_500);

/// Total tokens of four streams of equal rate, enough that each stream has started at its caller.
const TOKENS_BEFORE_WITHDRAWAL: u64 = 60;

/// Time for requests to reach the socket of a frozen daemon. A value that is too short cannot fail the test, it only
/// makes the test weaker.
const SOCKET_WRITE_DELAY: Duration = Duration::from_millis(200);

/// Orders sent to an isolated daemon, while its dispatch daemon reads the requests that wait in its sockets.
const ISOLATED_ORDERS: usize = 5;

const CLERK_SECTION: &str = "key clerk";

async fn complete_with(fleet: &Fleet, daemon: usize, key: &str, tokens: u64) -> Option<Answer> {
    let body = format!(r#"{{"service":"drafts","prompt":"a rack","max_tokens":{tokens}}}"#);
    let url = fleet.caller_url(daemon, "/v1/completions");
    call(Method::Post, &url, Some(key), &[], body.as_bytes()).await
}

fn slow_engines(fleet: &Fleet) {
    for engine in &fleet.engines {
        engine.configure(|settings| settings.stream_tokens_per_s = Rate::new(25.0));
    }
}

fn running(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.running()).sum()
}

fn generated(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.counts().tokens).sum()
}

async fn wait_for_refusals(fleet: &Fleet) {
    for daemon in 0..fleet.daemons.len() {
        wait_for("the refusal", || async move {
            let answer = fleet.complete(daemon, 1).await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
    }
}

/// Guards against streams that continue after the withdrawal of their key. Streams are open at every daemon when the
/// key is withdrawn through one of them. Each body must end as cut, the engines must stop, and the stream of another
/// key must complete.
#[async_std::test]
async fn open_streams_are_cut() {
    let fleet = Fleet::start(3, 2, 1).await;
    slow_engines(&fleet);
    let streams = join_all((0..3).map(|daemon| fleet.complete(daemon, 1_000)));
    let other = complete_with(&fleet, 0, TRAINER_KEY, 150);
    let withdraw = async {
        wait_for("the streams", || async {
            running(&fleet) == 4 && generated(&fleet) >= TOKENS_BEFORE_WITHDRAWAL
        })
        .await;
        fleet.set_section(1, "withdraw", CLERK_SECTION, None).await;
    };
    let (streams, other, ()) = futures::join!(streams, other, withdraw);
    for answer in streams {
        let answer = answer.expect("the head of an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.body.is_err(), "the body is complete: {answer:?}");
    }
    let other = other.expect("an answer");
    assert_eq!(other.text().lines().count(), 151);
    wait_for("the engines", || async { running(&fleet) == 0 }).await;
    wait_for_refusals(&fleet).await;
}

/// Guards against a key that is forwarded to a target or to the platform. Callers put their key into query, body and
/// headers, plain and in several encodings.
#[async_std::test]
async fn key_reaches_no_target() {
    let fleet = Fleet::start(3, 1, 1).await;
    let escaped: String = CLERK_KEY.bytes().map(|byte| format!("%{byte:02X}")).collect();
    let json_escaped: String = CLERK_KEY
        .bytes()
        .map(|byte| format!("\\u{:04x}", u32::from(byte)))
        .collect();
    let orders = |query: &str| fleet.caller_url(0, &format!("/v1/services/order-desk/orders{query}"));
    let bodies = [
        format!(r#"{{"request_id":"body","note":"{CLERK_KEY}"}}"#),
        format!(r#"{{"request_id":"body","note":"{json_escaped}"}}"#),
    ];
    let mut answers = Vec::new();
    for query in [CLERK_KEY, escaped.as_str()] {
        let url = orders(&format!("?key={query}"));
        answers.push(call(Method::Post, &url, Some(CLERK_KEY), &[], b"{}").await);
    }
    for body in &bodies {
        answers.push(call(Method::Post, &orders(""), Some(CLERK_KEY), &[], body.as_bytes()).await);
    }
    let accept = [("accept", CLERK_KEY)];
    answers.push(call(Method::Post, &orders(""), Some(CLERK_KEY), &accept, b"{}").await);
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!(answer.code().as_deref(), Some("JM1010"), "{answer:?}");
    }
    let dropped = [
        ("x-note", CLERK_KEY),
        ("cookie", CLERK_KEY),
        ("jm-request-id", CLERK_KEY),
    ];
    for daemon in 0..3 {
        let id = format!("order-{daemon}");
        let answer = fleet.order(daemon, &id, &dropped).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Ran, "{answer:?}");
        let answer = fleet.complete(daemon, 5).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let engines = fleet.engines.iter().map(|engine| engine.recording());
    let desks = fleet.desks.iter().map(|desk| desk.recording());
    for recording in engines.chain(desks).chain([fleet.platform.recording()]) {
        assert!(recording.complete && recording.bytes() > 0);
        for secret in [CLERK_KEY, TRAINER_KEY, &escaped, &json_escaped] {
            assert!(!recording.contains(secret.as_bytes()));
        }
    }
    let orders: Vec<u64> = (0..3)
        .map(|daemon| fleet.executions(&format!("order-{daemon}")))
        .collect();
    assert_eq!(orders, [1, 1, 1]);
}

/// Sends the head and a part of the body of an order.
async fn start_partial_order(fleet: &Fleet, daemon: usize) -> TcpStream {
    let address = loopback(fleet.daemons[daemon].ports.entry);
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /v1/services/order-desk/orders HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {CLERK_KEY}\r\n\
         content-length: 25\r\n\r\n{{\"request_id\""
    );
    connection
        .write_all(head.as_bytes())
        .await
        .expect("the head is written");
    connection
}

/// Guards against a withdrawn key that is accepted by an entry host which was frozen during the withdrawal. When the
/// host resumes, it can reach the store and the other daemons.
#[async_std::test]
async fn frozen_over_withdrawal() {
    let fleet = Fleet::start(3, 3, 3).await;
    fleet.wait_for_members().await;
    withdraw_during_freeze(&fleet, None).await;
}

/// Guards against a withdrawn key that is accepted by a frozen entry host which resumes in isolation. Its connection to
/// the store is held and the other daemons are frozen, so that the withdrawal cannot reach it, not even by an answer in
/// its sockets. It owns a target of each service itself.
#[async_std::test]
async fn frozen_then_alone() {
    let mut fleet = Fleet::start(3, 3, 3).await;
    let relay = restart_behind_store_relay(&mut fleet, 2).await;
    fleet.wait_for_members().await;
    withdraw_during_freeze(&fleet, Some(&relay)).await;
}

/// Freezes daemon 2 during the withdrawal. Requests that wait in its sockets, including orders whose body arrives
/// during the freeze, must not run when it resumes. With `isolating_relay`, the relay to its store, it can reach
/// neither the store nor the other daemons when it resumes.
async fn withdraw_during_freeze(fleet: &Fleet, isolating_relay: Option<&Relay>) {
    let mut partial = Vec::new();
    for _ in 0..8 {
        partial.push(start_partial_order(fleet, 2).await);
    }
    // An answer of the same daemon shows that it had time to read the heads.
    assert!(
        fleet
            .complete(2, 1)
            .await
            .is_some_and(|answer| answer.status == 200)
    );
    fleet.daemons[2].signal("STOP");
    if let Some(relay) = isolating_relay {
        relay.set_flow(Direction::ToCaller, Flow::Hold);
    }
    for connection in &mut partial {
        connection
            .write_all(b":\"half-one\"}")
            .await
            .expect("the body is written");
    }
    let ids: Vec<String> = (0..6).map(|index| format!("frozen-{index}")).collect();
    let waiting = async {
        let orders = join_all(ids.iter().map(|id| fleet.order(2, id, &[])));
        let streams = join_all((0..6).map(|_| fleet.complete(2, 20)));
        join(orders, streams).await
    };
    let withdraw = async {
        fleet.set_section(0, "withdraw", CLERK_SECTION, None).await;
        task::sleep(FREEZE_DURATION).await;
        if isolating_relay.is_some() {
            fleet.daemons[0].signal("STOP");
            fleet.daemons[1].signal("STOP");
        }
        fleet.daemons[2].signal("CONT");
    };
    let ((orders, streams), ()) = join(waiting, withdraw).await;
    for answer in orders.into_iter().chain(streams).flatten() {
        assert_ne!(answer.outcome(), Outcome::Ran, "{answer:?}");
    }
    for mut connection in partial {
        let mut answer = [0; 64];
        let read = connection.read(&mut answer).await.unwrap_or(0);
        let status = String::from_utf8_lossy(&answer[..read]).into_owned();
        assert!(!status.starts_with("HTTP/1.1 200"), "{status}");
    }
    if let Some(relay) = isolating_relay {
        relay.set_flow(Direction::ToCaller, Flow::Open);
        fleet.daemons[0].signal("CONT");
        fleet.daemons[1].signal("CONT");
    }
    wait_for_refusals(fleet).await;
    for id in ids.iter().map(String::as_str).chain(["half-one"]) {
        assert_eq!(fleet.executions(id), 0, "{id}");
    }
}

/// Requests tickets until `count` of them were issued by the daemon `holder`.
async fn tickets_issued_by(fleet: &Fleet, holder: usize, count: usize) -> Vec<String> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        let ticket = fleet.ticket(holder).await;
        if issuer_of(&ticket) == holder {
            tickets.push(ticket);
        }
    }
    tickets
}

/// Guards against the execution of orders that wait in the socket of a frozen dispatch daemon while their key is
/// withdrawn. Their entry daemon is frozen too, so that it cannot cancel them. When the dispatch daemon resumes, no
/// process can inform it of the withdrawal.
#[async_std::test]
async fn frozen_holder() {
    let mut fleet = Fleet::start(3, 0, 3).await;
    let relay = restart_behind_store_relay(&mut fleet, 2).await;
    fleet.wait_for_stable_owners().await;
    let tickets = tickets_issued_by(&fleet, 2, 6).await;
    let ids: Vec<String> = (0..tickets.len()).map(|index| format!("held-{index}")).collect();
    fleet.daemons[2].signal("STOP");
    let orders = join_all(ids.iter().zip(&tickets).map(|(id, ticket)| {
        let fleet = &fleet;
        async move { fleet.order(0, id, &[("order-ticket", ticket)]).await }
    }));
    let (orders, ()) = join(orders, withdraw_while_frozen(&fleet, &relay)).await;
    for answer in orders.into_iter().flatten() {
        assert_ne!(answer.outcome(), Outcome::Ran, "{answer:?}");
    }
    for daemon in 0..3 {
        wait_for("the refusal", || async {
            let answer = fleet.order(daemon, "late", &[]).await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
    }
    for id in &ids {
        assert_eq!(fleet.executions(id), 0, "{id}");
    }
}

async fn withdraw_while_frozen(fleet: &Fleet, relay: &Relay) {
    relay.set_flow(Direction::ToCaller, Flow::Hold);
    task::sleep(SOCKET_WRITE_DELAY).await;
    fleet.daemons[0].signal("STOP");
    let view = fleet.view(1).await.expect("a document");
    let answer = fleet.edit(1, "withdraw", &view, CLERK_SECTION, None).await;
    // A majority of the daemons is frozen, so the change is stored but not confirmed.
    assert!(
        answer.as_ref().is_some_and(|answer| answer.status == 202),
        "{answer:?}"
    );
    fleet.daemons[1].signal("STOP");
    fleet.daemons[2].signal("CONT");
    for _ in 0..ISOLATED_ORDERS {
        let answer = fleet.order(2, "alone", &[]).await.expect("an answer");
        assert_eq!(answer.code().as_deref(), Some("JM2004"), "{answer:?}");
        task::sleep(SOCKET_WRITE_DELAY).await;
    }
    fleet.daemons[0].signal("CONT");
    fleet.daemons[1].signal("CONT");
    relay.set_flow(Direction::ToCaller, Flow::Open);
}
