//! Runs one scenario in virtual time.

use jm_step::{Effects, SpecError, StepAssembly, StepCopy, StepOptions, StepSpec};
use jm_types::{AttemptId, Sequence, ServiceId, StepId, Timestamp, TokenCount, WeightVersion};

use super::{
    Outcome, Scenario,
    fleet::{Fleet, RATE, engine_id, lengths},
};

const TICK_MS: u64 = 20;
/// Interval at which engines report progress.
const PROGRESS_INTERVAL_MS: u64 = 200;
const FIRST_VERSION: u64 = 100;
const GROUP_SIZE: u32 = 8;
/// Time limit of a run whose samples do not all arrive.
const MAX_DURATION_MS: u64 = 3_600_000;

struct Run<'a> {
    scenario: &'a Scenario,
    lengths: Vec<u64>,
    step: StepAssembly,
    copy: StepCopy,
    fleet: Fleet,
    now_ms: u64,
    named_version: u64,
    named_ms: u64,
    received: Vec<bool>,
    last_sequence: Sequence,
    outcome: Outcome,
}

/// Runs the scenario until the trainer has received every sample, at most for one hour of virtual time.
///
/// # Errors
///
/// Fails when the scenario is not a valid step.
pub fn run_step(scenario: &Scenario) -> Result<Outcome, SpecError> {
    let mut run = Run::new(scenario)?;
    while run.received.contains(&false) && run.now_ms < MAX_DURATION_MS {
        run.tick();
    }
    Ok(run.into_outcome())
}

