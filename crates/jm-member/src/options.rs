//! Settings of failure detection.

use jm_types::DurationMs;

/// Intervals, time limits and budgets of a [`crate::Detector`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorOptions {
    /// Time between two probes. Two of three go to members of the own zone.
    pub probe_interval_ms: DurationMs,
    /// Wait for the answer to a probe before other members are asked to probe. It exceeds the round trip between
    /// regions.
    pub direct_timeout_ms: DurationMs,
    /// Wait for any answer, direct or indirect, before the member is suspected.
    pub indirect_timeout_ms: DurationMs,
    /// Members that are asked to probe a silent one.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion before it counts as failed.
    pub suspicion_timeout_ms: DurationMs,
    /// Time between two probes of failed but registered members, which find members that come back after a partition.
    pub failed_probe_interval_ms: DurationMs,
    /// Time between two comparisons of the known membership with one random member.
    pub sync_interval_ms: DurationMs,
    /// Times that a change is sent on, as a factor on the logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Bytes of membership changes in one datagram.
    pub update_bytes: usize,
    /// Bytes of load summaries in one ping.
    pub summary_bytes: usize,
    /// Age after which a load summary is forgotten.
    pub summary_retention_ms: DurationMs,
}

impl Default for DetectorOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: DurationMs::new(300),
            direct_timeout_ms: DurationMs::new(400),
            indirect_timeout_ms: DurationMs::new(1_000),
            indirect_probes: 3,
            suspicion_timeout_ms: DurationMs::new(3_000),
            failed_probe_interval_ms: DurationMs::new(2_000),
            sync_interval_ms: DurationMs::new(5_000),
            retransmit_factor: 3,
            update_bytes: 300,
            summary_bytes: 100,
            summary_retention_ms: DurationMs::new(30_000),
        }
    }
}
