//! Keys that are withdrawn under traffic. Guards against a key that goes on working, on open connections too, and against
//! a key that reaches a target.

use std::time::Duration;

use async_std::{io::ReadExt, io::WriteExt, net::TcpStream, task};
use futures::future::{join, join_all};
use jm_http::Method;
use jm_standins::{Direction, Flow, Relay};
use jm_types::Rate;

use crate::{
    cut_off_daemon::store_relay,
    harness::{Answer, CLERK_KEY, Fleet, TRAINER_KEY, call, loopback, wait_for},
    operator::{Said, issuer_of},
};

/// Longer than the freshness time, so that a daemon that was frozen cannot be fresh by what it knew before.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Tokens of four streams of the same rate after which each has begun at its caller.
const MID_STREAM: u64 = 60;

/// Time for requests to reach the socket of a frozen daemon. Too short a time only makes the test weaker.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Answers of a daemon on its own, during which its dispatch daemon reads what waits in its sockets.
const ALONE_ROUNDS: usize = 5;

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

async fn wait_refused_everywhere(fleet: &Fleet) {
    for daemon in 0..fleet.daemons.len() {
        wait_for("the refusal", || async move {
            let answer = fleet.complete(daemon, 1).await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
    }
}

/// Streams are open at every daemon when the key is withdrawn through one of them: each body ends as cut, the engines
/// stop, and the stream of another key goes on to its end.
#[async_std::test]
async fn open_streams_are_cut() {
    let fleet = Fleet::start(3, 2, 1).await;
    slow_engines(&fleet);
    let streams = join_all((0..3).map(|daemon| fleet.complete(daemon, 1_000)));
    let other = complete_with(&fleet, 0, TRAINER_KEY, 150);
    let withdraw = async {
        wait_for("the streams", || async {
            running(&fleet) == 4 && generated(&fleet) >= MID_STREAM
        })
        .await;
        fleet.set_section(1, "withdraw", CLERK_SECTION, None).await;
    };
    let (streams, other, ()) = futures::join!(streams, other, withdraw);
    for answer in streams {
        let answer = answer.expect("an answer has begun");
        assert_eq!(answer.status, 200);
        assert!(answer.body.is_err(), "the body ended as whole: {answer:?}");
    }
    let other = other.expect("an answer");
    assert_eq!(other.text().lines().count(), 151);
    wait_for("the engines", || async { running(&fleet) == 0 }).await;
    wait_refused_everywhere(&fleet).await;
}

/// Callers put their key where a target would see it, in several spellings; nothing of it arrives anywhere.
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
        assert_eq!(answer.said(), Said::Ran, "{answer:?}");
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

/// The head and half of the body of an order.
async fn half_order(fleet: &Fleet, daemon: usize) -> TcpStream {
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

/// An entry host is frozen while a key is withdrawn, and finds the store and the other daemons when it goes on.
#[async_std::test]
async fn frozen_over_withdrawal() {
    let fleet = Fleet::start(3, 3, 3).await;
    fleet.wait_members().await;
    freeze_over_withdrawal(&fleet, None).await;
}

/// The same while its link to the store is held and the other daemons are frozen in their turn: nobody tells the daemon
/// of the withdrawal, not even an answer in its sockets, and it owns a target of each service itself.
#[async_std::test]
async fn frozen_then_alone() {
    let mut fleet = Fleet::start(3, 3, 3).await;
    let relay = store_relay(&mut fleet, 2).await;
    fleet.wait_members().await;
    freeze_over_withdrawal(&fleet, Some(&relay)).await;
}

/// Freezes daemon 2 over the withdrawal. Requests that wait in its sockets, and some whose body arrives during the freeze,
/// must not run when it goes on. With `alone`, the relay to its store, it finds
/// neither the store nor the others when it goes on.
async fn freeze_over_withdrawal(fleet: &Fleet, alone: Option<&Relay>) {
    let mut half = Vec::new();
    for _ in 0..8 {
        half.push(half_order(fleet, 2).await);
    }
    // An answer at the same daemon shows that it has had the time to read the heads.
    assert!(
        fleet
            .complete(2, 1)
            .await
            .is_some_and(|answer| answer.status == 200)
    );
    fleet.daemons[2].signal("STOP");
    if let Some(relay) = alone {
        relay.set_flow(Direction::ToCaller, Flow::Hold);
    }
    for connection in &mut half {
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
        task::sleep(FREEZE).await;
        if alone.is_some() {
            fleet.daemons[0].signal("STOP");
            fleet.daemons[1].signal("STOP");
        }
        fleet.daemons[2].signal("CONT");
    };
    let ((orders, streams), ()) = join(waiting, withdraw).await;
    for answer in orders.into_iter().chain(streams).flatten() {
        assert_ne!(answer.said(), Said::Ran, "{answer:?}");
    }
    for mut connection in half {
        let mut answer = [0; 64];
        let read = connection.read(&mut answer).await.unwrap_or(0);
        let status = String::from_utf8_lossy(&answer[..read]).into_owned();
        assert!(!status.starts_with("HTTP/1.1 200"), "{status}");
    }
    if let Some(relay) = alone {
        relay.set_flow(Direction::ToCaller, Flow::Open);
        fleet.daemons[0].signal("CONT");
        fleet.daemons[1].signal("CONT");
    }
    wait_refused_everywhere(fleet).await;
    for id in ids.iter().map(String::as_str).chain(["half-one"]) {
        assert_eq!(fleet.executions(id), 0, "{id}");
    }
}

/// Tickets that one daemon issued.
async fn tickets_of(fleet: &Fleet, holder: usize, count: usize) -> Vec<String> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        let ticket = fleet.ticket(holder).await;
        if issuer_of(&ticket) == holder {
            tickets.push(ticket);
        }
    }
    tickets
}

/// Orders wait in the socket of a frozen dispatch daemon while their key is withdrawn, and their entry daemon is frozen
/// too, so that nobody cancels them. Nobody tells the dispatch daemon of the withdrawal when it goes on.
#[async_std::test]
async fn frozen_holder() {
    let mut fleet = Fleet::start(3, 0, 3).await;
    let relay = store_relay(&mut fleet, 2).await;
    fleet.wait_settled().await;
    let tickets = tickets_of(&fleet, 2, 6).await;
    let ids: Vec<String> = (0..tickets.len()).map(|index| format!("held-{index}")).collect();
    fleet.daemons[2].signal("STOP");
    let orders = join_all(ids.iter().zip(&tickets).map(|(id, ticket)| {
        let fleet = &fleet;
        async move { fleet.order(0, id, &[("order-ticket", ticket)]).await }
    }));
    let (orders, ()) = join(orders, withdraw_while_frozen(&fleet, &relay)).await;
    for answer in orders.into_iter().flatten() {
        assert_ne!(answer.said(), Said::Ran, "{answer:?}");
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
    task::sleep(WRITE_TIME).await;
    fleet.daemons[0].signal("STOP");
    let view = fleet.view(1).await.expect("a document");
    let answer = fleet.edit(1, "withdraw", &view, CLERK_SECTION, None).await;
    // A majority is frozen, so the change is stored and not confirmed.
    assert!(
        answer.as_ref().is_some_and(|answer| answer.status == 202),
        "{answer:?}"
    );
    fleet.daemons[1].signal("STOP");
    fleet.daemons[2].signal("CONT");
    for _ in 0..ALONE_ROUNDS {
        let answer = fleet.order(2, "alone", &[]).await.expect("an answer");
        assert_eq!(answer.code().as_deref(), Some("JM2004"), "{answer:?}");
        task::sleep(WRITE_TIME).await;
    }
    fleet.daemons[0].signal("CONT");
    fleet.daemons[1].signal("CONT");
    relay.set_flow(Direction::ToCaller, Flow::Open);
}
