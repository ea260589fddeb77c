//! A resumed answer must continue the interrupted answer exactly. Other tests rely on this property when they check
//! resumed streams.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use async_std::task;
use common::{SEED, engine, generate, generate_request};
use jm_standins::{EngineFault, expected_text, expected_token};
use quickcheck::{Gen, QuickCheck, TestResult};

const MAX_TOKENS: u64 = 40;

fn resume_matches(prompt: String, split: u64) -> TestResult {
    let split = split % (MAX_TOKENS + 1);
    let (whole, first, second) = task::block_on(async {
        let whole_engine = engine().await;
        let resume_engine = engine().await;
        let whole = generate(whole_engine.address(), &generate_request(&prompt, MAX_TOKENS, 0)).await;
        let first = generate(whole_engine.address(), &generate_request(&prompt, split, 0)).await;
        let rest = generate_request(&prompt, MAX_TOKENS, split);
        (whole, first, generate(resume_engine.address(), &rest).await)
    });
    let joined = first.text() + &second.text();
    let counted: u64 = second.done[0].segments.iter().map(|segment| segment.tokens).sum();
    TestResult::from_bool(
        whole.text() == expected_text(SEED, &prompt, 0, MAX_TOKENS)
            && joined == whole.text()
            && counted == MAX_TOKENS - split,
    )
}

/// Guards against an answer that depends on the engine or on the position of the interruption.
#[test]
fn resume_equals_one_run() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 12))
        .tests(25)
        .quickcheck(resume_matches as fn(String, u64) -> TestResult);
}

/// Guards against lost or repeated tokens when an answer is cut and resumed on another engine.
#[async_std::test]
async fn resume_after_cut() {
    let (cutting, other) = (engine().await, engine().await);
    cutting.fail_next(EngineFault::Cut { after_tokens: 13 });
    let first = generate(cutting.address(), &generate_request("plan a rack", MAX_TOKENS, 0)).await;
    assert!(first.cut);
    assert_eq!(first.tokens.len(), 13);
    let rest = generate_request("plan a rack", MAX_TOKENS, 13);
    let second = generate(other.address(), &rest).await;
    assert_eq!(
        first.text() + &second.text(),
        expected_text(SEED, "plan a rack", 0, MAX_TOKENS)
    );
}

/// Guards against equal answers for different prompts, seeds or positions. They would hide an answer that was delivered
/// for the wrong request.
#[test]
fn answers_differ() {
    let first = expected_text(SEED, "one", 0, 20);
    assert_ne!(first, expected_text(SEED, "two", 0, 20));
    assert_ne!(first, expected_text(SEED + 1, "one", 0, 20));
    assert_ne!(expected_token(SEED, "one", 0), expected_token(SEED, "one", 1));
}
