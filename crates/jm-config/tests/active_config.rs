//! Lookups on the request path. Guards against routes that a caller can bypass by encoding the path differently.

use std::sync::Arc;

use jm_config::{ActiveConfig, Document, KeySecret, MethodFilter, Route};
use jm_http::Method;
use jm_types::{OrganisationId, Revision, ServiceId, TargetId};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SAMPLE: &str = include_str!("../../../config/document.ini");

fn compile(text: &str) -> Arc<ActiveConfig> {
    let document = Document::parse("document.ini", text).expect("a valid document");
    ActiveConfig::compile(Revision::new(7), document)
}

fn service(id: &str) -> ServiceId {
    ServiceId::new(id).expect("an id")
}

fn organisation(id: &str) -> OrganisationId {
    OrganisationId::new(id).expect("an id")
}

fn route_id(config: &ActiveConfig, service_id: &str, method: Method, path: &str) -> Option<String> {
    let route = config.route(&service(service_id), method, path);
    route.map(|route| route.id.clone())
}

#[test]
fn key_is_found_by_its_hash_only() {
    let config = compile(SAMPLE);
    let secret = KeySecret::from_text("sample-key-of-parish-desk");
    let key = config.key(&secret.hash()).expect("a sample key");
    assert_eq!(key.organisation, organisation("parish"));
    assert!(
        config
            .key(&KeySecret::from_text("sample-key-of-parish-desk ").hash())
            .is_none()
    );
    assert!(config.key(&KeySecret::from_text("").hash()).is_none());
    assert!(!format!("{config:?}").contains("sample-key-of"));
}

#[test]
fn services_targets_and_shares() {
    let config = compile(SAMPLE);
    assert_eq!(config.revision(), Revision::new(7));
    assert!(config.service(&service("drafts")).is_some());
    assert!(config.service(&service("none")).is_none());
    let targets: Vec<_> = config
        .targets_of(&service("drafts"))
        .map(|target| target.id.as_str())
        .collect();
    assert_eq!(targets, ["draft-a", "draft-b", "draft-c"]);
    assert_eq!(config.targets_of(&service("none")).count(), 0);
    assert!(config.target(&TargetId::new("desk-a").expect("an id")).is_some());
    let shares: Vec<_> = config
        .sharings_of(&service("drafts"))
        .iter()
        .map(|sharing| (sharing.organisation.as_str(), sharing.weight.get()))
        .collect();
    assert_eq!(shares, [("kurpju", 1.0), ("parish", 2.0)]);
    assert!(config.sharings_of(&service("order-desk")).is_empty());
    assert!(
        config
            .training(&organisation("kurpju"), &service("drafts"))
            .is_some()
    );
    assert!(
        config
            .training(&organisation("parish"), &service("drafts"))
            .is_none()
    );
}

#[test]
fn longest_prefix_takes_precedence_and_unmatched_calls_are_refused() {
    let config = compile(SAMPLE);
    let desk = |method, path| route_id(&config, "order-desk", method, path);
    assert_eq!(desk(Method::Post, "/orders"), Some("place-order".to_owned()));
    assert_eq!(desk(Method::Post, "/orders/7/"), Some("place-order".to_owned()));
    assert_eq!(desk(Method::Get, "/orders/7"), Some("read-order".to_owned()));
    assert_eq!(desk(Method::Post, "/quotes"), Some("quote".to_owned()));
    assert_eq!(desk(Method::Put, "/orders"), None);
    assert_eq!(desk(Method::Post, "/orders-old"), None);
    assert_eq!(desk(Method::Post, "/"), None);
    assert_eq!(
        route_id(&config, "catalogue", Method::Get, "/a/b"),
        Some("catalogue".to_owned())
    );
    assert_eq!(
        route_id(&config, "catalogue", Method::Get, "/"),
        Some("catalogue".to_owned())
    );
}

