//! The targets that this daemon owns, with the load and weight versions that their engines report.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::{future::timeout, task};
use futures::{FutureExt, future::join_all, select};
use jm_config::{ActiveConfig, ServiceKind, Sharing, Target, TargetState};
use jm_http::{Method, Request, Url, read_body_to_end};
use jm_node::{Node, VersionCapacity};
use jm_route::{LoadReport, SharingRule, TargetKind, TargetSpec, WindowBounds, owner_of};
use jm_types::{ByteSize, DurationMs, TargetId, Timestamp, TokenCount, WeightVersion};
use serde::Deserialize;

use crate::queue::Queue;

/// Interval at which ownership is recomputed, in addition to each configuration change.
const REFRESH_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Time for which the previous owner still serves a target after its ownership moved. The other daemons need this time
/// to observe the new owner, and the new owner needs it to refresh its targets. During this time, both owners have a
/// window for the target.
const HANDOVER_MS: DurationMs = DurationMs::new(1_500);

/// Interval at which the load report of each engine is read.
const LOAD_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Timeout for reading one load report.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Maximum size of a load report.
const LOAD_BYTES: ByteSize = ByteSize::new(64_000);

/// Maximum window of an instance of a plain service, in requests.
const PLAIN_WINDOW: u64 = 64;

/// Time per token in microseconds above which an engine's window shrinks.
const TOKEN_TIME_LIMIT_US: u64 = 200_000;

/// Time per request in microseconds above which a plain service's window shrinks.
const REQUEST_TIME_LIMIT_US: u64 = 2_000_000;

/// The minimum window is the maximum window divided by this number.
const MIN_WINDOW_DIVISOR: u64 = 8;

/// The targets that this daemon owns or still serves during a handover.
#[derive(Default)]
pub(crate) struct Targets {
    owned: Mutex<HashMap<TargetId, Owned>>,
}

#[derive(Debug, Clone)]
struct Owned {
    target: Target,
    version: Option<WeightVersion>,
    /// Time at which another daemon became the owner; `None` while this daemon is the owner.
    moved_at: Option<Timestamp>,
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

    /// The configuration of an owned target; `None` when this daemon does not serve the target.
    pub(crate) fn get(&self, id: &TargetId) -> Option<Target> {
        self.owned().get(id).map(|owned| owned.target.clone())
    }

    /// Owned engines whose last report has an older weight version. Engines without a report are not included.
    pub(crate) fn older_than(&self, version: WeightVersion) -> Vec<TargetId> {
        let owned = self.owned();
        let older = owned
            .values()
            .filter(|owned| owned.version.is_some_and(|loaded| loaded < version));
        older.map(|owned| owned.target.id.clone()).collect()
    }

    /// Total configured window of the serving engines by service and weight version.
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
                .find(|total| total.service == *service && total.version == version)
            {
                Some(total) => total.window = total.window.saturating_add(window),
                None => capacity.push(VersionCapacity {
                    service: service.clone(),
                    version,
                    window,
                }),
            }
        }
        capacity
    }

    /// Recomputes ownership periodically and after each configuration change, until the process ends.
    pub(crate) async fn refresh_loop(self: Arc<Self>, node: Arc<Node>, queue: Arc<Queue>) {
        let changed = node.config.subscribe();
        loop {
            self.refresh(&node, &queue);
            select! {
                _ = changed.recv().fuse() => {}
                () = task::sleep(REFRESH_INTERVAL_MS.as_std()).fuse() => {}
            }
        }
    }

    /// Computes ownership from the configuration and the live members, and updates the scheduler.
    pub(crate) fn refresh(&self, node: &Node, queue: &Queue) {
        let config = node.config.active();
        let members = node.peers.dispatchers(node.now());
        let own = node.peers.own_id();
        let is_own = |target: &Target| owner_of(&target.id, &target.zone, &members).as_ref() == Some(own);
        let mut targets = node.ordered_targets.current().merge(&config);
        targets.retain(|target| is_own(target) || self.still_serves(node, &target.id));
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
        queue.dispatch_ready();
    }

    /// Whether this daemon still serves a target that moved to another owner. A stopping daemon serves its targets
    /// until the process ends, so that requests already sent to it are not refused.
    fn still_serves(&self, node: &Node, id: &TargetId) -> bool {
        let owned = self.owned();
        let Some(target) = owned.get(id) else { return false };
        let in_handover = |moved_at: Timestamp| node.now().since(moved_at) < HANDOVER_MS;
        node.stop.is_leaving() || target.moved_at.is_none_or(in_handover)
    }

    /// Whether the handover of every target is complete, so that the other daemons use the new owners.
    pub(crate) fn is_handed_over(&self, now: Timestamp) -> bool {
        let owned = self.owned();
        let mut moved_at = owned.values().map(|target| target.moved_at);
        moved_at.all(|moved_at| moved_at.is_some_and(|moved_at| now.since(moved_at) >= HANDOVER_MS))
    }

    fn replace(&self, targets: Vec<Target>, is_own: impl Fn(&Target) -> bool, now: Timestamp) {
        let mut owned = self.owned();
        let before = std::mem::take(&mut *owned);
        for target in targets {
            let previous = before.get(&target.id);
            let version = previous.and_then(|previous| previous.version);
            let moved_at = match is_own(&target) {
                true => None,
                false => previous.and_then(|previous| previous.moved_at).or(Some(now)),
            };
            let entry = Owned {
                target,
                version,
                moved_at,
            };
            owned.insert(entry.target.id.clone(), entry);
        }
    }

    /// Reads the load reports of owned engines periodically until the process ends.
    pub(crate) async fn poll_engines(self: Arc<Self>, node: Arc<Node>, queue: Arc<Queue>) {
        loop {
            let config = node.config.active();
            let engines: Vec<Target> = self.engines(&config);
            join_all(
                engines
                    .iter()
                    .map(|target| self.poll_engine(&node, &queue, &config, target)),
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

    async fn poll_engine(&self, node: &Node, queue: &Queue, config: &ActiveConfig, target: &Target) {
        let requested_at = node.now();
        let Some(load) = read_load(node, target).await else {
            return;
        };
        let report = LoadReport {
            in_flight: TokenCount::new(load.running),
            at: requested_at,
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
        let body = read_body_to_end(response.take_body(), LOAD_BYTES).await.ok()?;
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

/// The window of an engine without a configured window, from the daemon's settings; 0 without a dispatch section.
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
    let min = (max / MIN_WINDOW_DIVISOR).max(1);
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
