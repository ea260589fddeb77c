//! Guards against an owner that keeps what the readers of a batch leave behind.

mod common;

use std::{fs, sync::Arc};

use common::{FaultyStore, TestHost, spec, text};
use jm_types::DurationMs;

/// Reads of a batch whose first result takes long, by readers that do not wait.
const READS: usize = 400_000;

fn memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against an owner whose memory grows with each read of an open batch that has no new result.
#[async_std::test]
async fn empty_reads() {
    let script = Box::new(|_: &_, request: &_| text(request, 1, 1));
    let host = TestHost::start("host-a", &Arc::default(), &FaultyStore::new(), Vec::new(), script);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    let batch = "b1".parse().unwrap();
    let before = memory_kb();
    for _ in 0..READS {
        let page = host.service.read_owned(&batch, 0, DurationMs::new(0)).await;
        assert!(page.unwrap().results.is_empty());
    }
    let grown = memory_kb().saturating_sub(before);
    assert!(grown < 10_000, "{READS} reads left {grown} KB behind");
}
