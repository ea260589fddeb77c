//! Guards against engines that keep old weights, and against concurrent orders of two lease holders to one engine.

mod common;

use std::collections::BTreeMap;

use common::{Daemon, WallClock, store_config};
use jm_control::ControlDuty;
use jm_platform::MemoryPlatform;
use jm_standins::{Engine, EngineOptions};
use jm_types::{DurationMs, Incarnation, ModelId, WeightVersion};

const OLD: WeightVersion = WeightVersion::new(1);
const NEW: WeightVersion = WeightVersion::new(2);

/// Maximum number of rounds of a rollout. Each round advances the clock of the daemon by [`ROUND_MS`].
const MAX_ROUNDS: usize = 200;
const ROUND_MS: DurationMs = DurationMs::new(200);

const SERVICE: &str = "\
[service drafts]
kind = engine
model = rack-small
access = keyed
timeout = 2m
";

fn model() -> ModelId {
    "rack-small".parse().unwrap()
}

/// An engine with its zone and its `checks_orders` setting in the configuration.
struct ZoneEngine {
    engine: Engine,
    zone: &'static str,
    checks_orders: bool,
}

async fn start_engine(zone: &'static str, checks_orders: bool) -> ZoneEngine {
    let mut options = EngineOptions {
        models: BTreeMap::from([(model(), OLD)]),
        ..EngineOptions::default()
    };
    options.settings.check_fencing = checks_orders;
    ZoneEngine {
        engine: Engine::start(options).await.unwrap(),
        zone,
        checks_orders,
    }
}

async fn new_platform(engines: &[ZoneEngine]) -> MemoryPlatform {
    let mut text = SERVICE.to_owned();
    for zone in ["riga-a", "riga-b"] {
        text += &format!("[zone {zone}]\nregion = baltic-north\n");
    }
    for (number, zone_engine) in engines.iter().enumerate() {
        let (zone, address) = (zone_engine.zone, zone_engine.engine.address());
        let checks = if zone_engine.checks_orders { "yes" } else { "no" };
        text += &format!("[target engine-{number}]\nservice = drafts\nzone = {zone}\naddress = {address}\n");
        text += &format!("kind = regular\nchecks_orders = {checks}\n");
    }
    let platform = MemoryPlatform::default();
    store_config(&platform, &text).await;
    platform.publish_weights(model(), OLD, vec![1]);
    platform.publish_weights(model(), NEW, vec![2]);
    platform
}

async fn new_daemon(id: &str, platform: &MemoryPlatform) -> Daemon {
    let daemon = Daemon::new(id, platform, &WallClock::default());
    daemon.load_config().await;
    daemon
}

/// Runs rounds until `is_done` returns `true`. Returns `false` if that does not happen within [`MAX_ROUNDS`].
async fn run_until(daemon: &Daemon, mut is_done: impl FnMut() -> bool) -> bool {
    for _ in 0..MAX_ROUNDS {
        if is_done() {
            return true;
        }
        daemon.control.run_once(ControlDuty::Weights).await;
        daemon.clock.advance(ROUND_MS);
    }
    false
}

fn all_loaded(engines: &[ZoneEngine], version: WeightVersion) -> bool {
    engines
        .iter()
        .all(|zone_engine| zone_engine.engine.version(&model()) == Some(version))
}

/// Guards against a failed swap that counts as done or is not retried.
#[async_std::test]
async fn failing_swaps() {
    let mut engines = Vec::new();
    for number in 0..6 {
        let zone_engine = start_engine("riga-a", true).await;
        let failing_orders = if number % 2 == 0 { 2 } else { 0 };
        zone_engine
            .engine
            .configure(|settings| settings.failing_orders = failing_orders);
        engines.push(zone_engine);
    }
    let platform = new_platform(&engines).await;
    let daemon = new_daemon("control-a", &platform).await;
    assert!(run_until(&daemon, || all_loaded(&engines, NEW)).await);
    for (number, zone_engine) in engines.iter().enumerate() {
        let expected = if number % 2 == 0 { 3 } else { 1 };
        assert_eq!(zone_engine.engine.orders().len(), expected, "engine {number}");
    }
}

