//! Routing decisions: target ownership, target selection, concurrency windows, fair queueing and the retry budget.
//!
//! Every decision is a pure function of its arguments: the caller passes in time and random numbers. The
//! alternatives and their measured figures are in `docs/routing.md`.

#![deny(missing_docs, unsafe_code)]

mod cache;
mod dispatcher;
mod explain;
mod fair;
mod hash;
mod health;
mod options;
mod owner;
mod placement;
mod request;
mod retry;
mod scheduler;
mod service;
mod shares;
mod summary;
mod target;
mod tracked;

pub use cache::CacheEvent;
pub use dispatcher::{DispatcherQuery, DispatcherTable, choose_dispatcher};
pub use explain::{Explanation, WaitReason};
pub use hash::stable_hash;
pub use options::SchedulerOptions;
pub use owner::{Member, owner_by_key, owner_of, rank_by_key};
pub use request::{Assignment, Class, Expired, Outcome, QueuedRequest, Refusal};
pub use retry::{Backoff, RetryBudget};
pub use scheduler::Scheduler;
pub use shares::SharingRule;
pub use summary::ServiceSummary;
pub use target::{Health, LoadReport, TargetKind, TargetSpec, TargetStatus, WindowBounds};
