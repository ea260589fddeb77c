//! Checks the bounds of the benchmark `decisions::retries` at small size.

use jm_bench::{
    Row,
    decisions::{Size, retries},
};

/// Guards against retries that amplify the load during an outage, and against a recovered zone that gets no requests.
#[test]
fn bounds_are_met() {
    let rows = retries(1, Size::Small);
    let missed: Vec<&Row> = rows.iter().filter(|row| row.passes() == Some(false)).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
