//! Mixed load of live completions, orders and training steps, and a check of the configuration revisions.

use std::{sync::Arc, time::Duration};

use async_std::task::{self, JoinHandle};
use jm_http::Method;
use jm_standins::{StepRequest, Trainer, TrainerOptions, expected_text};
use serde_json::Value;

use crate::{
    fleet::{Answer, CLERK_KEY, ENGINE_SEED, Fleet, HOSTS, SPARE_KEY, TRAINER_KEY, VERSION, call},
    run_record::{OrderOutcome, RunRecord},
};

const LIVE_CALLERS: usize = 3;
const ORDER_CALLERS: usize = 3;
const LIVE_TOKENS: u64 = 60;
const STEP_SAMPLES: u64 = 64;
const STEP_TOKENS: u64 = 16;
const GROUP_SIZE: u64 = 4;

/// Attempts to place one order, all with the same ticket.
const ORDER_ATTEMPTS: usize = 4;

/// Consecutive failed calls after which a trainer abandons a step. At 50 ms each this is longer than any fault lasts.
const MAX_CONSECUTIVE_FAILURES: u32 = 2_000;

const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the load tasks, which run until [`RunRecord::stop`].
pub(crate) fn start(fleet: &Arc<Fleet>, record: &Arc<RunRecord>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for caller in 0..LIVE_CALLERS {
        // The last caller uses the key that faults withdraw and grant again.
        let key = if caller + 1 == LIVE_CALLERS {
            SPARE_KEY
        } else {
            CLERK_KEY
        };
        tasks.push(task::spawn(run_live_caller(
            Arc::clone(fleet),
            Arc::clone(record),
            caller,
            key,
        )));
    }
    for caller in 0..ORDER_CALLERS {
        tasks.push(task::spawn(run_order_caller(
            Arc::clone(fleet),
            Arc::clone(record),
            caller,
        )));
    }
    tasks.push(task::spawn(run_training_steps(
        Arc::clone(fleet),
        Arc::clone(record),
    )));
    for host in 0..HOSTS {
        tasks.push(task::spawn(watch_revisions(
            Arc::clone(fleet),
            Arc::clone(record),
            host,
        )));
    }
    tasks
}

async fn run_live_caller(fleet: Arc<Fleet>, record: Arc<RunRecord>, caller: usize, key: &'static str) {
    let mut call_number = caller;
    while !record.is_stopped() {
        call_number += 1;
        let prompt = format!("note {caller}-{call_number}");
        let body = format!(r#"{{"service":"drafts","prompt":"{prompt}","max_tokens":{LIVE_TOKENS}}}"#);
        let url = fleet.url(call_number % HOSTS, "/v1/completions");
        match call(Method::Post, &url, key, None, body).await {
            Some(answer) if answer.status == 200 => {
                record.count("live answers");
                check_answer(&record, &prompt, &answer);
            }
            Some(answer) => record.count(&format!("live refusals with {}", answer.json()["code"])),
            None => record.count("live calls without a complete answer"),
        }
        task::sleep(CALL_INTERVAL).await;
    }
}

/// Checks a body that was received to its end. It must contain the complete answer or an error in its last line.
fn check_answer(record: &RunRecord, prompt: &str, answer: &Answer) {
    let lines = answer
        .body
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap_or_default());
    let lines: Vec<Value> = lines.collect();
    if lines.last().is_some_and(|last| !last["error"].is_null()) {
        record.count("live answers cut with a reason");
        return;
    }
    let text: String = lines.iter().filter_map(|line| line["token"].as_str()).collect();
    if text != expected_text(ENGINE_SEED, prompt, 0, LIVE_TOKENS) {
        record.add_violation(format!("unexpected answer to {prompt:?}: {}", answer.body));
    }
}

async fn run_order_caller(fleet: Arc<Fleet>, record: Arc<RunRecord>, caller: usize) {
    let mut number = 0;
    while !record.is_stopped() {
        number += 1;
        if let Some(ticket) = request_ticket(&fleet, caller + number).await {
            let id = format!("order-{caller}-{number}");
            let outcome = place_order(&fleet, caller + number, &id, &ticket).await;
            record.record_order(id, outcome);
        }
        task::sleep(CALL_INTERVAL).await;
    }
}

