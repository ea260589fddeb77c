//! Progress and counts of listings that are read page by page.

use std::{
    collections::HashSet,
    fmt,
    hash::{BuildHasher, RandomState},
    sync::atomic::{AtomicU64, Ordering},
};

/// Reason why a listing is not usable although the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingFault {
    /// A page has a name after which the listing was already continued, so the listing does not advance.
    Repeated,
    /// A page with a next one names no object after which the listing could continue.
    Nameless,
    /// The listing has more pages than any listing of a sound store.
    TooManyPages,
    /// The objects of the listing exceed the memory for one listing.
    TooLarge,
    /// The listing takes longer than any listing of a sound store.
    TooSlow,
}

impl ListingFault {
    /// Every fault.
    pub const ALL: [Self; 5] = [
        Self::Repeated,
        Self::Nameless,
        Self::TooManyPages,
        Self::TooLarge,
        Self::TooSlow,
    ];

    /// The value of a metric's label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Repeated => "repeated",
            Self::Nameless => "nameless",
            Self::TooManyPages => "too_many_pages",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
        }
    }
}

impl fmt::Display for ListingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Repeated => "a page does not continue after the name that was asked for",
            Self::Nameless => "a page names none of its objects",
            Self::TooManyPages => "the listing does not end",
            Self::TooLarge => "the objects exceed the memory for one listing",
            Self::TooSlow => "the listing does not end in time",
        })
    }
}

/// Checks that the pages of one listing advance, whatever the order of the names in the store is.
///
/// Each name belongs to one page only. A page that has a name after which the listing was continued before repeats a part of
/// the listing.
#[derive(Debug, Default)]
pub struct PageSequence {
    /// Hashes of the names after which the listing was continued. Names may be long, and there is one in each page.
    continued_after: HashSet<u64>,
    hasher: RandomState,
}

impl PageSequence {
    /// Records that the next page is to continue after `name`.
    pub fn continue_after(&mut self, name: &str) {
        self.continued_after.insert(self.hasher.hash_one(name));
    }

    /// Whether a page with these names repeats a part of the listing.
    pub fn repeats<'a>(&self, names: impl IntoIterator<Item = &'a str>) -> bool {
        let mut names = names.into_iter();
        names.any(|name| self.continued_after.contains(&self.hasher.hash_one(name)))
    }
}

/// Counts of all listings of a process, for its metrics.
#[derive(Debug, Default)]
pub struct ListingCounts {
    pages: AtomicU64,
    bytes: AtomicU64,
    faults: [AtomicU64; ListingFault::ALL.len()],
}

impl ListingCounts {
    /// Counts a page with a body of `bytes`.
    pub fn count_page(&self, bytes: usize) {
        self.pages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a fault.
    pub fn count_fault(&self, fault: ListingFault) {
        self.faults[fault as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of pages.
    pub fn pages(&self) -> u64 {
        self.pages.load(Ordering::Relaxed)
    }

    /// Size of the bodies of all pages.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Number of listings with this fault.
    pub fn faults(&self, fault: ListingFault) -> u64 {
        self.faults[fault as usize].load(Ordering::Relaxed)
    }
}
