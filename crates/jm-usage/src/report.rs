//! Selection of the window to report next.

use std::collections::BTreeMap;

use crate::{SealedWindow, UsageRow, WindowId};

/// A usage report for the platform. The platform deduplicates reports by window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The reported window, which identifies the report.
    pub window: WindowId,
    /// Usage counts of the sealed window.
    pub rows: Vec<UsageRow>,
}

/// Reports windows in order. Each window is reported until it is acknowledged.
#[derive(Debug)]
pub struct ReportState {
    next: WindowId,
    sealed: BTreeMap<WindowId, SealedWindow>,
}

impl ReportState {
    /// Starts with `next`, the first window without a stored acknowledgement.
    pub const fn new(next: WindowId) -> Self {
        Self {
            next,
            sealed: BTreeMap::new(),
        }
    }

    /// The first window that is not acknowledged. The caller stores it after each acknowledgement. If that write is
    /// lost, a report is only repeated.
    pub const fn next_window(&self) -> WindowId {
        self.next
    }

    /// Adds a sealed window, which must be the one in the store. A window that was already added or acknowledged is
    /// ignored.
    pub fn on_sealed(&mut self, sealed: SealedWindow) {
        if sealed.window >= self.next {
            self.sealed.entry(sealed.window).or_insert(sealed);
        }
    }

    /// The report to send next, or `None` until that window is sealed. The report stays the same until it is
    /// acknowledged.
    pub fn next_report(&self) -> Option<Report> {
        let sealed = self.sealed.get(&self.next)?;
        Some(Report {
            window: sealed.window,
            rows: sealed.rows.clone(),
        })
    }

    /// Records that the platform accepted the report of a window. Acknowledgements of other windows than the next one
    /// are ignored.
    pub fn on_acknowledged(&mut self, window: WindowId) {
        if window == self.next && self.sealed.remove(&window).is_some() {
            self.next = window.next();
        }
    }
}
