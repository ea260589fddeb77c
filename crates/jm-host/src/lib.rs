//! One host of the service. All hosts are alike: each serves callers, runs batches, and may carry out the duties that
//! one host does for all.
//!
//! What a host needs of the platform stands behind [`PlatformParts`]; `docs/platform.md` describes the programs.

#![deny(missing_docs, unsafe_code)]

mod counted;
mod duty;
mod follow;
mod host;
mod log_lines;
mod membership;
mod mirror;
mod observer;
mod peer;
mod platform;
mod relay;
mod settings;
mod status;
mod world;

pub use counted::{CountedStore, STORE_CALL_LABELS};
pub use duty::{MAX_DUTY_CALL_MS, UsageBook, UsageCounter};
pub use follow::{CopySource, FollowOptions, FollowTask, Follower, until_listing};
pub use host::{Host, HostError, HostParts, connection_limits};
pub use log_lines::{InitLoggingError, LineBudget, LineVerdict, init_logging};
pub use membership::{Membership, Registration};
pub use mirror::{Mirror, MirrorChanges};
pub use observer::HostObserver;
pub use peer::{ObjectSpace, StoreSource, UsageCounts, store_source};
pub use platform::{
    DecodeError, DutyCallError, DutyCalls, EngineReport, LoadOrder, LoadOutcome, PlatformObjects,
    PlatformParts,
};
pub use relay::{RelayPeer, RelayedStore};
pub use settings::{BoundSettings, HostSettings, ListenSettings, SettingsError};
pub use status::{HostStatus, MemberStatus, OpenBatch, StatusError, TargetStatus, fetch_status};
pub use world::World;
