//! The endpoints for operators.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use std::sync::Arc;

use common::{
    ADMIN_TOKEN, Fixture, KEY_A, SALES_TOKEN, body, change, code_of, completion, get, json_answer, order,
    post, removal, wait_until,
};
use jm_config::{Author, Change, Edit, Team};
use jm_entry::{Entry, EntryOptions};
use jm_http::{Connection, Request, Response};
use jm_types::{DurationMs, ResultCode, Revision};
use serde_json::{Value, json};

async fn send(entry: &Arc<Entry>, request: Request) -> Response {
    entry
        .admin_handler()
        .handle(request, &Connection { peer: None })
        .await
}

async fn admin(entry: &Arc<Entry>, request: Request) -> (u16, Value) {
    json_answer(send(entry, request).await).await
}

async fn assert_refused(entry: &Arc<Entry>, request: Request, code: ResultCode) {
    assert_eq!(code_of(&admin(entry, request).await.1), code);
}

fn proposal(change: &Change, token: &str) -> Request {
    post(
        "/admin/v1/config",
        Some(token),
        &serde_json::to_string(change).unwrap(),
    )
}

fn organisation(id: &str, name: &str, expected: Option<Revision>) -> Edit {
    Edit {
        section: format!("organisation {id}").parse().unwrap(),
        expected,
        body: Some(format!("name = {name}\n").parse().unwrap()),
    }
}

/// Starts a second entry daemon on the same store.
async fn second(fixture: &Fixture) -> Arc<Entry> {
    let (node, _) = common::node("entry-2", &fixture.server, &fixture.clock).await;
    Entry::new(node, EntryOptions::default())
}

/// Guards against an admin API that accepts requests without a token or with a caller's key.
#[async_std::test]
async fn token_is_required() {
    let fixture = Fixture::start(0).await;
    let paths = ["config", "config/history", "status", "report/burn", "other"];
    for path in paths.map(|path| format!("/admin/v1/{path}")) {
        for (key, code) in [
            (None, ResultCode::MissingKey),
            (Some(KEY_A), ResultCode::UnknownKey),
        ] {
            assert_refused(&fixture.entry, get(&path, key), code).await;
        }
    }
    for path in ["/healthz", "/readyz", "/metrics"] {
        assert!(send(&fixture.entry, get(path, None)).await.status().is_success());
    }
}

/// Guards against a team that changes the sections of another team by stating that team as the author of the change.
#[async_std::test]
async fn token_sets_team() {
    let fixture = Fixture::start(0).await;
    let mut foreign = change("foreign", vec![removal(&fixture.node, "route quote")]);
    foreign.author.team = None;
    assert_refused(
        &fixture.entry,
        proposal(&foreign, SALES_TOKEN),
        ResultCode::WrongTeam,
    )
    .await;
    let own = Change {
        author: Author {
            actor: "clerk".to_owned(),
            team: Some(Team::Software),
        },
        ..change("own", vec![organisation("org-c", "Third", None)])
    };
    let (status, content) = admin(&fixture.entry, proposal(&own, SALES_TOKEN)).await;
    assert_eq!((status, content), (200, json!({"revision": 2, "in_force": true})));
    let (_, history) = admin(&fixture.entry, get("/admin/v1/config/history", Some(ADMIN_TOKEN))).await;
    assert_eq!(history[1]["author"], json!({"actor": "clerk", "team": "sales"}));
}

/// Guards against concurrent changes at two daemons that overwrite each other, and against a conflict between changes
/// of different sections.
#[async_std::test]
async fn racing_operators() {
    let fixture = Fixture::start(0).await;
    let other = second(&fixture).await;
    let same = ["a", "b"].map(|id| change(id, vec![organisation("org-c", id, None)]));
    let (first, second) = futures::join!(
        admin(&fixture.entry, proposal(&same[0], ADMIN_TOKEN)),
        admin(&other, proposal(&same[1], ADMIN_TOKEN)),
    );
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let different = ["d", "e"].map(|id| change(id, vec![organisation(&format!("org-{id}"), id, None)]));
    let (first, second) = futures::join!(
        admin(&fixture.entry, proposal(&different[0], ADMIN_TOKEN)),
        admin(&other, proposal(&different[1], ADMIN_TOKEN)),
    );
    assert_eq!((first.0, second.0), (200, 200));
    let views = || async {
        let path = "/admin/v1/config";
        let first = admin(&fixture.entry, get(path, Some(ADMIN_TOKEN))).await;
        (first, admin(&other, get(path, Some(SALES_TOKEN))).await)
    };
    wait_until(|| fixture.node.config.revision() == Revision::new(4)).await;
    while views().await.1.1["revision"] != 4 {}
    let (one, two) = views().await;
    assert_eq!(one, two);
}

