//! Leases with fencing numbers and guarded writes. Section 4.3 of `docs/design.md` describes the rules.
//!
//! Only conditional updates of one object decide which daemon holds a lease. Clocks of different hosts are never
//! compared. The holder measures its term from before it sent the request. Another daemon measures the same term from
//! after it first read the object's version. The holder's term therefore ends first, whatever the network delay is. The
//! margin covers clocks that run at different speeds.

#![deny(missing_docs, unsafe_code)]

mod guard;
mod manager;
mod options;
mod order;
mod record;
mod writer;

pub use guard::LeaseGuard;
pub use manager::{Acquisition, LeaseError, LeaseManager};
pub use options::{LeaseOptions, LeaseOptionsError};
pub use order::{
    FencingCheck, OrderOptions, OrderOutcome, OrderRefusal, send_guarded_order, write_guarded_order,
};
pub use record::{Duty, LeaseRecord};
pub use writer::{GuardedWriter, LeaseExpired};
