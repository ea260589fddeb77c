//! Interfaces of the platform: traits, an HTTP client and an in-memory implementation.
//!
//! `docs/platform-api.md` describes the platform's HTTP API.

#![deny(missing_docs, unsafe_code)]

mod host;
mod http;
mod listing;
mod memory;
mod object;
mod target;
mod usage;
mod weight;
pub mod wire;

pub use host::{Host, HostList, HostState};
pub use http::{HttpPlatform, MAX_WATCH_WAIT_MS};
pub use listing::{ListingCounts, ListingFault, PageSequence};
pub use memory::{MemoryOptions, MemoryPlatform, SpareTarget};
pub use object::{
    Change, Changes, Condition, KeyedObject, Listing, MAX_KEY_BYTES, MAX_VALUE_BYTES, Object, ObjectError,
    ObjectStore, ReadError, Version, WatchError, is_valid_key, is_valid_prefix,
};
pub use target::{OrderError, OrderedTarget, TargetKind, TargetOrder, TargetOrders, TargetState};
pub use usage::{ReportError, UsageReporter};
pub use weight::{FetchError, WeightInfo, WeightStore};
