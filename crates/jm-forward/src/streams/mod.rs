//! Keeps each resumable stream at the software version that began it. `docs/design/stream-versions.md` describes the design.
//!
//! Everything here works without I/O, except [`Streams`], which waits for an [`OriginSource`].

mod filter;
mod origin;
mod recent;
mod registry;
mod resolve;
mod table;
mod versions;

pub use filter::SoftwareFilter;
pub use origin::{Origin, ParseStreamKeyError, StreamKey, stream_life};
pub use recent::RecentStreams;
pub use registry::{StoredOrigins, StreamRegistry};
pub use resolve::{OriginSource, ResumptionOutcome, ResumptionRefusal, Streams};
pub use table::{MAX_ORIGINS, OriginTable, Recorded};
pub use versions::{AbsentVersions, VersionsInUse};
