//! The table of measurements.

use std::fmt;

/// What a measurement must satisfy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
    /// Reported only.
    None,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "<= {limit}"),
            Self::AtLeast(limit) => write!(f, ">= {limit}"),
            Self::None => f.write_str("-"),
        }
    }
}

/// One measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The group of measurements, as named in `docs/routing.md`.
    pub group: &'static str,
    /// What was measured, with its unit.
    pub measure: String,
    /// The figure of the naive version, where there is one.
    pub naive: Option<f64>,
    /// The figure of the modules under test.
    pub ours: f64,
    /// What `ours` must satisfy.
    pub bound: Bound,
}

impl Row {
    /// Whether the bound is met; `None` when the row has no bound.
    pub fn passes(&self) -> Option<bool> {
        match self.bound {
            Bound::AtMost(limit) => Some(self.ours <= limit),
            Bound::AtLeast(limit) => Some(self.ours >= limit),
            Bound::None => None,
        }
    }
}

/// Prints the table in Markdown and returns the number of bounds that are missed.
pub fn print_table(rows: &[Row]) -> usize {
    println!("| group | measure | naive | ours | bound | result |");
    println!("| --- | --- | ---: | ---: | --- | --- |");
    for row in rows {
        let naive = row.naive.map_or_else(|| "-".to_owned(), figure);
        let result = match row.passes() {
            Some(true) => "pass",
            Some(false) => "MISSED",
            None => "-",
        };
        println!(
            "| {} | {} | {naive} | {} | {} | {result} |",
            row.group,
            row.measure,
            figure(row.ours),
            row.bound
        );
    }
    rows.iter().filter(|row| row.passes() == Some(false)).count()
}

fn figure(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e9 {
        format!("{value:.0}")
    } else if value.abs() >= 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
