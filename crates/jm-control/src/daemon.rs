//! The state of the daemon and its tasks.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::task;
use futures::future::join_all;
use indexmap::IndexMap;
use jm_config::Role;
use jm_link::LinkHandler;
use jm_node::{Node, OrderedTargetsCache, Peer};
use jm_types::{DurationMs, LogEvent, ZoneId};
use jm_usage::WallTime;

use crate::{
    duty::{DutyContext, DutySlot, RoundResult},
    handler::ControlHandler,
    lease::DutyLease,
    members::MembersWork,
    targets::TargetsWork,
    usage::UsageWork,
    weights::WeightsWork,
};

/// Interval at which leases are taken or renewed; several fit into the term.
const LEASE_INTERVAL_MS: DurationMs = DurationMs::new(2_000);

/// Pause after a round that failed.
const RETRY_MS: DurationMs = DurationMs::new(1_000);

/// Reads the time that hosts share, which usage windows are counted by.
pub type WallClock = Arc<dyn Fn() -> WallTime + Send + Sync>;

/// Behaviour of a control daemon.
#[derive(Clone)]
pub struct ControlOptions {
    /// The clock of the usage windows.
    pub wall_clock: WallClock,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            wall_clock: Arc::new(system_wall_time),
        }
    }
}

/// A duty that at most one control daemon carries out at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlDuty {
    /// Sealing and reporting usage windows.
    Usage,
    /// Ordering and releasing targets.
    Targets,
    /// Rolling out weight versions, zone by zone.
    Weights,
    /// Removing registrations of absent daemons, and snapshots of the configuration.
    Members,
}

impl ControlDuty {
    /// Every duty.
    pub const ALL: [Self; 4] = [Self::Usage, Self::Targets, Self::Weights, Self::Members];

    /// Pause between two rounds.
    const fn interval_ms(self) -> DurationMs {
        match self {
            Self::Usage => DurationMs::new(5_000),
            // A leaving target gets no new work after 3 s at most; a round and a read by dispatch daemons fit in.
            Self::Targets => DurationMs::new(1_000),
            Self::Weights => DurationMs::new(100),
            Self::Members => DurationMs::new(10_000),
        }
    }
}

/// A control daemon.
pub struct Control {
    context: DutyContext,
    usage: DutySlot<UsageWork>,
    targets: DutySlot<TargetsWork>,
    members: DutySlot<MembersWork>,
    weights: Mutex<IndexMap<ZoneId, Arc<DutySlot<WeightsWork>>>>,
}

impl Control {
    /// A daemon that holds no lease yet.
    pub fn new(node: Arc<Node>, options: ControlOptions) -> Arc<Self> {
        Arc::new(Self {
            usage: DutySlot::new("usage", &node),
            targets: DutySlot::new("targets", &node),
            members: DutySlot::new("members", &node),
            weights: Mutex::default(),
            context: DutyContext {
                zone: node.settings.daemon.zone.clone(),
                node,
                options,
            },
        })
    }

    /// Starts the daemon's tasks; they run until the process ends.
    pub fn start(self: &Arc<Self>) {
        task::spawn(OrderedTargetsCache::follow(Arc::clone(self.node())));
        for duty in ControlDuty::ALL {
            task::spawn(Arc::clone(self).keep_lease(duty));
            task::spawn(Arc::clone(self).carry_out(duty));
        }
    }

    /// The handler of calls from other daemons.
    pub fn link_handler(self: &Arc<Self>) -> Arc<dyn LinkHandler> {
        Arc::new(ControlHandler::new(Arc::clone(self)))
    }

    /// Gives all leases up at a planned stop, so that other daemons need not wait for their terms. The daemon takes
    /// no lease any more once its process is leaving.
    pub async fn release_leases(&self) {
        let slots = self.weight_slots();
        for lease in self.leases(&slots) {
            lease.release().await;
        }
    }

    /// Takes or renews the leases of a duty and carries out one round of it where they are held. [`Control::start`]
    /// does the same at intervals.
    pub async fn run_once(&self, duty: ControlDuty) {
        self.keep_leases_of(duty).await;
        self.round(duty).await;
    }