fn spec(scenario: &Scenario) -> StepSpec {
    let step: Result<StepId, _> = "step".parse();
    let service: Result<ServiceId, _> = "drafts".parse();
    let (Ok(step), Ok(service)) = (step, service) else {
        unreachable!("the names are valid ids");
    };
    StepSpec {
        step,
        service,
        weight_version: WeightVersion::new(FIRST_VERSION),
        staleness_bound: scenario.staleness_bound,
        group_size: GROUP_SIZE,
        samples: scenario.samples,
        prompts: vec!["prompt".to_owned(); scenario.samples.div_ceil(GROUP_SIZE) as usize],
        max_tokens: TokenCount::new(10_000),
        held: Vec::new(),
    }
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Result<Self, SpecError> {
        let mut options = StepOptions::default();
        if !scenario.reissue {
            options.max_wasted_share = 0.0;
        }
        let lengths = lengths(scenario);
        let necessary_tokens: u64 = lengths.iter().sum();
        let longest = lengths.iter().copied().max().unwrap_or_default() as f64;
        let lower_bound_ms =
            (necessary_tokens as f64 / scenario.concurrent_drafts as f64).max(longest) / RATE;
        Ok(Self {
            step: StepAssembly::new(spec(scenario), options)?,
            copy: StepCopy::default(),
            fleet: Fleet::new(scenario, FIRST_VERSION),
            now_ms: 0,
            named_version: FIRST_VERSION,
            named_ms: 0,
            received: vec![false; scenario.samples as usize],
            last_sequence: Sequence::default(),
            outcome: Outcome {
                duration_ms: 0,
                lower_bound_ms,
                necessary_tokens,
                extra_tokens: 0,
                reissued: 0,
                unusable: 0,
                too_old: 0,
                duplicates: 0,
            },
            scenario,
            lengths,
        })
    }

    fn tick(&mut self) {
        self.name_version();
        self.fleet
            .load_version(self.named_version, self.named_ms, self.now_ms);
        self.start_drafts();
        self.fleet.advance(TICK_MS);
        self.now_ms += TICK_MS;
        self.report_progress();
        self.finish_drafts();
        self.copy();
        if self.now_ms.is_multiple_of(self.scenario.read_interval_ms) {
            self.read();
        }
    }

    /// The trainer names versions at a fixed interval. The first change occurs one interval after the start.
    fn name_version(&mut self) {
        let changes = u64::from(self.scenario.version_changes);
        let interval_ms = self.outcome.lower_bound_ms / (changes + 1) as f64;
        let due = ((self.now_ms as f64 / interval_ms) as u64).min(changes);
        if FIRST_VERSION + due > self.named_version {
            self.named_version = FIRST_VERSION + due;
            self.named_ms = self.now_ms;
        }
    }

    fn start_drafts(&mut self) {
        let now = Timestamp::new(self.now_ms);
        let effects = self.step.next_drafts(now, &self.fleet.capacity());
        for attempt in &effects.cancel {
            self.cancel(*attempt);
        }
        for draft in effects.start {
            let attempt = draft.attempt;
            let Some(engine) = self.fleet.start(draft).map(|running| running.engine) else {
                self.step.on_failed(attempt);
                continue;
            };
            let version = Some(self.fleet.version(engine));
            let effects = self.step.on_started(attempt, engine_id(engine), version, now);
            self.apply_cancellations(&effects);
        }
    }

    fn apply_cancellations(&mut self, effects: &Effects) {
        for attempt in &effects.cancel {
            self.cancel(*attempt);
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let running = &mut self.fleet.running;
        if let Some(index) = running
            .iter()
            .position(|running| running.draft.attempt == attempt)
        {
            self.outcome.extra_tokens += running.swap_remove(index).tokens();
        }
    }

    fn report_progress(&mut self) {
        if self.now_ms.is_multiple_of(PROGRESS_INTERVAL_MS) {
            for running in &self.fleet.running {
                let tokens = TokenCount::new(running.tokens());
                self.step.on_progress(running.draft.attempt, tokens);
            }
        }
    }

    fn finish_drafts(&mut self) {
        let lengths = &self.lengths;
        let finished: Vec<AttemptId> = self
            .fleet
            .running
            .iter()
            .filter(|running| running.tokens() >= lengths[running.draft.slot.get() as usize])
            .map(|running| running.draft.attempt)
            .collect();
        for attempt in finished {
            self.finish(attempt);
        }
    }

    fn finish(&mut self, attempt: AttemptId) {
        let running = &mut self.fleet.running;
        // Another draft of the same slot may have finished in this tick and cancelled this attempt.
        let Some(index) = running
            .iter()
            .position(|running| running.draft.attempt == attempt)
        else {
            return;
        };
        let finished = running.swap_remove(index);
        let length = self.lengths[finished.draft.slot.get() as usize];
        let segments = finished.segments(length);
        let now = Timestamp::new(self.now_ms);
        let effects = self.step.on_finished(attempt, segments, String::new(), now);
        self.apply_cancellations(&effects);
    }

    fn copy(&mut self) {
        for message in self.step.pending_copies() {
            if let Ok(receipt) = self.copy.accept(&message) {
                self.step.on_copy_receipt(receipt);
            }
        }
    }

    /// The trainer reads with its current version, receives the samples and acknowledges them.
    fn read(&mut self) {
        let effects = self
            .step
            .on_version_named(WeightVersion::new(self.named_version), self.last_sequence);
        self.apply_cancellations(&effects);
        self.copy();
        for sample in self.step.deliver(self.last_sequence, usize::MAX) {
            let received = &mut self.received[sample.slot.get() as usize];
            self.outcome.duplicates += u64::from(*received);
            *received = true;
            let oldest = sample.segments.iter().filter_map(|segment| segment.version).min();
            let bound = self.named_version - self.scenario.staleness_bound;
            let in_bound = oldest.is_some_and(|oldest| oldest.get() >= bound);
            self.outcome.too_old += u64::from(!in_bound);
            self.last_sequence = sample.sequence;
        }
        // After an error, samples are missing and the run ends at its time limit.
        let _ = self.step.acknowledge(self.last_sequence);
    }

    fn into_outcome(mut self) -> Outcome {
        let status = self.step.status();
        self.outcome.duration_ms = self.now_ms;
        self.outcome.reissued = status.reissued;
        self.outcome.unusable = status.unusable;
        self.outcome
    }
}
