//! Training steps: which dispatch daemon is asked, and what a trainer may ask for.

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

/// Positions of the fixture's daemons in the order in which they own the step.
fn owners(fixture: &Fixture) -> Vec<usize> {
    let candidates = fixture.node.step_candidates(&StepId::new("s").unwrap());
    let position = |member: &MemberId| fixture.dispatchers.iter().position(|fake| fake.member == *member);
    candidates
        .iter()
        .map(|member| position(member).unwrap())
        .collect()
}

fn answer(fixture: &Fixture, owner: usize, acts: &str) {
    let handler = &fixture.dispatchers[owners(fixture)[owner]].handler;
    handler.step_answers.lock().unwrap().push_back(acts.to_owned());
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

/// Guards against a second step when a daemon that came up later precedes the one that holds it.
#[async_std::test]
async fn create_finds_holder() {
    let fixture = Fixture::start(3).await;
    answer(&fixture, 2, "done");
    answer(&fixture, 2, "done");
    assert_eq!(fixture.json(create()).await.0, 200);
    assert_eq!(creations(&fixture), [0, 0, 1]);
}

/// Guards against a new step that two daemons hold, or that nobody creates because one daemon is down.
#[async_std::test]
async fn create_uses_first_reachable() {
    let fixture = Fixture::start(3).await;
    fixture.set_reachable(&fixture.dispatchers[owners(&fixture)[0]], false);
    answer(&fixture, 1, "refuse UnknownStep");
    answer(&fixture, 1, "done");
    assert_eq!(fixture.json(create()).await.0, 200);
    assert_eq!(creations(&fixture), [0, 1, 0]);
}

/// Guards against steps beyond the operators' bounds.
#[async_std::test]
async fn bounds_are_kept() {
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
        fixture.refused(post("/v1/steps", Some(key), &body), code).await;
    }
    assert_eq!(creations(&fixture), [0]);
}

/// Guards against samples that wait for the end of the step or that are taken for whole when the link breaks.
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

/// Guards against a step that is taken for lost while its daemon cannot be reached.
#[async_std::test]
async fn unreachable_is_not_unknown() {
    let fixture = Fixture::start(2).await;
    let acknowledge = || post("/v1/steps/s/ack", Some(KEY_A), r#"{"through":4}"#);
    fixture.refused(acknowledge(), ResultCode::UnknownStep).await;
    fixture.set_reachable(&fixture.dispatchers[0], false);
    fixture
        .refused(acknowledge(), ResultCode::DispatchUnreachable)
        .await;
    let delete = || request(Method::Delete, "/v1/steps/s", Some(KEY_A), "");
    fixture.set_reachable(&fixture.dispatchers[0], true);
    answer(&fixture, 1, "done");
    assert_eq!(fixture.json(delete()).await.0, 200);
    let version = post("/v1/steps/s/version", Some(KEY_A), r#"{"weight_version":4}"#);
    fixture.refused(version, ResultCode::MalformedRequest).await;
}
