//! Orders with an old fencing number, with and without the fencing check.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use common::{engine, model, order_version, version};
use jm_http::StatusCode;
use jm_standins::OrderAnswer;
use jm_types::FencingNumber;

/// Guards against an engine that applies an order from a control daemon whose lease has passed to another daemon.
#[async_std::test]
async fn refuses_old_number() {
    let engine = engine().await;
    let newest = FencingNumber::new(5);
    order_version(engine.address(), 2, 5).await;
    let (status, answer) = order_version(engine.address(), 3, 4).await;
    assert_eq!(status, StatusCode::Conflict);
    assert_eq!(answer, OrderAnswer::StaleFencing { newest });
    assert_eq!(engine.version(&model()), Some(version(2)));
    let accepted: Vec<_> = engine.orders().iter().map(|order| order.accepted).collect();
    assert_eq!(accepted, [true, false]);
}

/// Guards against an ineffective `check_fencing` setting. The tests of the lease wait need an engine that ignores the
/// fencing number.
#[async_std::test]
async fn ignores_old_number() {
    let engine = engine().await;
    engine.configure(|settings| settings.check_fencing = false);
    order_version(engine.address(), 2, 5).await;
    let (status, _) = order_version(engine.address(), 3, 4).await;
    assert_eq!(status, StatusCode::Ok);
    assert_eq!(engine.version(&model()), Some(version(3)));
}

/// Guards against a failed order that still changes the version.
#[async_std::test]
async fn failed_order() {
    let engine = engine().await;
    engine.configure(|settings| settings.failing_orders = 1);
    let (status, answer) = order_version(engine.address(), 2, 1).await;
    assert_eq!(
        (status, answer),
        (StatusCode::InternalServerError, OrderAnswer::Failed)
    );
    assert_eq!(engine.version(&model()), Some(version(1)));
    let (status, _) = order_version(engine.address(), 2, 1).await;
    assert_eq!(status, StatusCode::Ok);
}
