//! Usage reports, in memory and through the HTTP client.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use common::remote;
use jm_platform::{MAX_VALUE_BYTES, MemoryPlatform, ReportError, UsageReporter};

async fn check_reports(reporter: &dyn UsageReporter, platform: &MemoryPlatform) {
    reporter.report("w1", b"10").await.unwrap();
    reporter.report("w1", b"10").await.unwrap();
    let window = "w1".to_owned();
    assert_eq!(
        reporter.report("w1", b"11").await,
        Err(ReportError::ConflictingReport { window })
    );
    let window = "../w".to_owned();
    assert_eq!(
        reporter.report("../w", b"1").await,
        Err(ReportError::InvalidWindow { window })
    );
    let bytes = MAX_VALUE_BYTES + 1;
    let large = vec![0; bytes];
    assert_eq!(
        reporter.report("w2", &large).await,
        Err(ReportError::ReportTooLarge { bytes })
    );
    reporter.report("w3", b"").await.unwrap();
    let recorded: Vec<_> = platform.reports().into_iter().map(|(window, _)| window).collect();
    assert_eq!(recorded, ["w1", "w3"]);
}

/// Guards against a recorded report that is replaced by a different report of the same window.
#[async_std::test]
async fn one_report_per_window() {
    let memory = MemoryPlatform::default();
    check_reports(&memory, &memory).await;
    let remote = remote().await;
    check_reports(&remote.client, remote.server.platform()).await;
}
