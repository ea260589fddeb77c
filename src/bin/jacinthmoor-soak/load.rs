//! The mixed load: live answers, orders, steps, and a look at the revisions.

use std::{sync::Arc, time::Duration};

use async_std::task::{self, JoinHandle};
use jm_http::Method;
use jm_standins::{StepRequest, Trainer, TrainerOptions, expected_text};
use serde_json::Value;

use crate::{
    fleet::{Answer, CLERK_KEY, ENGINE_SEED, Fleet, HOSTS, SPARE_KEY, TRAINER_KEY, VERSION, call},
    ledger::{Ledger, OrderOutcome},
};

const LIVE_CALLERS: usize = 3;
const ORDER_CALLERS: usize = 3;
const LIVE_TOKENS: u64 = 60;
const STEP_SAMPLES: u64 = 64;
const STEP_TOKENS: u64 = 16;
const GROUP_SIZE: u64 = 4;

/// Attempts of one order, all with the same ticket.
const ORDER_ATTEMPTS: usize = 4;

/// Failed calls in a row after which a trainer gives a step up; at 50 ms each this is longer than any fault lasts.
const MOST_FAILURES: u32 = 2_000;

const PAUSE: Duration = Duration::from_millis(20);

/// Starts the load; it ends after [`Ledger::stop`].
pub(crate) fn start(fleet: &Arc<Fleet>, ledger: &Arc<Ledger>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for caller in 0..LIVE_CALLERS {
        // The last one uses the key that is withdrawn from time to time.
        let key = if caller + 1 == LIVE_CALLERS {
            SPARE_KEY
        } else {
            CLERK_KEY
        };
        tasks.push(task::spawn(answers(
            Arc::clone(fleet),
            Arc::clone(ledger),
            caller,
            key,
        )));
    }
    for caller in 0..ORDER_CALLERS {
        tasks.push(task::spawn(orders(Arc::clone(fleet), Arc::clone(ledger), caller)));
    }
    tasks.push(task::spawn(steps(Arc::clone(fleet), Arc::clone(ledger))));
    for host in 0..HOSTS {
        tasks.push(task::spawn(revisions(
            Arc::clone(fleet),
            Arc::clone(ledger),
            host,
        )));
    }
    tasks
}

async fn answers(fleet: Arc<Fleet>, ledger: Arc<Ledger>, caller: usize, key: &'static str) {
    let mut turn = caller;
    while !ledger.is_stopped() {
        turn += 1;
        let prompt = format!("note {caller}-{turn}");
        let body = format!(r#"{{"service":"drafts","prompt":"{prompt}","max_tokens":{LIVE_TOKENS}}}"#);
        let url = fleet.url(turn % HOSTS, "/v1/completions");
        match call(Method::Post, &url, key, None, body).await {
            Some(answer) if answer.status == 200 => {
                ledger.count("live answers");
                check_answer(&ledger, &prompt, &answer);
            }
            Some(answer) => ledger.count(&format!("live refusals with {}", answer.json()["code"])),
            None => ledger.count("live calls without a whole answer"),
        }
        task::sleep(PAUSE).await;
    }
}

/// A body that came to its end must hold the whole answer, or say in its last line that it was cut.
fn check_answer(ledger: &Ledger, prompt: &str, answer: &Answer) {
    let lines = answer
        .body
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap_or_default());
    let lines: Vec<Value> = lines.collect();
    if lines.last().is_some_and(|last| !last["error"].is_null()) {
        ledger.count("live answers cut with a reason");
        return;
    }
    let text: String = lines.iter().filter_map(|line| line["token"].as_str()).collect();
    if text != expected_text(ENGINE_SEED, prompt, 0, LIVE_TOKENS) {
        ledger.violate(format!(
            "the answer to {prompt:?} is not the expected one: {}",
            answer.body
        ));
    }
}

async fn orders(fleet: Arc<Fleet>, ledger: Arc<Ledger>, caller: usize) {
    let mut number = 0;
    while !ledger.is_stopped() {
        number += 1;
        if let Some(ticket) = ticket(&fleet, caller + number).await {
            let id = format!("order-{caller}-{number}");
            let outcome = place(&fleet, caller + number, &id, &ticket).await;
            ledger.settle_order(id, outcome);
        }
        task::sleep(PAUSE).await;
    }
}

async fn ticket(fleet: &Fleet, turn: usize) -> Option<String> {
    let url = fleet.url(turn % HOSTS, "/v1/tickets");
    let body = r#"{"service":"order-desk"}"#.to_owned();
    let answer = call(Method::Post, &url, CLERK_KEY, None, body).await?;
    Some(answer.json()["ticket"].as_str()?.to_owned())
}

/// Asks for one order at one host after another until its outcome is known.
async fn place(fleet: &Fleet, turn: usize, id: &str, ticket: &str) -> OrderOutcome {
    let mut outcome = OrderOutcome::NotRun;
    for attempt in 0..ORDER_ATTEMPTS {
        let url = fleet.url((turn + attempt) % HOSTS, "/v1/services/order-desk/orders");
        let body = format!(r#"{{"request_id":"{id}"}}"#);
        match call(Method::Post, &url, CLERK_KEY, Some(ticket), body).await {
            Some(answer) if answer.status == 200 => return OrderOutcome::Ran,
            Some(answer) if answer.json()["execution"] == "not run" => {}
            _ => outcome = OrderOutcome::Unknown,
        }
        task::sleep(PAUSE).await;
    }
    outcome
}

async fn steps(fleet: Arc<Fleet>, ledger: Arc<Ledger>) {
    let mut number = 0;
    while !ledger.is_stopped() {
        number += 1;
        let request = step(number);
        match trainer(&fleet, number).run(&request).await {
            Ok(result) => {
                ledger.count("steps");
                if !result.violations.is_empty() || result.samples.len() as u64 != STEP_SAMPLES {
                    ledger.violate(format!("step {number}: {:?}", result.violations));
                }
                (0..result.samples.len()).for_each(|_| ledger.count("samples"));
                (0..result.recreations).for_each(|_| ledger.count("steps created again"));
            }
            Err(error) => ledger.violate(format!("step {number}: {error}")),
        }
    }
}

fn trainer(fleet: &Fleet, number: u64) -> Trainer {
    Trainer::new(TrainerOptions {
        addresses: fleet.addresses(),
        key: Some(TRAINER_KEY.to_owned()),
        engine_seed: Some(ENGINE_SEED),
        max_failures: MOST_FAILURES,
        // Every other trainer changes its address all the time.
        switch_address_every: number.is_multiple_of(2).then_some(5),
        ..TrainerOptions::default()
    })
}

fn step(number: u64) -> StepRequest {
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

/// Revisions never go back, also not across a restart. A daemon that has not read its configuration yet is not ready.
async fn revisions(fleet: Arc<Fleet>, ledger: Arc<Ledger>, host: usize) {
    let mut highest = 0;
    while !ledger.is_stopped() {
        let status = fleet.status(host).await.filter(|status| status["fresh"] == true);
        if let Some(revision) = status.and_then(|status| status["revision"].as_u64()) {
            ledger.count("revisions read");
            if revision < highest {
                ledger.violate(format!("host {host} went from revision {highest} to {revision}"));
            }
            highest = highest.max(revision);
        }
        task::sleep(PAUSE * 10).await;
    }
}
