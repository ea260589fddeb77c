//! Why a request waits.

use std::fmt;

use jm_types::{RequestId, TargetId};

use crate::{
    Class, Scheduler,
    flight::{Stage, Tracked},
    placement::{Need, Placement},
};

/// What holds a request back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing: it runs on this target.
    Running(TargetId),
    /// Other organisations' requests go first by their shares, or earlier ones of the same organisation.
    FairShare,
    /// Live requests of the service go first.
    LivePriority,
    /// The windows of all targets are full.
    WindowsFull,
    /// The windows are full for training; only live calls may go further.
    TrainingLimit,
    /// Every target that it may use is slow or failing and only gets probes.
    TargetsDegraded,
    /// No target is left that takes work and was not tried before.
    NoTarget,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running(target) => write!(f, "it runs on {target}"),
            Self::FairShare => {
                f.write_str("earlier requests or organisations with a smaller used share go first")
            }
            Self::LivePriority => f.write_str("live requests go first"),
            Self::WindowsFull => f.write_str("the windows of all targets are full"),
            Self::TrainingLimit => {
                f.write_str("the windows are full for training; only live calls may go further")
            }
            Self::TargetsDegraded => f.write_str("every target that it may use is slow or failing"),
            Self::NoTarget => f.write_str("no target is left that was not tried before"),
        }
    }
}

/// The answer to "why does this request wait".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// What holds it back.
    pub reason: WaitReason,
    /// Earlier requests of the same organisation.
    pub requests_ahead: usize,
    /// Organisations whose turn comes first.
    pub organisations_ahead: usize,
    /// All requests that wait for the service in the same class.
    pub queue_len: usize,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; {} requests of the organisation and {} other organisations are ahead; {} requests wait",
            self.reason, self.requests_ahead, self.organisations_ahead, self.queue_len
        )
    }
}

impl Scheduler {
    /// Says where a request stands and what holds it back; `None` when it is not known.
    pub fn explain(&self, request: RequestId) -> Option<Explanation> {
        let tracked = self.requests.get(&request)?;
        let service = &self.services[tracked.service];
        let queue = service.queue(tracked.class());
        let (reason, (requests_ahead, organisations_ahead)) = match tracked.stage {
            Stage::Running(flight) => (
                WaitReason::Running(service.targets[flight.slot].spec.id.clone()),
                (0, 0),
            ),
            Stage::Waiting(sequence) => {
                let position = queue.position(tracked.organisation, sequence);
                (self.wait_reason(tracked), position)
            }
        };
        Some(Explanation {
            reason,
            requests_ahead,
            organisations_ahead,
            queue_len: queue.len(),
        })
    }

    fn wait_reason(&self, tracked: &Tracked) -> WaitReason {
        let service = &self.services[tracked.service];
        let own = tracked.need(service.estimate(tracked));
        match service.place(own, self.now, &self.options) {
            Placement::NoTarget => WaitReason::NoTarget,
            Placement::Degraded => WaitReason::TargetsDegraded,
            Placement::Full if tracked.class() == Class::Live => WaitReason::WindowsFull,
            _ if tracked.class() == Class::Training && service.queue(Class::Live).len() > 0 => {
                WaitReason::LivePriority
            }
            Placement::Full => {
                let as_live = Need {
                    class: Class::Live,
                    ..own
                };
                match service.place(as_live, self.now, &self.options) {
                    Placement::Slot(_) => WaitReason::TrainingLimit,
                    _ => WaitReason::WindowsFull,
                }
            }
            Placement::Slot(_) => WaitReason::FairShare,
        }
    }
}
