//! Which targets this daemon owns, and what their engines report of load and versions.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::{future::timeout, task};
use futures::{FutureExt, future::join_all, select};
use jm_config::{ActiveConfig, ServiceKind, Sharing, Target, TargetState};
use jm_http::{Method, Request, Url, read_whole};
use jm_node::{Node, VersionCapacity};
use jm_route::{LoadReport, SharingRule, TargetKind, TargetSpec, WindowBounds, owner_of};
use jm_types::{ByteSize, DurationMs, TargetId, Timestamp, TokenCount, WeightVersion};
use serde::Deserialize;

use crate::queue::Queue;

/// Interval at which ownership is decided again, besides each configuration change.
const REFRESH_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Time for which a daemon still serves a target after ownership moved away. The other daemons need it to learn of the
/// new owner, and the new owner to look at its targets; two windows overlap meanwhile.
const HANDOVER_MS: DurationMs = DurationMs::new(1_500);

/// Interval between two load reports of an engine.
const LOAD_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Time after which a load report is given up.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Largest load report.
const LOAD_BYTES: ByteSize = ByteSize::new(64_000);

/// Window of a plain service without a bound of its own, in requests.
const PLAIN_WINDOW: u64 = 64;

/// Time per token above which an engine's window shrinks.
const TOKEN_TIME_LIMIT_US: u64 = 200_000;

/// Time per request above which a plain service's window shrinks.
const REQUEST_TIME_LIMIT_US: u64 = 2_000_000;

/// Smallest part of the largest window that a window shrinks to.
const LEAST_WINDOW_PART: u64 = 8;

/// The targets of this daemon.
#[derive(Default)]
pub(crate) struct Targets {
    owned: Mutex<HashMap<TargetId, Owned>>,
}

#[derive(Debug, Clone)]
struct Owned {
    target: Target,
    version: Option<WeightVersion>,
    /// When ownership moved away.
    lost: Option<Timestamp>,
}

#[derive(Deserialize)]
struct LoadAnswer {
    running: u64,
    versions: HashMap<String, WeightVersion>,
}

impl Targets {
    fn owned(&self) -> MutexGuard<'_, HashMap<TargetId, Owned>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration of an owned target.
    pub(crate) fn get(&self, id: &TargetId) -> Option<Target> {
        self.owned().get(id).map(|owned| owned.target.clone())
    }

    /// Owned engines that are known to report an older version.
    pub(crate) fn older_than(&self, version: WeightVersion) -> Vec<TargetId> {
        let owned = self.owned();
        let older = owned
            .values()
            .filter(|owned| owned.version.is_some_and(|loaded| loaded < version));
        older.map(|owned| owned.target.id.clone()).collect()
    }

    /// Windows of owned engines by service and version.
    pub(crate) fn version_capacity(&self, default_window: TokenCount) -> Vec<VersionCapacity> {
        let mut capacity: Vec<VersionCapacity> = Vec::new();
        for owned in self
            .owned()
            .values()
            .filter(|owned| owned.target.state == TargetState::Serving)
        {
            let Some(version) = owned.version else { continue };
            let window = owned.target.window_tokens.unwrap_or(default_window);
            let service = &owned.target.service;
            match capacity
                .iter_mut()
                .find(|known| known.service == *service && known.version == version)
            {
                Some(known) => known.window = known.window.saturating_add(window),
                None => capacity.push(VersionCapacity {
                    service: service.clone(),
                    version,
                    window,
                }),
            }
        }
        capacity
    }

    /// Decides ownership again after each change of configuration or members, until the process ends.
    pub(crate) async fn keep_current(self: Arc<Self>, node: Arc<Node>, queue: Arc<Queue>) {
        let changed = node.config.subscribe();
        loop {
            self.refresh(&node, &queue);
            select! {
                _ = changed.recv().fuse() => {}
                () = task::sleep(REFRESH_INTERVAL_MS.as_std()).fuse() => {}
            }
        }
    }

    /// Decides ownership from the configuration and the live members.
    pub(crate) fn refresh(&self, node: &Node, queue: &Queue) {
        let config = node.config.active();
        let members = node.peers.dispatchers(node.now());
        let own = node.peers.own_id();
        let is_own = |target: &Target| owner_of(&target.id, &target.zone, &members).as_ref() == Some(own);
        let mut targets = node.ordered.current().merge(&config);
        targets.retain(|target| is_own(target) || self.is_kept(node, &target.id));
        let default_window = default_window(node);
        let specs = targets
            .iter()
            .filter_map(|target| spec(&config, target, default_window))
            .collect();
        self.replace(targets, is_own, node.now());
        let rules: Vec<SharingRule> = config.document().sharings.values().map(sharing_rule).collect();
        let mut scheduler = queue.scheduler();
        scheduler.set_targets(specs, node.now());
        scheduler.set_sharing_rules(rules, node.now());
        drop(scheduler);
        queue.pump();
    }

