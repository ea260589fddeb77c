//! Log lines and metrics of batches.

use jm_batch::{
    BatchEvents, BatchProgress, BegunAnew, CarriedOver, Displacement, GenerationEnd, PlacedItems,
    ResultsRead, RewardAttempt, RewardEnd, RunEnd,
};
use jm_forward::{RunKey, Target};
use jm_types::{BatchId, DurationMs, LogEvent, MemberId, SoftwareVersion};

use super::HostObserver;

fn end_name(end: &GenerationEnd) -> (&'static str, &str) {
    match end {
        GenerationEnd::Complete => ("complete", ""),
        GenerationEnd::NotRun { reason } => ("not_run", reason),
        GenerationEnd::Unsent { reason } => ("unsent", reason),
        GenerationEnd::Failed { reason } => ("failed", reason),
        GenerationEnd::Impossible => ("impossible", ""),
        GenerationEnd::Lost { reason } => ("lost", reason),
        GenerationEnd::Stopped => ("stopped", ""),
    }
}

fn software_name(software: Option<&SoftwareVersion>) -> &str {
    software.map_or("", SoftwareVersion::as_str)
}

fn reward_end_name(end: &RewardEnd) -> (&'static str, &str) {
    match end {
        RewardEnd::Scored(_) => ("scored", "the text was scored"),
        RewardEnd::Failed { reason } => ("failed", reason),
        RewardEnd::NotRun { reason } => ("not_run", reason),
        RewardEnd::Unsent { reason } => ("unsent", reason),
        RewardEnd::Lost { reason } => ("lost", reason),
    }
}

impl BatchEvents for HostObserver {
    fn accepted(&self, batch: &BatchId, items: usize) {
        self.batches.with_label_values(&["accepted"]).inc();
        LogEvent::BatchAccepted.write_fields(
            "the batch was accepted and stored",
            &[("batch", &batch.as_str()), ("items", &items)],
        );
    }

    fn taken_over(&self, batch: &BatchId, from: &MemberId, listed: usize) {
        self.batches.with_label_values(&["taken_over"]).inc();
        LogEvent::BatchTakenOver.write_fields(
            "this host took over the batch",
            &[
                ("batch", &batch.as_str()),
                ("from", &from.as_str()),
                ("listed", &listed),
            ],
        );
    }

    fn start_repeated(&self, batch: &BatchId) {
        self.batches.with_label_values(&["start_repeated"]).inc();
        LogEvent::BatchStartRepeated.write_fields(
            "the batch already runs on this host; the second start has no effect",
            &[("batch", &batch.as_str())],
        );
    }

    fn displaced(&self, displacement: &Displacement<'_>) {
        self.batches.with_label_values(&["displaced"]).inc();
        LogEvent::BatchDisplaced.write_fields(
            "a stored state names another owner of a batch that this host holds",
            &[
                ("batch", &displacement.batch.as_str()),
                ("owner", &displacement.owner.as_str()),
                ("phase", &displacement.phase.name()),
                ("earlier_owners", &displacement.earlier_owners),
                ("source", &displacement.source.name()),
            ],
        );
    }

    fn released(&self, batch: &BatchId, to: &MemberId) {
        self.batches.with_label_values(&["given_up"]).inc();
        LogEvent::BatchGivenUp.write_fields(
            "another host took over the batch",
            &[("batch", &batch.as_str()), ("to", &to.as_str())],
        );
    }

    fn paused(&self, pause: DurationMs) {
        LogEvent::ProcessPaused.write_fields(
            "this process did not run for a while; the owners of its batches are confirmed before it starts anything",
            &[("pause_ms", &pause.get())],
        );
    }

    fn owners_confirmed(&self, batches: usize, unread: usize, took: DurationMs) {
        LogEvent::OwnersConfirmed.write_fields(
            "this host starts items again after the pause",
            &[
                ("batches", &batches),
                ("unread", &unread),
                ("took_ms", &took.get()),
            ],
        );
    }

    fn progress(&self, batch: &BatchId, progress: &BatchProgress) {
        LogEvent::BatchWaits.write_fields(
            "items are waiting for engines or for their scores",
            &[
                ("batch", &batch.as_str()),
                ("waiting", &progress.waiting),
                ("running", &progress.running),
                ("scoring", &progress.scoring),
                ("listed", &progress.listed),
                ("engines", &progress.engines),
                ("with_weights", &progress.with_weights),
                ("with_room", &progress.with_capacity),
            ],
        );
    }

    fn finished(&self, batch: &BatchId, took: DurationMs) {
        self.batches.with_label_values(&["finished"]).inc();
        LogEvent::BatchFinished.write_fields(
            "all results of the batch are available",
            &[("batch", &batch.as_str()), ("took_ms", &took.get())],
        );
    }

    fn ended(&self, batch: &BatchId, listed: usize) {
        self.batches.with_label_values(&["ended"]).inc();
        LogEvent::BatchEnded.write_fields(
            "the submitter ended the batch",
            &[("batch", &batch.as_str()), ("listed", &listed)],
        );
    }

    fn removed(&self, batch: &BatchId, closed_for: DurationMs) {
        self.batches.with_label_values(&["removed"]).inc();
        LogEvent::BatchRemoved.write_fields(
            "the batch was removed after its retention",
            &[("batch", &batch.as_str()), ("closed_for_ms", &closed_for.get())],
        );
    }

    fn run_failed(&self, end: &RunEnd<'_>) {
        let (name, reason) = end_name(end.end);
        self.item_runs.with_label_values(&[name]).inc();
        LogEvent::ItemRunFailed.write_fields(
            reason,
            &[
                ("batch", &end.batch.as_str()),
                ("item", &end.item),
                ("target", &end.target.id.as_str()),
                ("software", &software_name(end.software)),
                ("outcome", &name),
                ("events", &end.events),
                ("took_ms", &end.took.get()),
            ],
        );
    }

