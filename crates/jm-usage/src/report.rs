//! Which window to report next.

use std::collections::BTreeMap;

use crate::{SealedWindow, UsageRow, WindowId};

/// A report for the platform. The intake takes a repetition of a window for the same report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The window that names the report.
    pub window: WindowId,
    /// The figures of the sealed window.
    pub rows: Vec<UsageRow>,
}

/// Reports windows in their order, each until it is acknowledged.
#[derive(Debug)]
pub struct ReportState {
    next: WindowId,
    sealed: BTreeMap<WindowId, SealedWindow>,
}

impl ReportState {
    /// Starts at the first window without a stored acknowledgement.
    pub const fn new(next: WindowId) -> Self {
        Self {
            next,
            sealed: BTreeMap::new(),
        }
    }

    /// The first window that is not acknowledged. Store it after each acknowledgement; a lost update only
    /// repeats a report.
    pub const fn next_window(&self) -> WindowId {
        self.next
    }

    /// Adds a sealed window as it stands in the store. One that is known or acknowledged changes nothing.
    pub fn on_sealed(&mut self, sealed: SealedWindow) {
        if sealed.window >= self.next {
            self.sealed.entry(sealed.window).or_insert(sealed);
        }
    }

    /// The report to send now, with the same figures until it is acknowledged.
    pub fn next_report(&self) -> Option<Report> {
        let sealed = self.sealed.get(&self.next)?;
        Some(Report {
            window: sealed.window,
            rows: sealed.rows.clone(),
        })
    }

    /// Records that the intake has accepted a report. A late acknowledgement of an earlier window is ignored.
    pub fn on_acknowledged(&mut self, window: WindowId) {
        if window == self.next && self.sealed.remove(&window).is_some() {
            self.next = window.next();
        }
    }
}