/// Guards against an engine that loses its version after the rollout and does not get it again.
#[async_std::test]
async fn restarted_engine() {
    let engines = [start_engine("riga-a", true).await];
    let platform = new_platform(&engines).await;
    let daemon = new_daemon("control-a", &platform).await;
    assert!(run_until(&daemon, || all_loaded(&engines, NEW)).await);
    engines[0].engine.set_version(model(), OLD);
    assert!(run_until(&daemon, || all_loaded(&engines, NEW)).await);
}

/// Guards against an order to an engine that ignores fencing numbers while an order of the previous holder may still
/// take effect.
#[async_std::test]
async fn new_holder_waits() {
    let engines = [
        start_engine("riga-a", true).await,
        start_engine("riga-a", false).await,
    ];
    let platform = new_platform(&engines).await;
    let first = new_daemon("control-a", &platform).await;
    let second = new_daemon("control-b", &platform).await;
    assert!(run_until(&first, || all_loaded(&engines, NEW)).await);
    platform.publish_weights(model(), WeightVersion::new(3), vec![3]);
    let [checking, ignoring] = &engines;
    let has_newest =
        |zone_engine: &ZoneEngine| zone_engine.engine.version(&model()) == Some(WeightVersion::new(3));
    second.control.run_once(ControlDuty::Weights).await;
    // The term of the first holder ends, but the 5 s in which its last order can take effect do not.
    second.clock.advance(DurationMs::new(10_000));
    assert!(run_until(&second, || has_newest(checking)).await);
    assert_eq!(
        ignoring.engine.orders().len(),
        1,
        "ordered while an earlier order could still take effect"
    );
    assert!(run_until(&second, || has_newest(ignoring)).await);
    let waited = second.node.now().get() - 1_000_000;
    assert!(waited >= 15_000, "the new holder waited for only {waited} ms");
    let fencing: Vec<_> = ignoring
        .engine
        .orders()
        .iter()
        .map(|received| received.order.fencing)
        .collect();
    assert!(fencing.is_sorted() && fencing.len() == 2, "{fencing:?}");
}

/// Guards against one daemon that acquires the leases of all zones while other zones have their own control daemon.
#[async_std::test]
async fn zones_are_shared() {
    let engines = [
        start_engine("riga-a", true).await,
        start_engine("riga-b", true).await,
    ];
    let platform = new_platform(&engines).await;
    let daemon = new_daemon("control-a", &platform).await;
    let mut other = daemon.node.peers.own_record();
    other.id = "control-b".parse().unwrap();
    other.zone = "riga-b".parse().unwrap();
    other.incarnation = Incarnation::new(1);
    daemon
        .node
        .peers
        .set_registered(vec![other], daemon.node.now(), daemon.node.now());
    daemon.control.run_once(ControlDuty::Weights).await;
    assert_eq!(daemon.control.held_leases(), ["weights-riga-a"]);
    // The other daemon no longer answers, so this daemon also acquires the lease of its zone.
    daemon.clock.advance(DurationMs::new(5_000));
    daemon.control.run_once(ControlDuty::Weights).await;
    assert_eq!(daemon.control.held_leases(), ["weights-riga-a", "weights-riga-b"]);
    assert!(run_until(&daemon, || all_loaded(&engines, NEW)).await);
}

/// Guards against a planned stop after which the next holder has to wait for the end of the term.
#[async_std::test]
async fn released_at_stop() {
    let engines = [start_engine("riga-a", true).await];
    let platform = new_platform(&engines).await;
    let first = new_daemon("control-a", &platform).await;
    let second = new_daemon("control-b", &platform).await;
    first.control.run_once(ControlDuty::Weights).await;
    first.control.release_leases().await;
    assert!(first.control.held_leases().is_empty());
    second.control.run_once(ControlDuty::Weights).await;
    assert_eq!(second.control.held_leases()[0], "weights-riga-a");
}
