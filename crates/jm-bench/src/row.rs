//! Results of benchmarks and the table that they are printed in.

use std::fmt;

/// The bound that a result must satisfy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// The result must not exceed this value.
    AtMost(f64),
    /// The result must not be below this value.
    AtLeast(f64),
    /// The result is reported without a check.
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

/// One result: a row of the printed table.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the benchmark group, as in `docs/routing.md`.
    pub group: &'static str,
    /// The measured quantity with its unit.
    pub measure: String,
    /// Result of the naive version; `None` when the group has no naive version of this quantity.
    pub naive: Option<f64>,
    /// Result of the modules under test.
    pub ours: f64,
    /// The bound on `ours`.
    pub bound: Bound,
}

impl Row {
    /// Whether `ours` meets the bound; `None` when the row has no bound.
    pub fn passes(&self) -> Option<bool> {
        match self.bound {
            Bound::AtMost(limit) => Some(self.ours <= limit),
            Bound::AtLeast(limit) => Some(self.ours >= limit),
            Bound::None => None,
        }
    }
}

/// Prints the rows as a Markdown table and returns the number of missed bounds.
pub fn print_table(rows: &[Row]) -> usize {
    println!("| group | measure | naive | ours | bound | result |");
    println!("| --- | --- | ---: | ---: | --- | --- |");
    for row in rows {
        let naive = row.naive.map_or_else(|| "-".to_owned(), format_value);
        let result = match row.passes() {
            Some(true) => "pass",
            Some(false) => "MISSED",
            None => "-",
        };
        println!(
            "| {} | {} | {naive} | {} | {} | {result} |",
            row.group,
            row.measure,
            format_value(row.ours),
            row.bound
        );
    }
    rows.iter().filter(|row| row.passes() == Some(false)).count()
}

fn format_value(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e9 {
        format!("{value:.0}")
    } else if value.abs() >= 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
