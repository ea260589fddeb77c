//! Rolling restart of every daemon under load.

use std::sync::Arc;

use crate::{
    callers::{LIVE_RATE, Report, start_callers},
    harness::{Fleet, step},
    step_run::StepRun,
};

const CALLERS: usize = 6;

/// Complete answers before the next daemon is stopped, so that every caller has been served since the last restart.
const CALLS_BETWEEN_STOPS: u64 = 18;

/// Guards against a planned stop that cuts a stream, loses an order or a step, or does not terminate.
#[async_std::test]
async fn every_daemon_in_turn() {
    let mut fleet = Fleet::start(3, 3, 2).await;
    fleet.set_rate(LIVE_RATE);
    let report = Arc::new(Report::default());
    let callers = start_callers(&fleet, CALLERS, &report);
    let run = StepRun::start(fleet.trainer(), step("rolling", 256, 16));
    for index in 0..3 {
        report.wait_for_complete_answers(CALLS_BETWEEN_STOPS).await;
        // `stop` fails the test when the process exits with a status other than 0.
        fleet.daemons[index].stop().await;
        fleet.daemons[index].restart();
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
    }
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
    let orders = report.finish(callers).await;
    for (caller, count) in orders.into_iter().enumerate() {
        for order in 1..=count {
            assert_eq!(fleet.executions(&format!("order-{caller}-{order}")), 1);
        }
    }
}
