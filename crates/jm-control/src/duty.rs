//! A duty with its lease and with what its holder remembers during one term.

use std::sync::Arc;

use async_std::sync::Mutex;
use async_trait::async_trait;
use jm_node::Node;
use jm_types::{FencingNumber, LogEvent, ZoneId};

use crate::{daemon::ControlOptions, error::DutyError, guarded::Term, lease::DutyLease};

/// What rounds of all duties are given.
#[derive(Clone)]
pub(crate) struct DutyContext {
    pub(crate) node: Arc<Node>,
    pub(crate) options: ControlOptions,
    /// The zone of a duty that has a lease for each zone, and otherwise that of the daemon.
    pub(crate) zone: ZoneId,
}

/// The work of one duty. The value lives for one term, so that a new holder starts from the store.
#[async_trait]
pub(crate) trait DutyWork: Sized + Send {
    /// Reads what earlier holders left in the store.
    async fn begin(context: &DutyContext, term: &Term) -> Result<Self, DutyError>;

    /// Carries out what is due now.
    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError>;
}

/// How a round ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoundResult {
    Done,
    Failed,
}

struct Held<W> {
    fencing: FencingNumber,
    work: W,
}

/// One duty of this daemon.
pub(crate) struct DutySlot<W> {
    pub(crate) lease: DutyLease,
    held: Mutex<Option<Held<W>>>,
    last_failure: Mutex<Option<String>>,
}

impl<W: DutyWork> DutySlot<W> {
    pub(crate) fn new(lease: &str, node: &Arc<Node>) -> Self {
        Self {
            lease: DutyLease::new(lease.to_owned(), Arc::clone(node)),
            held: Mutex::new(None),
            last_failure: Mutex::new(None),
        }
    }

    /// Carries out one round and logs its failure, unless the round before failed in the same way: an outage of the
    /// platform would otherwise write one line for each duty and second.
    pub(crate) async fn logged_round(&self, context: &DutyContext, event: LogEvent) -> RoundResult {
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
                DutyError::LeaseLapsed => LogEvent::LeaseLost,
                _ => event,
            };
            event.write(format_args!("{}: {failure}", self.lease.name()));
            *last_failure = Some(failure);
        }
        RoundResult::Failed
    }

    /// Carries out one round when the lease is held.
    pub(crate) async fn round(&self, context: &DutyContext) -> Result<(), DutyError> {
        let mut held = self.held.lock().await;
        let Some(term) = self.lease.term() else {
            if held.take().is_some() {
                LogEvent::LeaseLost.write(self.lease.name());
            }
            return Ok(());
        };
        let fencing = term.guard.fencing();
        if held.as_ref().is_none_or(|held| held.fencing != fencing) {
            let work = W::begin(context, &term).await?;
            *held = Some(Held { fencing, work });
        }
        match held.as_mut() {
            Some(held) => held.work.round(context, &term).await,
            None => Ok(()),
        }
    }
}
