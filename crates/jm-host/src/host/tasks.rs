//! Starts the background tasks: watches of the store, shared duties and the batch runner.

use std::sync::Arc;

use async_std::task;
use jm_batch::{BATCH_STATE_PREFIX, BatchService, BatchState};
use jm_platform::{Change, Listing, Version};
use jm_types::{BatchId, DurationMs, LogEvent};

use super::{Host, HostComponents};
use crate::{
    ListingRequests, PrefixWatch, WatchHandler, WatchOptions,
    cluster_state::{EvacuationWatchHandler, RoutingWatchHandler, TargetWatchHandler, VersionWatchHandler},
    duty::{CapacityDuty, LeaseLoop, MaintenanceDuty, UsageDuty, WeightDuty},
    membership::MEMBER_PREFIX,
    peer::{ObjectSpace, PeerCacheSource},
    streams::StreamKeeper,
};

/// Options for the configuration and the targets. They must take effect within two seconds even when watches fail, so
/// they are polled with listings.
const POLLED: WatchOptions = WatchOptions {
    watch_ms: DurationMs::new(0),
    relist_ms: DurationMs::new(750),
    max_age_ms: DurationMs::new(1_300),
    retry_ms: DurationMs::new(150),
    max_retry_ms: DurationMs::new(600),
    starts_at_any_age: false,
};

/// Options for evacuations. They are polled, because a watch that has lost its events would advance the version of a cache
/// without the evacuation, and end it on every host that reads this cache. A host that restarts while the store does not
/// answer takes them from a peer of any age, because it must not serve without them.
const EVACUATIONS: WatchOptions = WatchOptions {
    starts_at_any_age: true,
    ..POLLED
};

/// Options for weight versions, hosts and batches. A watch delivers events immediately, and the next listing reveals
/// lost ones.
const WATCHED: WatchOptions = WatchOptions {
    watch_ms: DurationMs::new(1_500),
    relist_ms: DurationMs::new(4_000),
    max_age_ms: DurationMs::new(2_500),
    retry_ms: DurationMs::new(200),
    max_retry_ms: DurationMs::new(800),
    starts_at_any_age: false,
};

/// Options for batch states. No item of an ended batch may start later than 3 s after its end, even when watches
/// fail.
const BATCH_STATES: WatchOptions = WatchOptions {
    relist_ms: DurationMs::new(2_400),
    max_age_ms: DurationMs::new(2_000),
    ..WATCHED
};

impl Host {
    pub(super) fn start_tasks(self: &Arc<Self>, components: HostComponents) {
        let membership = Arc::clone(&self.membership);
        task::spawn(async move { membership.run().await });
        let (membership, store) = (
            Arc::clone(&self.membership),
            Arc::clone(&components.product_store),
        );
        task::spawn(async move { membership.register(&*store).await });
        self.start_watches(&components);
        self.start_duties(&components);
        self.start_stream_keeper(&components);
        let batches = Arc::clone(&self.batches);
        task::spawn(async move { batches.run().await });
        task::spawn(Arc::clone(self).run_periodic_checks());
        task::spawn(Arc::clone(self).handle_changes());
        task::spawn(Arc::clone(self).watch_cold_targets());
        let duties = Arc::clone(&components.platform.duties);
        task::spawn(Arc::clone(self).poll_versions(duties));
        task::spawn(Arc::clone(self).discover_hosts());
    }

    fn start_watches(self: &Arc<Self>, components: &HostComponents) {
        let objects = &components.platform.objects;
        let cluster = &self.cluster;
        let routing = Arc::new(RoutingWatchHandler(Arc::clone(cluster)));
        let targets = Arc::new(TargetWatchHandler(Arc::clone(cluster)));
        let versions = Arc::new(VersionWatchHandler(Arc::clone(cluster)));
        let states = Arc::new(BatchStateWatchHandler(Arc::clone(&self.batches)));
        let (product, platform) = (ObjectSpace::Product, ObjectSpace::Platform);
        self.start_watch(
            components,
            platform,
            prefix_of(objects.routing_key()),
            POLLED,
            routing,
        );
        let requests = components.streams.listing_requests();
        let prefix = objects.targets_prefix();
        self.start_requested_watch(components, platform, prefix, POLLED, targets, requests);
        self.start_watch(components, platform, objects.versions_prefix(), WATCHED, versions);
        self.start_watch(
            components,
            product,
            MEMBER_PREFIX,
            WATCHED,
            Arc::clone(&self.membership) as _,
        );
        self.start_watch(components, product, BATCH_STATE_PREFIX, BATCH_STATES, states);
        if self.settings.bounds.evacuate_ms.is_some() {
            let prefix = objects.evacuations_prefix();
            let evacuations = Arc::new(EvacuationWatchHandler(Arc::clone(cluster)));
            self.start_watch(components, platform, prefix, EVACUATIONS, evacuations);
        }
    }

