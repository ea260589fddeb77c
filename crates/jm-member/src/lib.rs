//! Failure detection, membership view, configuration freshness and load summaries.
//!
//! Sections 4.2 and 4.7 of `docs/design.md` state the rules. `docs/membership.md` describes the protocol, the argument
//! for the freshness bound and the alternatives.

#![deny(missing_docs, unsafe_code)]

mod agent;
mod applied_revisions;
mod contact_report;
mod datagram;
mod detector;
mod freshness;
mod options;
mod probe;
mod record;
mod report_exchange;
mod summary;
mod sync;
mod update_queue;
mod view;

pub use agent::{AgentError, MemberAgent, Traffic};
pub use applied_revisions::AppliedRevisions;
pub use contact_report::{ContactReport, MemberRow, ZoneApplied, ZoneContact, ZoneRow};
pub use datagram::{
    Body, Datagram, DatagramError, MAX_DATAGRAM_BYTES, Update, decode_datagram, encode_datagram,
};
pub use detector::{Action, Detector};
pub use freshness::{FRESHNESS_BOUND, Freshness};
pub use options::DetectorOptions;
pub use record::{Epoch, MemberRecord, MemberRole, MemberState};
pub use summary::{LoadSummary, LoadSummaryTable};
pub use view::{MemberStatus, MemberView};
