//! Planned stop of a host.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use jm_forward::Drain;
use jm_node::StopTrigger;
use jm_types::{DurationMs, LogEvent};

use super::Host;

/// Time for which a leaving host continues to serve callers that still use its address.
const DRAIN_MS: DurationMs = DurationMs::new(4_500);
/// Part of the grace period that is reserved for the exit.
const GRACE_MARGIN_MS: DurationMs = DurationMs::new(700);
/// Timeout for sending the final usage counts; part of the margin.
const FLUSH_TIMEOUT_MS: DurationMs = DurationMs::new(300);

impl Host {
    /// Shuts down gracefully: announces to callers and hosts that this host is leaving, hands its batches and duties
    /// over to others, and lets open requests finish within the grace period.
    pub async fn stop(&self, trigger: StopTrigger, callers: Vec<JoinHandle<()>>) {
        LogEvent::DaemonStopping.write_fields(
            "the host is leaving",
            &[("grace_ms", &self.settings.bounds.grace_ms.get())],
        );
        let begun = self.clock.now();
        let usable_ms = self.settings.bounds.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let drain = *self.drain.get_or_init(|| Drain::new(begun.after(usable_ms)));
        self.membership.start_leaving();
        trigger.leave();
        let handover_ms = DRAIN_MS.min(usable_ms);
        let handover = async_std::future::timeout(handover_ms.as_std(), self.batches.hand_over()).await;
        if handover.is_err() {
            LogEvent::BatchStoreFailed
                .write("some batches were not handed over in time; other hosts take them over when this host has ended");
        }
        let drain_ms = DRAIN_MS
            .min(usable_ms)
            .saturating_sub(self.clock.now().since(begun));
        task::sleep(drain_ms.as_std()).await;
        trigger.stop();
        let remaining = || usable_ms.saturating_sub(self.clock.now().since(begun)).as_std();
        let mut all = futures::future::join_all(callers);
        let answers_ms = drain.time_left(self.clock.now());
        let mut finished = async_std::future::timeout(answers_ms.as_std(), &mut all)
            .await
            .is_ok();
        if !finished {
            self.last_answers.0.close();
            finished = async_std::future::timeout(remaining(), all).await.is_ok();
        }
        let flush = self.usage_publisher.flush();
        if async_std::future::timeout(FLUSH_TIMEOUT_MS.as_std(), flush)
            .await
            .is_err()
        {
            LogEvent::WindowDelayed.write("the final usage counts were not sent in time and are lost");
        }
        LogEvent::DaemonStopped.write_fields(
            "the host exits",
            &[("finished_all_requests", &finished.to_string().as_str())],
        );
        // Gives the log writer thread time to write the last line.
        task::sleep(Duration::from_millis(20)).await;
    }
}
