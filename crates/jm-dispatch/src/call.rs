//! Execution of one request, with retries on other targets of this daemon.

use std::sync::Arc;

use async_std::future::timeout;
use jm_config::{Service, ServiceKind, Target};
use jm_link::{ExecuteRequest, TrafficClass};
use jm_route::{Class, Outcome, QueuedRequest, stable_hash};
use jm_types::{DurationMs, Execution, LogEvent, ResultCode, TargetId, TokenCount};
use jm_usage::UsageCounts;

use crate::{
    Dispatch,
    engine::{Generation, Prompt},
    plain::{CallError, call_plain},
    queue::RunningRequest,
    sink::{AnswerSink, Failure},
};

/// Maximum number of targets to which one request is sent.
const MAX_ATTEMPTS: usize = 3;

/// Grace time after the deadline, in which the queue refuses an expired request.
const QUEUE_GRACE_MS: DurationMs = DurationMs::new(1_000);

/// Assumed bytes per token, for estimates made before the engine reports the number of prompt tokens.
const BYTES_PER_TOKEN: usize = 4;

/// Length in bytes of the shortest hashed prompt prefix. Each further prefix is twice as long.
const PREFIX_BYTES: usize = 64;

/// Maximum number of hashed prefixes of one prompt.
const MAX_PREFIXES: u32 = 8;

struct Job<'a> {
    request: &'a ExecuteRequest,
    service: &'a Service,
    prompt: Option<Prompt>,
    generated: u64,
    avoid: Vec<TargetId>,
    /// Whether an earlier attempt may have written to a target.
    may_have_run: bool,
}

impl Job<'_> {
    /// Adjusts the code of a refusal so that it also holds for earlier attempts, which may have run the request.
    fn refusal(&self, failure: Failure) -> Failure {
        if self.may_have_run && failure.code.execution() == Execution::NotRun {
            return Failure::new(ResultCode::OutcomeUnknown, failure.message);
        }
        failure
    }
}

