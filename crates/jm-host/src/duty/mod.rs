//! Shared duties, which the holder of a lease carries out for all hosts: weight loading, usage reports, target
//! capacity and maintenance. The lease is one object in the store.
//!
//! One lease covers all duties, because the duties are cheap and each lease costs store calls. `docs/platform.md`
//! compares the alternatives.

mod capacity;
mod lease_role;
mod maintenance;
mod usage;
mod weights;

use std::sync::{Arc, Mutex, PoisonError};

use async_std::task;
use jm_batch::MembershipView;
use jm_lease::{Acquisition, Duty, LeaseError, LeaseGuard, LeaseManager, LeaseOptions, LeaseRecord};
use jm_platform::ObjectStore;
use jm_types::{Clock, DurationMs, LogEvent, MemberId};

pub(crate) use capacity::CapacityDuty;
pub use lease_role::{LeaseRole, lease_role};
pub(crate) use maintenance::MaintenanceDuty;
pub use usage::{UsageAggregator, UsageCounter};
pub(crate) use usage::{UsageDuty, UsagePublisher};
pub(crate) use weights::WeightDuty;

use self::lease_role::lease_candidates;
use crate::{
    membership::Membership,
    peer::{PeerClient, PeerReply, PeerRequest},
};

/// Interval at which the holder and the candidates poll the lease.
const CANDIDATE_INTERVAL_MS: DurationMs = DurationMs::new(600);
/// Interval at which the other hosts look up the holder.
const OBSERVER_INTERVAL_MS: DurationMs = DurationMs::new(6_000);
/// Interval at which the other hosts look up the holder while it is unknown or not alive.
const HOLDER_SEARCH_INTERVAL_MS: DurationMs = DurationMs::new(1_500);
/// Interval at which a waiting host checks whether the holder is still alive.
const WAIT_POLL_MS: DurationMs = DurationMs::new(300);
/// Maximum time for which a starting host waits for the first listing of hosts.
const HOSTS_LISTED_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);
/// Interval at which a starting host checks whether the hosts are listed.
const HOSTS_LISTED_POLL_MS: DurationMs = DurationMs::new(20);
/// Time after the last observed renewal before which other hosts must not acquire the lease. It is short because no
/// weights are loaded while the lease has no live holder, and a step is due a few seconds after its weight version
/// was published.
const LEASE_TERM_MS: DurationMs = DurationMs::new(2_200);
/// Safety margin at the end of the term in which the holder no longer acts.
const LEASE_MARGIN_MS: DurationMs = DurationMs::new(400);
/// Maximum time between sending a call of a duty and its last possible effect.
pub const MAX_DUTY_CALL_MS: DurationMs = DurationMs::new(800);
/// Margin added to the platform's bound on alternating holders. A host that lost the lease does not reacquire it until
/// the sum of both has passed.
const COOLDOWN_MARGIN_MS: DurationMs = DurationMs::new(500);

/// Last known state of the lease: the guard while this host holds it, and the holder.
#[derive(Default)]
pub(crate) struct LeaseView {
    state: Mutex<(Option<LeaseGuard>, Option<MemberId>)>,
}

impl LeaseView {
    /// Returns the guard while this host holds the lease and may send orders.
    pub(crate) fn guard(&self, clock: &dyn Clock) -> Option<LeaseGuard> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let guard = state.0.clone()?;
        let now = clock.now();
        (guard.is_valid(now) && now >= guard.orders_allowed_at()).then_some(guard)
    }

    /// Last known holder.
    pub(crate) fn holder(&self) -> Option<MemberId> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .1
            .clone()
    }

    fn set(&self, guard: Option<LeaseGuard>, holder: Option<MemberId>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let held = state.0.as_ref().map(LeaseGuard::fencing);
        let holds = guard.as_ref().map(LeaseGuard::fencing);
        if held != holds {
            match holds {
                Some(fencing) => LogEvent::LeaseAcquired.write_fields(
                    "this host acquired the lease of the shared duties",
                    &[("fencing", &fencing.get())],
                ),
                None => LogEvent::LeaseLost
                    .write_fields("this host no longer holds the lease of the shared duties", &[]),
            }
        }
        if state.1 != holder
            && let Some(holder) = &holder
        {
            LogEvent::LeaseHolderSeen.write_fields(
                "the lease of the shared duties has a new holder",
                &[("holder", &holder.as_str())],
            );
        }
        *state = (guard, holder);
    }
}

/// Acquires and renews the lease when this host is a candidate; otherwise looks up the holder.
pub(crate) struct LeaseLoop {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) view: Arc<LeaseView>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) lease_ms: DurationMs,
}

