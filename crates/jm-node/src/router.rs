//! Selection of the dispatch daemon for a request.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use indexmap::IndexMap;
use jm_link::{LinkError, PeerRequest, ReplyStream};
use jm_route::{
    Class, DispatcherQuery, DispatcherTable, RetryBudget, ServiceSummary, choose_dispatcher, owner_of,
    stable_hash,
};
use jm_types::{MemberId, ResultCode, ServiceId, StepId, Timestamp, ZoneId};
use snafu::Snafu;

use crate::{Node, OwnedLoad, VersionCapacity};

/// The reason why a request could not be sent to a dispatch daemon.
#[derive(Debug, Snafu)]
pub enum RouteError {
    /// No live dispatch daemon owns a target of the service.
    #[snafu(display("no live target serves {service:?}"))]
    NoDispatcher {
        /// The id of the requested service.
        service: String,
    },
    /// The call to the chosen daemon failed.
    #[snafu(display("{source}"))]
    Link {
        /// Daemon to which the call was sent.
        member: MemberId,
        /// The error of the call.
        source: LinkError,
    },
}

impl RouteError {
    /// The numbered result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NoDispatcher { .. } => ResultCode::NoTarget,
            Self::Link { source, .. } if source.request_written() => ResultCode::OutcomeUnknown,
            Self::Link { .. } => ResultCode::DispatchUnreachable,
        }
    }
}

/// The last reported load of the dispatch daemons, and the retry budget of the process.
pub struct Router {
    zone: ZoneId,
    table: Mutex<DispatcherTable>,
    reported: Mutex<IndexMap<MemberId, OwnedLoad>>,
    budget: Mutex<RetryBudget>,
    next_spread_index: AtomicU64,
}

impl Router {
    /// Creates a router for a process in `zone`.
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            table: Mutex::default(),
            reported: Mutex::default(),
            budget: Mutex::new(RetryBudget::default()),
            next_spread_index: AtomicU64::new(rand::random()),
        }
    }

    /// Stores the load report of a daemon in place of its previous report.
    pub fn update(&self, member: &MemberId, owned: OwnedLoad, now: Timestamp) {
        let before = lock(&self.reported).insert(member.clone(), owned.clone());
        let mut table = lock(&self.table);
        if before.is_some_and(|before| lacks_service(&before, &owned)) {
            table.remove(member);
        }
        for summary in owned.summaries {
            table.update(member, summary, now);
        }
    }

    /// Removes the load report of a daemon that is no longer live.
    pub fn remove(&self, member: &MemberId) {
        lock(&self.reported).shift_remove(member);
        lock(&self.table).remove(member);
    }

    /// The capacity of a service per weight version, as reported by each dispatch daemon.
    pub fn versions(&self, service: &ServiceId) -> Vec<VersionCapacity> {
        let reported = lock(&self.reported);
        let all = reported.values().flat_map(|owned| &owned.versions);
        all.filter(|capacity| capacity.service == *service)
            .cloned()
            .collect()
    }

    fn summaries(&self, is_live: impl Fn(&MemberId) -> bool) -> Vec<ServiceSummary> {
        let reported = lock(&self.reported);
        let live = reported.iter().filter(|(member, _)| is_live(member));
        live.flat_map(|(_, owned)| owned.summaries.iter().cloned())
            .collect()
    }

    /// Counts a new request, which adds to the retry budget.
    pub fn count_request(&self) {
        lock(&self.budget).deposit();
    }

    /// Takes one retry from the retry budget. Returns `false` when the budget is exhausted.
    pub fn withdraw_retry(&self) -> bool {
        lock(&self.budget).withdraw()
    }

    fn choose(&self, query: DispatcherQuery<'_>, now: Timestamp) -> Option<MemberId> {
        choose_dispatcher(query, &lock(&self.table), now, &mut rand::rng())
    }
}

/// Whether `now` lacks a summary that `before` contains, because the daemon lost its last target of a service in a
/// zone.
fn lacks_service(before: &OwnedLoad, now: &OwnedLoad) -> bool {
    let is_same = |a: &ServiceSummary, b: &ServiceSummary| a.service == b.service && a.zone == b.zone;
    before
        .summaries
        .iter()
        .any(|old| !now.summaries.iter().any(|new| is_same(old, new)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// The load summaries of all live dispatch daemons.
    pub fn live_summaries(&self) -> Vec<ServiceSummary> {
        let now = self.now();
        self.router
            .summaries(|id| self.peers.get(id, now).is_some_and(|peer| peer.live))
    }

    /// Selects a live dispatch daemon for a request by load and prompt prefix, excluding the daemons in `avoid`. `None`
    /// when no daemon owns a target of the service.
    pub fn choose_dispatcher(
        &self,
        service: &ServiceId,
        class: Class,
        prefix_hash: Option<u64>,
        avoid: &[MemberId],
    ) -> Option<MemberId> {
        let now = self.now();
        let live = |id: &MemberId| self.peers.get(id, now).is_some_and(|peer| peer.live);
        let mut avoid = avoid.to_vec();
        loop {
            let spread_index = self.router.next_spread_index.fetch_add(1, Ordering::Relaxed);
            let query = DispatcherQuery {
                spread_index,
                service,
                class,
                prefix_hash,
                own_zone: &self.router.zone,
                avoid: &avoid,
            };
            match self.router.choose(query, now) {
                Some(member) if live(&member) => return Some(member),
                Some(failed) => avoid.push(failed),
                None => return self.any_target_owner(service, &avoid),
            }
        }
    }

    /// Selects any owner of a target of the service. Used before load summaries have arrived.
    fn any_target_owner(&self, service: &ServiceId, avoid: &[MemberId]) -> Option<MemberId> {
        let members = self.peers.dispatchers(self.now());
        let config = self.config.active();
        let ordered = self.ordered_targets.current();
        let configured = config
            .targets_of(service)
            .map(|target| (&target.id, &target.zone));
        let mut targets = configured.chain(ordered.targets_of(service));
        targets.find_map(|(target, zone)| {
            owner_of(target, zone, &members).filter(|owner| !avoid.contains(owner))
        })
    }

    /// The live dispatch daemons in the order in which they own a step, determined by a rendezvous hash of the step id.
    pub fn step_candidates(&self, step: &StepId) -> Vec<MemberId> {
        let key = stable_hash(step.as_str().as_bytes());
        let mut members = self.peers.dispatchers(self.now());
        members.sort_by_cached_key(|member| {
            let seed = format!("{key:016x}{}", member.id);
            (!member.live, stable_hash(seed.as_bytes()))
        });
        members
            .into_iter()
            .filter(|member| member.live)
            .map(|member| member.id)
            .collect()
    }

    /// Sends a request to a daemon over a link and returns the stream of its replies.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is not registered, has no link address or cannot be reached.
    pub async fn call_member(
        &self,
        member: &MemberId,
        request: PeerRequest,
    ) -> Result<ReplyStream, RouteError> {
        let peer = self.peers.get(member, self.now());
        let Some(address) = peer.and_then(|peer| peer.record.link_address) else {
            let reason = "the daemon is not registered or has no link address".to_owned();
            let source = LinkError::Connect {
                address: member.to_string(),
                reason,
            };
            return Err(RouteError::Link {
                member: member.clone(),
                source,
            });
        };
        let called = self.links.call(&address, request).await;
        called.map_err(|source| RouteError::Link {
            member: member.clone(),
            source,
        })
    }
}