impl Dispatch {
    /// Runs a request and forwards its response to `sink`.
    pub(crate) async fn run_request(
        &self,
        request: &ExecuteRequest,
        sink: &dyn AnswerSink,
    ) -> Result<(), Failure> {
        let config = self.node.config.active();
        let unknown = || {
            Failure::new(
                ResultCode::UnknownService,
                format!("unknown service {:?}", request.service.as_str()),
            )
        };
        let service = config.service(&request.service).ok_or_else(unknown)?;
        let prompt = match service.kind {
            ServiceKind::Engine => Some(Prompt::parse(&request.body)?),
            ServiceKind::Plain => None,
        };
        let mut avoid = request.avoid.clone();
        if let Some(version) = request.minimum_version {
            avoid.extend(self.targets.older_than(version));
        }
        let job = Job {
            request,
            service,
            prompt,
            generated: 0,
            avoid,
            may_have_run: false,
        };
        // The queue refuses expired requests as not run, so only running requests reach this timeout.
        let deadline = request.deadline_ms.saturating_add(QUEUE_GRACE_MS).as_std();
        match timeout(deadline, self.run_job(job, sink)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::new(
                ResultCode::AnswerTimeout,
                "the deadline passed before the response was complete",
            )),
        }
    }

    /// Refuses a request whose key was withdrawn after the entry daemon checked it, and a request whose key cannot be
    /// verified. The request may have been queued here while this process was suspended or partitioned.
    fn check_key(&self, request: &ExecuteRequest) -> Result<(), Failure> {
        let Some(key) = &request.key else { return Ok(()) };
        if !self.node.is_fresh() {
            let message = "the dispatch daemon cannot verify the key while its configuration may be stale";
            return Err(Failure::new(ResultCode::NotFresh, message));
        }
        let config = self.node.config.active();
        let configured = config.document().keys.get(key);
        if configured
            .is_some_and(|configured| Some(&configured.organisation) == request.organisation.as_ref())
        {
            return Ok(());
        }
        Err(Failure::new(
            ResultCode::WithdrawnKey,
            format!("key {key} was withdrawn"),
        ))
    }

    async fn run_job(&self, mut job: Job<'_>, sink: &dyn AnswerSink) -> Result<(), Failure> {
        for attempt in 1.. {
            let running = self.queue.wait_for_target(self.queued_request(&job)).await;
            let running = running.map_err(|failure| job.refusal(failure))?;
            // The check follows the queueing delay, so that only the write to the target comes after it.
            self.check_key(job.request)
                .map_err(|failure| job.refusal(failure))?;
            let Some(target) = self.targets.get(&running.target) else {
                job.avoid.push(running.target.clone());
                continue;
            };
            let error = match self.run_on(&mut job, &target, running, sink).await {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            let repeatable = job.request.repeatable && (job.prompt.is_some() || !error.delivered);
            let retry =
                attempt < MAX_ATTEMPTS && (!error.written || repeatable) && self.node.router.withdraw_retry();
            if !retry {
                return Err(job.refusal(error.failure));
            }
            job.may_have_run |= error.written;
            LogEvent::RequestRetried.write(format_args!(
                "request {} failed on target {}: {}",
                job.request.request, target.id, error.failure
            ));
            self.node.metrics.retries.with_label_values(&["target"]).inc();
            job.avoid.push(target.id);
        }
        unreachable!("the loop ends by returning")
    }

    async fn run_on(
        &self,
        job: &mut Job<'_>,
        target: &Target,
        running: RunningRequest,
        sink: &dyn AnswerSink,
    ) -> Result<(), CallError> {
        let before = job.generated;
        let result = match &job.prompt {
            Some(prompt) => {
                let generation = Generation {
                    node: &self.node,
                    target,
                    model: job
                        .service
                        .model
                        .as_ref()
                        .expect("the configuration gives each engine service a model"),
                    request: job.request,
                    prompt,
                    resume_tokens: job.request.resume_tokens + before,
                };
                generation.run(&running, sink, &mut job.generated).await
            }
            None => call_plain(&self.node, target, job.request, sink)
                .await
                .map(|()| one_request()),
        };
        let generated = job.generated - before;
        match result {
            Ok(counts) => {
                running.finish(Outcome::Finished(TokenCount::new(generated)));
                let counts = UsageCounts {
                    generated_tokens: TokenCount::new(generated),
                    ..counts
                };
                self.usage
                    .record(job.request.organisation.as_ref(), target, counts);
                Ok(())
            }
            Err(error) => {
                running.finish(Outcome::Failed);
                let counts = UsageCounts {
                    generated_tokens: TokenCount::new(generated),
                    ..UsageCounts::default()
                };
                self.usage
                    .record(job.request.organisation.as_ref(), target, counts);
                Err(error)
            }
        }
    }

    fn queued_request(&self, job: &Job<'_>) -> QueuedRequest {
        let organisation = job
            .request
            .organisation
            .clone()
            .unwrap_or_else(|| self.open_organisation.clone());
        let (prompt_tokens, max_tokens, prefix_hashes) = match &job.prompt {
            Some(prompt) => {
                let prompt_tokens = (prompt.prompt.len() / BYTES_PER_TOKEN).max(1) as u64;
                let left = prompt
                    .max_tokens
                    .saturating_sub(job.request.resume_tokens + job.generated);
                (prompt_tokens, left, prefix_hashes(prompt.prompt.as_bytes()))
            }
            None => (0, 0, Vec::new()),
        };
        QueuedRequest {
            id: self.node.next_request_id(),
            organisation,
            service: job.request.service.clone(),
            class: match job.request.class {
                TrafficClass::Live => Class::Live,
                TrafficClass::Training => Class::Training,
            },
            prompt_tokens: TokenCount::new(prompt_tokens),
            max_tokens: TokenCount::new(max_tokens),
            prefix_hashes,
            deadline: self.node.now().after(job.request.deadline_ms),
            avoid: job.avoid.clone(),
        }
    }
}

fn one_request() -> UsageCounts {
    UsageCounts {
        requests: 1,
        ..UsageCounts::default()
    }
}

/// Hashes of prefixes of the prompt, shortest first; empty for a prompt shorter than [`PREFIX_BYTES`].
pub(crate) fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let lengths = (0..MAX_PREFIXES).map(|index| PREFIX_BYTES << index);
    lengths
        .take_while(|length| *length <= prompt.len())
        .map(|length| stable_hash(&prompt[..length]))
        .collect()
}

/// A shared handle to the daemon, for tasks that outlive a call.
pub(crate) type SharedDispatch = Arc<Dispatch>;
