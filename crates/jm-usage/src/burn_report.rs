//! Text report of burn rates.

use std::{cmp::Ordering, fmt::Write};

use indexmap::IndexMap;
use jm_types::{OrganisationId, ServiceId};

use crate::BurnRow;

/// Adds the rows of several daemons by organisation and service. If objectives differ, which happens while a
/// configuration change propagates, the strictest one is used.
pub fn merge_rows(rows: impl IntoIterator<Item = BurnRow>) -> Vec<BurnRow> {
    let mut merged: IndexMap<(OrganisationId, ServiceId), BurnRow> = IndexMap::new();
    for row in rows {
        let key = (row.organisation.clone(), row.service.clone());
        match merged.get_mut(&key) {
            None => {
                merged.insert(key, row);
            }
            Some(sum) => {
                sum.short.add(row.short);
                sum.long.add(row.long);
                if row.objective > sum.objective {
                    sum.objective = row.objective;
                }
            }
        }
    }
    merged.into_values().collect()
}

/// Formats one line for each row, sorted by decreasing burn rate over 5 minutes.
pub fn burn_report(rows: &[BurnRow]) -> String {
    let mut sorted: Vec<&BurnRow> = rows.iter().collect();
    sorted.sort_by(|first, second| compare(first, second));
    let mut text = String::from("organisation service objective burn_5m burn_1h good_1h bad_1h\n");
    for row in sorted {
        let rates = row.rates();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{} {} {} {:.2} {:.2} {} {}",
            row.organisation,
            row.service,
            row.objective,
            rates.short,
            rates.long,
            row.long.good,
            row.long.bad
        );
    }
    text
}

fn compare(first: &BurnRow, second: &BurnRow) -> Ordering {
    let (left, right) = (first.rates(), second.rates());
    right
        .short
        .total_cmp(&left.short)
        .then_with(|| right.long.total_cmp(&left.long))
        .then_with(|| first.organisation.cmp(&second.organisation))
        .then_with(|| first.service.cmp(&second.service))
}
