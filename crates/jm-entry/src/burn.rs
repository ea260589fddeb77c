//! Service-level burn: which live requests were answered whole and in time.

use std::sync::{Arc, MutexGuard, PoisonError};

use jm_config::Service;
use jm_types::{DurationMs, OrganisationId, ResultCode, ServiceId, Timestamp};
use jm_usage::{BurnMeter, BurnRow, Objective, Outcome};

use crate::{Entry, access::Admission, refusal::Refusal};

const CLIENT_ERRORS: std::ops::Range<u16> = 400..500;
const FIRST_ERROR: u16 = 400;

/// A live request of an organisation to a service with an objective. A request that the caller gives up counts neither
/// as good nor as bad.
pub(crate) struct LiveRequest {
    entry: Arc<Entry>,
    started: Timestamp,
    measured: Option<Measured>,
}

struct Measured {
    organisation: OrganisationId,
    service: ServiceId,
    latency_ms: DurationMs,
}

impl LiveRequest {
    pub(crate) fn new(entry: &Arc<Entry>, admission: &Admission) -> Self {
        Self {
            entry: Arc::clone(entry),
            started: entry.node.now(),
            measured: measured(admission),
        }
    }

    /// The answer was given to the caller as a whole.
    pub(crate) fn answered(&self, status: u16) {
        if CLIENT_ERRORS.contains(&status) {
            return;
        }
        let Some(measured) = &self.measured else { return };
        let elapsed = self.entry.node.now().since(self.started);
        let is_good = status < FIRST_ERROR && elapsed <= measured.latency_ms;
        self.record(if is_good { Outcome::Good } else { Outcome::Bad });
    }

    /// The request was refused or its answer was cut. A full queue has a client status but is no fault of the caller.
    pub(crate) fn failed(&self, refusal: &Refusal) {
        let is_caller_error = CLIENT_ERRORS.contains(&refusal.code.http_status());
        if !is_caller_error || refusal.code == ResultCode::QueueFull {
            self.record(Outcome::Bad);
        }
    }

    fn record(&self, outcome: Outcome) {
        let Some(measured) = &self.measured else { return };
        let now = self.entry.node.now();
        self.entry
            .burn_meter()
            .record(&measured.organisation, &measured.service, outcome, now);
    }
}

fn measured(admission: &Admission) -> Option<Measured> {
    Some(Measured {
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

    /// Good and bad live requests that this daemon served in the last hour, under the objectives in force.
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
