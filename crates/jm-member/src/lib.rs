//! Failure detection, member view, configuration freshness and load summaries.
//!
//! Section 4.2 and 4.7 of `docs/design.md` state the rules; `docs/membership.md` describes the protocol, the argument
//! for the freshness bound and the alternatives.

#![deny(missing_docs, unsafe_code)]

mod agent;
mod datagram;
mod detector;
mod evidence;
mod freshness;
mod in_force;
mod options;
mod probe;
mod record;
mod report;
mod summary;
mod sync;
mod updates;
mod view;

pub use agent::{AgentError, MemberAgent, Traffic};
pub use datagram::{Body, Datagram, DatagramError, MAX_DATAGRAM_BYTES, Update, open_datagram, seal_datagram};
pub use detector::{Action, Detector};
pub use evidence::{Evidence, MemberRow, ZoneApplied, ZoneContact, ZoneRow};
pub use freshness::{FRESHNESS_BOUND, Freshness};
pub use in_force::InForce;
pub use options::DetectorOptions;
pub use record::{Epoch, MemberRecord, MemberRole, MemberState};
pub use summary::{Summary, SummaryTable};
pub use view::{MemberView, ViewedMember};
