//! Snapshots of the configuration, and deletion of changes that are no longer needed; see section 4.1 of
//! `docs/design.md`.

use jm_config::RETAINED_CHANGE_IDS;
use jm_node::{
    CHANGE_PREFIX, SNAPSHOT_PREFIX, StoredSnapshot, change_revision, is_snapshot_manifest, snapshot_revision,
};
use jm_platform::{Condition, KeyedObject, ObjectError};
use jm_types::{LogEvent, Revision};

use super::MembersWork;
use crate::{duty::DutyContext, error::DutyError, guarded::Term};

/// Number of changes between two snapshots.
const SNAPSHOT_CHANGES: Revision = Revision::new(256);

/// Number of changes before the newest snapshot that are kept. It equals the number that a daemon keeps in memory, so
/// that a daemon that is fewer changes behind catches up without a snapshot.
const KEPT_CHANGES: Revision = Revision::new(RETAINED_CHANGE_IDS);

/// Number of snapshots that are kept. The previous snapshot is kept for readers that have just listed it.
const KEPT_SNAPSHOTS: usize = 2;

/// Returns the revision of the newest snapshot, or 0 if there is none.
pub(super) async fn newest_snapshot(context: &DutyContext) -> Result<Revision, DutyError> {
    let listing = context.node.platform.objects.list(SNAPSHOT_PREFIX).await?;
    Ok(complete_snapshots(&listing.objects)
        .last()
        .copied()
        .unwrap_or_default())
}

/// Returns the revisions of the complete snapshots in a listing, oldest first.
fn complete_snapshots(objects: &[KeyedObject]) -> Vec<Revision> {
    objects
        .iter()
        .filter(|object| is_snapshot_manifest(&object.key))
        .filter_map(|object| snapshot_revision(&object.key))
        .collect()
}

impl MembersWork {
    /// Writes a snapshot if one is due, and deletes the changes and snapshots that the newest one replaces.
    pub(super) async fn maintain_log(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let config = &context.node.config;
        let due = self.newest_snapshot.saturating_add(SNAPSHOT_CHANGES);
        if config.is_loaded() && config.revision() >= due {
            let snapshot = config.snapshot();
            let revision = snapshot.revision;
            let stored = StoredSnapshot::split(&snapshot, term.guard.fencing());
            write_snapshot(context, term, stored).await?;
            LogEvent::SnapshotWritten.write(format_args!("revision {revision}"));
            self.newest_snapshot = revision;
            self.is_cleaned_up = false;
        }
        if !self.is_cleaned_up {
            delete_old_changes(context, term, self.newest_snapshot).await?;
            delete_old_snapshots(context, term).await?;
            self.is_cleaned_up = true;
        }
        Ok(())
    }
}

/// Writes the parts and then the manifest. An existing manifest is equivalent, because equal logs result in equal
/// states.
async fn write_snapshot(
    context: &DutyContext,
    term: &Term,
    snapshot: StoredSnapshot,
) -> Result<(), DutyError> {
    let objects = &context.node.platform.objects;
    for part in snapshot.parts {
        term.run(objects.put(&part.key, part.value, Condition::Any))
            .await??;
    }
    let manifest = snapshot.manifest;
    let put = objects.put(&manifest.key, manifest.value, Condition::Absent);
    match term.run(put).await? {
        Ok(_) | Err(ObjectError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Deletes changes in ascending order. A daemon that proposes a change relies on that order: if the preceding revision
/// exists, the revision itself was not deleted.
async fn delete_old_changes(context: &DutyContext, term: &Term, snapshot: Revision) -> Result<(), DutyError> {
    let objects = &context.node.platform.objects;
    let oldest_kept = snapshot.saturating_sub(KEPT_CHANGES);
    let listing = objects.list(CHANGE_PREFIX).await?;
    for object in &listing.objects {
        if change_revision(&object.key).is_some_and(|revision| revision < oldest_kept) {
            term.run(objects.delete(&object.key, Condition::Any)).await??;
        }
    }
    Ok(())
}

/// Deletes older snapshots, and the parts of older snapshots that were never completed.
async fn delete_old_snapshots(context: &DutyContext, term: &Term) -> Result<(), DutyError> {
    let objects = &context.node.platform.objects;
    let listing = objects.list(SNAPSHOT_PREFIX).await?;
    let snapshots = complete_snapshots(&listing.objects);
    let Some(oldest_kept) = snapshots.iter().rev().nth(KEPT_SNAPSHOTS - 1) else {
        return Ok(());
    };
    // A manifest sorts before its parts, so it is deleted first.
    for object in &listing.objects {
        if snapshot_revision(&object.key).is_some_and(|revision| revision < *oldest_kept) {
            term.run(objects.delete(&object.key, Condition::Any)).await??;
        }
    }
    Ok(())
}
