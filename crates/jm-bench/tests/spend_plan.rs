//! Checks the bounds of the benchmark `decisions::spending` at small size.

use jm_bench::{
    Row,
    decisions::{Size, spending},
};

/// Guards against plans far above the lowest price, live requests without targets after cheap targets are reclaimed,
/// and orders that react to noise in the load.
#[test]
fn bounds_are_met() {
    let rows = spending(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
