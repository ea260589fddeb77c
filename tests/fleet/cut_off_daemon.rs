//! Daemons that lose the connection to the store, to their peers or to both. Guards against a daemon that serves
//! requests although a withdrawal of their key cannot reach it, and against an outage of the store that stops the
//! whole fleet.

use std::time::Duration;

use async_std::task;
use futures::future::join;
use jm_http::Method;
use jm_standins::{Direction, Flow, PlainService, Relay, ServiceOptions};
use jm_types::Rate;

use crate::{
    harness::{Fleet, call, loopback, wait_for},
    operator::Outcome,
};

/// Rounds of requests during an outage. With [`ROUND_PAUSE`] they last longer than the freshness bound.
const OUTAGE_ROUNDS: usize = 25;
const ROUND_PAUSE: Duration = Duration::from_millis(200);

async fn add_catalogue(fleet: &Fleet) -> PlainService {
    let catalogue = PlainService::start(ServiceOptions::default())
        .await
        .expect("the service starts");
    let body = format!(
        "service = catalogue\nzone = riga-a\naddress = {}\nkind = regular\nchecks_orders = yes\n",
        catalogue.address()
    );
    fleet
        .set_section(0, "catalogue", "target catalogue-0", Some(&body))
        .await;
    fleet.wait_for_revision_everywhere().await;
    catalogue
}

/// Restarts a daemon with a relay between it and the store.
pub(crate) async fn restart_behind_store_relay(fleet: &mut Fleet, daemon: usize) -> Relay {
    let relay = Relay::start(loopback(0), fleet.platform.address(), 0)
        .await
        .expect("the relay starts");
    let (from, to) = (fleet.platform.address(), relay.address());
    fleet.daemons[daemon].kill();
    fleet.daemons[daemon].replace_address(from, to);
    fleet.daemons[daemon].restart();
    fleet.wait_until_ready().await;
    fleet.wait_until_serving().await;
    relay
}

async fn reads_catalogue(fleet: &Fleet, daemon: usize) -> bool {
    let url = fleet.caller_url(daemon, "/v1/services/catalogue/");
    let answer = call(Method::Get, &url, None, &[], b"").await;
    answer.is_some_and(|answer| answer.outcome() == Outcome::Ran)
}

async fn completion_code(fleet: &Fleet, daemon: usize) -> Option<String> {
    fleet.complete(daemon, 1).await?.code()
}

/// Guards against keyed requests that are served by a daemon without the store and without a majority of its peers. The
/// daemon must refuse keyed routes, cut keyed streams and still serve the open route. When its peers resume, it must
/// serve all routes again.
#[async_std::test]
async fn without_store_and_majority() {
    let fleet = Fleet::start(3, 2, 1).await;
    fleet.wait_for_members().await;
    let _catalogue = add_catalogue(&fleet).await;
    for daemon in 0..3 {
        wait_for("the catalogue", || reads_catalogue(&fleet, daemon)).await;
    }
    for engine in &fleet.engines {
        engine.configure(|settings| settings.stream_tokens_per_s = Rate::new(25.0));
    }
    let stream = fleet.complete(0, 1_000);
    let cut_off = async {
        let running = || fleet.engines.iter().map(|engine| engine.running()).sum::<usize>();
        wait_for("the stream", || async { running() == 1 }).await;
        fleet.platform.set_faults(|faults| faults.down = true);
        fleet.daemons[1].signal("STOP");
        fleet.daemons[2].signal("STOP");
        let refused = || async { completion_code(&fleet, 0).await.as_deref() == Some("JM2004") };
        wait_for("the refusal", refused).await;
        wait_for("the catalogue", || reads_catalogue(&fleet, 0)).await;
        let order = fleet.order(0, "order-1", &[]).await.expect("an answer");
        assert_eq!(order.code().as_deref(), Some("JM2004"), "{order:?}");
        assert_eq!(completion_code(&fleet, 0).await.as_deref(), Some("JM2004"));
    };
    let (stream, ()) = join(stream, cut_off).await;
    // The stream may have been routed to a dispatch daemon that is frozen now. It must not complete there either.
    if let Some(stream) = stream {
        assert_ne!(stream.outcome(), Outcome::Ran, "{stream:?}");
    }
    assert_eq!(fleet.executions("order-1"), 0);
    fleet.daemons[1].signal("CONT");
    fleet.daemons[2].signal("CONT");
    // The store is still down. A majority of the peers must be enough to serve again.
    fleet.wait_until_serving().await;
}

/// Guards against refused requests while the store is down for the whole fleet for longer than the freshness bound.
#[async_std::test]
async fn store_outage_for_all() {
    let fleet = Fleet::start(3, 2, 1).await;
    fleet.wait_for_stable_owners().await;
    fleet.platform.crash().await;
    for round in 0..OUTAGE_ROUNDS {
        let daemon = round % 3;
        let answer = fleet.complete(daemon, 3).await.expect("an answer");
        assert_eq!(answer.status, 200, "round {round}: {answer:?}");
        let id = format!("order-{round}");
        let answer = fleet.order(daemon, &id, &[]).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Ran, "round {round}: {answer:?}");
        task::sleep(ROUND_PAUSE).await;
    }
    fleet
        .platform
        .restart()
        .await
        .expect("the platform listens again");
}

/// Guards against a daemon that misses a withdrawal because its connection to the store is held. It must receive the
/// withdrawal from its peers.
#[async_std::test]
async fn store_link_held() {
    let mut fleet = Fleet::start(3, 1, 1).await;
    let relay = restart_behind_store_relay(&mut fleet, 2).await;
    fleet.wait_for_members().await;
    relay.set_flow(Direction::ToCaller, Flow::Hold);
    fleet.set_section(0, "withdraw", "key clerk", None).await;
    wait_for("the refusal", || async {
        completion_code(&fleet, 2).await.as_deref() == Some("JM1002")
    })
    .await;
    relay.set_flow(Direction::ToCaller, Flow::Open);
}
