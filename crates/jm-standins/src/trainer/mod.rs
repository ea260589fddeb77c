//! A trainer: creates a step at an entry daemon, reads and acknowledges all samples, and checks them.

mod check;
mod client;

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
use check::StepCheck;
pub use check::Violation;
use client::CallError;

/// Body of `POST /v1/steps`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Id of the step, chosen by the trainer.
    pub step: StepId,
    /// The service that generates the drafts.
    pub service: ServiceId,
    /// The version that the trainer has published last.
    pub weight_version: WeightVersion,
    /// How far the oldest version of a sample may be behind `weight_version`.
    pub staleness_bound: u64,
    /// Slots that share a prompt.
    pub group_size: u64,
    /// Number of slots.
    pub samples: u64,
    /// One prompt for each group.
    pub prompts: Vec<String>,
    /// Length of each sample in tokens.
    pub max_tokens: u64,
    /// Slots whose samples the trainer already has.
    pub held: Vec<SlotIndex>,
}

/// One line of the answer to `GET /v1/steps/<id>/samples?after=N`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Position in the order of delivery; the first is 1.
    pub sequence: Sequence,
    /// The slot that the sample fills.
    pub slot: SlotIndex,
    /// The attempt that produced it, when the system names one; engines see it at the end of the request id.
    #[serde(default)]
    pub attempt: Option<AttemptId>,
    /// The versions that produced the tokens.
    pub segments: Vec<Segment>,
    /// The generated text.
    pub text: String,
}

/// Body of `POST /v1/steps/<id>/ack`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// All samples up to this one are safe with the trainer.
    pub through: Sequence,
}

/// Body of `POST /v1/steps/<id>/version`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The version from which staleness is counted.
    pub weight_version: WeightVersion,
    /// The trainer holds every sample up to this one.
    pub received: Sequence,
}

/// A version that the trainer publishes during a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedVersion {
    /// It is named once this many samples have come.
    pub after_samples: u64,
    /// The version.
    pub version: WeightVersion,
}

/// How a trainer works.
#[derive(Debug, Clone)]
pub struct TrainerOptions {
    /// Addresses of entry daemons; the next one is used when one fails.
    pub addresses: Vec<SocketAddr>,
    /// The key that goes with each request.
    pub key: Option<String>,
    /// Limits of its connections.
    pub limits: Limits,
    /// Samples after which it acknowledges.
    pub acknowledge_every: usize,
    /// Failed calls without a new sample between them, after which it gives up.
    pub max_failures: u32,
    /// Pause after a failed call.
    pub retry_delay_ms: DurationMs,
    /// How long it reads on after the last sample, to notice samples that should not come.
    pub surplus_wait_ms: DurationMs,
    /// New samples after which it drops the connection and reads on at the next address; none keeps the connection.
    pub switch_address_every: Option<u64>,
    /// Versions that it names during the step, oldest first.
    pub planned_versions: Vec<PlannedVersion>,
    /// Seed of the engines, when the text of the samples is to be checked.
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

/// What a trainer got for a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepResult {
    /// The samples by slot, without those that were held from the start.
    pub samples: BTreeMap<SlotIndex, Sample>,
    /// What was wrong with them; empty when all rules were kept.
    pub violations: Vec<Violation>,
    /// Lines received, repeated ones included.
    pub lines: u64,
    /// Times that the trainer went on at another address.
    pub reconnects: u64,
    /// Times that the trainer dropped a working connection and read on at another address.
    pub address_switches: u64,
    /// Times that the step was not known any more and was created again.
    pub recreations: u64,
}

/// Why a step did not come to its end.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StepError {
    /// The step was refused.
    #[snafu(display("the step was refused with status {status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        body: String,
    },
    /// Too many calls failed in a row.
    #[snafu(display("{missing} samples are missing after too many failures; the last one: {reason}"))]
    TooManyFailures {
        /// Number of samples that did not come.
        missing: u64,
        /// The last failure.
        reason: String,
        /// What was received until then.
        result: Box<StepResult>,
    },
}

/// A trainer.
pub struct Trainer {
    options: TrainerOptions,
    client: Client,
    /// Index of the address in use.
    current: usize,
}

impl Trainer {
    /// A trainer; it connects when it runs a step.
    pub fn new(options: TrainerOptions) -> Self {
        let client = Client::new(options.limits.clone());
        Self {
            options,
            client,
            current: 0,
        }
    }

    /// Creates `step`, reads and acknowledges all its samples, and returns them with what was wrong.
    pub async fn run(&mut self, step: &StepRequest) -> Result<StepResult, StepError> {
        let mut run = StepRun {
            check: StepCheck::new(step, self.options.engine_seed),
            name: step.step.clone(),
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

    /// Makes one call: creation, naming of a version, or reading until the stream ends.
    async fn advance(&mut self, step: &StepRequest, run: &mut StepRun) -> Result<(), CallError> {
        if !run.created {
            let request = StepRequest {
                step: run.name.clone(),
                weight_version: run.check.version(),
                held: run.check.held(),
                ..step.clone()
            };
            self.create(&request).await?;
            run.created = true;
            return Ok(());
        }
        let result = match run.due_version() {
            Some(version) => self.name_version(run, version).await,
            None => self.read(run).await,
        };
        match result {
            Err(CallError::Refused { status, .. }) if status == u16::from(StatusCode::NotFound) => {
                run.restart(step)?;
                Err(CallError::failed("the step is not known any more"))
            }
            other => other,
        }
    }

    async fn read(&mut self, run: &mut StepRun) -> Result<(), CallError> {
        let before = run.check.missing();
        let moved = match self.read_samples(run).await? {
            ReadEnd::Moved => true,
            ReadEnd::VersionDue => return Ok(()),
            ReadEnd::Ended => false,
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
    /// The name of the step in use; it is a new one after each creation, because calls of the one before may
    /// still be under way.
    name: StepId,
    /// The term of the last reply that was taken.
    term: Option<String>,
    planned: VecDeque<PlannedVersion>,
    created: bool,
    failures: u32,
}

impl StepRun {
    /// The planned version that is to be named now.
    fn due_version(&self) -> Option<WeightVersion> {
        let next = self.planned.front()?;
        let received = self.check.result.samples.len() as u64;
        (received >= next.after_samples).then_some(next.version)
    }

    /// Starts again under a new name with the slots that the trainer holds.
    fn restart(&mut self, step: &StepRequest) -> Result<(), CallError> {
        self.created = false;
        self.term = None;
        self.check.restart();
        let name = format!("{}.{}", step.step, self.check.result.recreations);
        self.name = name.parse().map_err(CallError::failed)?;
        Ok(())
    }
}

enum ReadEnd {
    /// The stream ended.
    Ended,
    /// The trainer dropped the connection to read on elsewhere.
    Moved,
    /// A planned version is to be named; what is still under way in the old read is not taken.
    VersionDue,
}