const GUARDED: &str = "\
[organisation acme]
[service desk]
kind = plain
access = keyed
timeout = 1s
[route open]
service = desk
method = any
path = /
organisations = all
[route guarded]
service = desk
method = any
path = /books/secret
organisations = acme
[route post]
service = desk
method = POST
path = /books/secret
organisations = acme
";

#[test]
fn encoded_path_does_not_bypass_a_longer_route() {
    let config = compile(GUARDED);
    for path in [
        "/books/secret",
        "/books/secret/",
        "/books/%73ecret",
        "/%62ooks/secret/x",
    ] {
        assert_eq!(
            route_id(&config, "desk", Method::Get, path),
            Some("guarded".to_owned()),
            "{path}"
        );
        assert_eq!(
            route_id(&config, "desk", Method::Post, path),
            Some("post".to_owned()),
            "{path}"
        );
    }
    for path in [
        "/books//secret",
        "//books/secret",
        "/x/../books/secret",
        "/./books/secret",
        "/x/%2e%2e/books/secret",
        "/books%2fsecret",
        "/books%2Fsecret",
        "/books\\secret",
        "/books%5csecret",
        "/books/%2573ecret",
        "/books/secret%00",
        "/books;x/secret",
        "/books/%+73ecret",
        "books/secret",
        "",
    ] {
        assert_eq!(route_id(&config, "desk", Method::Get, path), None, "{path}");
    }
}

#[test]
fn method_determines_repeatable_unless_set() {
    let config = compile(SAMPLE);
    let repeatable = |service_id: &str, method, path| {
        let route = config.route(&service(service_id), method, path);
        route.expect("a route").is_repeatable(method)
    };
    assert!(!repeatable("order-desk", Method::Post, "/orders"));
    assert!(repeatable("order-desk", Method::Post, "/quotes"));
    assert!(repeatable("order-desk", Method::Get, "/orders"));
    let guarded = compile(GUARDED);
    let open = guarded
        .route(&service("desk"), Method::Patch, "/x")
        .expect("a route");
    assert!(!open.is_repeatable(Method::Patch) && open.is_repeatable(Method::Put));
}

/// Random path of up to three segments. The segments are drawn from three words, so that many paths share prefixes.
#[derive(Debug, Clone)]
struct Path(String);

impl Arbitrary for Path {
    fn arbitrary(g: &mut Gen) -> Self {
        let depth = usize::arbitrary(g) % 4;
        let words: Vec<_> = (0..depth)
            .map(|_| *g.choose(&["a", "b", "ab"]).expect("a word"))
            .collect();
        Self(format!("/{}", words.join("/")))
    }
}

/// Reference implementation: compares the path as text with every route.
fn naive_route<'a>(document: &'a Document, path: &str) -> Option<&'a Route> {
    let matches = |route: &&Route| {
        let prefix = route.path.to_string();
        let slash = if prefix.ends_with('/') {
            prefix
        } else {
            format!("{prefix}/")
        };
        format!("{path}/").starts_with(&slash) && route.method == MethodFilter::Any
    };
    document
        .routes
        .values()
        .filter(matches)
        .max_by_key(|route| route.path.depth())
}

#[test]
fn route_equals_naive_search() {
    fn property(prefixes: Vec<Path>, path: Path) -> bool {
        let mut text = "[service s]\nkind = plain\naccess = open\ntimeout = 1s\n".to_owned();
        let mut distinct: Vec<String> = prefixes.into_iter().map(|prefix| prefix.0).collect();
        distinct.sort();
        distinct.dedup();
        for (index, prefix) in distinct.iter().enumerate() {
            text += &format!(
                "[route r{index}]\nservice = s\nmethod = any\npath = {prefix}\norganisations = all\n"
            );
        }
        let config = compile(&text);
        config.route(&service("s"), Method::Get, &path.0) == naive_route(config.document(), &path.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 0x6a6d_0003))
        .tests(500)
        .quickcheck(property as fn(Vec<Path>, Path) -> bool);
}
