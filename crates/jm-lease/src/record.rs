//! The lease object as stored in the object store.

use std::fmt;

use jm_types::{DurationMs, FencingNumber, Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// A duty that at most one control daemon performs at a time; see section 3.3 of `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Duty {
    /// Orders targets by zone.
    Targets,
    /// Orders engines to load weight versions.
    Weights,
    /// Seals and reports usage windows.
    Usage,
    /// All duties together, in a fleet in which every host runs the same daemons.
    Fleet,
}

impl Duty {
    /// Duties with a lease of their own, which different control daemons may hold.
    pub const ALL: [Self; 3] = [Self::Targets, Self::Weights, Self::Usage];

    /// Name of the duty, as used in the key of the lease object.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Weights => "weights",
            Self::Usage => "usage",
            Self::Fleet => "fleet",
        }
    }

    /// Key of the lease object: `lease/` and the name.
    pub fn key(self) -> String {
        format!("lease/{}", self.name())
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Value of a lease object. The object is never deleted, because it preserves the fencing number. A released lease is a
/// record with `released` set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder of the lease, or the last holder if the lease is released.
    pub holder: MemberId,
    /// Incarnation of the holder. Another incarnation of the same member counts as another holder.
    pub incarnation: Incarnation,
    /// Fencing number of the holder; each takeover increases it.
    pub fencing: FencingNumber,
    /// Term of the lease. The holder may act for this time, less its margin, after it sent the update. Other daemons
    /// must not take the lease over for this time after they first observed the update.
    pub term_ms: DurationMs,
    /// Maximum time after it was written during which an order of this holder, or of a recent earlier holder, can still
    /// take effect.
    pub longest_order_ms: DurationMs,
    /// Sequence number of the update within the holder's incarnation. It distinguishes updates whose responses were
    /// lost, because the term is measured from the request that took effect.
    pub update: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}
