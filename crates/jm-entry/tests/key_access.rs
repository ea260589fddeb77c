//! Authentication and authorization of calls, and the information about the caller that reaches a target.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, KEY_A, KEY_B, body, completion, get, order, post};
use jm_types::ResultCode;

/// Guards against keyed calls that are accepted without a valid key.
#[async_std::test]
async fn keyed_service_needs_key() {
    let fixture = Fixture::start(1).await;
    fixture
        .assert_refused(completion(None), ResultCode::MissingKey)
        .await;
    fixture
        .assert_refused(completion(Some("wrong")), ResultCode::UnknownKey)
        .await;
    let mut basic = completion(None);
    basic.insert_header("authorization", format!("Basic {KEY_A}"));
    fixture.assert_refused(basic, ResultCode::MissingKey).await;
    let mut two = completion(Some(KEY_A));
    two.append_header("authorization", format!("Bearer {KEY_B}"));
    fixture.assert_refused(two, ResultCode::MissingKey).await;
    let ticket = post("/v1/tickets", None, r#"{"service":"desk"}"#);
    fixture.assert_refused(ticket, ResultCode::MissingKey).await;
    assert!(fixture.executed().is_empty());
}

/// Guards against calls of an organisation that the route does not allow, and against calls that no route matches.
#[async_std::test]
async fn route_determines_access() {
    let fixture = Fixture::start(1).await;
    let refused = [
        (
            post("/v1/services/desk/orders", Some(KEY_B), ""),
            ResultCode::RouteNotAllowed,
        ),
        (
            get("/v1/services/desk/secret", Some(KEY_A)),
            ResultCode::RouteNotAllowed,
        ),
        (
            get("/v1/services/desk/orders", Some(KEY_A)),
            ResultCode::RouteNotAllowed,
        ),
        (
            post("/v1/services/gen/v1/completions", Some(KEY_A), ""),
            ResultCode::UnknownService,
        ),
        (
            get("/v1/services/none/x", Some(KEY_A)),
            ResultCode::UnknownService,
        ),
        (get("/v2/other", Some(KEY_A)), ResultCode::UnknownEndpoint),
        (get("/v1/completions", Some(KEY_A)), ResultCode::MethodNotAllowed),
    ];
    for (request, code) in refused {
        fixture.assert_refused(request, code).await;
    }
    assert!(fixture.executed().is_empty());
}

/// Guards against an organisation that is read from a header of the caller, and against forwarded headers that are not
/// on the allow-list.
#[async_std::test]
async fn organisation_comes_from_key() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 target-1 | chunk ok | done");
    let mut request = order(None);
    request.insert_header("organisation", "org-b");
    request.insert_header("jm-organisation", "org-b");
    request.insert_header("accept", "text/plain");
    assert_eq!(fixture.text(request).await, "ok");
    let (_, executed) = fixture.executed().remove(0);
    assert_eq!(executed.organisation.unwrap().as_str(), "org-a");
    assert_eq!(executed.key.unwrap().as_str(), "key-a");
    assert_eq!(executed.head.path, "/orders");
    let names = executed.head.headers.iter().map(|line| line.name.as_str());
    assert!(
        names
            .clone()
            .all(|name| name == "accept" || name.starts_with("content-")),
        "{names:?}"
    );
}

/// Guards against a key that reaches a target.
#[async_std::test]
async fn key_never_forwarded() {
    let fixture = Fixture::start(1).await;
    let in_query = post(&format!("/v1/services/desk/orders?k={KEY_A}"), Some(KEY_A), "");
    let in_body = post("/v1/services/desk/orders", Some(KEY_A), KEY_A);
    let prompt = format!(r#"{{"service":"gen","prompt":"{KEY_A}","max_tokens":1}}"#);
    let in_prompt = post("/v1/completions", Some(KEY_A), &prompt);
    let in_open_query = get(&format!("/v1/services/catalogue/x?k={KEY_A}"), Some(KEY_A));
    for request in [in_query, in_body, in_prompt, in_open_query] {
        fixture.assert_refused(request, ResultCode::KeyInRequest).await;
    }
    assert!(fixture.executed().is_empty());
}

/// Guards against an open service that uses, needs or forwards a key.
#[async_std::test]
async fn open_service_requires_no_key() {
    let fixture = Fixture::start(1).await;
    for key in [None, Some("nonsense"), Some(KEY_A)] {
        fixture.add_answer("head 200 target-1 | chunk list | done");
        let answer = fixture.send(get("/v1/services/catalogue/list?page=2", key)).await;
        assert!(answer.header("jm-target").is_none());
        assert_eq!(body(answer).await.unwrap(), "list");
    }
    for (_, executed) in fixture.executed() {
        assert_eq!((executed.organisation, executed.key), (None, None));
        assert_eq!(executed.head.path, "/list?page=2");
        assert!(
            executed
                .head
                .headers
                .iter()
                .all(|line| line.name != "authorization")
        );
    }
}
