//! Sealing and reporting of usage windows; see section 4.6 of `docs/design.md`.
//!
//! The usage counts of a window are fixed by the conditional creation of `usage/sealed/<window>`. A daemon whose
//! creation fails with a conflict reads the existing object. A report sends the bytes of that object. If two daemons
//! both assume that they hold the lease, they can therefore only send identical reports, which the intake counts once.

use async_trait::async_trait;
use jm_node::decode;
use jm_platform::{Condition, ObjectError, ReportError, Version};
use jm_types::LogEvent;
use jm_usage::{SealedParts, SealedWindow, UsagePart, WindowId, WindowSchedule, seal};
use serde::{Deserialize, Serialize};

use crate::{
    duty::{DutyContext, DutyWork},
    error::DutyError,
    guarded::Term,
};

const PART_PREFIX: &str = "usage/part/";
const SEALED_PREFIX: &str = "usage/sealed/";
const PROGRESS_KEY: &str = "usage/progress";

/// Maximum number of windows that one round seals, so that a round after an outage ends within the term of the lease.
const MAX_WINDOWS_PER_ROUND: usize = 16;

/// Number of reported windows that are kept, which cover 12 hours. Their lists of parts identify duplicates that a
/// daemon wrote because it did not receive the answer to its first write.
const KEPT_WINDOWS: u64 = 720;

/// Value of the object `usage/progress`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Progress {
    /// First window whose report is not yet acknowledged.
    next: WindowId,
}

/// A sealed window and the stored bytes of its object.
struct StoredWindow {
    window: SealedWindow,
    value: Vec<u8>,
}

/// A part and the key of its object.
struct StoredPart {
    key: String,
    part: UsagePart,
}

/// State of the holder: counted parts, sealed windows and reporting progress.
pub(crate) struct UsageWork {
    schedule: WindowSchedule,
    counted: SealedParts,
    next_seal: WindowId,
    progress: Progress,
    progress_version: Version,
    /// Sealed windows whose reports are not yet acknowledged, oldest first.
    unreported: Vec<StoredWindow>,
    /// Windows whose objects exist in the store, oldest first.
    kept: Vec<WindowId>,
}

#[async_trait]
impl DutyWork for UsageWork {
    async fn start_term(context: &DutyContext, term: &Term) -> Result<Self, DutyError> {
        let (progress, progress_version) = read_or_create_progress(context, term).await?;
        let mut work = Self {
            schedule: WindowSchedule::standard(),
            counted: SealedParts::default(),
            next_seal: progress.next,
            progress,
            progress_version,
            unreported: Vec::new(),
            kept: Vec::new(),
        };
        let sealed = context.node.platform.objects.list(SEALED_PREFIX).await?;
        for object in sealed.objects {
            work.record_sealed(decode_sealed(&object.key, object.object.value)?);
        }
        Ok(work)
    }

    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let mut parts = Vec::new();
        if self.is_due(context) {
            parts = list_parts(context).await?;
        }
        for _ in 0..MAX_WINDOWS_PER_ROUND {
            if !self.is_due(context) {
                break;
            }
            self.seal_next(context, term, &parts).await?;
            self.report_all(context, term).await?;
        }
        self.report_all(context, term).await?;
        self.remove_reported(context, term, &parts).await
    }
}

impl UsageWork {
    fn is_due(&self, context: &DutyContext) -> bool {
        self.schedule
            .is_sealable(self.next_seal, (context.options.wall_clock)())
    }

    /// Records a sealed window. Windows must be recorded in ascending order.
    fn record_sealed(&mut self, stored: StoredWindow) {
        let window = stored.window.window;
        self.counted.add(&stored.window);
        self.next_seal = self.next_seal.max(window.next());
        self.kept.push(window);
        if window >= self.progress.next {
            self.unreported.push(stored);
        }
    }

    async fn seal_next(
        &mut self,
        context: &DutyContext,
        term: &Term,
        parts: &[StoredPart],
    ) -> Result<(), DutyError> {
        let window = self.next_seal;
        let stored = match self.create_sealed(context, term, parts).await? {
            Some(stored) => stored,
            None => read_sealed(context, window).await?,
        };
        LogEvent::WindowSealed.write(format_args!(
            "window {window} with {} rows",
            stored.window.rows.len()
        ));
        self.record_sealed(stored);
        Ok(())
    }

