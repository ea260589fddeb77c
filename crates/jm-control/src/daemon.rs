//! State and tasks of the control daemon.

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

/// Interval at which leases are acquired or renewed. Several intervals fit into the term.
const LEASE_INTERVAL_MS: DurationMs = DurationMs::new(2_000);

/// Maximum pause after a failed round.
const MAX_RETRY_PAUSE_MS: DurationMs = DurationMs::new(1_000);

/// Returns the wall-clock time, which determines usage windows on all hosts.
pub type WallClock = Arc<dyn Fn() -> WallTime + Send + Sync>;

/// Options of a control daemon.
#[derive(Clone)]
pub struct ControlOptions {
    /// Clock that determines usage windows.
    pub wall_clock: WallClock,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            wall_clock: Arc::new(system_wall_time),
        }
    }
}

/// A background duty that at most one control daemon carries out at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlDuty {
    /// Seals and reports usage windows.
    Usage,
    /// Orders and releases targets.
    Targets,
    /// Rolls out weight versions, with one lease for each zone.
    Weights,
    /// Removes registrations of absent daemons, and writes snapshots of the configuration.
    Members,
}

impl ControlDuty {
    /// All duties.
    pub const ALL: [Self; 4] = [Self::Usage, Self::Targets, Self::Weights, Self::Members];

    /// Returns the pause between two rounds.
    const fn interval_ms(self) -> DurationMs {
        match self {
            Self::Usage => DurationMs::new(5_000),
            // A leaving target must stop receiving new work within 3 s. This time has to cover one round and one
            // read by the dispatch daemons.
            Self::Targets => DurationMs::new(1_000),
            Self::Weights => DurationMs::new(100),
            Self::Members => DurationMs::new(10_000),
        }
    }
}

/// A control daemon, which competes for the lease of every duty.
pub struct Control {
    context: DutyContext,
    usage: DutySlot<UsageWork>,
    targets: DutySlot<TargetsWork>,
    members: DutySlot<MembersWork>,
    weights: Mutex<IndexMap<ZoneId, Arc<DutySlot<WeightsWork>>>>,
}

impl Control {
    /// Creates a daemon that holds no lease. [`Control::start`] starts its duties.
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

    /// Starts the tasks of the daemon, which run until the process ends.
    pub fn start(self: &Arc<Self>) {
        task::spawn(OrderedTargetsCache::follow(Arc::clone(self.node())));
        for duty in ControlDuty::ALL {
            task::spawn(Arc::clone(self).renew_periodically(duty));
            task::spawn(Arc::clone(self).run_periodically(duty));
        }
    }

    /// Returns the handler of calls from other daemons.
    pub fn link_handler(self: &Arc<Self>) -> Arc<dyn LinkHandler> {
        Arc::new(ControlHandler::new(Arc::clone(self)))
    }

    /// Releases all leases at a planned stop, so that other daemons need not wait for the end of their terms. The
    /// daemon acquires no further lease once its process is leaving.
    pub async fn release_leases(&self) {
        let slots = self.weight_slots();
        for lease in self.leases(&slots) {
            lease.release().await;
        }
    }

    /// Acquires or renews the leases of a duty and carries out one round under each held lease. [`Control::start`]
    /// does so periodically.
    pub async fn run_once(&self, duty: ControlDuty) {
        self.renew_leases(duty).await;
        self.round(duty).await;
    }

    /// Returns the names of the leases that this daemon holds.
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
        let other_leases = [&self.usage.lease, &self.targets.lease, &self.members.lease];
        other_leases
            .into_iter()
            .chain(weights.values().map(|slot| &slot.lease))
            .collect()
    }

    async fn renew_leases(&self, duty: ControlDuty) {
        if self.context.node.stop.is_leaving() {
            return;
        }
        match duty {
            ControlDuty::Usage => self.usage.lease.acquire_or_renew().await,
            ControlDuty::Targets => self.targets.lease.acquire_or_renew().await,
            ControlDuty::Weights => self.renew_weight_leases().await,
            ControlDuty::Members => self.members.lease.acquire_or_renew().await,
        }
    }

    async fn renew_weight_leases(&self) {
        self.add_weight_zones();
        let slots = self.weight_slots();
        let renewed = slots
            .iter()
            .filter(|(zone, slot)| slot.lease.term().is_some() || !self.has_local_daemon(zone));
        join_all(renewed.map(|(_, slot)| slot.lease.acquire_or_renew())).await;
    }

    /// Adds a slot for each zone of the configuration. The slot of a removed zone stays without effect, because the
    /// zone has no engines.
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

    /// Returns whether this daemon is outside the zone while a live control daemon is inside. Leaving the lease to
    /// that daemon spreads the zones over the daemons and keeps orders within the zone.
    fn has_local_daemon(&self, zone: &ZoneId) -> bool {
        let node = &self.context.node;
        let is_local = |peer: &Peer| {
            peer.live
                && !peer.record.leaving
                && peer.record.zone == *zone
                && peer.record.has_role(Role::Control)
        };
        node.settings.daemon.zone != *zone && node.peers.all(node.now()).iter().any(is_local)
    }

    async fn renew_periodically(self: Arc<Self>, duty: ControlDuty) {
        loop {
            self.renew_leases(duty).await;
            task::sleep(LEASE_INTERVAL_MS.as_std()).await;
        }
    }

    async fn run_periodically(self: Arc<Self>, duty: ControlDuty) {
        self.renew_leases(duty).await;
        loop {
            let pause_ms = match self.round(duty).await {
                RoundResult::Done => duty.interval_ms(),
                RoundResult::Failed => duty.interval_ms().min(MAX_RETRY_PAUSE_MS),
            };
            task::sleep(pause_ms.as_std()).await;
        }
    }

    async fn round(&self, duty: ControlDuty) -> RoundResult {
        let context = &self.context;
        match duty {
            ControlDuty::Usage => self.usage.round_with_log(context, LogEvent::WindowDelayed).await,
            ControlDuty::Targets => self.targets.round_with_log(context, LogEvent::OrderFailed).await,
            ControlDuty::Members => self.members.round_with_log(context, LogEvent::UpkeepFailed).await,
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
            async move { slot.round_with_log(&context, LogEvent::OrderFailed).await }
        });
        join_all(rounds).await;
    }
}

fn system_wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
