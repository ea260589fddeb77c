//! The lease object in the store.

use std::fmt;

use jm_types::{DurationMs, FencingNumber, Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// A duty that at most one control daemon carries out at a time; section 3.3 of `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Duty {
    /// Ordering targets by zone.
    Targets,
    /// Ordering engines to load weight versions.
    Weights,
    /// Sealing and reporting usage windows.
    Usage,
    /// All of these, in a fleet whose hosts are all alike.
    Fleet,
}

impl Duty {
    /// The duties that control daemons divide among themselves.
    pub const ALL: [Self; 3] = [Self::Targets, Self::Weights, Self::Usage];

    /// The name, as in the key of the lease object.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Weights => "weights",
            Self::Usage => "usage",
            Self::Fleet => "fleet",
        }
    }

    /// The key of the lease object.
    pub fn key(self) -> String {
        format!("lease/{}", self.name())
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Value of a lease object. The object is never deleted, because it carries the fencing number on; a released lease
/// is a record with `released` set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder, or the last holder of a released lease.
    pub holder: MemberId,
    /// The run of the holder; another run of the same member is another holder.
    pub incarnation: Incarnation,
    /// Number of the holder's term; each takeover raises it.
    pub fencing: FencingNumber,
    /// Time for which the holder may act after it sent the update.
    pub term_ms: DurationMs,
    /// Longest time for which an order of this holder, or of a holder shortly before it, can still take effect after
    /// it was written.
    pub longest_order_ms: DurationMs,
    /// Serial number of the update within the holder's run. It tells updates whose answers were lost apart, because
    /// the term counts from the request that took effect.
    pub update: u64,
    /// Whether the holder gave the lease up.
    pub released: bool,
}
