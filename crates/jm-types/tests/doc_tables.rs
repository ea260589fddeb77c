//! Compares the tables in docs/ with the code. Guards against codes and events that are not documented, and against
//! rows for codes and events that no longer exist.

use std::collections::HashSet;

use jm_types::{LogEvent, ResultCode};

const RESULT_CODES: &str = include_str!("../../../docs/result-codes.md");
const LOG_EVENTS: &str = include_str!("../../../docs/log-events.md");

/// The cells of the rows whose first cell starts with a digit. All other rows are table headers.
fn rows(page: &str) -> Vec<Vec<String>> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .map(|line| line.split(" | ").map(str::to_owned).collect())
        .filter(|cells: &Vec<String>| cells[0].starts_with(|c: char| c.is_ascii_digit()))
        .collect()
}

/// Compares the leading cells of each row with the expected rows, in order. The remaining cells must not be empty.
#[track_caller]
fn compare(page: &str, columns: usize, expected: &[Vec<String>]) {
    let rows = rows(page);
    let leading = expected.first().map_or(0, Vec::len);
    for row in &rows {
        assert_eq!(row.len(), columns, "{row:?}");
        assert!(row.iter().all(|cell| !cell.trim().is_empty()), "{row:?}");
    }
    let found: Vec<_> = rows.iter().map(|row| row[..leading].to_vec()).collect();
    for row in expected {
        assert!(
            found.contains(row),
            "the page has no row that starts with {row:?}"
        );
    }
    for row in &found {
        assert!(
            expected.contains(row),
            "the code has no entry for the row that starts with {row:?}"
        );
    }
    assert_eq!(
        found, expected,
        "rows must be in ascending order of number, without duplicates"
    );
}

fn expected_codes() -> Vec<Vec<String>> {
    let row = |code: &ResultCode| {
        vec![
            code.number().to_string(),
            code.name().to_owned(),
            code.http_status().to_string(),
            code.execution().to_string(),
        ]
    };
    ResultCode::ALL.iter().map(row).collect()
}

fn expected_events() -> Vec<Vec<String>> {
    let row = |event: &LogEvent| {
        vec![
            event.number().to_string(),
            event.name().to_owned(),
            event.level().to_string().to_lowercase(),
        ]
    };
    LogEvent::ALL.iter().map(row).collect()
}

#[test]
fn result_codes_and_their_table_agree() {
    compare(RESULT_CODES, 6, &expected_codes());
}

#[test]
fn log_events_and_their_table_agree() {
    compare(LOG_EVENTS, 5, &expected_events());
}

/// Guards against duplicate numbers, which would make a message ambiguous, and against an `ALL` that is not sorted.
#[test]
fn numbers_are_strictly_increasing() {
    assert!(ResultCode::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(LogEvent::ALL.is_sorted_by(|a, b| a.number() < b.number()));
}

#[test]
fn names_are_unique() {
    let codes: HashSet<_> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(codes.len(), ResultCode::ALL.len());
    let events: HashSet<_> = LogEvent::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(events.len(), LogEvent::ALL.len());
}

#[test]
fn codes_are_read_back() {
    for code in ResultCode::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
        assert_eq!(ResultCode::try_from(code.number()), Ok(*code));
    }
    for text in ["JM", "JM1", "1001", "JM99999", "jm1001"] {
        assert!(text.parse::<ResultCode>().is_err(), "{text}");
    }
}
