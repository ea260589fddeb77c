//! One host of the service. All hosts run the same code: each serves callers, runs batches, and is a candidate for
//! the lease of the shared duties, which one host at a time carries out for the whole deployment.
//!
//! [`PlatformParts`] abstracts the platform that a host runs on. `docs/platform.md` describes the programs.

#![deny(missing_docs, unsafe_code)]

mod buffer_metrics;
mod capacity;
mod cluster_state;
mod cold_entries;
mod duty;
mod host;
mod instrumented_store;
mod late_answer;
mod listing_metrics;
mod listing_requests;
mod logging;
mod membership;
mod metric;
mod observer;
mod peer;
mod peer_server;
mod placement_metrics;
mod platform;
mod prefix_watch;
mod process_budget;
mod relay;
mod settings;
mod status;
mod store_cache;
mod streams;

pub use capacity::{CpuCapacity, CpuCapacityError, capable_hosts};
pub use cluster_state::ClusterState;
pub use duty::{LeaseRole, MAX_DUTY_CALL_MS, UsageAggregator, UsageCounter, lease_role};
pub use host::{Host, HostError, HostParts, connection_limits};
pub use instrumented_store::{InstrumentedStore, STORE_CALL_LABELS};
pub use listing_requests::ListingRequests;
pub use logging::{InitLoggingError, LogDecision, LogRateLimiter, init_logging};
pub use membership::{Membership, Registration};
pub use observer::HostObserver;
pub use peer::{
    ObjectSpace, StatusError, StoreSource, UsageCounts, fetch_status, second_reader, store_source,
};
pub use platform::{
    DecodeError, DutyCallError, DutyCalls, EngineReport, LoadOrder, LoadOutcome, PlatformObjects,
    PlatformParts,
};
pub use prefix_watch::{CacheSource, PrefixWatch, WatchHandler, WatchOptions, time_until_relist};
pub use process_budget::process_budget;
pub use relay::{RelayPeer, RelayedStore};
pub use settings::{BoundSettings, HostSettings, LimitSettings, ListenSettings, SettingsError};
pub use status::{EvacuatedZone, HostStatus, MemberStatus, OpenBatch, TargetStatus};
pub use store_cache::{CachedChanges, StoreCache};
pub use streams::{
    FlushSchedule, RecordError, StreamRecord, flush_interval, listing_interval, stored_origins,
};
