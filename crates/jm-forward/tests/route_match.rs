//! Guards against a request that matches the wrong route or is attributed to the wrong organisation.

mod common;

use common::{route, table};
use jm_forward::{Access, AccessRefusal, RouteKind, ServiceWeight};

#[test]
fn longest_prefix() {
    let mut inner = route(RouteKind::NonIdempotent);
    inner.name = "inner".to_owned();
    inner.path_prefix = "/orders/new/".to_owned();
    let table = table([route(RouteKind::Idempotent), inner]);
    let name = |path: &str| table.route("desk.example", path).map(|route| route.name.clone());
    assert_eq!(name("/orders/1").as_deref(), Some("lookup"));
    assert_eq!(name("/orders/new/1").as_deref(), Some("inner"));
    assert_eq!(name("/orders/newer").as_deref(), Some("lookup"));
    assert_eq!(name("/order/1"), None);
    assert!(table.route("other.example", "/orders/1").is_none());
}

#[test]
fn keys() {
    let mut open = route(RouteKind::Idempotent);
    open.path_prefix = "/open/".to_owned();
    open.is_public = true;
    let table = table([route(RouteKind::Idempotent), open]);
    let access = |path: &str, key: Option<&str>| {
        let route = table.route("desk.example", path).unwrap();
        table.access(route, key)
    };
    let parish = Access::Organisation("parish".parse().unwrap());
    assert_eq!(access("/orders/1", Some("key-1")), Ok(parish));
    assert_eq!(access("/orders/1", Some("key-2")), Err(AccessRefusal::UnknownKey));
    assert_eq!(access("/orders/1", None), Err(AccessRefusal::MissingKey));
    assert_eq!(access("/open/1", Some("key-2")), Ok(Access::Anyone));
}

/// Guards against a retried request that is sent to another service, and against a split that ignores the weights.
#[test]
fn split_routes() {
    let mut split = route(RouteKind::Idempotent);
    split.services = vec![
        ServiceWeight {
            service: "a".parse().unwrap(),
            weight: 90,
        },
        ServiceWeight {
            service: "b".parse().unwrap(),
            weight: 10,
        },
    ];
    let at_b = (0..10_000)
        .filter(|id| split.service_for(&format!("r{id}")).unwrap().as_str() == "b")
        .count();
    assert!(
        (700..1_300).contains(&at_b),
        "{at_b} of 10,000 requests went to the service with a share of 10%"
    );
    assert_eq!(split.service_for("r7"), split.service_for("r7"));
}
