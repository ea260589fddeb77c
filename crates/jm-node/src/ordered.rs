//! Targets that the control daemon ordered from the platform, merged with the targets of the configuration.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError, RwLock},
};

use async_std::{future::timeout, task};
use jm_config::{ActiveConfig, Target, TargetKind, TargetState};
use jm_platform::{Version, WatchError};
use jm_types::{DurationMs, FencingNumber, LogEvent, ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{Node, codec};

/// Store key of the ordered targets.
pub const ORDERED_KEY: &str = "targets/ordered";

/// Duration of one watch call. The store reports a change immediately. The duration bounds how long a lost connection
/// can delay a change.
const WATCH_WAIT_MS: DurationMs = DurationMs::new(1_000);

/// Timeout of a call to the store.
const STORE_TIMEOUT_MS: DurationMs = DurationMs::new(2_500);

/// Delay before a failed call to the store is retried.
const STORE_RETRY_MS: DurationMs = DurationMs::new(200);

/// Value of the object `targets/ordered`. Entries are grouped and field names are short, because 12,000 targets must
/// fit into one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedTargets {
    /// Fencing number of the lease holder that published this value. A value with an older number does not replace it.
    pub fencing: FencingNumber,
    /// The ordered targets, grouped by service, zone and kind.
    pub groups: Vec<OrderedGroup>,
    /// Hosts that the platform's host list marks as leaving. Targets on these hosts receive no new work, including
    /// targets of the configuration.
    pub leaving_hosts: Vec<IpAddr>,
}

/// Ordered targets with the same service, zone and kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedGroup {
    /// The service that the targets run.
    pub service: ServiceId,
    /// The availability zone of the targets.
    pub zone: ZoneId,
    /// Whether the targets are cheap rather than regular.
    pub cheap: bool,
    /// The targets of the group.
    pub targets: Vec<OrderedEntry>,
}

/// One ordered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedEntry {
    /// The id of the target.
    #[serde(rename = "i")]
    pub id: TargetId,
    /// The address on which the target listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Whether the target receives new work.
    #[serde(rename = "s")]
    pub state: OrderedState,
}

/// State of an ordered target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderedState {
    /// The target receives new work.
    #[serde(rename = "s")]
    Serving,
    /// The platform reclaimed the target, or its host is leaving.
    #[serde(rename = "l")]
    Leaving,
    /// The target is no longer needed and will be released when its work is finished.
    #[serde(rename = "d")]
    Draining,
}

impl OrderedTargets {
    /// Merges the ordered targets into the targets of the configuration. For a target that occurs in both, the
    /// configuration takes precedence.
    pub fn merge(&self, config: &ActiveConfig) -> Vec<Target> {
        let configured = config.document().targets.values().cloned();
        let ordered = self.groups.iter().flat_map(OrderedGroup::targets);
        let ordered = ordered.filter(|target| {
            config.target(&target.id).is_none() && config.service(&target.service).is_some()
        });
        configured
            .chain(ordered)
            .map(|target| self.with_host_state(target))
            .collect()
    }

    /// Ids and zones of the ordered targets of a service.
    pub(crate) fn targets_of(&self, service: &ServiceId) -> impl Iterator<Item = (&TargetId, &ZoneId)> {
        let groups = self.groups.iter().filter(move |group| group.service == *service);
        groups.flat_map(|group| group.targets.iter().map(|entry| (&entry.id, &group.zone)))
    }

    fn with_host_state(&self, target: Target) -> Target {
        let state = match self.leaving_hosts.contains(&target.address.ip()) {
            true => TargetState::Leaving,
            false => target.state,
        };
        Target { state, ..target }
    }
}

impl OrderedGroup {
    fn targets(&self) -> impl Iterator<Item = Target> {
        self.targets.iter().map(|entry| Target {
            id: entry.id.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: entry.address,
            kind: match self.cheap {
                true => TargetKind::Cheap,
                false => TargetKind::Regular,
            },
            // The platform does not report whether a target checks fencing numbers, so the code must not rely on it.
            checks_orders: false,
            window_tokens: None,
            state: match entry.state {
                OrderedState::Serving => TargetState::Serving,
                OrderedState::Leaving | OrderedState::Draining => TargetState::Leaving,
            },
        })
    }
}

/// Cache of the ordered targets, as last read from the store.
#[derive(Debug, Default)]
pub struct OrderedTargetsCache(RwLock<Arc<OrderedTargets>>);

impl OrderedTargetsCache {
    /// The ordered targets as last read; empty before the first read.
    pub fn current(&self) -> Arc<OrderedTargets> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the ordered targets, unless `ordered` has an older fencing number.
    pub fn set(&self, ordered: OrderedTargets) {
        let mut current = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if ordered.fencing >= current.fencing {
            *current = Arc::new(ordered);
        }
    }

    fn apply(&self, key: &str, value: &[u8]) {
        if key != ORDERED_KEY {
            return;
        }
        match codec::decode(value) {
            Ok(ordered) => self.set(ordered),
            Err(error) => LogEvent::ConfigUnreadable.write(format_args!("object {key}: {error}")),
        }
    }

    /// Watches the ordered targets until the process ends. During an outage of the store the last read targets remain
    /// in use.
    pub async fn follow(node: Arc<Node>) {
        loop {
            if let Some(version) = Self::load(&node).await {
                Self::watch(&node, version).await;
            }
            task::sleep(STORE_RETRY_MS.as_std()).await;
        }
    }

    async fn load(node: &Node) -> Option<Version> {
        let list = node.platform.objects.list(ORDERED_KEY);
        let listing = timeout(STORE_TIMEOUT_MS.as_std(), list).await.ok()?.ok()?;
        for object in &listing.objects {
            node.ordered_targets.apply(&object.key, &object.object.value);
        }
        Some(listing.version)
    }

    async fn watch(node: &Node, mut after: Version) {
        loop {
            let watch = node.platform.objects.watch(ORDERED_KEY, after, WATCH_WAIT_MS);
            match timeout(STORE_TIMEOUT_MS.as_std(), watch).await {
                Ok(Ok(changes)) => {
                    for change in &changes.changes {
                        node.ordered_targets
                            .apply(&change.key, change.value.as_deref().unwrap_or_default());
                    }
                    after = changes.version;
                }
                Ok(Err(WatchError::Relist { .. })) => return,
                Ok(Err(_)) | Err(_) => task::sleep(STORE_RETRY_MS.as_std()).await,
            }
        }
    }
}

impl Node {
    /// The targets of the configuration in force merged with the ordered targets; see [`OrderedTargets::merge`].
    pub fn targets(&self) -> Vec<Target> {
        self.ordered_targets.current().merge(&self.config.active())
    }
}
