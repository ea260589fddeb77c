//! A target that leaves by configuration, under load.

use std::sync::Arc;

use jm_http::Method;

use crate::{
    callers::{LIVE_RATE, Report, start_callers},
    harness::{Fleet, call, step, wait_for},
    step_run::StepRun,
};

const CALLERS: usize = 6;

/// Whole answers for which a daemon may still use what it knew before the change, as the promise allows 3 s.
const SETTLING_CALLS: u64 = 30;

/// Whole answers in which no request may reach the leaving target.
const WATCHED_CALLS: u64 = 60;

/// Request id of the test's own request, which divides the arrivals at the target.
const MARKER: &str = "marker";

/// Guards against new work at a leaving target, and against running work that is cut off there.
#[async_std::test]
async fn no_new_work() {
    let fleet = Fleet::start(3, 3, 2).await;
    fleet.set_rate(LIVE_RATE);
    let report = Arc::new(Report::default());
    let callers = start_callers(&fleet, CALLERS, &report);
    let run = StepRun::start(fleet.trainer(), step("leaving", 256, 16));
    wait_for("work at the target", || async { fleet.engines[0].running() > 0 }).await;
    let revision = leave(&fleet).await;
    for daemon in 0..3 {
        wait_for("the change in force", || async {
            let status = fleet.status(daemon).await;
            status.is_some_and(|status| status["revision"].as_u64() >= Some(revision))
        })
        .await;
    }
    report.wait_whole(SETTLING_CALLS).await;
    run.finish(&fleet).await;
    mark(&fleet).await;
    let after = StepRun::start(fleet.trainer(), step("left", 256, 16));
    report.wait_whole(WATCHED_CALLS).await;
    after.finish(&fleet).await;
    report.finish(callers).await;
    let admitted = fleet.engines[0].admitted();
    let marker = admitted
        .iter()
        .position(|id| id == MARKER)
        .expect("the marker arrived");
    assert!(marker > 0, "no work reached the target before it left");
    assert_eq!(admitted[marker + 1..], Vec::<String>::new());
    assert_eq!(fleet.engines[0].running(), 0);
}

/// Sets the state of the first engine to leaving and gives the revision of the change.
async fn leave(fleet: &Fleet) -> u64 {
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

async fn mark(fleet: &Fleet) {
    let url = format!("http://{}/v1/generate", fleet.engines[0].address());
    let body = format!(r#"{{"request":"{MARKER}","model":"rack-small","prompt":"mark","max_tokens":1}}"#);
    let answer = call(Method::Post, &url, None, &[], body.as_bytes()).await;
    assert_eq!(answer.expect("an answer").status, 200);
}
