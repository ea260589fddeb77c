//! State and background tasks of the dispatch daemon.

use std::sync::Arc;

use async_std::task;
use jm_link::LinkHandler;
use jm_node::{Node, OpenRequestCounter, OrderedTargetsCache, OwnedLoad};
use jm_route::SchedulerOptions;
use jm_types::{DurationMs, OrganisationId};

use crate::{
    handler::DispatchHandler, order, order::Orders, queue::Queue, step::Steps, targets, targets::Targets,
    usage::Usage,
};

/// Organisation that requests to open services are assigned to for fair queueing and tickets. The name cannot conflict
/// with a configured organisation, because section names do not start with a colon.
const OPEN_ORGANISATION: &str = ":open";

/// Interval between two removals of expired steps.
const STEP_EXPIRE_INTERVAL_MS: DurationMs = DurationMs::new(60_000);

/// Options of a dispatch daemon that are not in its settings.
#[derive(Debug, Clone, Default)]
pub struct DispatchOptions {
    /// Options of the scheduler. The queue bound in the daemon's settings replaces `service_queue_limit`.
    pub scheduler: SchedulerOptions,
}

/// A dispatch daemon with its queue, targets, orders and training steps.
pub struct Dispatch {
    pub(crate) node: Arc<Node>,
    pub(crate) queue: Arc<Queue>,
    pub(crate) targets: Arc<Targets>,
    pub(crate) orders: Orders,
    pub(crate) steps: Steps,
    pub(crate) usage: Arc<Usage>,
    pub(crate) open_organisation: OrganisationId,
    pub(crate) open_calls: OpenRequestCounter,
}

impl Dispatch {
    /// Creates a daemon without targets. [`Self::start`] starts its tasks.
    pub fn new(node: Arc<Node>, options: DispatchOptions) -> Arc<Self> {
        let queue_bound = node
            .settings
            .dispatch
            .as_ref()
            .map(|dispatch| dispatch.queue_bound);
        let mut scheduler = options.scheduler;
        if let Some(bound) = queue_bound {
            scheduler.service_queue_limit = usize::try_from(bound).unwrap_or(usize::MAX);
        }
        let orders = Orders::new(node.peers.own_id().clone(), node.incarnation);
        Arc::new(Self {
            queue: Queue::new(Arc::clone(&node), scheduler),
            targets: Arc::default(),
            orders,
            steps: Steps::default(),
            open_calls: OpenRequestCounter::default(),
            usage: Usage::new(Arc::clone(&node)),
            open_organisation: OPEN_ORGANISATION.parse().expect("the constant is a valid id"),
            node,
        })
    }

    /// Starts the daemon's tasks, which run until the process ends.
    pub fn start(self: &Arc<Self>) {
        let node = &self.node;
        task::spawn(OrderedTargetsCache::follow(Arc::clone(node)));
        task::spawn(Arc::clone(&self.targets).refresh_loop(Arc::clone(node), Arc::clone(&self.queue)));
        task::spawn(Arc::clone(&self.targets).poll_engines(Arc::clone(node), Arc::clone(&self.queue)));
        task::spawn(Arc::clone(&self.queue).run());
        task::spawn(Arc::clone(&self.usage).run());
        task::spawn(order::expire_tickets(Arc::clone(self)));
        task::spawn(expire_steps(Arc::clone(self)));
        task::spawn(report_own_load(Arc::clone(self)));
    }

    /// Returns the handler for calls from other daemons.
    pub fn link_handler(self: &Arc<Self>) -> Arc<dyn LinkHandler> {
        Arc::new(DispatchHandler::new(Arc::clone(self)))
    }

    /// The load of the owned targets, as reported to other daemons. Empty when the daemon is stopping and has handed
    /// over its targets, so that it receives no new requests.
    pub fn owned_load(&self) -> OwnedLoad {
        if self.node.stop.is_leaving() && self.targets.is_handed_over(self.node.now()) {
            return OwnedLoad::default();
        }
        OwnedLoad {
            summaries: self.queue.scheduler().summary(),
            versions: self.targets.version_capacity(targets::default_window(&self.node)),
        }
    }

    /// Waits until no request of another daemon is running here. During a planned stop, steps move to their copy
    /// holders before that.
    pub async fn drain_requests(&self) {
        self.open_calls.wait_for_none().await;
    }

    /// Writes the last usage counts at the end of a planned stop; `false` when the store did not accept them.
    pub async fn flush_usage(&self) -> bool {
        self.usage.flush().await;
        self.usage.is_flushed()
    }
}

async fn expire_steps(dispatch: Arc<Dispatch>) {
    loop {
        task::sleep(STEP_EXPIRE_INTERVAL_MS.as_std()).await;
        dispatch.steps.expire(dispatch.node.now());
    }
}

/// Interval at which this daemon's router receives its own load; other daemons receive it in hello exchanges.
const OWN_LOAD_INTERVAL_MS: DurationMs = DurationMs::new(100);

async fn report_own_load(dispatch: Arc<Dispatch>) {
    loop {
        let node = &dispatch.node;
        node.router
            .update(node.peers.own_id(), dispatch.owned_load(), node.now());
        task::sleep(OWN_LOAD_INTERVAL_MS.as_std()).await;
    }
}
