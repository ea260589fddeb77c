//! What the hosts store about streams, so that a stream goes on at the software version that began it.
//! `docs/design/stream-versions.md` describes the objects.

mod keeper;
mod record;
mod schedule;
mod store;

pub(crate) use keeper::StreamKeeper;
pub use record::{RecordError, StreamRecord};
pub use schedule::{FlushSchedule, flush_interval, listing_interval, stored_origins};
pub(crate) use store::{CachedTargets, StreamStore};
