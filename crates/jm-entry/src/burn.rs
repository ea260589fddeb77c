//! Burn rates of service-level objectives: counts live requests that were answered completely and in time, and those
//! that were not.

use std::sync::{Arc, MutexGuard, PoisonError};

use jm_config::Service;
use jm_types::{DurationMs, OrganisationId, ResultCode, ServiceId, Timestamp};
use jm_usage::{BurnMeter, BurnRow, Objective, Outcome};

use crate::{Entry, access::Admission, refusal::Refusal};

const CLIENT_ERRORS: std::ops::Range<u16> = 400..500;
const MIN_ERROR_STATUS: u16 = 400;

/// Measures a live request against the objective of its service. A request that the caller cancels counts neither as
/// good nor as bad.
pub(crate) struct LiveRequest {
    entry: Arc<Entry>,
    started: Timestamp,
    scope: Option<ObjectiveScope>,
}

struct ObjectiveScope {
    organisation: OrganisationId,
    service: ServiceId,
    latency_ms: DurationMs,
}

impl LiveRequest {
    pub(crate) fn new(entry: &Arc<Entry>, admission: &Admission) -> Self {
        Self {
            entry: Arc::clone(entry),
            started: entry.node.now(),
            scope: objective_scope(admission),
        }
    }

    /// Records that the complete answer was sent to the caller.
    pub(crate) fn record_answer(&self, status: u16) {
        if CLIENT_ERRORS.contains(&status) {
            return;
        }
        let Some(scope) = &self.scope else { return };
        let elapsed = self.entry.node.now().since(self.started);
        let is_good = status < MIN_ERROR_STATUS && elapsed <= scope.latency_ms;
        self.record(if is_good { Outcome::Good } else { Outcome::Bad });
    }

    /// Records that the request was refused or its answer was truncated. A full queue has a 4xx status but counts as
    /// bad, because the caller did not cause it.
    pub(crate) fn record_failure(&self, refusal: &Refusal) {
        let is_caller_error = CLIENT_ERRORS.contains(&refusal.code.http_status());
        if !is_caller_error || refusal.code == ResultCode::QueueFull {
            self.record(Outcome::Bad);
        }
    }

    fn record(&self, outcome: Outcome) {
        let Some(scope) = &self.scope else { return };
        let now = self.entry.node.now();
        self.entry
            .burn_meter()
            .record(&scope.organisation, &scope.service, outcome, now);
    }
}

fn objective_scope(admission: &Admission) -> Option<ObjectiveScope> {
    Some(ObjectiveScope {
        organisation: admission.caller.as_ref()?.organisation.clone(),
        service: admission.service.id.clone(),
        latency_ms: admission.service.objective?.latency_ms,
    })
}

fn objective(service: &Service) -> Option<Objective> {
    Objective::try_from(service.objective?.percent / 100.0).ok()
}

impl Entry {
    fn burn_meter(&self) -> MutexGuard<'_, BurnMeter> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts of good and bad live requests that this daemon served in the last hour, one row for each organisation and
    /// service. Each row has the objective that the active configuration defines.
    pub fn burn_rows(&self) -> Vec<BurnRow> {
        let config = self.node.config.active();
        let mut rows = self.burn_meter().rows(self.node.now());
        for row in &mut rows {
            if let Some(objective) = config.service(&row.service).and_then(objective) {
                row.objective = objective;
            }
        }
        rows
    }
}
