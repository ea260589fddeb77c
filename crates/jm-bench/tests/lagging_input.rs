//! The bounds of the group measured by `decisions::lagging_inputs`, at small size.

use jm_bench::{
    Row,
    decisions::{Size, lagging_inputs},
};

/// Guards against trust in lagging inputs and against a slow engine that keeps its work.
#[test]
fn bounds_are_met() {
    let rows = lagging_inputs(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