/// Guards against a change that is accepted while the store is down or the configuration may be outdated, and against a
/// change that is reported as in force before a majority has applied it.
#[async_std::test]
async fn unconfirmed_changes() {
    let fixture = Fixture::start(2).await;
    let add = change("add", vec![organisation("org-c", "Third", None)]);
    fixture.set_down(true);
    assert_refused(
        &fixture.entry,
        proposal(&add, ADMIN_TOKEN),
        ResultCode::StoreUnavailable,
    )
    .await;
    fixture.lose_freshness().await;
    assert_refused(&fixture.entry, proposal(&add, ADMIN_TOKEN), ResultCode::NotFresh).await;
    assert_eq!(send(&fixture.entry, get("/readyz", None)).await.status(), 503);
    fixture.set_down(false);
    wait_until(|| fixture.node.is_fresh()).await;
    // Registers the other daemons anew, so that none of them has reported an applied revision.
    fixture
        .node
        .peers
        .set_registered(Vec::new(), fixture.node.now(), fixture.node.now());
    let records = fixture.dispatchers.iter().map(|fake| fake.record()).collect();
    fixture
        .node
        .peers
        .set_registered(records, fixture.node.now(), fixture.node.now());
    let (status, content) = admin(&fixture.entry, proposal(&add, ADMIN_TOKEN)).await;
    assert_eq!(
        (status, &content["in_force"], &content["revision"]),
        (202, &json!(false), &json!(2))
    );
}

/// Guards against burn rates that count errors of callers, omit failures, or count an answer as good before it is
/// complete.
#[async_std::test]
async fn burn_counts_live_requests() {
    let fixture = Fixture::start(1).await;
    while fixture.node.router.withdraw_retry() {}
    fixture.add_answer("head 200 gen-1 | piece a 1 | done");
    fixture.text(completion(Some(KEY_A))).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | refuse TargetFailed");
    body(fixture.send(completion(Some(KEY_A))).await)
        .await
        .unwrap_err();
    fixture.add_answer("refuse NoTarget");
    fixture.refusal_code(completion(Some(KEY_A))).await;
    fixture.send(post("/v1/completions", Some(KEY_A), "{}")).await;
    fixture.add_answer("head 404 desk-1 | chunk none | done");
    fixture.text(order(None)).await;
    fixture.add_answer("head 200 desk-1 | chunk late | done");
    let late = fixture.send(order(None)).await;
    fixture.clock.advance(DurationMs::new(1_001));
    body(late).await.unwrap();
    let (_, report) = admin(&fixture.entry, get("/admin/v1/report/burn", Some(SALES_TOKEN))).await;
    let rows = report["rows"].as_array().unwrap();
    let counts = |row: &Value| {
        (
            row["requests_1h"]["good"].clone(),
            row["requests_1h"]["bad"].clone(),
        )
    };
    assert_eq!(rows.len(), 2);
    assert_eq!(
        (&rows[0]["service"], counts(&rows[0])),
        (&json!("gen"), (json!(1), json!(2)))
    );
    assert_eq!(
        (&rows[1]["service"], counts(&rows[1])),
        (&json!("desk"), (json!(0), json!(1)))
    );
    assert_eq!(rows[0]["objective"], 0.99);
}

/// Guards against a status report that hangs or fails because one daemon is down.
#[async_std::test]
async fn status_lists_all_members() {
    let fixture = Fixture::start(2).await;
    fixture.set_reachable(&fixture.dispatchers[0], false);
    let (status, content) = admin(&fixture.entry, get("/admin/v1/status", Some(ADMIN_TOKEN))).await;
    assert_eq!((status, content["members"].as_array().unwrap().len()), (200, 3));
    assert!(content["dispatch"][0]["status"]["error"].is_string());
    assert_eq!(content["dispatch"][1]["status"], json!({"queued": 3}));
}
