//! The bounds of the group measured by `decisions::spending`, at small size.

use jm_bench::{
    Row,
    decisions::{Size, spending},
};

/// Guards against dear plans, live calls harmed by reclaimed targets, and orders that follow noise.
#[test]
fn bounds_are_met() {
    let rows = spending(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
