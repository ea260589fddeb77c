//! Where a partial text may go on, and when its item begins anew instead.
//!
//! Load pattern: engines of two software versions serve side by side in a service, and runs break off. What two versions
//! write does not fit together, so a text goes on only at its version, whose engines may be full, cold or about to leave
//! while others are free. An item that always waits for them stands still, and one that never does generates seconds of text
//! again because of a slot that is free a moment later. It therefore waits for as long as its text took, so that it ends at
//! most that much later than if it had known how long the wait would be.

use jm_forward::Target;
use jm_types::{DurationMs, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// Maximum time for which an item waits for engines of its text's version while others have room. A submitter takes an item
/// that stands still for seconds beside free engines for lost.
const MAX_WAIT_MS: DurationMs = DurationMs::new(2_000);

/// Difference between the clocks of a host and an engine up to which a later start of the engine is not certain.
const MAX_CLOCK_DIFFERENCE_MS: DurationMs = DurationMs::new(1_000);

/// The software that generated a text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TextOrigin {
    /// Service of the engines.
    pub service: ServiceId,
    /// Version of their software.
    pub software: SoftwareVersion,
}

impl TextOrigin {
    /// The origin of texts that `target` generates; `None` if its entry names no version.
    pub fn of(target: &Target) -> Option<Self> {
        let software = target.software.clone()?;
        Some(Self {
            service: target.service.clone(),
            software,
        })
    }
}

/// The engines at which an item may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedSoftware<'a> {
    /// Those of any version, because the item begins.
    Any,
    /// Those that can continue a text of this origin. An unknown one stems from an engine whose entry named no version or
    /// from an earlier release, and only engines whose entries name none continue it.
    Same(Option<&'a TextOrigin>),
}

impl AllowedSoftware<'_> {
    /// Whether engines of a service with this version may run the item.
    pub(crate) fn accepts(self, service: &ServiceId, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Same(None) => software.is_none(),
            Self::Same(Some(origin)) => origin.service == *service && Some(&origin.software) == software,
        }
    }

    /// Whether `target` may run the item.
    pub(crate) fn accepts_target(self, target: &Target) -> bool {
        self.accepts(&target.service, target.software.as_ref())
    }
}

/// Whether the events of a run may stem from other software than its engine's entry named when the engine was chosen. `listed`
/// is the present entry of the engine, which lags behind a restart.
pub(crate) fn may_differ(chosen: Option<&TextOrigin>, begun_unix_ms: u64, listed: &Target) -> bool {
    // The connection of a run ends with the engine's process, so a process that started later wrote none of its events.
    let begun_at_most = begun_unix_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS.get());
    let has_started_later = listed.run.started_unix_ms > begun_at_most;
    !AllowedSoftware::Same(chosen).accepts_target(listed) && !has_started_later
}

/// Whether an item begins anew elsewhere, after it could have done so for `waited`. Its text took `text_took`.
pub fn begins_anew(text_took: DurationMs, waited: DurationMs) -> bool {
    waited >= text_took.min(MAX_WAIT_MS)
}
