//! Training steps: selection of the dispatch daemon, and limits on specifications.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, KEY_A, KEY_B, body, get, post, request};
use jm_http::Method;
use jm_link::StepOperation;
use jm_types::{MemberId, ResultCode, Sequence, StepId};

fn spec(staleness_bound: u64, group_size: u64) -> String {
    format!(
        r#"{{"step":"s","service":"gen","weight_version":3,"staleness_bound":{staleness_bound},
            "group_size":{group_size},"samples":4,"prompts":["p"],"max_tokens":8,"held":[]}}"#
    )
}

/// Indexes of the fixture's daemons in the candidate order of the step.
fn owners(fixture: &Fixture) -> Vec<usize> {
    let candidates = fixture.node.step_candidates(&StepId::new("s").unwrap());
    let position = |member: &MemberId| fixture.dispatchers.iter().position(|fake| fake.member == *member);
    candidates
        .iter()
        .map(|member| position(member).unwrap())
        .collect()
}

fn answer(fixture: &Fixture, owner: usize, actions: &str) {
    let handler = &fixture.dispatchers[owners(fixture)[owner]].handler;
    handler.step_answers.lock().unwrap().push_back(actions.to_owned());
}

fn creations(fixture: &Fixture) -> Vec<usize> {
    let count = |owner: &usize| {
        let steps = fixture.dispatchers[*owner].handler.steps.lock().unwrap();
        let is_create = |operation: &StepOperation| matches!(operation, StepOperation::Create { .. });
        steps
            .iter()
            .filter(|(_, _, operation)| is_create(operation))
            .count()
    };
    owners(fixture).iter().map(count).collect()
}

fn create() -> jm_http::Request {
    post("/v1/steps", Some(KEY_A), &spec(2, 4))
}

/// Guards against a duplicate step when a daemon that started later precedes the holder in the candidate order.
#[async_std::test]
async fn create_finds_holder() {
    let fixture = Fixture::start(3).await;
    answer(&fixture, 2, "done");
    answer(&fixture, 2, "done");
    assert_eq!(fixture.json(create()).await.0, 200);
    assert_eq!(creations(&fixture), [0, 0, 1]);
}

/// Guards against a new step that two daemons hold, and against a step that is not created because one daemon is down.
#[async_std::test]
async fn create_uses_first_reachable() {
    let fixture = Fixture::start(3).await;
    fixture.set_reachable(&fixture.dispatchers[owners(&fixture)[0]], false);
    answer(&fixture, 1, "refuse UnknownStep");
    answer(&fixture, 1, "done");
    assert_eq!(fixture.json(create()).await.0, 200);
    assert_eq!(creations(&fixture), [0, 1, 0]);
}

/// Guards against steps that exceed the limits in the configuration.
#[async_std::test]
async fn bounds_are_enforced() {
    let fixture = Fixture::start(1).await;
    let refused = [
        (KEY_A, spec(3, 4), ResultCode::OutOfRange),
        (KEY_A, spec(2, 5), ResultCode::OutOfRange),
        (KEY_B, spec(2, 4), ResultCode::RouteNotAllowed),
        (
            KEY_A,
            spec(2, 4).replace("\"gen\"", "\"desk\""),
            ResultCode::UnknownService,
        ),
    ];
    for (key, body, code) in refused {
        fixture
            .assert_refused(post("/v1/steps", Some(key), &body), code)
            .await;
    }
    assert_eq!(creations(&fixture), [0]);
}

/// Guards against samples that are delayed until the end of the step, and against a stream that looks complete after
/// the link broke.
#[async_std::test]
async fn samples_come_from_holder() {
    let fixture = Fixture::start(2).await;
    let samples = "chunk {\"sequence\":3} | chunk {\"sequence\":4}\n | done";
    answer(&fixture, 1, samples);
    let read = fixture
        .send(get("/v1/steps/s/samples?after=2&term=1-9", Some(KEY_B)))
        .await;
    assert_eq!(body(read).await.unwrap(), "{\"sequence\":3}\n{\"sequence\":4}\n");
    let holder = &fixture.dispatchers[owners(&fixture)[1]];
    let (organisation, step, operation) = holder.handler.steps.lock().unwrap().remove(0);
    assert_eq!((organisation.as_str(), step.as_str()), ("org-b", "s"));
    let term = Some("1-9".to_owned());
    let (after, version) = (Sequence::new(2), None);
    assert_eq!(operation, StepOperation::Read { after, term, version });
    answer(&fixture, 0, "chunk {\"sequence\":1} | hold");
    let read = fixture.send(get("/v1/steps/s/samples", Some(KEY_A))).await;
    fixture.cut_links();
    assert!(body(read).await.is_err());
}

/// Guards against a step that is reported as unknown while its daemon is unreachable.
#[async_std::test]
async fn unreachable_daemon_is_not_unknown_step() {
    let fixture = Fixture::start(2).await;
    let acknowledge = || post("/v1/steps/s/ack", Some(KEY_A), r#"{"through":4}"#);
    fixture
        .assert_refused(acknowledge(), ResultCode::UnknownStep)
        .await;
    fixture.set_reachable(&fixture.dispatchers[0], false);
    fixture
        .assert_refused(acknowledge(), ResultCode::DispatchUnreachable)
        .await;
    let delete = || request(Method::Delete, "/v1/steps/s", Some(KEY_A), "");
    fixture.set_reachable(&fixture.dispatchers[0], true);
    answer(&fixture, 1, "done");
    assert_eq!(fixture.json(delete()).await.0, 200);
    let version = post("/v1/steps/s/version", Some(KEY_A), r#"{"weight_version":4}"#);
    fixture
        .assert_refused(version, ResultCode::MalformedRequest)
        .await;
}

/// Guards against an existing step that is unknown because the caller's library encodes its id in the path.
#[async_std::test]
async fn encoded_id() {
    let fixture = Fixture::start(1).await;
    let path = "/v1/steps/run%3A7%2Ea/samples";
    fixture.json(get(path, Some(KEY_A))).await;
    let steps = fixture.dispatchers[0].handler.steps.lock().unwrap();
    let ids: Vec<&str> = steps.iter().map(|(_, step, _)| step.as_str()).collect();
    assert_eq!(ids, ["run:7.a"]);
}
