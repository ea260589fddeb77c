//! The bounds of the group measured by `decisions::retries`, at small size.

use jm_bench::{
    Row,
    decisions::{Size, retries},
};

/// Guards against retries that multiply the load of an outage, and against a zone that is not used again after it.
#[test]
fn bounds_are_met() {
    let rows = retries(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
