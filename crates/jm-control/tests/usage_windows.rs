//! Guards against a usage window that is reported with different figures, and against usage that is lost or counted
//! twice. The holder of the lease crashes, loses answers or wrongly assumes that it still holds the lease.

mod common;

use common::{Daemon, WallClock, faulty::Fault, reported_requests, store_part, store_rows};
use jm_control::ControlDuty;
use jm_platform::{MemoryPlatform, ObjectStore};
use jm_usage::{GRACE_MS, WINDOW_MS, WindowId};

const FIRST_WINDOW: u64 = 1_000;
const WINDOWS: u64 = 3;

/// Numbers of requests in the two parts that [`write_parts`] writes for each window.
const REQUESTS: [u64; 2] = [5, 7];
const LATE_REQUESTS: u64 = 11;

async fn write_parts(platform: &MemoryPlatform) {
    for window in 0..WINDOWS {
        for (index, requests) in (0..).zip(REQUESTS) {
            store_part(platform, FIRST_WINDOW + window, window * 10 + index, requests).await;
        }
    }
}

async fn write_late_part(platform: &MemoryPlatform) {
    store_part(platform, FIRST_WINDOW, 100, LATE_REQUESTS).await;
}

/// Returns the earliest time, in Unix milliseconds, at which all windows before `window` can be sealed.
fn sealable(window: u64) -> u64 {
    window * WINDOW_MS.get() + GRACE_MS.get()
}

struct Environment {
    platform: MemoryPlatform,
    wall_clock: WallClock,
}

impl Environment {
    async fn new() -> Self {
        let platform = MemoryPlatform::default();
        write_parts(&platform).await;
        let wall_clock = WallClock::default();
        wall_clock.set(sealable(FIRST_WINDOW + WINDOWS));
        Self { platform, wall_clock }
    }

    fn daemon(&self, id: &str) -> Daemon {
        Daemon::new(id, &self.platform, &self.wall_clock)
    }

    /// Writes a late part, advances the time until its window can be sealed, and lets `daemon` take over the duty.
    async fn finish(&self, daemon: &Daemon) {
        write_late_part(&self.platform).await;
        self.wall_clock.set(sealable(FIRST_WINDOW + WINDOWS + 1));
        daemon.take_over(ControlDuty::Usage).await;
    }

    async fn check(&self, daemons: &[&Daemon], case: &str) {
        let disputes: u64 = daemons.iter().map(|daemon| daemon.platform.disputes()).sum();
        assert_eq!(
            disputes, 0,
            "{case}: a window was reported with different figures"
        );
        let reports = self.platform.reports();
        let windows: Vec<String> = reports.iter().map(|(window, _)| window.clone()).collect();
        let expected: Vec<String> = (FIRST_WINDOW..=FIRST_WINDOW + WINDOWS)
            .map(|window| WindowId::new(window).to_string())
            .collect();
        assert_eq!(windows, expected, "{case}");
        let reported: u64 = reports.iter().map(|(_, body)| reported_requests(body)).sum();
        let recorded = WINDOWS * REQUESTS.iter().sum::<u64>() + LATE_REQUESTS;
        assert_eq!(
            reported, recorded,
            "{case}: the reported sum differs from the recorded one"
        );
        let parts = self.platform.list("usage/part/").await.unwrap();
        assert_eq!(
            parts.objects.len(),
            0,
            "{case}: parts of reported windows were not deleted"
        );
    }
}

/// Guards against a crash after which a new holder cannot continue.
#[async_std::test]
async fn crash_at_every_call() {
    for fault in [Fault::CrashBefore, Fault::CrashAfter] {
        for call in 1.. {
            let environment = Environment::new().await;
            let first = environment.daemon("control-a");
            first.platform.set_fault(call, fault);
            first.control.run_once(ControlDuty::Usage).await;
            let second = environment.daemon("control-b");
            environment.finish(&second).await;
            let case = format!("{fault:?} at call {call}");
            environment.check(&[&first, &second], &case).await;
            if !first.platform.fault_occurred() {
                assert!(call > 15, "the round made only {call} calls");
                break;
            }
        }
    }
}

