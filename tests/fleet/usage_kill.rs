//! Usage parts in the object store after a daemon was killed.

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

/// Requests whose counts are flushed to the store before the kill, and the same number after it.
const REQUESTS: u64 = 12;

/// Maximum number of requests between the last confirmed flush and the kill.
const MAX_UNFLUSHED_REQUESTS: u64 = 30;

/// Requests in flight when the daemon is killed.
const RUNNING_REQUESTS: usize = 6;

/// Tokens of each request that is in flight at the kill.
const TOKENS_PER_RUNNING_REQUEST: u64 = 200;

impl Fleet {
    /// Returns the sum of the generated tokens in all usage parts.
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

    /// Returns the number of tokens that the engines generated.
    fn generated_tokens(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine: &Engine| engine.counts().tokens)
            .sum()
    }

    async fn complete_requests(&self, requests: u64) {
        for request in 0..requests {
            let daemon = usize::try_from(request).unwrap_or_default() % self.daemons.len();
            let answer = self.complete(daemon, TOKENS).await.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(answer.body.is_ok(), "{answer:?}");
        }
    }

    fn start_running_requests(&self) -> Vec<JoinHandle<Option<Answer>>> {
        let start = |index: usize| {
            let url = self.caller_url(index % self.daemons.len(), "/v1/completions");
            let body =
                format!(r#"{{"service":"drafts","prompt":"run","max_tokens":{TOKENS_PER_RUNNING_REQUEST}}}"#);
            task::spawn(async move { call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await })
        };
        (0..RUNNING_REQUESTS).map(start).collect()
    }
}

/// Kills a random daemon at a random time and compares the usage parts with the tokens that the engines generated.
async fn kill_at_random(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(3, 3, 0).await;
    fleet.complete_requests(REQUESTS).await;
    // Without a fault every generated token is counted.
    let flushed = fleet.generated_tokens();
    wait_for("the flush", || async { fleet.counted_tokens().await == flushed }).await;
    fleet
        .complete_requests(random.random_range(1..=MAX_UNFLUSHED_REQUESTS))
        .await;
    fleet.set_rate(LIVE_RATE);
    let running = fleet.start_running_requests();
    let kill_at_tokens = fleet.generated_tokens() + random.random_range(1..TOKENS_PER_RUNNING_REQUEST);
    wait_for("running work", || async {
        fleet.generated_tokens() >= kill_at_tokens
    })
    .await;
    let killed = random.random_range(0..fleet.daemons.len());
    fleet.daemons[killed].kill();
    fleet.daemons[killed].restart();
    fleet.wait_until_ready().await;
    fleet.wait_until_serving().await;
    // Callers of the killed daemon receive no complete answer. Their tokens may or may not be counted.
    join_all(running).await;
    fleet.complete_requests(REQUESTS).await;
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

/// Guards against usage that is counted twice, and against a loss of counts that were flushed before the kill.
#[async_std::test]
async fn killed_early() {
    kill_at_random(20).await;
}

/// Guards against the faults of [`killed_early`] with another time of the kill and another daemon.
#[async_std::test]
async fn killed_later() {
    kill_at_random(21).await;
}
