//! Types shared by the jacinthmoor crates: ids, numbers with units, result codes, log events and clocks.
//!
//! The glossary in `docs/glossary.md` maps these names to the terms that users know.

#![deny(missing_docs, unsafe_code)]

mod clock;
mod code;
mod event;
mod id;
mod json_size;
mod number;
mod software;

pub use clock::{Clock, ManualClock, SystemClock, WallClock};
pub use code::{Execution, ParseCodeError, ResultCode};
pub use event::LogEvent;
pub use id::{
    BatchId, KeyId, MAX_ID_BYTES, MemberId, ModelId, OrganisationId, ParseIdError, RegionId, ServiceId,
    StepId, TargetId, ZoneId,
};
pub use json_size::json_text_bytes;
pub use number::{
    AttemptId, ByteSize, DurationMs, FencingNumber, Incarnation, ParseNumberError, Rate, RequestId, Revision,
    Sequence, Share, SlotIndex, Timestamp, TokenCount, WeightVersion,
};
pub use software::{MAX_SOFTWARE_VERSION_BYTES, ParseSoftwareVersionError, SoftwareVersion};