/// Guards against a lost answer that is treated as a failure or as a success.
#[async_std::test]
async fn lost_answer_at_every_call() {
    for call in 1.. {
        let environment = Environment::new().await;
        let daemon = environment.daemon("control-a");
        daemon.platform.set_fault(call, Fault::AnswerLost);
        daemon.control.run_once(ControlDuty::Usage).await;
        if !daemon.platform.fault_occurred() {
            assert!(call > 15, "the round made only {call} calls");
            break;
        }
        environment.finish(&daemon).await;
        environment
            .check(&[&daemon], &format!("answer {call} lost"))
            .await;
    }
}

/// Guards against different figures from a holder that is frozen, with its clock, while another daemon takes over.
#[async_std::test]
async fn two_holders() {
    for call in 1.. {
        let environment = Environment::new().await;
        let frozen = environment.daemon("control-a");
        let second = environment.daemon("control-b");
        frozen.platform.set_fault(call, Fault::Pause);
        let round = async {
            frozen.control.run_once(ControlDuty::Usage).await;
            frozen.platform.fault_occurred()
        };
        let takeover = async {
            frozen.platform.paused().await;
            frozen.platform.block_leases();
            environment.finish(&second).await;
            frozen.platform.resume();
        };
        let met = run_paused(round, takeover).await;
        if !met {
            break;
        }
        // The lease has not expired on the clock of the frozen daemon, which therefore assumes that it holds the
        // lease.
        frozen.control.run_once(ControlDuty::Usage).await;
        environment
            .check(&[&frozen, &second], &format!("frozen at call {call}"))
            .await;
    }
}

/// Guards against a change by a holder that was frozen before the call and whose clock shows that the lease has
/// expired.
#[async_std::test]
async fn frozen_before_call() {
    for call in 1.. {
        let environment = Environment::new().await;
        let frozen = environment.daemon("control-a");
        let second = environment.daemon("control-b");
        frozen.platform.set_fault(call, Fault::Pause);
        let round = async {
            frozen.control.run_once(ControlDuty::Usage).await;
            frozen.platform.fault_occurred()
        };
        let takeover = async {
            frozen.platform.paused().await;
            let changes = frozen.platform.changes();
            frozen.clock.advance(common::TAKEOVER_MS);
            environment.finish(&second).await;
            frozen.platform.resume();
            changes
        };
        let mut changes_before = None;
        let takeover = async { changes_before = Some(takeover.await) };
        if !run_paused(round, takeover).await {
            break;
        }
        assert_eq!(changes_before, Some(frozen.platform.changes()), "call {call}");
        environment
            .check(&[&second], &format!("frozen at call {call}"))
            .await;
    }
}

/// Guards against usage that is never reported because a window exceeds the value size limit of the platform.
#[async_std::test]
async fn large_window() {
    const PARTS: u64 = 40;
    const ROWS: u64 = 400;
    let platform = MemoryPlatform::default();
    for part in 0..PARTS {
        let names: Vec<String> = (0..ROWS)
            .map(|row| format!("organisation-{part}-{row}"))
            .collect();
        let rows: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        store_rows(&platform, FIRST_WINDOW, part, &rows).await;
    }
    let wall_clock = WallClock::default();
    wall_clock.set(sealable(FIRST_WINDOW + 10));
    let daemon = Daemon::new("control-a", &platform, &wall_clock);
    daemon.control.run_once(ControlDuty::Usage).await;
    let reported = platform.reports().into_iter();
    let reported: Vec<u64> = reported.map(|(_, body)| reported_requests(&body)).collect();
    assert_eq!(reported.iter().sum::<u64>(), PARTS * ROWS, "{reported:?}");
    assert!(
        reported[0] < PARTS * ROWS,
        "the first window contains all parts, so the size limit was not reached"
    );
}

/// Runs both until the round ends. Returns whether the fault of the round occurred.
async fn run_paused(round: impl Future<Output = bool>, takeover: impl Future<Output = ()>) -> bool {
    let takeover = Box::pin(takeover);
    let round = Box::pin(round);
    match futures::future::select(round, takeover).await {
        futures::future::Either::Left((met, _)) => met,
        futures::future::Either::Right((_, round)) => round.await,
    }
}
