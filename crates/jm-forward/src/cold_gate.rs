//! The record of cold targets that all senders of a host share, with what is known about the senders on other hosts.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use indexmap::{IndexMap, IndexSet};
use jm_types::{DurationMs, MemberId, ModelId, Rate, ServiceId, Timestamp, WeightVersion};

use crate::{
    Catalog, ColdQuota, ColdStart, ColdTargets, RouteKind, RoutingTable, RunKey, SendKind, Target, cold_quota,
};

/// Time for which a host that no longer owns a batch still counts as a sender. After a change of the owner, the requests
/// of both owners reach an engine in the same second.
const SENDER_RETENTION_MS: DurationMs = DurationMs::new(1_500);

/// Time for which a new owner of a batch uses half of its share, because owners that began at the same time may not know
/// of each other yet.
const NEW_SENDER_MS: DurationMs = DurationMs::new(1_000);

/// What a host knows about the hosts that send batch items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HostKnowledge {
    /// The registered hosts were not listed yet.
    #[default]
    Unlisted,
    /// The owners of batches may have changed unnoticed, so each registered host counts as a sender.
    Uncertain,
    /// The owners of batches are known.
    Certain,
}

/// A host that owns a running batch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemSender {
    /// The owner.
    pub owner: MemberId,
    /// Model of the batch; `None` if any engine may generate its texts.
    pub model: Option<ModelId>,
}

impl ItemSender {
    /// Whether the target is listed with weights that the owner's batches accept. An engine with older weights receives none
    /// of its items. The list lags behind a load by about a second, in which one more owner may send; the margin between the
    /// rate and the bound covers it.
    fn may_use(&self, target: &Target, min_version: WeightVersion) -> bool {
        let Some(model) = &self.model else { return true };
        match target.models.get(model) {
            Some(version) => *version >= min_version,
            None => target.models.is_empty(),
        }
    }
}

/// When an owner was first and last seen, and the oldest weights that its batches accept.
#[derive(Debug, Clone, Copy)]
struct Seen {
    first_at: Timestamp,
    last_at: Timestamp,
    min_version: WeightVersion,
}

/// Limit of a service whose targets start cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServiceLimit {
    start: ColdStart,
    /// Rate for each kind of request. Half of the rate of the service if both kinds may reach it.
    rate: Rate,
}

#[derive(Debug, Default)]
struct GateState {
    limits: IndexMap<ServiceId, ServiceLimit>,
    targets: ColdTargets,
    registered: Vec<MemberId>,
    knowledge: HostKnowledge,
    /// Owners of running batches.
    item_senders: IndexMap<ItemSender, Seen>,
}

impl GateState {
    fn quota(
        &self,
        own: &MemberId,
        rate: Rate,
        target: &Target,
        kind: SendKind,
        now: Timestamp,
    ) -> ColdQuota {
        match (self.knowledge, kind) {
            (HostKnowledge::Unlisted, _) => ColdQuota::UNKNOWN_SENDERS,
            (HostKnowledge::Certain, SendKind::Item) => self.item_quota(own, rate, target, now),
            _ => cold_quota(rate, own, &self.registered, &target.run),
        }
    }

    fn item_quota(&self, own: &MemberId, rate: Rate, target: &Target, now: Timestamp) -> ColdQuota {
        let senders = || {
            self.item_senders
                .iter()
                .filter(|(sender, seen)| sender.may_use(target, seen.min_version))
        };
        let owners: IndexSet<&MemberId> = senders().map(|(sender, _)| &sender.owner).collect();
        let owners: Vec<MemberId> = owners.into_iter().cloned().collect();
        let mut own_senders = self
            .item_senders
            .iter()
            .filter(|(sender, _)| sender.owner == *own);
        let is_known = own_senders.any(|(_, seen)| now.since(seen.first_at) >= NEW_SENDER_MS);
        let rate = match is_known {
            true => rate,
            false => Rate::new(rate.get() / 2.0),
        };
        cold_quota(rate, own, &owners, &target.run)
    }
}

