//! Usage counters, window sealing and error-budget burn rates; see section 4.6 of `docs/design.md`.
//!
//! Each dispatch daemon counts usage with a [`UsageCounter`] and writes its [`UsagePart`]s to the store. The holder
//! of the `usage` lease seals windows in order with [`seal`]. [`ReportState`] reports the stored [`SealedWindow`],
//! so every retry of a report has the same counts. [`BurnMeter`] measures how fast error budgets are consumed.

#![deny(missing_docs, unsafe_code)]

mod burn;
mod burn_report;
mod counter;
mod part;
mod report;
mod seal;
mod sealed_parts;
mod window;

pub use burn::{
    BurnMeter, BurnMeterOptions, BurnRates, BurnRow, Objective, Outcome, ParseObjectiveError, RequestCounts,
};
pub use burn_report::{burn_report, merge_rows};
pub use counter::{UsageCounter, UsageCounterOptions};
pub use part::{PartId, TargetKind, UsageCounts, UsageKey, UsagePart};
pub use report::{Report, ReportState};
pub use seal::{DecodeError, PartRange, SealedWindow, UsageRow, seal};
pub use sealed_parts::SealedParts;
pub use window::{GRACE_MS, WINDOW_MS, WallTime, WindowId, WindowSchedule};
