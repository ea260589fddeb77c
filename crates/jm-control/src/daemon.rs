//! The state of the daemon and its tasks.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::task;
use jm_link::LinkHandler;
use jm_node::Node;
use jm_types::{DurationMs, LogEvent};
use jm_usage::WallTime;

use crate::{
    duty::{DutyContext, DutySlot},
    error::DutyError,
    handler::ControlHandler,
    lease::DutyLease,
    targets::TargetsWork,
    usage::UsageWork,
};

/// Interval at which leases are taken or renewed; several fit into the term.
const LEASE_INTERVAL_MS: DurationMs = DurationMs::new(2_000);

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
}

impl ControlDuty {
    /// Every duty.
    pub const ALL: [Self; 2] = [Self::Usage, Self::Targets];

    /// Pause between two rounds.
    const fn interval_ms(self) -> DurationMs {
        match self {
            Self::Usage => DurationMs::new(5_000),
            // A leaving target gets no new work after 3 s at most; a round and a read by dispatch daemons fit in.
            Self::Targets => DurationMs::new(1_000),
        }
    }
}

/// A control daemon.
pub struct Control {
    context: DutyContext,
    usage: DutySlot<UsageWork>,
    targets: DutySlot<TargetsWork>,
}

impl Control {
    /// A daemon that holds no lease yet.
    pub fn new(node: Arc<Node>, options: ControlOptions) -> Arc<Self> {
        Arc::new(Self {
            usage: DutySlot::new("usage", &node),
            targets: DutySlot::new("targets", &node),
            context: DutyContext { node, options },
        })
    }

    /// Starts the daemon's tasks; they run until the process ends.
    pub fn start(self: &Arc<Self>) {
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
        for lease in self.leases() {
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
        let leases = self.leases().into_iter();
        leases
            .filter(|lease| lease.term().is_some())
            .map(|lease| lease.name().to_owned())
            .collect()
    }

    pub(crate) fn node(&self) -> &Arc<Node> {
        &self.context.node
    }

    fn leases(&self) -> Vec<&DutyLease> {
        ControlDuty::ALL
            .into_iter()
            .flat_map(|duty| self.leases_of(duty))
            .collect()
    }

    fn leases_of(&self, duty: ControlDuty) -> Vec<&DutyLease> {
        match duty {
            ControlDuty::Usage => vec![&self.usage.lease],
            ControlDuty::Targets => vec![&self.targets.lease],
        }
    }

    async fn keep_leases_of(&self, duty: ControlDuty) {
        if self.context.node.stop.is_leaving() {
            return;
        }
        for lease in self.leases_of(duty) {
            lease.keep().await;
        }
    }

    async fn keep_lease(self: Arc<Self>, duty: ControlDuty) {
        loop {
            self.keep_leases_of(duty).await;
            task::sleep(LEASE_INTERVAL_MS.as_std()).await;
        }
    }

    async fn carry_out(self: Arc<Self>, duty: ControlDuty) {
        loop {
            self.round(duty).await;
            task::sleep(duty.interval_ms().as_std()).await;
        }
    }

    async fn round(&self, duty: ControlDuty) {
        let (result, event) = match duty {
            ControlDuty::Usage => (self.usage.round(&self.context).await, LogEvent::WindowDelayed),
            ControlDuty::Targets => (self.targets.round(&self.context).await, LogEvent::OrderFailed),
        };
        if let Err(error) = result {
            report_failure(event, &error);
        }
    }
}

fn report_failure(event: LogEvent, error: &DutyError) {
    match error {
        DutyError::LeaseLapsed => LogEvent::LeaseLost.write(error),
        error => event.write(error),
    }
}

fn system_wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
