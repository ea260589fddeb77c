//! Settings of a scheduler.

use jm_types::DurationMs;

/// Settings of a [`crate::Scheduler`].
#[derive(Debug, Clone)]
pub struct SchedulerOptions {
    /// Most requests that one organisation may have waiting for one service and class.
    pub organisation_queue_limit: usize,
    /// Most requests that may wait for one service and class. An organisation that holds less than an equal part
    /// of this is still accepted when the limit is reached, so that a flood cannot shut others out; at most twice
    /// this number wait.
    pub service_queue_limit: usize,
    /// How far live calls may go beyond the window, in thousandths of it. Training fills the window and never
    /// this part, so that a live call need not wait for a draft to end, and training loses nothing while no live
    /// call comes. Engines must hold the largest window and this part.
    pub live_headroom_per_thousand: u64,
    /// Most prompt tokens of training requests that are started together on an engine whose window is nearly
    /// full. Engines process prompts in order of arrival, so the prompts of drafts delay the first token of a live
    /// call; started together on a few engines, they leave the others free of prompts. With 0, training requests
    /// start whenever they fit.
    pub training_batch_tokens: u64,
    /// Interval at which windows adapt and slow targets are looked for.
    pub control_interval: DurationMs,
    /// A target is slow when its time per token exceeds the peers' median by this factor, in thousandths.
    pub slow_factor_per_thousand: u64,
    /// Control intervals in a row for which a target must look slow, or well again, before its state changes.
    pub slow_intervals: u32,
    /// Time between probes of a slow or failing target.
    pub probe_interval: DurationMs,
    /// Failures in a row after which a target only gets probes.
    pub failure_limit: u32,
    /// A target with work that makes no progress for this long counts as slow.
    pub stall_timeout: DurationMs,
    /// A load report older than this is ignored.
    pub max_report_age: DurationMs,
    /// Most prefix hashes remembered per service; about 32 bytes each.
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
