//! A duty with its lease and the state that its holder keeps for one term.

use std::sync::Arc;

use async_std::sync::Mutex;
use async_trait::async_trait;
use jm_node::Node;
use jm_types::{FencingNumber, LogEvent, ZoneId};

use crate::{daemon::ControlOptions, error::DutyError, guarded::Term, lease::DutyLease};

/// Context that is passed to the rounds of all duties.
#[derive(Clone)]
pub(crate) struct DutyContext {
    pub(crate) node: Arc<Node>,
    pub(crate) options: ControlOptions,
    /// Zone of the lease if the duty has one lease for each zone, otherwise the zone of the daemon.
    pub(crate) zone: ZoneId,
}

/// Implementation of a duty. A value is created for each term, so that a new holder starts from the state in the
/// store.
#[async_trait]
pub(crate) trait DutyWork: Sized + Send {
    /// Loads the state that earlier holders wrote to the store.
    async fn start_term(context: &DutyContext, term: &Term) -> Result<Self, DutyError>;

    /// Carries out the work that is due.
    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError>;
}

/// Outcome of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoundResult {
    Done,
    Failed,
}

struct ActiveTerm<W> {
    fencing: FencingNumber,
    work: W,
}

/// A duty of this daemon with its lease and the state of the current term.
pub(crate) struct DutySlot<W> {
    pub(crate) lease: DutyLease,
    active: Mutex<Option<ActiveTerm<W>>>,
    last_failure: Mutex<Option<String>>,
}

impl<W: DutyWork> DutySlot<W> {
    pub(crate) fn new(lease: &str, node: &Arc<Node>) -> Self {
        Self {
            lease: DutyLease::new(lease.to_owned(), Arc::clone(node)),
            active: Mutex::new(None),
            last_failure: Mutex::new(None),
        }
    }

    /// Carries out one round and logs an error unless the previous round failed with the same one. An outage of the
    /// platform would otherwise write one line for each duty and second.
    pub(crate) async fn round_with_log(&self, context: &DutyContext, event: LogEvent) -> RoundResult {
        let result = self.round(context).await;
        let mut last_failure = self.last_failure.lock().await;
        let Err(error) = result else {
            if last_failure.take().is_some() {
                LogEvent::DutyRecovered.write(self.lease.name());
            }
            return RoundResult::Done;
        };
        let failure = error.to_string();
        if last_failure.as_ref() != Some(&failure) {
            let event = match error {
                DutyError::LeaseExpired => LogEvent::LeaseLost,
                _ => event,
            };
            event.write(format_args!("{}: {failure}", self.lease.name()));
            *last_failure = Some(failure);
        }
        RoundResult::Failed
    }

    /// Carries out one round if the lease is held.
    pub(crate) async fn round(&self, context: &DutyContext) -> Result<(), DutyError> {
        let mut active = self.active.lock().await;
        let Some(term) = self.lease.term() else {
            if active.take().is_some() {
                LogEvent::LeaseLost.write(self.lease.name());
            }
            return Ok(());
        };
        let fencing = term.guard.fencing();
        if active.as_ref().is_none_or(|active| active.fencing != fencing) {
            let work = W::start_term(context, &term).await?;
            *active = Some(ActiveTerm { fencing, work });
        }
        match active.as_mut() {
            Some(active) => active.work.round(context, &term).await,
            None => Ok(()),
        }
    }
}
