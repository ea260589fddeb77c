//! The bounds of the group measured by `decisions::weight_changes`, at small size.

use jm_bench::{
    Row,
    decisions::{Size, weight_changes},
};

/// Guards against engines left on an old version, live service without engines, and failed swaps counted as done.
#[test]
fn bounds_are_met() {
    let rows = weight_changes(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