    /// Names of the leases that are held.
    pub fn held_leases(&self) -> Vec<String> {
        let slots = self.weight_slots();
        let leases = self.leases(&slots).into_iter();
        leases
            .filter(|lease| lease.term().is_some())
            .map(|lease| lease.name().to_owned())
            .collect()
    }

    pub(crate) fn node(&self) -> &Arc<Node> {
        &self.context.node
    }

    fn weight_slots(&self) -> IndexMap<ZoneId, Arc<DutySlot<WeightsWork>>> {
        self.weights
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn leases<'a>(&'a self, weights: &'a IndexMap<ZoneId, Arc<DutySlot<WeightsWork>>>) -> Vec<&'a DutyLease> {
        let others = [&self.usage.lease, &self.targets.lease, &self.members.lease];
        others
            .into_iter()
            .chain(weights.values().map(|slot| &slot.lease))
            .collect()
    }

    async fn keep_leases_of(&self, duty: ControlDuty) {
        if self.context.node.stop.is_leaving() {
            return;
        }
        match duty {
            ControlDuty::Usage => self.usage.lease.keep().await,
            ControlDuty::Targets => self.targets.lease.keep().await,
            ControlDuty::Weights => self.keep_weight_leases().await,
            ControlDuty::Members => self.members.lease.keep().await,
        }
    }

    async fn keep_weight_leases(&self) {
        self.add_weight_zones();
        let slots = self.weight_slots();
        let kept = slots
            .iter()
            .filter(|(zone, slot)| slot.lease.term().is_some() || !self.has_nearer_daemon(zone));
        join_all(kept.map(|(_, slot)| slot.lease.keep())).await;
    }

    /// Adds the zones of the configuration. A zone that is removed has no engines, so its slot does nothing.
    fn add_weight_zones(&self) {
        let config = self.context.node.config.active();
        let mut slots = self.weights.lock().unwrap_or_else(PoisonError::into_inner);
        for zone in config.document().zones.keys() {
            slots.entry(zone.clone()).or_insert_with(|| {
                let name = format!("weights-{zone}");
                Arc::new(DutySlot::new(&name, &self.context.node))
            });
        }
    }

    /// Whether a zone has control daemons of its own and this is not one of them. Zones are then shared between the
    /// daemons, and orders stay within the zone.
    fn has_nearer_daemon(&self, zone: &ZoneId) -> bool {
        let node = &self.context.node;
        let is_near = |peer: &Peer| {
            peer.live
                && !peer.record.leaving
                && peer.record.zone == *zone
                && peer.record.has_role(Role::Control)
        };
        node.settings.daemon.zone != *zone && node.peers.all(node.now()).iter().any(is_near)
    }

    async fn keep_lease(self: Arc<Self>, duty: ControlDuty) {
        loop {
            self.keep_leases_of(duty).await;
            task::sleep(LEASE_INTERVAL_MS.as_std()).await;
        }
    }

    async fn carry_out(self: Arc<Self>, duty: ControlDuty) {
        self.keep_leases_of(duty).await;
        loop {
            let pause_ms = match self.round(duty).await {
                RoundResult::Done => duty.interval_ms(),
                RoundResult::Failed => duty.interval_ms().min(RETRY_MS),
            };
            task::sleep(pause_ms.as_std()).await;
        }
    }

    async fn round(&self, duty: ControlDuty) -> RoundResult {
        let context = &self.context;
        match duty {
            ControlDuty::Usage => self.usage.logged_round(context, LogEvent::WindowDelayed).await,
            ControlDuty::Targets => self.targets.logged_round(context, LogEvent::OrderFailed).await,
            ControlDuty::Members => self.members.logged_round(context, LogEvent::UpkeepFailed).await,
            ControlDuty::Weights => {
                self.weight_rounds().await;
                RoundResult::Done
            }
        }
    }

    async fn weight_rounds(&self) {
        let slots = self.weight_slots();
        let rounds = slots.iter().map(|(zone, slot)| {
            let context = DutyContext {
                zone: zone.clone(),
                ..self.context.clone()
            };
            async move { slot.logged_round(&context, LogEvent::OrderFailed).await }
        });
        join_all(rounds).await;
    }
}

fn system_wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
