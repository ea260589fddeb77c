//! Checks the bounds of the benchmark `decisions::worst_served` at small size.

use jm_bench::{
    Row,
    decisions::{Size, worst_served},
};

/// Guards against a flooding organisation that reduces the share of other organisations when several daemons decide
/// independently.
#[test]
fn bounds_are_met() {
    let rows = worst_served(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
