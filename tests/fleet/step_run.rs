//! Runs a training step while a test injects faults, and checks the samples of the step.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use jacinthmoor::demo::ADMIN_TOKEN;
use jm_http::Method;
use jm_standins::{Sample, StepRequest, StepResult, Trainer, TrainerOptions};
use jm_types::{Rate, WeightVersion};

use crate::harness::{Answer, Fleet, TRAINER_KEY, call, loopback, step, wait_for};

/// Tokens per second of each engine while a fault is injected, low enough that the fault occurs in the middle of the
/// step.
pub(crate) const SLOW_RATE: f64 = 300.0;

/// Tokens per second of each engine after the fault.
pub(crate) const FULL_RATE: f64 = 1_000_000.0;

/// Longest time for a step to finish before the test fails, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(45);

pub(crate) const SAMPLES: u64 = 64;
pub(crate) const TOKENS: u64 = 16;

/// A step that a trainer runs in a background task.
pub(crate) struct StepRun {
    trainer: JoinHandle<StepResult>,
    samples: u64,
}

impl Fleet {
    /// Returns the caller address of every daemon.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        let ports = self.daemons.iter().map(|daemon| daemon.ports.entry);
        ports.map(|port| loopback(port).to_string()).collect()
    }

    /// Sets the generation rate of every engine.
    pub(crate) fn set_rate(&self, tokens_per_s: f64) {
        for engine in &self.engines {
            engine.configure(|settings| settings.tokens_per_s = Rate::new(tokens_per_s));
        }
    }

    /// Starts a step on slow engines and returns when some of its drafts are finished.
    pub(crate) async fn start_step(&self, name: &str) -> StepRun {
        self.start_step_with(name, |_| {}).await
    }

    /// Starts a step like [`Fleet::start_step`], with changed trainer options.
    pub(crate) async fn start_step_with(
        &self,
        name: &str,
        change: impl FnOnce(&mut TrainerOptions),
    ) -> StepRun {
        self.set_rate(SLOW_RATE);
        let mut options = self.trainer_options();
        change(&mut options);
        let run = StepRun::start(Trainer::new(options), step(name, SAMPLES, TOKENS));
        self.wait_for_finished_drafts(SAMPLES / 8).await;
        run
    }

    /// Waits until the engines have finished `count` more answers.
    pub(crate) async fn wait_for_finished_drafts(&self, count: u64) {
        let goal = self.finished() + count;
        wait_for("finished drafts", || async move { self.finished() >= goal }).await;
    }

    fn finished(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counts().finished).sum()
    }

    /// Returns the index of the daemon that owns the running step, according to the status of `observer`.
    pub(crate) async fn step_owner(&self, observer: usize) -> Option<usize> {
        self.daemon_with(observer, "steps").await
    }

    /// Returns the index of the daemon that holds the copy of the running step, according to the status of `observer`.
    pub(crate) async fn copy_holder(&self, observer: usize) -> Option<usize> {
        self.daemon_with(observer, "step_copies").await
    }

    /// Returns the number of running steps that a daemon owns, according to the status of `observer`.
    pub(crate) async fn steps_at(&self, observer: usize, daemon: usize) -> Option<u64> {
        let status = self.status(observer).await?;
        let name = format!("host-{daemon}");
        let mut entries = status["dispatch"].as_array()?.iter();
        let entry = entries.find(|entry| entry["daemon"] == name.as_str())?;
        entry["status"]["steps"].as_u64()
    }

    async fn daemon_with(&self, observer: usize, field: &str) -> Option<usize> {
        let status = self.status(observer).await?;
        let holds =
            |entry: &&serde_json::Value| entry["status"][field].as_u64().is_some_and(|count| count > 0);
        let entry = status["dispatch"].as_array()?.iter().find(holds)?;
        entry["daemon"].as_str()?.strip_prefix("host-")?.parse().ok()
    }

    /// Returns the status report of one daemon, or `None` when it returns none.
    pub(crate) async fn status(&self, observer: usize) -> Option<serde_json::Value> {
        let port = self.daemons[observer].ports.entry_admin;
        let url = format!("http://127.0.0.1:{port}/admin/v1/status");
        let answer = call(Method::Get, &url, Some(ADMIN_TOKEN), &[], b"").await?;
        serde_json::from_str(answer.body.as_ref().ok()?).ok()
    }

    /// Sends a trainer's request about a step to one daemon. A takeover of a step starts only on such a request.
    pub(crate) async fn request_step(&self, observer: usize, name: &str) -> Option<Answer> {
        let url = self.caller_url(observer, &format!("/v1/steps/{name}/ack"));
        call(Method::Post, &url, Some(TRAINER_KEY), &[], br#"{"through":0}"#).await
    }

    /// Returns the indices of the owner and the copy holder of the running step.
    pub(crate) async fn owner_and_copy_holder(&self) -> (usize, usize) {
        let mut found = (None, None);
        for _ in 0..400 {
            found = (self.step_owner(0).await, self.copy_holder(0).await);
            if let (Some(owner), Some(holder)) = found {
                return (owner, holder);
            }
            task::sleep(Duration::from_millis(25)).await;
        }
        panic!("owner and copy holder of the step: {found:?}");
    }

    /// Checks that each sample reports the weight versions that the engines sent with the tokens of its attempt.
    pub(crate) fn check_versions(&self, result: &StepResult) {
        let sent = self.versions_by_attempt();
        for sample in result.samples.values() {
            let attempt = sample.attempt.expect("the sample has an attempt").to_string();
            let carried = sent.get(&attempt).expect("an engine sent tokens of the attempt");
            for (index, version) in versions(sample).enumerate() {
                let known = carried.get(&(index as u64));
                assert!(
                    known.is_some_and(|known| known.contains(&Some(version))),
                    "token {index} of slot {} has version {version}, but the engines sent {known:?}",
                    sample.slot
                );
            }
        }
    }

    /// Returns the versions that the engines sent with each token of each attempt. A token that was lost in transit is
    /// generated again, so a token can have several versions.
    fn versions_by_attempt(&self) -> BTreeMap<String, BTreeMap<u64, BTreeSet<Option<WeightVersion>>>> {
        let mut sent: BTreeMap<String, BTreeMap<u64, BTreeSet<_>>> = BTreeMap::new();
        for (request, tokens) in self.engines.iter().flat_map(|engine| engine.sent_tokens()) {
            let attempt = request.rsplit('-').next().unwrap_or_default().to_owned();
            let by_index = sent.entry(attempt).or_default();
            for token in tokens {
                by_index.entry(token.index).or_default().insert(token.version);
            }
        }
        sent
    }
}

impl StepRun {
    pub(crate) fn start(mut trainer: Trainer, step: StepRequest) -> Self {
        let samples = step.samples;
        let trainer = task::spawn(async move { trainer.run(&step).await.expect("the step ends") });
        Self { trainer, samples }
    }

    /// Waits until the step finishes and checks that every slot was delivered exactly once, with the expected text and
    /// the versions that the engines sent.
    pub(crate) async fn finish(self, fleet: &Fleet) -> StepResult {
        let result = timeout(STEP_TIMEOUT, self.trainer).await;
        let result = result.expect("the step ends within the limit");
        assert_eq!(result.samples.len() as u64, self.samples);
        assert!(result.violations.is_empty(), "{:?}", result.violations);
        fleet.check_versions(&result);
        result
    }
}

/// Returns the weight version of each token of a sample.
fn versions(sample: &Sample) -> impl Iterator<Item = WeightVersion> {
    let runs = sample.segments.iter();
    runs.flat_map(|run| (0..run.tokens).map(|_| run.version))
}