    fn carried_over(&self, batch: &BatchId, carried: &CarriedOver) {
        LogEvent::BatchCarriedOver.write_fields(
            "the batch continues items of earlier batches",
            &[
                ("batch", &batch.as_str()),
                ("items", &carried.items),
                ("continued", &carried.continued),
                ("complete", &carried.complete),
            ],
        );
    }

    fn results_read(&self, batch: &BatchId, read: &ResultsRead) {
        LogEvent::BatchResultsRead.write_fields(
            "results of the batch were read from the store",
            &[
                ("batch", &batch.as_str()),
                ("listed_pieces", &read.listed_pieces),
                ("foreign_objects", &read.foreign_objects),
                ("single_pieces", &read.single_pieces),
                ("results", &read.results),
            ],
        );
    }

    fn resumed(&self, batch: &BatchId, item: &str, target: &Target, events: u64) {
        self.item_runs.with_label_values(&["resumed"]).inc();
        LogEvent::ItemResumed.write_fields(
            "the item resumes its text",
            &[
                ("batch", &batch.as_str()),
                ("item", &item),
                ("target", &target.run.id.as_str()),
                ("software", &software_name(target.software.as_ref())),
                ("events", &events),
            ],
        );
    }

    fn begun_anew(&self, begun: &BegunAnew<'_>) {
        self.item_runs.with_label_values(&["begun_anew"]).inc();
        let message = match begun.waited {
            Some(_) => "no engine of the text's software version had room in time; the item begins anew",
            None => "no engine of the text's software version serves; the item begins anew",
        };
        LogEvent::ItemBegunAnew.write_fields(
            message,
            &[
                ("batch", &begun.batch.as_str()),
                ("item", &begun.item),
                ("target", &begun.target.run.id.as_str()),
                ("software", &software_name(begun.target.software.as_ref())),
                (
                    "text_software",
                    &software_name(begun.origin.map(|origin| &origin.software)),
                ),
                (
                    "text_service",
                    &begun.origin.map_or("", |origin| origin.service.as_str()),
                ),
                ("events", &begun.events),
                ("text_took_ms", &begun.took.get()),
                ("waited_ms", &begun.waited.unwrap_or_default().get()),
            ],
        );
    }

    fn placed(&self, batch: &BatchId, placed: &PlacedItems) {
        self.placement.record_placed(placed);
        LogEvent::ItemsPlaced.write_fields(
            "items were placed on engines",
            &[
                ("batch", &batch.as_str()),
                ("fastest", &placed.fastest),
                ("cached_prompt", &placed.cached_prompt),
                ("cached_tokens", &placed.cached_tokens),
                ("uncached_tokens", &placed.uncached_tokens),
            ],
        );
    }

    fn moved(&self, batch: &BatchId, item: &str, from: &RunKey, to: &RunKey, saving: DurationMs) {
        self.item_runs.with_label_values(&["moved"]).inc();
        self.placement.record_move(saving);
        LogEvent::ItemMoved.write_fields(
            "the item was moved to a faster engine",
            &[
                ("batch", &batch.as_str()),
                ("item", &item),
                ("from", &from.id.as_str()),
                ("to", &to.id.as_str()),
                ("saving_ms", &saving.get()),
            ],
        );
    }

    fn reward_attempt_ended(&self, attempt: &RewardAttempt<'_>) {
        let (name, reason) = reward_end_name(attempt.end);
        self.reward_attempts.with_label_values(&[name]).inc();
        if matches!(attempt.end, RewardEnd::Scored(_)) {
            let seconds = |duration: DurationMs| duration.get() as f64 / 1_000.0;
            let no_labels: [&str; 0] = [];
            let wait = self.reward_wait.with_label_values(&no_labels);
            wait.observe(seconds(attempt.waited));
            let time = self.reward_time.with_label_values(&no_labels);
            time.observe(seconds(attempt.took));
        }
        LogEvent::RewardAttemptEnded.write_fields(
            reason,
            &[
                ("batch", &attempt.batch.as_str()),
                ("item", &attempt.item),
                ("request", &attempt.call),
                ("target", &attempt.target.id.as_str()),
                ("outcome", &name),
                ("waited_ms", &attempt.waited.get()),
                ("took_ms", &attempt.took.get()),
                ("attempts", &attempt.attempts),
            ],
        );
    }

    fn reward_hedged(
        &self,
        batch: &BatchId,
        item: &str,
        first: &RunKey,
        second: &RunKey,
        waited: DurationMs,
    ) {
        self.reward_attempts.with_label_values(&["hedged"]).inc();
        LogEvent::RewardHedged.write_fields(
            "the reward call is also sent to a second target",
            &[
                ("batch", &batch.as_str()),
                ("item", &item),
                ("slow_target", &first.id.as_str()),
                ("target", &second.id.as_str()),
                ("waited_ms", &waited.get()),
            ],
        );
    }

    fn expired(&self, batch: &BatchId, item: &str, reason: &str) {
        self.item_runs.with_label_values(&["expired"]).inc();
        LogEvent::ItemExpired.write_fields(reason, &[("batch", &batch.as_str()), ("item", &item)]);
    }

    fn store_failed(&self, batch: &BatchId, action: &str, reason: &str) {
        self.store_failures.with_label_values(&[action]).inc();
        LogEvent::BatchStoreFailed.write_fields(reason, &[("batch", &batch.as_str()), ("action", &action)]);
    }
}