async fn request_ticket(fleet: &Fleet, call_number: usize) -> Option<String> {
    let url = fleet.url(call_number % HOSTS, "/v1/tickets");
    let body = r#"{"service":"order-desk"}"#.to_owned();
    let answer = call(Method::Post, &url, CLERK_KEY, None, body).await?;
    Some(answer.json()["ticket"].as_str()?.to_owned())
}

/// Sends one order to each host in turn until its outcome is known.
async fn place_order(fleet: &Fleet, call_number: usize, id: &str, ticket: &str) -> OrderOutcome {
    let mut outcome = OrderOutcome::NotRun;
    for attempt in 0..ORDER_ATTEMPTS {
        let url = fleet.url((call_number + attempt) % HOSTS, "/v1/services/order-desk/orders");
        let body = format!(r#"{{"request_id":"{id}"}}"#);
        match call(Method::Post, &url, CLERK_KEY, Some(ticket), body).await {
            Some(answer) if answer.status == 200 => return OrderOutcome::Ran,
            Some(answer) if answer.json()["execution"] == "not run" => {}
            _ => outcome = OrderOutcome::Unknown,
        }
        task::sleep(CALL_INTERVAL).await;
    }
    outcome
}

async fn run_training_steps(fleet: Arc<Fleet>, record: Arc<RunRecord>) {
    let mut number = 0;
    while !record.is_stopped() {
        number += 1;
        let request = step_request(number);
        match new_trainer(&fleet, number).run(&request).await {
            Ok(result) => {
                record.count("steps");
                if !result.violations.is_empty() || result.samples.len() as u64 != STEP_SAMPLES {
                    record.add_violation(format!("step {number}: {:?}", result.violations));
                }
                (0..result.samples.len()).for_each(|_| record.count("samples"));
                (0..result.recreations).for_each(|_| record.count("steps created again"));
            }
            Err(error) => record.add_violation(format!("step {number}: {error}")),
        }
    }
}

fn new_trainer(fleet: &Fleet, number: u64) -> Trainer {
    Trainer::new(TrainerOptions {
        addresses: fleet.addresses(),
        key: Some(TRAINER_KEY.to_owned()),
        engine_seed: Some(ENGINE_SEED),
        max_failures: MAX_CONSECUTIVE_FAILURES,
        // Every second trainer reads from another address after every 5 samples.
        switch_address_every: number.is_multiple_of(2).then_some(5),
        ..TrainerOptions::default()
    })
}

fn step_request(number: u64) -> StepRequest {
    StepRequest {
        step: format!("soak-{number}").parse().expect("the id is valid"),
        service: "drafts".parse().expect("the id is valid"),
        weight_version: VERSION,
        staleness_bound: 1,
        group_size: GROUP_SIZE,
        samples: STEP_SAMPLES,
        prompts: (0..STEP_SAMPLES / GROUP_SIZE)
            .map(|group| format!("floor {number}-{group}"))
            .collect(),
        max_tokens: STEP_TOKENS,
        held: Vec::new(),
    }
}

/// Checks that the revision of one host never decreases, not even across a restart. A status that is not fresh is
/// ignored, because a daemon that has not read its configuration yet is not ready.
async fn watch_revisions(fleet: Arc<Fleet>, record: Arc<RunRecord>, host: usize) {
    let mut highest = 0;
    while !record.is_stopped() {
        let status = fleet.status(host).await.filter(|status| status["fresh"] == true);
        if let Some(revision) = status.and_then(|status| status["revision"].as_u64()) {
            record.count("revisions read");
            if revision < highest {
                record.add_violation(format!("host {host} went from revision {highest} to {revision}"));
            }
            highest = highest.max(revision);
        }
        task::sleep(CALL_INTERVAL * 10).await;
    }
}
