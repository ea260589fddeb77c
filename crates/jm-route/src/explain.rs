//! Explains why a request is still queued.

use std::fmt;

use jm_types::{RequestId, TargetId};

use crate::{
    Class, Scheduler,
    placement::{Placement, PlacementQuery},
    tracked::{Stage, Tracked},
};

/// The condition that keeps a request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The request is not queued any more: it runs on this target.
    Running(TargetId),
    /// Fair queueing serves earlier requests of the same organisation, or other organisations, first.
    FairShare,
    /// Live requests of the service are served before training requests.
    LivePriority,
    /// The windows of all usable targets are full.
    WindowsFull,
    /// The windows are full for training requests. Only live requests may use the remaining headroom.
    TrainingLimit,
    /// Every target that the request may use is slow or failing and only receives probe requests.
    TargetsDegraded,
    /// No target accepts new work, apart from those tried before.
    NoTarget,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running(target) => write!(f, "running on target {target}"),
            Self::FairShare => f.write_str(
                "earlier requests or organisations that used less of their share are served first",
            ),
            Self::LivePriority => f.write_str("live requests are served first"),
            Self::WindowsFull => f.write_str("the windows of all targets are full"),
            Self::TrainingLimit => f.write_str("the windows are full for training requests"),
            Self::TargetsDegraded => f.write_str("every usable target is slow or failing"),
            Self::NoTarget => f.write_str("no target accepts new work, apart from those tried before"),
        }
    }
}

/// The state of a request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The condition that must change before the request starts.
    pub reason: WaitReason,
    /// Number of earlier requests of the same organisation in the queue.
    pub requests_ahead: usize,
    /// Number of organisations that fair queueing serves first.
    pub organisations_ahead: usize,
    /// Number of queued requests of the same service and class.
    pub queue_len: usize,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; {} requests of the organisation and {} other organisations are ahead; {} requests are queued",
            self.reason, self.requests_ahead, self.organisations_ahead, self.queue_len
        )
    }
}

impl Scheduler {
    /// Explains why a request is queued; `None` when the scheduler does not hold the request.
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
        let own = tracked.placement_query(service.estimate(tracked));
        match service.place(own, self.now, &self.options) {
            Placement::NoTarget => WaitReason::NoTarget,
            Placement::Degraded => WaitReason::TargetsDegraded,
            Placement::Full if tracked.class() == Class::Live => WaitReason::WindowsFull,
            _ if tracked.class() == Class::Training && service.queue(Class::Live).len() > 0 => {
                WaitReason::LivePriority
            }
            Placement::Full => {
                let as_live = PlacementQuery {
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