impl LeaseLoop {
    /// Runs until this host starts to leave, then releases the lease.
    pub(crate) async fn run(&self) {
        let mut options = LeaseOptions::new(
            Duty::Fleet,
            self.membership.own_id().clone(),
            self.membership.incarnation(),
        );
        options.term_ms = LEASE_TERM_MS;
        options.single_instance = true;
        options.cooldown_ms = self.lease_ms.saturating_add(COOLDOWN_MARGIN_MS);
        options.margin_ms = LEASE_MARGIN_MS;
        options.longest_order_ms = MAX_DUTY_CALL_MS;
        let mut manager = match LeaseManager::new(options) {
            Ok(manager) => manager,
            Err(error) => {
                LogEvent::DaemonFailed.write(format_args!("the lease options are not valid: {error}"));
                return;
            }
        };
        manager.start_cooldown(self.clock.now());
        self.wait_for_hosts().await;
        while !self.membership.is_leaving() {
            let interval = self.poll(&mut manager).await;
            self.wait(interval, manager.guard().is_some()).await;
        }
        match manager.release(&*self.store, &*self.clock).await {
            Ok(()) | Err(LeaseError::NotHeld) => {}
            Err(error) => LogEvent::LeaseLost.write(format_args!("the lease was not released: {error}")),
        }
        self.view.set(None, self.view.holder());
    }

    /// Waits for the first listing of hosts. Without the listing, each host would be its own only candidate, and
    /// all hosts that start at once would read the lease.
    async fn wait_for_hosts(&self) {
        let until = self.clock.now().after(HOSTS_LISTED_TIMEOUT_MS);
        while self.clock.now() < until && !self.membership.is_listed() {
            task::sleep(HOSTS_LISTED_POLL_MS.as_std()).await;
        }
    }

    /// Waits for `interval`, or until this host starts to leave or the known holder is no longer alive.
    async fn wait(&self, interval: DurationMs, holds: bool) {
        let until = self.clock.now().after(interval);
        let holder = self.view.holder();
        let was_live = holder.as_ref().is_some_and(|holder| self.is_live(holder));
        while self.clock.now() < until && !self.membership.is_leaving() {
            task::sleep(WAIT_POLL_MS.min(until.since(self.clock.now())).as_std()).await;
            let is_live = holder.as_ref().is_some_and(|holder| self.is_live(holder));
            if !holds && was_live && !is_live {
                return;
            }
        }
    }

    async fn poll(&self, manager: &mut LeaseManager) -> DurationMs {
        let holds = manager.guard().is_some();
        if !holds && self.role() == LeaseRole::Observer {
            self.discover_holder().await;
            // A host that finds its own earlier run as the holder goes on as a candidate.
            if self.role() == LeaseRole::Observer {
                return self.observer_interval();
            }
        }
        match manager.acquire(&*self.store, &*self.clock).await {
            Ok(Acquisition::Held(guard)) => {
                self.view.set(Some(guard), Some(self.membership.own_id().clone()))
            }
            Ok(Acquisition::Observing { holder, .. }) => self.view.set(None, holder),
            Err(error) => {
                LogEvent::StoreUnavailable.write(format_args!("the lease cannot be renewed: {error}"));
                self.view.set(manager.guard().cloned(), self.view.holder());
            }
        }
        CANDIDATE_INTERVAL_MS
    }

    fn observer_interval(&self) -> DurationMs {
        match self.view.holder().is_some_and(|holder| self.is_live(&holder)) {
            true => OBSERVER_INTERVAL_MS,
            false => HOLDER_SEARCH_INTERVAL_MS,
        }
    }

    /// Asks the candidates for the holder, or reads it from the store when none of them answers.
    async fn discover_holder(&self) {
        for candidate in self.candidates() {
            let request = PeerRequest::LeaseHolder;
            let reply = self
                .peers
                .call_member(&candidate, &request, DurationMs::new(0))
                .await;
            if let Some(PeerReply::LeaseHolder(Some(holder))) = reply {
                self.view.set(None, Some(holder));
                return;
            }
        }
        match self.store.get(&Duty::Fleet.key()).await {
            Ok(Some(object)) => match serde_json::from_slice::<LeaseRecord>(&object.value) {
                Ok(record) => self.view.set(None, Some(record.holder)),
                Err(error) => {
                    LogEvent::ConfigUnreadable.write(format_args!("the lease cannot be read: {error}"))
                }
            },
            Ok(None) => {}
            Err(error) => LogEvent::StoreUnavailable.write(format_args!("the lease cannot be read: {error}")),
        }
    }

    fn is_live(&self, member: &MemberId) -> bool {
        self.live().contains(member)
    }

    fn role(&self) -> LeaseRole {
        let own = self.membership.own_id();
        let hosts = self.capable();
        lease_role(&Duty::Fleet.key(), own, &hosts, self.view.holder().as_ref())
    }

    fn candidates(&self) -> Vec<MemberId> {
        lease_candidates(&Duty::Fleet.key(), &self.capable())
    }

    /// The hosts that may take the lease. Its holder calls every engine, which takes processor time.
    fn capable(&self) -> Vec<MemberId> {
        let capable = self.membership.owner_candidates().into_iter();
        capable.map(|(member, _)| member).collect()
    }

    fn live(&self) -> Vec<MemberId> {
        let live = self.membership.live().into_iter();
        live.map(|(member, _)| member).collect()
    }
}
