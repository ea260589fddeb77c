//! A step that runs while a test brings faults about, and the checks of its samples.

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

/// Tokens a second of each engine while a fault is brought about, so that it falls into the middle of the step.
pub(crate) const SLOW_RATE: f64 = 300.0;

/// Rate after the fault.
pub(crate) const FULL_RATE: f64 = 1_000_000.0;

/// Longest wait for the end of a step before the test fails; long enough for a busy machine.
const STEP_LIMIT: Duration = Duration::from_secs(45);

pub(crate) const SAMPLES: u64 = 64;
pub(crate) const TOKENS: u64 = 16;

/// A step with its trainer, in the background.
pub(crate) struct StepRun {
    trainer: JoinHandle<StepResult>,
    samples: u64,
}

impl Fleet {
    /// Where callers connect.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        let ports = self.daemons.iter().map(|daemon| daemon.ports.entry);
        ports.map(|port| loopback(port).to_string()).collect()
    }

    /// Sets the rate of every engine.
    pub(crate) fn set_rate(&self, tokens_per_s: f64) {
        for engine in &self.engines {
            engine.configure(|settings| settings.tokens_per_s = Rate::new(tokens_per_s));
        }
    }

    /// Starts a step on slow engines and returns once some of its drafts are finished.
    pub(crate) async fn start_step(&self, name: &str) -> StepRun {
        self.start_step_with(name, |_| {}).await
    }

    /// The same with a trainer of its own kind.
    pub(crate) async fn start_step_with(
        &self,
        name: &str,
        change: impl FnOnce(&mut TrainerOptions),
    ) -> StepRun {
        self.set_rate(SLOW_RATE);
        let mut options = self.trainer_options();
        change(&mut options);
        let run = StepRun::start(Trainer::new(options), step(name, SAMPLES, TOKENS));
        self.wait_drafts(SAMPLES / 8).await;
        run
    }

    /// Waits until the engines have finished this many more answers.
    pub(crate) async fn wait_drafts(&self, more: u64) {
        let goal = self.finished() + more;
        wait_for("finished drafts", || async move { self.finished() >= goal }).await;
    }

    fn finished(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counts().finished).sum()
    }

    /// Index of the daemon that owns the running step, as `asked` sees it.
    pub(crate) async fn step_owner(&self, asked: usize) -> Option<usize> {
        self.daemon_with(asked, "steps").await
    }

    /// Index of the daemon that holds the copy of the running step.
    pub(crate) async fn copy_holder(&self, asked: usize) -> Option<usize> {
        self.daemon_with(asked, "step_copies").await
    }

    /// Number of running steps that a daemon owns, as `asked` sees it.
    pub(crate) async fn steps_at(&self, asked: usize, daemon: usize) -> Option<u64> {
        let status = self.status(asked).await?;
        let name = format!("host-{daemon}");
        let mut entries = status["dispatch"].as_array()?.iter();
        let entry = entries.find(|entry| entry["daemon"] == name.as_str())?;
        entry["status"]["steps"].as_u64()
    }

    async fn daemon_with(&self, asked: usize, figure: &str) -> Option<usize> {
        let status = self.status(asked).await?;
        let holds =
            |entry: &&serde_json::Value| entry["status"][figure].as_u64().is_some_and(|count| count > 0);
        let entry = status["dispatch"].as_array()?.iter().find(holds)?;
        entry["daemon"].as_str()?.strip_prefix("host-")?.parse().ok()
    }

    /// What the operators see at one daemon.
    pub(crate) async fn status(&self, asked: usize) -> Option<serde_json::Value> {
        let port = self.daemons[asked].ports.entry_admin;
        let url = format!("http://127.0.0.1:{port}/admin/v1/status");
        let answer = call(Method::Get, &url, Some(ADMIN_TOKEN), &[], b"").await?;
        serde_json::from_str(answer.body.as_ref().ok()?).ok()
    }

    /// Asks one daemon for a step, as a trainer does; a takeover happens only when somebody asks.
    pub(crate) async fn ask_for_step(&self, asked: usize, name: &str) -> Option<Answer> {
        let url = self.caller_url(asked, &format!("/v1/steps/{name}/ack"));
        call(Method::Post, &url, Some(TRAINER_KEY), &[], br#"{"through":0}"#).await
    }

    /// The daemons that own and copy the running step.
    pub(crate) async fn step_places(&self) -> (usize, usize) {
        let mut places = (None, None);
        for _ in 0..400 {
            places = (self.step_owner(0).await, self.copy_holder(0).await);
            if let (Some(owner), Some(holder)) = places {
                return (owner, holder);
            }
            task::sleep(Duration::from_millis(25)).await;
        }
        panic!("the step is owned and copied by {places:?}");
    }

    /// Checks that each sample names the versions that its attempt's tokens carried at the engines.
    pub(crate) fn check_versions(&self, result: &StepResult) {
        let sent = self.versions_by_attempt();
        for sample in result.samples.values() {
            let attempt = sample.attempt.expect("the sample names its attempt").to_string();
            let carried = sent.get(&attempt).expect("an engine knows the attempt");
            for (index, version) in versions(sample).enumerate() {
                let known = carried.get(&(index as u64));
                assert!(
                    known.is_some_and(|known| known.contains(&Some(version))),
                    "token {index} of slot {} names {version}, the engines sent {known:?}",
                    sample.slot
                );
            }
        }
    }

    /// The versions that the engines sent with each token of each attempt. A token that was lost on its way is
    /// generated again, so there can be several.
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

    /// Waits for the end of the step and checks that every slot came exactly once, with the expected text and the
    /// versions that the engines sent.
    pub(crate) async fn finish(self, fleet: &Fleet) -> StepResult {
        let result = timeout(STEP_LIMIT, self.trainer).await;
        let result = result.expect("the step ends within the limit");
        assert_eq!(result.samples.len() as u64, self.samples);
        assert!(result.violations.is_empty(), "{:?}", result.violations);
        fleet.check_versions(&result);
        result
    }
}

/// The version of each token of a sample.
fn versions(sample: &Sample) -> impl Iterator<Item = WeightVersion> {
    let runs = sample.segments.iter();
    runs.flat_map(|run| (0..run.tokens).map(|_| run.version))
}
