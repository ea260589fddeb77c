//! Trainer: creates a step at an entry daemon, reads and acknowledges all samples, and checks them.

mod client;
mod step_check;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use async_std::task;
use jm_http::{Client, Limits, StatusCode};
use jm_types::{AttemptId, DurationMs, Sequence, ServiceId, SlotIndex, StepId, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::engine::Segment;
use client::CallError;
use step_check::StepCheck;
pub use step_check::Violation;

/// Body of `POST /v1/steps`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Id of the step, chosen by the trainer.
    pub step: StepId,
    /// The service that generates the drafts.
    pub service: ServiceId,
    /// The newest version that the trainer has published.
    pub weight_version: WeightVersion,
    /// Maximum number of versions by which the oldest version of a sample may be behind `weight_version`.
    pub staleness_bound: u64,
    /// Number of consecutive slots that share a prompt.
    pub group_size: u64,
    /// Number of slots, which is also the number of samples of a complete step.
    pub samples: u64,
    /// The prompts, one per group of `group_size` slots.
    pub prompts: Vec<String>,
    /// Length of each sample in tokens.
    pub max_tokens: u64,
    /// Slots whose samples the trainer already holds; no samples are generated for them.
    pub held: Vec<SlotIndex>,
}

/// One line of the response to `GET /v1/steps/<id>/samples?after=N`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Position in the delivery order, starting at 1.
    pub sequence: Sequence,
    /// The slot that the sample fills.
    pub slot: SlotIndex,
    /// The attempt that produced the sample, or `None` when the response names none. The request id that an engine
    /// receives ends with the attempt id.
    #[serde(default)]
    pub attempt: Option<AttemptId>,
    /// The versions that produced the tokens, in token order.
    pub segments: Vec<Segment>,
    /// The generated tokens, joined.
    pub text: String,
}

/// Body of `POST /v1/steps/<id>/ack`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The trainer holds every sample up to and including this sequence number.
    pub through: Sequence,
}

/// Body of `POST /v1/steps/<id>/version`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The version relative to which staleness is measured from now on.
    pub weight_version: WeightVersion,
    /// The trainer holds every sample up to and including this sequence number.
    pub received: Sequence,
}

/// A version that the trainer publishes during a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedVersion {
    /// Number of received samples after which the version is announced.
    pub after_samples: u64,
    /// The version to announce.
    pub version: WeightVersion,
}

/// Configuration of a trainer.
#[derive(Debug, Clone)]
pub struct TrainerOptions {
    /// Addresses of entry daemons. After a failed call the trainer uses the next one, round robin.
    pub addresses: Vec<SocketAddr>,
    /// API key sent with each request; `None` sends no `authorization` header.
    pub key: Option<String>,
    /// Limits and timeouts of the HTTP client.
    pub limits: Limits,
    /// Number of received samples after which the trainer acknowledges.
    pub acknowledge_every: usize,
    /// Maximum number of consecutive failed calls without a received sample in between.
    pub max_failures: u32,
    /// Delay after a failed call.
    pub retry_delay_ms: DurationMs,
    /// How long the trainer keeps reading after the last expected sample, to detect surplus samples.
    pub surplus_wait_ms: DurationMs,
    /// Number of new samples after which the trainer drops the connection and continues at the next address; `None`
    /// keeps the connection.
    pub switch_address_every: Option<u64>,
    /// Versions that the trainer announces during the step, oldest first.
    pub planned_versions: Vec<PlannedVersion>,
    /// Seed of the engines, for the check of each sample's text; `None` skips this check.
    pub engine_seed: Option<u64>,
}

impl Default for TrainerOptions {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            key: None,
            limits: Limits::default(),
            acknowledge_every: 16,
            max_failures: 20,
            retry_delay_ms: DurationMs::new(50),
            surplus_wait_ms: DurationMs::new(100),
            switch_address_every: None,
            planned_versions: Vec::new(),
            engine_seed: None,
        }
    }
}

/// Samples and statistics of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepResult {
    /// The received samples by slot, without the slots in [`StepRequest::held`].
    pub samples: BTreeMap<SlotIndex, Sample>,
    /// Rules that the samples violated, in the order of detection.
    pub violations: Vec<Violation>,
    /// Number of received lines, including repeated deliveries.
    pub lines: u64,
    /// Number of times that the trainer continued at the next address after a failed call.
    pub reconnects: u64,
    /// Number of times that the trainer dropped a working connection and continued at the next address.
    pub address_switches: u64,
    /// Number of times that the step was unknown to the entry daemon and was created again.
    pub recreations: u64,
}

