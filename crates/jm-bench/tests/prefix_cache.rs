//! The bounds of the group measured by `decisions::prefix_cache`, at small size.

use jm_bench::{
    Row,
    decisions::{Size, prefix_cache},
};

/// Guards against late and lost cache events that cost more than a fifth of the hits, and against overloaded engines.
#[test]
fn bounds_are_met() {
    let rows = prefix_cache(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
