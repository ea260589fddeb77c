//! Choice of the dispatch daemon for a request.

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

/// Why a request found no dispatch daemon.
#[derive(Debug, Snafu)]
pub enum RouteError {
    /// No live dispatch daemon owns a target of the service.
    #[snafu(display("no live target serves {service:?}"))]
    NoDispatcher {
        /// The service.
        service: String,
    },
    /// The chosen daemon could not be reached.
    #[snafu(display("{source}"))]
    Link {
        /// The daemon.
        member: MemberId,
        /// The cause.
        source: LinkError,
    },
}

impl RouteError {
    /// The numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NoDispatcher { .. } => ResultCode::NoTarget,
            Self::Link { source, .. } if source.request_written() => ResultCode::OutcomeUnknown,
            Self::Link { .. } => ResultCode::DispatchUnreachable,
        }
    }
}

/// What a process knows of the load of dispatch daemons.
pub struct Router {
    zone: ZoneId,
    table: Mutex<DispatcherTable>,
    known: Mutex<IndexMap<MemberId, OwnedLoad>>,
    budget: Mutex<RetryBudget>,
    next_spread_index: AtomicU64,
}

impl Router {
    /// A router of a process in `zone`.
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            table: Mutex::default(),
            known: Mutex::default(),
            budget: Mutex::new(RetryBudget::default()),
            next_spread_index: AtomicU64::new(rand::random()),
        }
    }

    /// Stores what one daemon told of its load, which replaces all that it told before.
    pub fn update(&self, member: &MemberId, owned: OwnedLoad, now: Timestamp) {
        let before = lock(&self.known).insert(member.clone(), owned.clone());
        let mut table = lock(&self.table);
        if before.is_some_and(|before| lost_service(&before, &owned)) {
            table.remove(member);
        }
        for summary in owned.summaries {
            table.update(member, summary, now);
        }
    }

    /// Forgets a daemon that is no longer live.
    pub fn remove(&self, member: &MemberId) {
        lock(&self.known).shift_remove(member);
        lock(&self.table).remove(member);
    }

    /// Weight versions of the engines of a service with the sum of their windows, over all dispatch daemons.
    pub fn versions(&self, service: &ServiceId) -> Vec<VersionCapacity> {
        let known = lock(&self.known);
        let all = known.values().flat_map(|owned| &owned.versions);
        all.filter(|capacity| capacity.service == *service)
            .cloned()
            .collect()
    }

    fn summaries(&self, is_live: impl Fn(&MemberId) -> bool) -> Vec<ServiceSummary> {
        let known = lock(&self.known);
        let live = known.iter().filter(|(member, _)| is_live(member));
        live.flat_map(|(_, owned)| owned.summaries.iter().cloned())
            .collect()
    }

    /// Counts a request that was offered, for the retry budget.
    pub fn count_request(&self) {
        lock(&self.budget).deposit();
    }

    /// Whether a request may be sent a second time.
    pub fn withdraw_retry(&self) -> bool {
        lock(&self.budget).withdraw()
    }

    fn choose(&self, query: DispatcherQuery<'_>, now: Timestamp) -> Option<MemberId> {
        choose_dispatcher(query, &lock(&self.table), now, &mut rand::rng())
    }
}

/// Whether a summary that was there before is missing now, because the daemon lost its last target of a service.
fn lost_service(before: &OwnedLoad, now: &OwnedLoad) -> bool {
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
    /// Load of all services at the live dispatch daemons.
    pub fn live_summaries(&self) -> Vec<ServiceSummary> {
        let now = self.now();
        self.router
            .summaries(|id| self.peers.get(id, now).is_some_and(|peer| peer.live))
    }

    /// The dispatch daemon for a request, by load and prefix.
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
                None => return self.owner_of_some_target(service, &avoid),
            }
        }
    }

    /// Before summaries have arrived, any owner of a target of the service will do.
    fn owner_of_some_target(&self, service: &ServiceId, avoid: &[MemberId]) -> Option<MemberId> {
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

    /// Dispatch daemons in the order in which they own a step: by rendezvous hash on the step, live ones first.
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

    /// Calls a daemon.
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
