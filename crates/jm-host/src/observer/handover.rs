//! Log lines and counters of batch handovers.

use jm_batch::{HandoverEvents, HandoverReply};
use jm_types::{BatchId, LogEvent, MemberId};

use super::HostObserver;

impl HandoverEvents for HostObserver {
    fn handed_over(&self, batch: &BatchId, to: &MemberId) {
        self.batches.with_label_values(&["handed_over"]).inc();
        LogEvent::BatchHandedOver.write_fields(
            "the next owner accepted the batch; its running items end here",
            &[("batch", &batch.as_str()), ("to", &to.as_str())],
        );
    }

    fn handover_failed(&self, batch: &BatchId, to: &MemberId, reply: HandoverReply) {
        self.batches.with_label_values(&["handover_failed"]).inc();
        let reason = match reply {
            HandoverReply::Refused => "the host refused the batch",
            _ => "the host did not answer, or the message is too large or unknown to it",
        };
        LogEvent::BatchHandoverFailed
            .write_fields(reason, &[("batch", &batch.as_str()), ("to", &to.as_str())]);
    }

    fn handover_accepted(&self, batch: &BatchId, from: &MemberId, listed: usize) {
        self.batches.with_label_values(&["handover_accepted"]).inc();
        LogEvent::BatchHandoverAccepted.write_fields(
            "this host runs a batch that the store does not assign to it yet",
            &[
                ("batch", &batch.as_str()),
                ("from", &from.as_str()),
                ("listed", &listed),
            ],
        );
    }

    fn handover_confirmed(&self, batch: &BatchId) {
        self.batches.with_label_values(&["handover_confirmed"]).inc();
        LogEvent::BatchHandoverConfirmed.write_fields(
            "the store names this host as the owner",
            &[("batch", &batch.as_str())],
        );
    }

    fn handover_overruled(&self, batch: &BatchId, owner: &MemberId) {
        self.batches.with_label_values(&["handover_overruled"]).inc();
        LogEvent::BatchHandoverOverruled.write_fields(
            "the store names another owner; this host reports its progress to that owner",
            &[("batch", &batch.as_str()), ("owner", &owner.as_str())],
        );
    }
}