    /// Creates the object of the next window. Returns `None` if the object has to be read back.
    async fn create_sealed(
        &self,
        context: &DutyContext,
        term: &Term,
        parts: &[StoredPart],
    ) -> Result<Option<StoredWindow>, DutyError> {
        // Passes only parts that the window would contain, because half of the list is dropped when the value is too
        // large.
        let is_open = |part: &&UsagePart| part.window <= self.next_seal && !self.counted.contains(&part.id);
        let open = parts.iter().map(|stored| &stored.part).filter(is_open);
        let mut parts: Vec<UsagePart> = open.cloned().collect();
        parts.sort_unstable();
        loop {
            let window = seal(self.next_seal, &parts, &self.counted);
            let value = window.encode();
            let key = self.next_seal.sealed_key();
            let put = context
                .node
                .platform
                .objects
                .put(&key, value.clone(), Condition::Absent);
            match term.run(put).await? {
                Ok(_) => return Ok(Some(StoredWindow { window, value })),
                Err(ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. }) => return Ok(None),
                // Any subset of the parts is valid. Omitted parts are counted in the next window.
                Err(ObjectError::TooLarge { .. }) if parts.len() > 1 => parts.truncate(parts.len() / 2),
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Reports every sealed window and stores the progress of the acknowledgements.
    ///
    /// The intake does not check fencing numbers. In the cases that [`Term::run`] does not cover (a freeze within one
    /// poll, a partly written report, bytes in a socket buffer) the intake may receive a report after another daemon
    /// has reported the same window. Both reports are the bytes of one object, which is created once and never
    /// replaced. The intake treats an identical report as a repetition, so the second one has no effect.
    async fn report_all(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        while let Some(stored) = self.unreported.first() {
            let window = stored.window.window;
            let name = window.to_string();
            let report = context.node.platform.usage.report(&name, &stored.value);
            match term.run(report).await? {
                Ok(()) => LogEvent::WindowReported.write(format_args!("window {window}")),
                // The platform keeps the first report of a window, so sending the report again would have no effect.
                Err(error @ ReportError::ConflictingReport { .. }) => LogEvent::ReportDisputed.write(error),
                Err(error) => return Err(error.into()),
            }
            self.unreported.remove(0);
            self.progress.next = self.progress.next.max(window.next());
            self.store_progress(context, term).await?;
        }
        Ok(())
    }

    /// Stores the progress of the acknowledgements. Losing this update only causes a repeated report.
    async fn store_progress(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let objects = &context.node.platform.objects;
        let value = encode_progress(self.progress);
        let put = objects.put(PROGRESS_KEY, value, Condition::Version(self.progress_version));
        match term.run(put).await? {
            Ok(version) => {
                self.progress_version = version;
                Ok(())
            }
            Err(ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. }) => {
                let (stored, version) = read_progress(context).await?.ok_or_else(missing_progress)?;
                self.progress_version = version;
                self.progress.next = self.progress.next.max(stored.next);
                Ok(())
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Deletes the objects of parts that are contained in reported windows, and of windows that are no longer needed.
    async fn remove_reported(
        &mut self,
        context: &DutyContext,
        term: &Term,
        parts: &[StoredPart],
    ) -> Result<(), DutyError> {
        if !self.unreported.is_empty() {
            return Ok(());
        }
        let objects = &context.node.platform.objects;
        for stored in parts
            .iter()
            .filter(|stored| self.counted.contains(&stored.part.id))
        {
            term.run(objects.delete(&stored.key, Condition::Any)).await??;
        }
        let oldest_kept = WindowId::new(self.progress.next.get().saturating_sub(KEPT_WINDOWS));
        while let Some(window) = self.kept.first().copied().filter(|window| *window < oldest_kept) {
            let key = window.sealed_key();
            term.run(objects.delete(&key, Condition::Any)).await??;
            self.kept.remove(0);
        }
        Ok(())
    }
}

/// Reads the progress. The first holder in the fleet creates it, starting at the oldest window that has a part.
async fn read_or_create_progress(
    context: &DutyContext,
    term: &Term,
) -> Result<(Progress, Version), DutyError> {
    if let Some(stored) = read_progress(context).await? {
        return Ok(stored);
    }
    let now = WindowSchedule::standard().window_at((context.options.wall_clock)());
    let parts = list_parts(context).await?;
    let oldest = parts.iter().map(|stored| stored.part.window).min();
    let first = Progress {
        next: oldest.map_or(now, |oldest| oldest.min(now)),
    };
    let objects = &context.node.platform.objects;
    let put = objects.put(PROGRESS_KEY, encode_progress(first), Condition::Absent);
    match term.run(put).await? {
        Ok(version) => Ok((first, version)),
        Err(ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. }) => {
            read_progress(context).await?.ok_or_else(missing_progress)
        }
        Err(error) => Err(error.into()),
    }
}

async fn read_progress(context: &DutyContext) -> Result<Option<(Progress, Version)>, DutyError> {
    let Some(object) = context.node.platform.objects.get(PROGRESS_KEY).await? else {
        return Ok(None);
    };
    let progress = serde_json::from_slice(&object.value).map_err(|error| unreadable(PROGRESS_KEY, error))?;
    Ok(Some((progress, object.version)))
}

async fn list_parts(context: &DutyContext) -> Result<Vec<StoredPart>, DutyError> {
    let listing = context.node.platform.objects.list(PART_PREFIX).await?;
    let mut parts = Vec::with_capacity(listing.objects.len());
    for object in listing.objects {
        match decode(&object.object.value) {
            Ok(part) => parts.push(StoredPart {
                key: object.key,
                part,
            }),
            // The object is kept for inspection by operators. One unreadable part does not block the others.
            Err(error) => LogEvent::WindowDelayed.write(unreadable(&object.key, error)),
        }
    }
    Ok(parts)
}

async fn read_sealed(context: &DutyContext, window: WindowId) -> Result<StoredWindow, DutyError> {
    let key = window.sealed_key();
    match context.node.platform.objects.get(&key).await? {
        Some(object) => decode_sealed(&key, object.value),
        None => Err(DutyError::Missing { key }),
    }
}

fn decode_sealed(key: &str, value: Vec<u8>) -> Result<StoredWindow, DutyError> {
    let window = SealedWindow::decode(&value).map_err(|error| unreadable(key, error))?;
    Ok(StoredWindow { window, value })
}

fn encode_progress(progress: Progress) -> Vec<u8> {
    serde_json::to_vec(&progress).expect("the progress has only a number")
}

fn unreadable(key: &str, error: impl ToString) -> DutyError {
    DutyError::Unreadable {
        key: key.to_owned(),
        reason: error.to_string(),
    }
}

fn missing_progress() -> DutyError {
    DutyError::Missing {
        key: PROGRESS_KEY.to_owned(),
    }
}
