//! The stand-ins with the options that the command line parses.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use std::net::SocketAddr;

use async_std::task;
use bpaf::{OptionParser, Parser};
use common::{SEED, generate, generate_request, request, send, version};
use futures::{
    FutureExt,
    channel::oneshot::{self, Sender},
};
use jm_http::{Limits, Method};
use jm_platform::{HttpPlatform, TargetKind, TargetOrder, TargetOrders};
use jm_standins::{
    engine_arguments, expected_text, platform_arguments, run_engine, run_platform, run_service,
    service_arguments,
};
use jm_types::FencingNumber;

fn parse<T>(parser: OptionParser<T>, arguments: &[&str]) -> Option<T> {
    parser.run_inner(arguments).ok()
}

/// A running stand-in. Dropping `stop` ends it.
struct Running {
    address: SocketAddr,
    stop: Sender<()>,
    task: task::JoinHandle<std::io::Result<()>>,
}

macro_rules! start {
    ($run:ident, $options:expr) => {{
        let (ready, address) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let ready = move |address| ready.send(address).unwrap();
        let stopped = stopped.map(drop);
        let task = task::spawn($run($options, ready, stopped));
        Running {
            address: address.await.unwrap(),
            stop,
            task,
        }
    }};
}

/// Guards against options that do not reach the engine, and against an engine that keeps running after the stop.
#[async_std::test]
async fn engine() {
    let arguments = [
        "--seed",
        "7",
        "--model",
        "draft=4",
        "--order-time",
        "5ms",
        "--ignore-fencing",
    ];
    let options = parse(engine_arguments().to_options(), &arguments).unwrap();
    assert!(!options.settings.check_fencing);
    assert_eq!(options.settings.order_time_ms.get(), 5);
    let running = start!(run_engine, options);
    let answer = generate(running.address, &generate_request("p", 5, 0)).await;
    assert_eq!(answer.text(), expected_text(SEED, "p", 0, 5));
    assert_eq!(answer.done[0].segments[0].version, version(4));
    drop(running.stop);
    running.task.await.unwrap();
    let load = request(Method::Get, running.address, "/v1/load");
    assert!(common::try_send(load).await.is_err());
}

/// Guards against options that do not reach the platform.
#[async_std::test]
async fn platform() {
    let arguments = [
        "--spare",
        "t1,riga-a,cheap,127.0.0.1:9",
        "--ignore-fencing",
        "--lose-every",
        "3",
    ];
    let options = parse(platform_arguments().to_options(), &arguments).unwrap();
    assert_eq!(options.faults.lose_every, 3);
    let running = start!(run_platform, options);
    let client = HttpPlatform::new(running.address, Limits::default());
    let order = |id: &str, fencing| TargetOrder {
        order_id: id.to_owned(),
        service: "drafts".parse().unwrap(),
        zone: "riga-a".parse().unwrap(),
        kind: TargetKind::Cheap,
        fencing: FencingNumber::new(fencing),
    };
    let target = client.order(&order("o1", 2)).await.unwrap();
    assert_eq!(target.id.as_str(), "t1");
    client.release(&target.id, FencingNumber::new(1)).await.unwrap();
}

/// Guards against options that do not reach the service.
#[async_std::test]
async fn service() {
    let options = parse(
        service_arguments().to_options(),
        &["--name", "slips", "--work", "1ms"],
    )
    .unwrap();
    assert_eq!(options.processing_time_ms.get(), 1);
    let running = start!(run_service, options);
    let mut answer = send(request(Method::Get, running.address, "/")).await;
    assert!(answer.body_string().await.unwrap().contains("slips"));
}

/// Guards against invalid values that the parser accepts.
#[test]
fn wrong_values() {
    let engine = |arguments: &[&str]| parse(engine_arguments().to_options(), arguments).is_none();
    assert!(engine(&["--model", "draft"]));
    assert!(engine(&["--model", "draft=x"]));
    assert!(engine(&["--order-time", "5"]));
    let platform = |arguments: &[&str]| parse(platform_arguments().to_options(), arguments).is_none();
    assert!(platform(&["--spare", "t1,riga-a,cheap"]));
    assert!(platform(&["--spare", "t1,riga-a,free,127.0.0.1:9"]));
    assert!(platform(&["--delay", "soon"]));
}