    /// Whether a target that moved to another owner is still served here. A daemon that is about to stop serves its
    /// targets to the end, so that no request that reached it is refused.
    fn is_kept(&self, node: &Node, id: &TargetId) -> bool {
        let owned = self.owned();
        let Some(target) = owned.get(id) else { return false };
        let in_handover = |lost: Timestamp| node.now().since(lost) < HANDOVER_MS;
        node.stop.is_leaving() || target.lost.is_none_or(in_handover)
    }

    /// Whether every target moved away long enough ago for the other daemons to use the new owners.
    pub(crate) fn is_handed_over(&self, now: Timestamp) -> bool {
        let owned = self.owned();
        let mut lost = owned.values().map(|target| target.lost);
        lost.all(|lost| lost.is_some_and(|lost| now.since(lost) >= HANDOVER_MS))
    }

    fn replace(&self, targets: Vec<Target>, is_own: impl Fn(&Target) -> bool, now: Timestamp) {
        let mut owned = self.owned();
        let before = std::mem::take(&mut *owned);
        for target in targets {
            let known = before.get(&target.id);
            let version = known.and_then(|known| known.version);
            let lost = match is_own(&target) {
                true => None,
                false => known.and_then(|known| known.lost).or(Some(now)),
            };
            let kept = Owned {
                target,
                version,
                lost,
            };
            owned.insert(kept.target.id.clone(), kept);
        }
    }

    /// Reads the load reports of owned engines until the process ends.
    pub(crate) async fn poll_engines(self: Arc<Self>, node: Arc<Node>, queue: Arc<Queue>) {
        loop {
            let config = node.config.active();
            let engines: Vec<Target> = self.engines(&config);
            join_all(
                engines
                    .iter()
                    .map(|target| self.poll_one(&node, &queue, &config, target)),
            )
            .await;
            task::sleep(LOAD_INTERVAL_MS.as_std()).await;
        }
    }

    fn engines(&self, config: &ActiveConfig) -> Vec<Target> {
        let is_engine = |target: &Target| {
            config
                .service(&target.service)
                .is_some_and(|service| service.kind == ServiceKind::Engine)
        };
        self.owned()
            .values()
            .map(|owned| owned.target.clone())
            .filter(is_engine)
            .collect()
    }

    async fn poll_one(&self, node: &Node, queue: &Queue, config: &ActiveConfig, target: &Target) {
        let asked = node.now();
        let Some(load) = read_load(node, target).await else {
            return;
        };
        let report = LoadReport {
            in_flight: TokenCount::new(load.running),
            at: asked,
        };
        queue.scheduler().load_report(&target.id, report);
        let model = config
            .service(&target.service)
            .and_then(|service| service.model.clone());
        let version = model.and_then(|model| load.versions.get(model.as_str()).copied());
        if let Some(owned) = self.owned().get_mut(&target.id) {
            owned.version = version;
        }
    }
}

async fn read_load(node: &Node, target: &Target) -> Option<LoadAnswer> {
    let url = Url::parse(&format!("http://{}/v1/load", target.address)).ok()?;
    let exchange = async {
        let mut response = node.client.send(Request::new(Method::Get, url)).await.ok()?;
        let body = read_whole(response.take_body(), LOAD_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(LOAD_TIMEOUT_MS.as_std(), exchange).await.ok()?
}

fn sharing_rule(sharing: &Sharing) -> SharingRule {
    SharingRule {
        service: sharing.service.clone(),
        organisation: sharing.organisation.clone(),
        share: sharing.weight,
        queue_limit: usize::try_from(sharing.max_queued).unwrap_or(usize::MAX),
    }
}

/// The window of an engine without a bound of its own.
pub(crate) fn default_window(node: &Node) -> TokenCount {
    node.settings
        .dispatch
        .as_ref()
        .map_or(TokenCount::new(0), |dispatch| dispatch.window_tokens)
}

fn spec(config: &ActiveConfig, target: &Target, default_window: TokenCount) -> Option<TargetSpec> {
    let service = config.service(&target.service)?;
    let (kind, max, time_limit_us) = match service.kind {
        ServiceKind::Engine => {
            let window = target.window_tokens.unwrap_or(default_window).get();
            (TargetKind::Engine, window, TOKEN_TIME_LIMIT_US)
        }
        ServiceKind::Plain => (TargetKind::Plain, PLAIN_WINDOW, REQUEST_TIME_LIMIT_US),
    };
    let min = (max / LEAST_WINDOW_PART).max(1);
    Some(TargetSpec {
        id: target.id.clone(),
        zone: target.zone.clone(),
        service: target.service.clone(),
        kind,
        window: WindowBounds {
            min,
            initial: max,
            max,
            time_limit_us,
        },
        leaving: target.state == TargetState::Leaving,
    })
}