    fn start_watch(
        &self,
        components: &HostComponents,
        space: ObjectSpace,
        prefix: &'static str,
        options: WatchOptions,
        handler: Arc<dyn WatchHandler>,
    ) {
        self.start_requested_watch(components, space, prefix, options, handler, Arc::default());
    }

    fn start_requested_watch(
        &self,
        components: &HostComponents,
        space: ObjectSpace,
        prefix: &'static str,
        options: WatchOptions,
        handler: Arc<dyn WatchHandler>,
        requests: Arc<ListingRequests>,
    ) {
        let store = match space {
            ObjectSpace::Product => &components.product_store,
            ObjectSpace::Platform => &components.platform_store,
        };
        let client = Arc::clone(&self.peers);
        let task = PrefixWatch {
            store: Arc::clone(store) as _,
            space,
            prefix,
            options,
            clock: Arc::clone(&self.clock),
            cache: Arc::clone(&components.cache),
            source: Arc::new(PeerCacheSource { client }),
            handler,
            requests,
        };
        task::spawn(task.run());
    }

    fn start_stream_keeper(&self, components: &HostComponents) {
        let keeper = StreamKeeper {
            store: Arc::clone(&components.streams),
            cluster: Arc::clone(&self.cluster),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
            wall: Arc::clone(&self.wall),
            observer: Arc::clone(&self.observer),
        };
        task::spawn(keeper.run(self.stop.stop_started()));
    }

    fn start_duties(self: &Arc<Self>, components: &HostComponents) {
        let lease = LeaseLoop {
            store: Arc::clone(&components.product_store) as _,
            clock: Arc::clone(&self.clock),
            membership: Arc::clone(&self.membership),
            view: Arc::clone(&self.lease),
            peers: Arc::clone(&self.peers),
            lease_ms: self.settings.bounds.lease_ms,
        };
        task::spawn(async move { lease.run().await });
        let publisher = Arc::clone(&self.usage_publisher);
        task::spawn(async move { publisher.run().await });
        let usage = UsageDuty {
            counter: Arc::clone(&components.usage),
            aggregator: Arc::clone(&components.aggregator),
            store: Arc::clone(&components.product_store) as _,
            duties: Arc::clone(&components.platform.duties),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
            wall: Arc::clone(&self.wall),
            window_ms: self.settings.bounds.usage_window_ms,
        };
        task::spawn(async move { usage.run().await });
        let weights = WeightDuty::new(
            Arc::clone(&self.cluster),
            Arc::clone(&self.batches),
            Arc::clone(&components.platform.duties),
            Arc::clone(&self.lease),
            Arc::clone(&self.clock),
        );
        task::spawn(weights.run());
        let capacity = CapacityDuty {
            cluster: Arc::clone(&self.cluster),
            store: Arc::clone(&components.product_store) as _,
            duties: Arc::clone(&components.platform.duties),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
        };
        task::spawn(async move { capacity.run().await });
        let maintenance = MaintenanceDuty {
            store: Arc::clone(&components.product_store) as _,
            platform_store: Arc::clone(&components.platform_store) as _,
            objects: Arc::clone(&components.platform.objects),
            duties: Arc::clone(&components.platform.duties),
            membership: Arc::clone(&self.membership),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
        };
        task::spawn(async move { maintenance.run().await });
    }
}

fn prefix_of(key: &'static str) -> &'static str {
    key.find('/').map_or(key, |end| &key[..=end])
}

/// Applies changes of batch states.
struct BatchStateWatchHandler(Arc<BatchService>);

impl BatchStateWatchHandler {
    fn apply(&self, key: &str, value: &[u8], version: Version) {
        match serde_json::from_slice::<BatchState>(value) {
            Ok(state) => self.0.apply_state(state, version),
            Err(error) => LogEvent::ConfigUnreadable
                .write(format_args!("the batch state {key} cannot be read: {error}")),
        }
    }
}

impl WatchHandler for BatchStateWatchHandler {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        for object in listing.objects {
            self.apply(&object.key, &object.object.value, object.object.version);
        }
    }

    fn on_change(&self, change: Change, _version: Version) {
        match change.value {
            Some(value) => self.apply(&change.key, &value, change.version),
            None => {
                let id = change.key.strip_prefix(BATCH_STATE_PREFIX).unwrap_or_default();
                if let Ok(batch) = id.parse::<BatchId>() {
                    self.0.evict(&batch);
                }
            }
        }
    }
}
