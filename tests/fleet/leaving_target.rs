//! A target that is set to leaving in the configuration, under load.

use std::sync::Arc;

use jm_http::Method;

use crate::{
    callers::{LIVE_RATE, Report, start_callers},
    harness::{Fleet, call, step, wait_for},
    step_run::StepRun,
};

const CALLERS: usize = 6;

/// Complete answers before the check starts. The guarantee allows daemons to use the previous configuration for 3 s.
const ANSWERS_BEFORE_CHECK: u64 = 30;

/// Complete answers during which no request may reach the leaving target.
const CHECKED_ANSWERS: u64 = 60;

/// Id of a request that the test sends to the target itself. It separates requests before the check from later ones.
const MARKER: &str = "marker";

/// Guards against new requests at a leaving target, and against running requests that are cut off there.
#[async_std::test]
async fn no_new_work() {
    let fleet = Fleet::start(3, 3, 2).await;
    fleet.set_rate(LIVE_RATE);
    let report = Arc::new(Report::default());
    let callers = start_callers(&fleet, CALLERS, &report);
    let run = StepRun::start(fleet.trainer(), step("leaving", 256, 16));
    wait_for("a request at the target", || async {
        fleet.engines[0].running() > 0
    })
    .await;
    let revision = set_leaving(&fleet).await;
    for daemon in 0..3 {
        wait_for("the change in force", || async {
            let status = fleet.status(daemon).await;
            status.is_some_and(|status| status["revision"].as_u64() >= Some(revision))
        })
        .await;
    }
    report.wait_for_complete_answers(ANSWERS_BEFORE_CHECK).await;
    run.finish(&fleet).await;
    send_marker(&fleet).await;
    let after = StepRun::start(fleet.trainer(), step("left", 256, 16));
    report.wait_for_complete_answers(CHECKED_ANSWERS).await;
    after.finish(&fleet).await;
    report.finish(callers).await;
    let admitted = fleet.engines[0].admitted();
    let marker = admitted
        .iter()
        .position(|id| id == MARKER)
        .expect("the marker arrived");
    assert!(
        marker > 0,
        "no request reached the target before it was set to leaving"
    );
    assert_eq!(admitted[marker + 1..], Vec::<String>::new());
    assert_eq!(fleet.engines[0].running(), 0);
}

/// Sets the state of the first engine to leaving and returns the revision of the change.
async fn set_leaving(fleet: &Fleet) -> u64 {
    let address = fleet.engines[0].address();
    let body = format!(
        "service = drafts\nzone = riga-a\naddress = {address}\nkind = regular\nchecks_orders = yes\n\
         state = leaving"
    );
    let edits = serde_json::json!([{"section": "target drafts-0", "expected": 1, "body": body}]);
    let answer = fleet.change("leave", 1, &edits).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let answer: serde_json::Value = serde_json::from_str(answer.text()).expect("JSON");
    answer["revision"].as_u64().expect("a revision")
}

async fn send_marker(fleet: &Fleet) {
    let url = format!("http://{}/v1/generate", fleet.engines[0].address());
    let body = format!(r#"{{"request":"{MARKER}","model":"rack-small","prompt":"mark","max_tokens":1}}"#);
    let answer = call(Method::Post, &url, None, &[], body.as_bytes()).await;
    assert_eq!(answer.expect("an answer").status, 200);
}
