//! Maintenance of shared objects in the store: registrations of daemons, and snapshots and old changes of the
//! configuration.

mod log_maintenance;

use std::collections::HashMap;

use async_trait::async_trait;
use jm_node::{MEMBER_PREFIX, MemberRecord, decode};
use jm_platform::{Condition, KeyedObject, ObjectError};
use jm_types::{DurationMs, Incarnation, LogEvent, MemberId, Revision, Timestamp};

use crate::{
    duty::{DutyContext, DutyWork},
    error::DutyError,
    guarded::Term,
};

/// Time without an answer after which the registration of a daemon is removed. A daemon that still runs registers
/// again.
const ABSENCE_TIMEOUT_MS: DurationMs = DurationMs::new(600_000);

/// Time since which one run of a daemon has not answered.
struct Absence {
    incarnation: Incarnation,
    since: Timestamp,
}

/// State of the holder: absent daemons and progress in the configuration log.
pub(crate) struct MembersWork {
    absent: HashMap<MemberId, Absence>,
    newest_snapshot: Revision,
    /// Whether the changes and snapshots that the newest snapshot replaces were deleted. It starts as `false`, because
    /// an earlier holder may have crashed before it had deleted them.
    is_cleaned_up: bool,
}

#[async_trait]
impl DutyWork for MembersWork {
    async fn start_term(context: &DutyContext, _term: &Term) -> Result<Self, DutyError> {
        Ok(Self {
            absent: HashMap::new(),
            newest_snapshot: log_maintenance::newest_snapshot(context).await?,
            is_cleaned_up: false,
        })
    }

    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        self.remove_absent(context, term).await?;
        self.maintain_log(context, term).await
    }
}

impl MembersWork {
    async fn remove_absent(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let listing = context.node.platform.objects.list(MEMBER_PREFIX).await?;
        let now = context.node.now();
        let mut absent = HashMap::new();
        for object in &listing.objects {
            let Ok(record) = decode::<MemberRecord>(&object.object.value) else {
                continue;
            };
            if is_live(context, &record) {
                continue;
            }
            let since = self.absent_since(&record, now);
            if now.since(since) >= ABSENCE_TIMEOUT_MS {
                remove(context, term, &record, object).await?;
            } else {
                let incarnation = record.incarnation;
                absent.insert(record.id, Absence { incarnation, since });
            }
        }
        self.absent = absent;
        Ok(())
    }

    fn absent_since(&self, record: &MemberRecord, now: Timestamp) -> Timestamp {
        let known = self.absent.get(&record.id);
        let same_run = known.filter(|absence| absence.incarnation == record.incarnation);
        same_run.map_or(now, |absence| absence.since)
    }
}

fn is_live(context: &DutyContext, record: &MemberRecord) -> bool {
    let peer = context.node.peers.get(&record.id, context.node.now());
    peer.is_some_and(|peer| peer.live)
}

/// Removes a registration unless the daemon has registered again since the listing.
async fn remove(
    context: &DutyContext,
    term: &Term,
    record: &MemberRecord,
    object: &KeyedObject,
) -> Result<(), DutyError> {
    let condition = Condition::Version(object.object.version);
    let delete = context.node.platform.objects.delete(&object.key, condition);
    match term.run(delete).await? {
        Ok(()) => {
            LogEvent::MemberRemoved.write(format_args!("member {}", record.id));
            Ok(())
        }
        Err(ObjectError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}
