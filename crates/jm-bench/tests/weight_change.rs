//! Checks the bounds of the benchmark `decisions::weight_changes` at small size.

use jm_bench::{
    Row,
    decisions::{Size, weight_changes},
};

/// Guards against engines that stay on an old version, live requests without enough engines, and failed swaps that are
/// counted as completed.
#[test]
fn bounds_are_met() {
    let rows = weight_changes(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
