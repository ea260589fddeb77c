//! Limits and intervals of the scheduler.

use jm_types::DurationMs;

/// Limits and intervals of a [`crate::Scheduler`]; they are fixed when it is created.
#[derive(Debug, Clone)]
pub struct SchedulerOptions {
    /// Maximum number of queued requests of one organisation for one service and class. A sharing rule of the
    /// organisation for the service overrides this limit.
    pub organisation_queue_limit: usize,
    /// Maximum number of queued requests for one service and class. When the limit is reached, requests of an
    /// organisation with less than an equal part of the queue are still accepted, so that a flood of one organisation
    /// does not block the others. At most twice this number of requests are queued.
    pub service_queue_limit: usize,
    /// Headroom above the window that only live requests may use, in thousandths of the window. Training requests
    /// fill the window but not the headroom. A live request therefore does not wait for a draft to end, and training
    /// throughput does not suffer while there are no live requests. Engines must have capacity for the largest window
    /// plus this headroom.
    pub live_headroom_per_thousand: u64,
    /// Maximum number of prompt tokens of the training requests in one batch on an engine whose window is nearly full.
    /// Engines process prompts in order of arrival, so the prompts of drafts delay the first token of a live request.
    /// Batches on a few engines keep the other engines free of prompt processing. With 0, training requests start
    /// whenever they fit into the window.
    pub training_batch_tokens: u64,
    /// Interval between two updates of the windows and of the health of targets.
    pub control_interval: DurationMs,
    /// A target is slow when its time per token exceeds the peers' median by this factor, in thousandths.
    pub slow_factor_per_thousand: u64,
    /// Number of consecutive control intervals with slow (or recovered) measurements before the health changes.
    pub slow_intervals: u32,
    /// Interval between two probe requests to a slow or failing target.
    pub probe_interval: DurationMs,
    /// Number of consecutive failures after which a target only receives probe requests.
    pub failure_limit: u32,
    /// Time without progress after which a target with running requests counts as slow.
    pub stall_timeout: DurationMs,
    /// Maximum age of a load report; older reports are ignored.
    pub max_report_age: DurationMs,
    /// Maximum number of prefix hashes in the index of one service, at about 32 bytes each.
    pub prefix_limit: usize,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            organisation_queue_limit: 256,
            service_queue_limit: 4_096,
            live_headroom_per_thousand: 100,
            training_batch_tokens: 512,
            control_interval: DurationMs::new(500),
            slow_factor_per_thousand: 2_000,
            slow_intervals: 3,
            probe_interval: DurationMs::new(1_000),
            failure_limit: 3,
            stall_timeout: DurationMs::new(2_000),
            max_report_age: DurationMs::new(5_000),
            prefix_limit: 200_000,
        }
    }
}
