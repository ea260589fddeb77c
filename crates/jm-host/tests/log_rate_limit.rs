//! Guards against a log that grows with the load or hides one event behind another.

use jm_host::{LogDecision, LogRateLimiter};
use jm_types::LogEvent;

fn write() -> LogDecision {
    LogDecision::Write {
        suppressed: Vec::new(),
    }
}

#[test]
fn bounded_a_second() {
    let mut budget = LogRateLimiter::new(3, 1);
    let verdicts: Vec<_> = (0..5).map(|_| budget.check("E1102", 7)).collect();
    assert_eq!(verdicts[..3], [write(), write(), write()]);
    assert_eq!(verdicts[3..], [LogDecision::Suppress, LogDecision::Suppress]);
    assert_eq!(budget.check("E1104", 7), write(), "each event has its own budget");
}

#[test]
fn says_what_was_left_out() {
    let mut budget = LogRateLimiter::new(1, 1);
    for _ in 0..4 {
        budget.check("E1102", 7);
    }
    let next = budget.check("E1104", 8);
    let suppressed = vec![("E1102".to_owned(), 3)];
    assert_eq!(next, LogDecision::Write { suppressed });
    assert_eq!(budget.check("E1104", 9), write());
}

/// Requests that went well must not take the room of those that failed.
#[test]
fn routine_lines() {
    let mut budget = LogRateLimiter::new(10, 2);
    let served = LogEvent::RequestServed.to_string();
    let written = (0..10).filter(|_| budget.check(&served, 1) == write()).count();
    assert_eq!(written, 2);
}
