//! Counts usage and writes the counts to the store in parts.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::task;
use jm_config::{Target, TargetKind};
use jm_node::{Node, encode};
use jm_platform::{Condition, ObjectError};
use jm_types::{DurationMs, OrganisationId};
use jm_usage::{UsageCounter, UsageCounterOptions, UsageCounts, UsageKey, WallTime, WindowSchedule};

/// Interval between two flushes. A crash loses at most the counts of one interval.
const FLUSH_INTERVAL_MS: DurationMs = DurationMs::new(5_000);

/// The usage counter of this daemon.
pub(crate) struct Usage {
    node: Arc<Node>,
    counter: Mutex<UsageCounter>,
}

impl Usage {
    pub(crate) fn new(node: Arc<Node>) -> Arc<Self> {
        let schedule = WindowSchedule::standard();
        let id = node.peers.own_id().clone();
        let counter = UsageCounter::new(id, node.incarnation, schedule, UsageCounterOptions::default());
        Arc::new(Self {
            node,
            counter: Mutex::new(counter),
        })
    }

    fn counter(&self) -> std::sync::MutexGuard<'_, UsageCounter> {
        self.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the counts of one attempt. Requests to open services belong to no organisation and are not charged.
    pub(crate) fn record(&self, organisation: Option<&OrganisationId>, target: &Target, counts: UsageCounts) {
        let Some(organisation) = organisation else { return };
        let kind = match target.kind {
            TargetKind::Regular => jm_usage::TargetKind::Regular,
            TargetKind::Cheap => jm_usage::TargetKind::Cheap,
        };
        let key = UsageKey {
            organisation: organisation.clone(),
            service: target.service.clone(),
            kind,
        };
        self.counter().record(key, counts, wall_time());
    }

    /// Flushes the counts periodically until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            task::sleep(FLUSH_INTERVAL_MS.as_std()).await;
            self.flush().await;
        }
    }

    /// Writes all parts that the store has not confirmed.
    pub(crate) async fn flush(&self) {
        let parts = self.counter().flush();
        for part in parts {
            let value = encode(&part);
            match self
                .node
                .platform
                .objects
                .put(&part.object_key(), value, Condition::Absent)
                .await
            {
                Ok(_) | Err(ObjectError::Conflict { .. }) => self.counter().mark_written(part.id.number),
                // The part keeps its number, so that a repeated write is not counted twice.
                Err(_) => return,
            }
        }
    }

    /// Whether the store has confirmed all counts.
    pub(crate) fn is_flushed(&self) -> bool {
        self.counter().is_flushed()
    }
}

fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
