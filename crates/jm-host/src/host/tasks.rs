//! Starts what runs beside the requests: followers of the store, duties, and the runner of batches.

use std::sync::Arc;

use async_std::task;
use jm_batch::{BATCH_STATE_PREFIX, BatchService, BatchState};
use jm_platform::{Change, KeyedObject};
use jm_types::{BatchId, DurationMs, LogEvent};

use super::{Host, Wiring};
use crate::{
    FollowOptions, FollowTask, Follower,
    duty::{CapacityDuty, LeaseLoop, Upkeep, UsageDuty, WeightDuty},
    membership::MEMBER_PREFIX,
    peer::{ObjectSpace, ReaderCopy},
    world::{RoutingFollower, TargetsFollower, VersionsFollower},
};

/// Configuration and targets have to take effect within two seconds whatever happens to watches, so they are listed.
const POLLED: FollowOptions = FollowOptions {
    watch_ms: DurationMs::new(0),
    relist_ms: DurationMs::new(750),
    max_age_ms: DurationMs::new(1_300),
    retry_ms: DurationMs::new(150),
    max_retry_ms: DurationMs::new(600),
};

/// Versions, hosts and batches: an event is passed on at once, and a lost one is found by the next listing.
const WATCHED: FollowOptions = FollowOptions {
    watch_ms: DurationMs::new(1_500),
    relist_ms: DurationMs::new(4_000),
    max_age_ms: DurationMs::new(2_500),
    retry_ms: DurationMs::new(200),
    max_retry_ms: DurationMs::new(800),
};

/// States of batches: nothing of an ended batch may start 3 s later, whatever happens to watches.
const BATCH_STATES: FollowOptions = FollowOptions {
    relist_ms: DurationMs::new(2_400),
    max_age_ms: DurationMs::new(2_000),
    ..WATCHED
};

impl Host {
    pub(super) fn start_tasks(self: &Arc<Self>, wiring: Wiring) {
        let membership = Arc::clone(&self.membership);
        task::spawn(async move { membership.run().await });
        let (membership, store) = (Arc::clone(&self.membership), Arc::clone(&wiring.product_store));
        task::spawn(async move { membership.register(&*store).await });
        self.start_followers(&wiring);
        self.start_duties(&wiring);
        let batches = Arc::clone(&self.batches);
        task::spawn(async move { batches.run().await });
        task::spawn(Arc::clone(self).review());
        task::spawn(Arc::clone(self).react());
        let duties = Arc::clone(&wiring.platform.duties);
        task::spawn(Arc::clone(self).poll_versions(duties));
        task::spawn(Arc::clone(self).find_hosts());
    }

    fn start_followers(self: &Arc<Self>, wiring: &Wiring) {
        let objects = &wiring.platform.objects;
        let world = &self.world;
        let routing = Arc::new(RoutingFollower(Arc::clone(world)));
        let targets = Arc::new(TargetsFollower(Arc::clone(world)));
        let versions = Arc::new(VersionsFollower(Arc::clone(world)));
        let states = Arc::new(StatesFollower(Arc::clone(&self.batches)));
        let (product, platform) = (ObjectSpace::Product, ObjectSpace::Platform);
        self.follow(
            wiring,
            platform,
            prefix_of(objects.routing_key()),
            POLLED,
            routing,
        );
        self.follow(wiring, platform, objects.targets_prefix(), POLLED, targets);
        self.follow(wiring, platform, objects.versions_prefix(), WATCHED, versions);
        self.follow(
            wiring,
            product,
            MEMBER_PREFIX,
            WATCHED,
            Arc::clone(&self.membership) as _,
        );
        self.follow(wiring, product, BATCH_STATE_PREFIX, BATCH_STATES, states);
    }

    fn follow(
        &self,
        wiring: &Wiring,
        space: ObjectSpace,
        prefix: &'static str,
        options: FollowOptions,
        follower: Arc<dyn Follower>,
    ) {
        let store = match space {
            ObjectSpace::Product => &wiring.product_store,
            ObjectSpace::Platform => &wiring.platform_store,
        };
        let client = Arc::clone(&self.peers);
        let task = FollowTask {
            store: Arc::clone(store) as _,
            space,
            prefix,
            options,
            clock: Arc::clone(&self.clock),
            mirror: Arc::clone(&wiring.mirror),
            source: Arc::new(ReaderCopy { client }),
            follower,
        };
        task::spawn(task.run());
    }

    fn start_duties(self: &Arc<Self>, wiring: &Wiring) {
        let lease = LeaseLoop {
            store: Arc::clone(&wiring.product_store) as _,
            clock: Arc::clone(&self.clock),
            membership: Arc::clone(&self.membership),
            view: Arc::clone(&self.lease),
            peers: Arc::clone(&self.peers),
            lease_ms: self.settings.bounds.lease_ms,
        };
        task::spawn(async move { lease.run().await });
        let push = Arc::clone(&self.usage_push);
        task::spawn(async move { push.run().await });
        let usage = UsageDuty {
            counter: Arc::clone(&wiring.usage),
            book: Arc::clone(&wiring.book),
            store: Arc::clone(&wiring.product_store) as _,
            duties: Arc::clone(&wiring.platform.duties),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
            wall: Arc::clone(&self.wall),
            window_ms: self.settings.bounds.usage_window_ms,
        };
        task::spawn(async move { usage.run().await });
        let weights = WeightDuty::new(
            Arc::clone(&self.world),
            Arc::clone(&self.batches),
            Arc::clone(&wiring.platform.duties),
            Arc::clone(&self.lease),
            Arc::clone(&self.clock),
        );
        task::spawn(weights.run());
        let capacity = CapacityDuty {
            world: Arc::clone(&self.world),
            store: Arc::clone(&wiring.product_store) as _,
            duties: Arc::clone(&wiring.platform.duties),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
        };
        task::spawn(async move { capacity.run().await });
        let upkeep = Upkeep {
            store: Arc::clone(&wiring.product_store) as _,
            platform_store: Arc::clone(&wiring.platform_store) as _,
            objects: Arc::clone(&wiring.platform.objects),
            duties: Arc::clone(&wiring.platform.duties),
            membership: Arc::clone(&self.membership),
            lease: Arc::clone(&self.lease),
            clock: Arc::clone(&self.clock),
        };
        task::spawn(async move { upkeep.run().await });
    }
}

fn prefix_of(key: &'static str) -> &'static str {
    key.find('/').map_or(key, |end| &key[..=end])
}

/// Follows the states of batches.
struct StatesFollower(Arc<BatchService>);

impl StatesFollower {
    fn apply(&self, key: &str, value: &[u8], version: jm_platform::Version) {
        match serde_json::from_slice::<BatchState>(value) {
            Ok(state) => self.0.apply_state(state, version),
            Err(error) => LogEvent::ConfigUnreadable
                .write(format_args!("the batch state {key} cannot be read: {error}")),
        }
    }
}

impl Follower for StatesFollower {
    fn listed(&self, objects: Vec<KeyedObject>, _gap: DurationMs) {
        for object in objects {
            self.apply(&object.key, &object.object.value, object.object.version);
        }
    }

    fn changed(&self, change: Change) {
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
