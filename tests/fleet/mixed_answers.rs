//! Concurrent completions while engines fail. Guards against an answer that is truncated, duplicated or belongs to
//! another prompt.

use std::time::Duration;

use async_std::{future::timeout, task};
use futures::future::{join, join_all};
use jm_http::Method;
use jm_standins::{EngineFault, expected_text};
use serde_json::Value;

use crate::harness::{Answer, CLERK_KEY, ENGINE_SEED, Fleet, call, wait_for};

const ROUNDS: usize = 4;
const CALLS: usize = 36;
const BUDGET_ROUNDS: usize = 8;
const RESTART_PAUSE: Duration = Duration::from_millis(300);

const FAULTS: [EngineFault; 9] = [
    EngineFault::Cut { after_tokens: 3 },
    EngineFault::Truncate { after_tokens: 5 },
    EngineFault::SendTwice,
    EngineFault::Cut { after_tokens: 0 },
    EngineFault::Stall { after_tokens: 4 },
    EngineFault::SendTwice,
    EngineFault::Truncate { after_tokens: 0 },
    EngineFault::Truncate { after_tokens: 1 },
    EngineFault::Cut { after_tokens: 11 },
];

struct CompletionAttempt {
    prompt: String,
    tokens: u64,
    answer: Option<Answer>,
}

async fn request_completion(fleet: &Fleet, round: usize, index: usize) -> CompletionAttempt {
    let prompt = format!("rack {index} of round {round}");
    let tokens = 8 + (index as u64 * 7) % 40;
    let body = serde_json::json!({"service": "drafts", "prompt": prompt, "max_tokens": tokens});
    let url = fleet.caller_url(index % 3, "/v1/completions");
    let answer = call(
        Method::Post,
        &url,
        Some(CLERK_KEY),
        &[],
        body.to_string().as_bytes(),
    )
    .await;
    CompletionAttempt {
        prompt,
        tokens,
        answer,
    }
}

impl CompletionAttempt {
    fn is_complete(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.body.is_ok())
    }

    /// Checks that a complete answer contains every token of its own prompt in order and a last line with their number.
    fn check(&self) {
        if !self.is_complete() {
            return;
        }
        let text = self.answer.as_ref().expect("an answer").text();
        let lines: Vec<Value> = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect();
        let (last, pieces) = lines.split_last().expect("a last line");
        let tokens: String = pieces
            .iter()
            .map(|piece| piece["token"].as_str().expect("a token"))
            .collect();
        assert_eq!(
            tokens,
            expected_text(ENGINE_SEED, &self.prompt, 0, self.tokens),
            "{}",
            self.prompt
        );
        assert_eq!(last["done"], Value::Bool(true), "{last}");
        assert_eq!(last["tokens"].as_u64(), Some(self.tokens), "{last}");
    }
}

async fn run_round(fleet: &Fleet, round: usize) -> usize {
    let attempts = join_all((0..CALLS).map(|index| request_completion(fleet, round, index))).await;
    attempts.iter().for_each(CompletionAttempt::check);
    attempts.iter().filter(|attempt| attempt.is_complete()).count()
}

/// Guards against wrong complete answers. In each round one engine crashes and restarts, and the others cut, truncate,
/// duplicate and stall single answers.
#[async_std::test]
async fn whole_answers_are_own_answers() {
    let fleet = Fleet::start(3, 4, 0).await;
    fleet.set_value(0, "service drafts", "timeout", "3s").await;
    fleet.wait_for_revision_everywhere().await;
    // Successful requests fill the retry budgets. Without a retry budget no stream is resumed.
    for number in 0..BUDGET_ROUNDS {
        run_round(&fleet, ROUNDS + 1 + number).await;
    }
    let mut complete = 0;
    for number in 0..ROUNDS {
        for (index, engine) in fleet.engines.iter().enumerate() {
            let shift = (index + number) % FAULTS.len();
            for fault in FAULTS.iter().cycle().skip(shift).take(4) {
                engine.fail_next(*fault);
            }
        }
        let crashing = &fleet.engines[number % fleet.engines.len()];
        crashing.fail_next(EngineFault::Crash { after_tokens: 2 });
        let restart = async {
            task::sleep(RESTART_PAUSE).await;
            // If the crash fault was not reached, the engine is still listening and the restart fails.
            let _ = crashing.restart().await;
        };
        complete += join(run_round(&fleet, number), restart).await.0;
    }
    assert!(complete > 0, "no answer was complete, so no text was compared");
    clear_faults_and_wait(&fleet).await;
    assert_eq!(
        run_round(&fleet, ROUNDS).await,
        CALLS,
        "every answer is complete without faults"
    );
}

/// Clears the standing faults, restarts the engines and repeats completions until all of them succeed. The completions
/// use up the remaining one-time faults.
async fn clear_faults_and_wait(fleet: &Fleet) {
    for engine in &fleet.engines {
        engine.set_fault(None);
        let _ = engine.restart().await;
    }
    wait_for("complete answers", || async {
        let all = join_all((0..12).map(|index| request_completion(fleet, 100, index)));
        let attempts = timeout(Duration::from_secs(10), all).await;
        attempts.is_ok_and(|attempts| attempts.iter().all(CompletionAttempt::is_complete))
    })
    .await;
}
