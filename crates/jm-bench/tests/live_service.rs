//! Checks the bounds of the benchmark `decisions::live_service` at small size.

use jm_bench::{
    Row,
    decisions::{Size, live_service},
};

/// Guards against training that delays live requests, and against training that does not use the remaining capacity.
#[test]
fn bounds_are_met() {
    let rows = live_service(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
