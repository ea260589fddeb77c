//! State and tasks that all daemon processes have in common: the configuration in force, the list of daemons, routing
//! to dispatch daemons, planned stops, logging and metrics. Sections 4.1, 4.2, 4.7 and 4.8 of `docs/design.md` describe
//! them.

#![deny(missing_docs, unsafe_code)]

mod admin;
mod codec;
mod config;
mod hello;
mod logging;
mod metrics;
mod node;
mod ordered;
mod peers;
mod propose;
mod router;
mod snapshot;
mod stop;

pub use admin::AdminHandler;
pub use codec::{DecodeError, decode, encode};
pub use config::{CHANGE_PREFIX, ConfigReplica, change_key, change_revision};
pub use hello::{OwnedLoad, VersionCapacity, answer_hello, answer_read_config, exchange_hellos};
pub use logging::{LogSetupError, set_up_logging};
pub use metrics::Metrics;
pub use node::{MEMBER_PREFIX, Node, NodeOptions, Platform};
pub use ordered::{
    ORDERED_KEY, OrderedEntry, OrderedGroup, OrderedState, OrderedTargets, OrderedTargetsCache,
};
pub use peers::{FRESHNESS_MS, MemberRecord, Peer, Peers};
pub use propose::{Proposal, ProposeError};
pub use router::{RouteError, Router};
pub use snapshot::{
    SNAPSHOT_PREFIX, SnapshotObject, StoredSnapshot, is_snapshot_manifest, snapshot_key, snapshot_revision,
};
pub use stop::{OpenRequestCounter, OpenRequestGuard, Stop, StopTrigger, stop_on_signals};
