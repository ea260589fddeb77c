//! Guards against a log volume that grows with the load, and against one event displacing others.

use jm_host::{LogDecision, LogRateLimiter};
use jm_types::LogEvent;

fn write() -> LogDecision {
    LogDecision::Write {
        suppressed: Vec::new(),
    }
}

#[test]
fn limits_lines_per_second() {
    let mut limiter = LogRateLimiter::new(3, 1);
    let decisions: Vec<_> = (0..5).map(|_| limiter.check("E1102", 7)).collect();
    assert_eq!(decisions[..3], [write(), write(), write()]);
    assert_eq!(decisions[3..], [LogDecision::Suppress, LogDecision::Suppress]);
    assert_eq!(limiter.check("E1104", 7), write(), "each event has its own limit");
}

#[test]
fn reports_suppressed_lines() {
    let mut limiter = LogRateLimiter::new(1, 1);
    for _ in 0..4 {
        limiter.check("E1102", 7);
    }
    let next = limiter.check("E1104", 8);
    let suppressed = vec![("E1102".to_owned(), 3)];
    assert_eq!(next, LogDecision::Write { suppressed });
    assert_eq!(limiter.check("E1104", 9), write());
}

/// Lines about successful requests must not displace those about failed ones.
#[test]
fn routine_lines() {
    let mut limiter = LogRateLimiter::new(10, 2);
    let served = LogEvent::RequestServed.to_string();
    let written = (0..10).filter(|_| limiter.check(&served, 1) == write()).count();
    assert_eq!(written, 2);
}
