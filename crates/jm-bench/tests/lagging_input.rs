//! Checks the bounds of the benchmark `decisions::lagging_inputs` at small size.

use jm_bench::{
    Row,
    decisions::{Size, lagging_inputs},
};

/// Guards against assignments based on outdated inputs, and against a slow engine that still gets its full share of
/// requests.
#[test]
fn bounds_are_met() {
    let rows = lagging_inputs(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
