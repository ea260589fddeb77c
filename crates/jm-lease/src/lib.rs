//! Leases with fencing numbers and guarded writes. Section 4.3 of `docs/design.md` describes the rules.
//!
//! Only conditional updates of one object decide who holds a lease. Clocks of hosts are never compared: the holder
//! counts its term from before its request was sent, and a taker counts the same term from after it first saw the
//! object's version. The holder's count therefore ends first, whatever the delays on the way are; the margin covers
//! clocks that run at different speeds.

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