/// Decides for all senders of a host whether a request may be sent to a target that may be cold. While no target of a
/// service with a limit is cold, a decision only reads a flag.
#[derive(Debug)]
pub struct ColdGate {
    own: MemberId,
    /// Whether any service has a limit.
    has_limits: AtomicBool,
    /// Whether any run is recorded as cold.
    has_cold: AtomicBool,
    state: Mutex<GateState>,
}

impl ColdGate {
    /// Creates a gate for the host `own` that holds nothing back.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            has_limits: AtomicBool::new(false),
            has_cold: AtomicBool::new(false),
            state: Mutex::default(),
        }
    }

    /// Applies the limits of a configuration. Returns the services that had none before, whose listed targets have to be
    /// passed to [`Self::listed`].
    pub fn set_limits(&self, table: &RoutingTable) -> IndexSet<ServiceId> {
        let limited = table
            .services()
            .filter_map(|service| Some((&service.id, service.cold_start?)));
        let limits: IndexMap<ServiceId, ServiceLimit> = limited
            .map(|(id, start)| {
                let rate = match receives_both_kinds(table, id) {
                    true => Rate::new(start.requests_per_s.get() / 2.0),
                    false => start.requests_per_s,
                };
                (id.clone(), ServiceLimit { start, rate })
            })
            .collect();
        let mut state = self.lock();
        let is_new = |id: &&ServiceId| !state.limits.contains_key(*id);
        let new = limits.keys().filter(is_new).cloned().collect();
        self.has_limits.store(!limits.is_empty(), Ordering::Relaxed);
        state.limits = limits;
        new
    }

    /// Sets the registered hosts, which all send live requests, and what this host knows about the owners of batches.
    pub fn set_hosts(&self, registered: Vec<MemberId>, knowledge: HostKnowledge) {
        let mut state = self.lock();
        state.registered = registered;
        state.knowledge = knowledge;
    }

    /// Sets the owners of the running batches, each with the minimum weight version of a batch.
    pub fn set_item_senders(
        &self,
        senders: impl IntoIterator<Item = (ItemSender, WeightVersion)>,
        now: Timestamp,
    ) {
        let mut state = self.lock();
        let mut lowest: IndexMap<ItemSender, WeightVersion> = IndexMap::new();
        for (sender, min_version) in senders {
            let version = lowest.entry(sender).or_insert(min_version);
            *version = min_version.min(*version);
        }
        for (sender, min_version) in lowest {
            let first = Seen {
                first_at: now,
                last_at: now,
                min_version,
            };
            let seen = state.item_senders.entry(sender).or_insert(first);
            seen.last_at = now;
            seen.min_version = min_version;
        }
        state
            .item_senders
            .retain(|_, seen| now.since(seen.last_at) < SENDER_RETENTION_MS);
    }

    /// Whether any service has a limit.
    pub fn has_limits(&self) -> bool {
        self.has_limits.load(Ordering::Relaxed)
    }

    /// Whether any target is recorded as cold. Otherwise no request needs a check.
    pub fn has_cold(&self) -> bool {
        self.has_cold.load(Ordering::Relaxed)
    }

    /// Whether targets of the service have a limit while they are cold.
    pub fn is_limited(&self, service: &ServiceId) -> bool {
        self.has_limits() && self.lock().limits.contains_key(service)
    }

    /// Records the entry of a target that was written anew. Returns whether the target became cold.
    pub fn listed(&self, target: &Target, unix_ms: u64, now: Timestamp) -> bool {
        let mut state = self.lock();
        let Some(limit) = state.limits.get(&target.service) else {
            return false;
        };
        let duration_ms = limit.start.duration_ms;
        // A start time of zero is unknown. A start in the future shows that the clocks differ.
        let age_ms = unix_ms.saturating_sub(target.run.started_unix_ms);
        let left_ms = target
            .cold_left_ms
            .max(duration_ms.saturating_sub(DurationMs::new(age_ms)));
        let has_become = state.targets.observe(&target.run, left_ms, now);
        self.update_flag(&state);
        has_become
    }

    /// Records that a target of `service` reported in a response that it is cold. Returns whether it became cold.
    pub fn observe(&self, service: &ServiceId, run: &RunKey, left_ms: DurationMs, now: Timestamp) -> bool {
        self.change(service, |targets, _| targets.reported(run, left_ms, now))
    }

    /// Records that a connection to a target failed. Returns whether it became cold.
    pub fn connection_failed(&self, target: &Target, now: Timestamp) -> bool {
        self.change(&target.service, |targets, _| {
            targets.connection_failed(&target.run, now)
        })
    }

    /// Records a response of a target.
    pub fn answered(&self, target: &Target, now: Timestamp) {
        if self.has_cold() {
            self.change(&target.service, |targets, start| {
                targets.answered(&target.run, start.duration_ms, now);
                false
            });
        }
    }

    fn change(&self, service: &ServiceId, change: impl FnOnce(&mut ColdTargets, ColdStart) -> bool) -> bool {
        if !self.has_limits() {
            return false;
        }
        let mut state = self.lock();
        let Some(start) = state.limits.get(service).map(|limit| limit.start) else {
            return false;
        };
        let has_become = change(&mut state.targets, start);
        self.update_flag(&state);
        has_become
    }

    /// Whether a request may be sent to the target now. One that may not counts as held back.
    pub fn may_send(&self, target: &Target, kind: SendKind, now: Timestamp) -> bool {
        if !self.has_cold() {
            return true;
        }
        let mut state = self.lock();
        let Some(rate) = state.limits.get(&target.service).map(|limit| limit.rate) else {
            return true;
        };
        if !state.targets.is_cold(&target.run, now) {
            return true;
        }
        // A pass over many items and engines computes each quota once.
        if state.targets.is_held(&target.run, kind, now) {
            return false;
        }
        let quota = state.quota(&self.own, rate, target, kind, now);
        state.targets.may_send(&target.run, kind, quota, now)
    }

    /// Records a request to a target at the moment of the decision to send it. Callers decide and record under a lock of
    /// their own, one for each kind of request.
    pub fn record_send(&self, target: &Target, kind: SendKind, now: Timestamp) {
        if self.has_cold() {
            self.lock().targets.record_send(&target.run, kind, now);
        }
    }

    /// The earliest time after `now` at which a request that was held back can be sent to one of these targets; `None` if
    /// there is none.
    pub fn next_send_at<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        kind: SendKind,
        now: Timestamp,
    ) -> Option<Timestamp> {
        if !self.has_cold() {
            return None;
        }
        let runs = targets.map(|target| &target.run);
        self.lock().targets.next_send_at(runs, kind, now)
    }

    /// Removes the runs that are warm or have not been listed for a while. Returns those that became warm.
    pub fn retain(&self, catalog: &Catalog, now: Timestamp) -> Vec<RunKey> {
        if !self.has_cold() {
            return Vec::new();
        }
        let is_listed = |run: &RunKey| catalog.get(&run.id).is_some_and(|target| target.run == *run);
        let mut state = self.lock();
        let warm = state.targets.retain(is_listed, now);
        self.update_flag(&state);
        warm
    }

    /// Number of intervals in which a request was held back, since the last call.
    pub fn take_held(&self) -> u64 {
        self.lock().targets.take_held()
    }

    fn update_flag(&self, state: &GateState) {
        self.has_cold.store(!state.targets.is_empty(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        // Each change completes before any code that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether both live requests and batch items or their reward calls may reach a service. Reward calls use routes of live
/// requests, and only the items name them.
fn receives_both_kinds(table: &RoutingTable, service: &ServiceId) -> bool {
    let is_batch = |kind: &RouteKind| matches!(kind, RouteKind::Batch(_));
    let has_batches = table.routes().any(|route| is_batch(&route.kind));
    let has_live = table.routes().any(|route| {
        !is_batch(&route.kind) && route.services.iter().any(|weighted| weighted.service == *service)
    });
    has_batches && has_live
}
