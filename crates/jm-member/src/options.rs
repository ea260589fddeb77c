//! Options of failure detection.

use jm_types::DurationMs;

/// Intervals, timeouts and size limits of a [`crate::Detector`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorOptions {
    /// Interval between two probes. Two of three probes go to members of the own zone.
    pub probe_interval_ms: DurationMs,
    /// Timeout of a direct probe, after which other members are asked to probe. It exceeds the round-trip time between
    /// regions.
    pub direct_timeout_ms: DurationMs,
    /// Timeout for any answer, direct or indirect, after which the member is suspected.
    pub indirect_timeout_ms: DurationMs,
    /// Number of members that are asked to probe a member that does not answer.
    pub indirect_probes: usize,
    /// Time in which a suspected member can refute the suspicion before it is marked as failed. It is multiplied by
    /// the decimal logarithm of the number of members, at least 1.
    pub suspicion_timeout_ms: DurationMs,
    /// Interval between two probes of failed but registered members. These probes detect members that become reachable
    /// again after a partition.
    pub failed_probe_interval_ms: DurationMs,
    /// Interval between two synchronisations of the view with one random member.
    pub sync_interval_ms: DurationMs,
    /// Number of times that an update is sent, as a factor on the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Maximum size of the membership updates in one datagram, in bytes.
    pub update_bytes: usize,
    /// Maximum size of the load summaries in one ping, in bytes.
    pub summary_bytes: usize,
    /// Age after which a load summary is deleted.
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
