//! Checks the bounds of the benchmark `decisions::prefix_cache` at small size.

use jm_bench::{
    Row,
    decisions::{Size, prefix_cache},
};

/// Guards against losing more than a fifth of the cache hits when cache events are delayed or lost, and against
/// overloaded engines.
#[test]
fn bounds_are_met() {
    let rows = prefix_cache(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