/// Why a step did not complete.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StepError {
    /// A call for the step was rejected with a status that excludes a retry.
    #[snafu(display("the step was rejected with status {status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        body: String,
    },
    /// More than [`TrainerOptions::max_failures`] consecutive calls failed.
    #[snafu(display("too many failed calls, {missing} samples are missing; last failure: {reason}"))]
    TooManyFailures {
        /// Number of samples that were not received.
        missing: u64,
        /// Description of the last failure.
        reason: String,
        /// The samples and statistics up to the last failure.
        result: Box<StepResult>,
    },
}

/// A trainer that runs one step at a time.
pub struct Trainer {
    options: TrainerOptions,
    client: Client,
    /// Index of the address in use.
    current: usize,
}

impl Trainer {
    /// Returns a trainer; it connects when it runs a step.
    pub fn new(options: TrainerOptions) -> Self {
        let client = Client::new(options.limits.clone());
        Self {
            options,
            client,
            current: 0,
        }
    }

    /// Creates `step`, reads and acknowledges all its samples, and returns them with the detected violations.
    pub async fn run(&mut self, step: &StepRequest) -> Result<StepResult, StepError> {
        let mut run = StepRun {
            check: StepCheck::new(step, self.options.engine_seed),
            step_id: step.step.clone(),
            term: None,
            planned: self.options.planned_versions.clone().into(),
            created: false,
            failures: 0,
        };
        loop {
            let lines = run.check.result.lines;
            match self.advance(step, &mut run).await {
                Ok(()) if run.check.missing() == 0 => return Ok(run.check.result),
                Ok(()) => {}
                Err(CallError::Refused { status, body }) => return RefusedSnafu { status, body }.fail(),
                Err(CallError::Failed { reason }) => {
                    self.reconnect(&mut run, lines, reason).await?;
                }
            }
        }
    }

    /// Makes one call: creates the step, announces a version, or reads until the stream ends.
    async fn advance(&mut self, step: &StepRequest, run: &mut StepRun) -> Result<(), CallError> {
        if !run.created {
            let request = StepRequest {
                step: run.step_id.clone(),
                weight_version: run.check.version(),
                held: run.check.held(),
                ..step.clone()
            };
            self.create(&request).await?;
            run.created = true;
            return Ok(());
        }
        let result = match run.due_version() {
            Some(version) => self.announce_version(run, version).await,
            None => self.read(run).await,
        };
        match result {
            Err(CallError::Refused { status, .. }) if status == u16::from(StatusCode::NotFound) => {
                run.restart(step)?;
                Err(CallError::failed("the entry daemon does not know the step"))
            }
            other => other,
        }
    }

    async fn read(&mut self, run: &mut StepRun) -> Result<(), CallError> {
        let before = run.check.missing();
        let moved = match self.read_samples(run).await? {
            ReadOutcome::Moved => true,
            ReadOutcome::VersionDue => return Ok(()),
            ReadOutcome::Ended => false,
        };
        if moved {
            run.check.result.address_switches += 1;
            self.current += 1;
            return Ok(());
        }
        if run.check.missing() > 0 && run.check.missing() == before {
            return Err(CallError::failed("the stream ended without a new sample"));
        }
        Ok(())
    }

    async fn reconnect(&mut self, run: &mut StepRun, lines: u64, reason: String) -> Result<(), StepError> {
        let progressed = run.check.result.lines > lines;
        run.failures = if progressed { 1 } else { run.failures + 1 };
        if run.failures > self.options.max_failures {
            return TooManyFailuresSnafu {
                missing: run.check.missing(),
                reason,
                result: Box::new(run.check.result.clone()),
            }
            .fail();
        }
        run.check.result.reconnects += 1;
        self.current += 1;
        task::sleep(self.options.retry_delay_ms.as_std()).await;
        Ok(())
    }
}

struct StepRun {
    check: StepCheck,
    /// The step id in use. Each creation uses a new id, because calls for the previous id may still be in flight.
    step_id: StepId,
    /// The step term from the last accepted read response.
    term: Option<String>,
    planned: VecDeque<PlannedVersion>,
    created: bool,
    failures: u32,
}

impl StepRun {
    /// The next planned version, when enough samples have been received to announce it.
    fn due_version(&self) -> Option<WeightVersion> {
        let next = self.planned.front()?;
        let received = self.check.result.samples.len() as u64;
        (received >= next.after_samples).then_some(next.version)
    }

    /// Prepares the creation of the step under a new id, with the slots that the trainer holds.
    fn restart(&mut self, step: &StepRequest) -> Result<(), CallError> {
        self.created = false;
        self.term = None;
        self.check.restart();
        let step_id = format!("{}.{}", step.step, self.check.result.recreations);
        self.step_id = step_id.parse().map_err(CallError::failed)?;
        Ok(())
    }
}

enum ReadOutcome {
    /// The stream ended, or the step is complete.
    Ended,
    /// The trainer dropped the connection to continue at the next address.
    Moved,
    /// A planned version is due. Samples of the current read that are still in flight are discarded.
    VersionDue,
}
