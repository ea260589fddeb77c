//! Usage parts in the store after a daemon was killed.

use async_std::task::{self, JoinHandle};
use futures::future::join_all;
use jm_http::Method;
use jm_node::decode;
use jm_platform::ObjectStore;
use jm_standins::Engine;
use jm_usage::UsagePart;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    callers::LIVE_RATE,
    harness::{Answer, CLERK_KEY, Fleet, call, wait_for},
};

const TOKENS: u64 = 20;

/// Requests whose counts are in the store before the kill, and again after it.
const REQUESTS: u64 = 12;

/// Most requests between the last known flush and the kill.
const MOST_UNFLUSHED: u64 = 30;

/// Requests that run when the daemon is killed.
const RUNNING: usize = 6;

/// Tokens of each of them.
const RUNNING_TOKENS: u64 = 200;

impl Fleet {
    /// Sum of the generated tokens in all parts.
    async fn counted_tokens(&self) -> u64 {
        let listing = self.platform.platform().list("usage/part/").await;
        let objects = listing.expect("the store answers").objects;
        let parts = objects
            .iter()
            .map(|entry| decode::<UsagePart>(&entry.object.value).expect("a usage part"));
        parts
            .flat_map(|part| part.rows)
            .map(|(_, counts)| counts.generated_tokens.get())
            .sum()
    }

    /// Tokens that the engines generated.
    fn generated_tokens(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine: &Engine| engine.counts().tokens)
            .sum()
    }

    async fn serve(&self, requests: u64) {
        for request in 0..requests {
            let daemon = usize::try_from(request).unwrap_or_default() % self.daemons.len();
            let answer = self.complete(daemon, TOKENS).await.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(answer.body.is_ok(), "{answer:?}");
        }
    }

    fn start_running(&self) -> Vec<JoinHandle<Option<Answer>>> {
        let start = |index: usize| {
            let url = self.caller_url(index % self.daemons.len(), "/v1/completions");
            let body = format!(r#"{{"service":"drafts","prompt":"run","max_tokens":{RUNNING_TOKENS}}}"#);
            task::spawn(async move { call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await })
        };
        (0..RUNNING).map(start).collect()
    }
}

/// Kills one daemon at a random point and compares the parts with what the engines generated.
async fn kill_at_random(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(3, 3, 0).await;
    fleet.serve(REQUESTS).await;
    // Without a fault every token that was generated is counted.
    let flushed = fleet.generated_tokens();
    wait_for("the flush", || async { fleet.counted_tokens().await == flushed }).await;
    fleet.serve(random.random_range(1..=MOST_UNFLUSHED)).await;
    fleet.set_rate(LIVE_RATE);
    let running = fleet.start_running();
    let point = fleet.generated_tokens() + random.random_range(1..RUNNING_TOKENS);
    wait_for("running work", || async { fleet.generated_tokens() >= point }).await;
    let killed = random.random_range(0..fleet.daemons.len());
    fleet.daemons[killed].kill();
    fleet.daemons[killed].restart();
    fleet.wait_ready().await;
    fleet.wait_served().await;
    // Callers of the killed daemon get no answer; their tokens may or may not be counted.
    join_all(running).await;
    fleet.serve(REQUESTS).await;
    join_all(fleet.daemons.iter_mut().map(|daemon| daemon.stop())).await;
    let counted = fleet.counted_tokens().await;
    let generated = fleet.generated_tokens();
    assert!(
        counted <= generated,
        "{counted} tokens counted, {generated} generated"
    );
    let least = flushed + REQUESTS * TOKENS;
    assert!(
        counted >= least,
        "{counted} tokens counted, at least {least} were flushed"
    );
}

/// Guards against usage that is counted twice, or lost beyond the counts since the last flush.
#[async_std::test]
async fn killed_early() {
    kill_at_random(20).await;
}

/// The same at another point and another daemon.
#[async_std::test]
async fn killed_later() {
    kill_at_random(21).await;
}
