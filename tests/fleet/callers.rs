//! Callers that follow the client rules of the interface while a test injects faults.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task::{self, JoinHandle};
use jm_http::Method;
use serde::Deserialize;

use crate::harness::{Answer, CLERK_KEY, Fleet, call, wait_for};

/// Tokens of a live answer. At [`LIVE_RATE`] a stream lasts longer than a daemon takes to close its listener.
const LIVE_TOKENS: u64 = 150;

/// Tokens per second of each engine, low enough that streams are open whenever a fault is injected.
pub(crate) const LIVE_RATE: f64 = 500.0;

/// A caller that requests the list of entry addresses, caches it for `keep_s` seconds and uses its addresses in turn.
struct Caller {
    addresses: Vec<String>,
    valid_until: Instant,
    call_number: usize,
}

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<String>,
    keep_s: u64,
}

/// Results that the callers share with the test.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) complete_answers: AtomicU64,
    pub(crate) failures: Mutex<Vec<String>>,
    pub(crate) done: AtomicBool,
}

impl Caller {
    fn new(address: String) -> Self {
        Self {
            addresses: vec![address],
            valid_until: Instant::now(),
            call_number: 0,
        }
    }

    /// Returns the next address. Expired addresses are used only to request a new list.
    async fn address(&mut self) -> Result<String, String> {
        if Instant::now() >= self.valid_until {
            self.refresh().await?;
        }
        self.call_number += 1;
        Ok(self.addresses[self.call_number % self.addresses.len()].clone())
    }

    async fn refresh(&mut self) -> Result<(), String> {
        let requested_at = Instant::now();
        for address in self.addresses.clone() {
            let url = format!("http://{address}/v1/addresses");
            let Some(answer) = call(Method::Get, &url, None, &[], b"").await else {
                continue;
            };
            let Ok(answer) = serde_json::from_str::<Addresses>(answer.text()) else {
                continue;
            };
            if !answer.addresses.is_empty() {
                self.addresses = answer.addresses;
                self.valid_until = requested_at + Duration::from_secs(answer.keep_s);
                return Ok(());
            }
        }
        Err(format!("none of {:?} returns entry addresses", self.addresses))
    }

    async fn complete(&mut self) -> Result<(), String> {
        let address = self.address().await?;
        // Prompts differ, because equal prompts are routed to the engine that has them in its cache.
        let call_number = self.call_number;
        let body =
            format!(r#"{{"service":"drafts","prompt":"rack {call_number}","max_tokens":{LIVE_TOKENS}}}"#);
        let url = format!("http://{address}/v1/completions");
        let answer = call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await;
        let answer = require_complete(answer, &address)?;
        match answer.text().lines().count() as u64 {
            lines if lines == LIVE_TOKENS + 1 => Ok(()),
            lines => Err(format!("{lines} lines from {address}: {answer:?}")),
        }
    }

    async fn order(&mut self, id: &str) -> Result<(), String> {
        let address = self.address().await?;
        let url = format!("http://{address}/v1/services/order-desk/orders");
        let body = format!(r#"{{"request_id":"{id}"}}"#);
        let answer = call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await;
        let answer = require_complete(answer, &address)?;
        answer
            .ticket
            .map(drop)
            .ok_or_else(|| "the answer to the order has no ticket".to_owned())
    }
}

fn require_complete(answer: Option<Answer>, address: &str) -> Result<Answer, String> {
    match answer {
        Some(answer) if answer.status == 200 && answer.body.is_ok() => Ok(answer),
        other => Err(format!("at {address}: {other:?}")),
    }
}

impl Report {
    /// Waits until `count` more calls received complete answers.
    pub(crate) async fn wait_for_complete_answers(&self, count: u64) {
        let goal = self.complete_answers.load(Ordering::SeqCst) + count;
        wait_for("complete answers", || async {
            self.complete_answers.load(Ordering::SeqCst) >= goal
        })
        .await;
    }

    /// Ends the callers and fails the test when a call received no complete answer. Returns the number of orders of
    /// each caller.
    pub(crate) async fn finish(&self, callers: Vec<JoinHandle<u64>>) -> Vec<u64> {
        self.done.store(true, Ordering::SeqCst);
        let mut orders = Vec::new();
        for caller in callers {
            orders.push(caller.await);
        }
        let failures = self.failures.lock().expect("no caller panicked");
        assert_eq!(*failures, Vec::<String>::new());
        orders
    }
}

/// Starts callers, each with the address of one daemon in turn.
pub(crate) fn start_callers(fleet: &Fleet, count: usize, report: &Arc<Report>) -> Vec<JoinHandle<u64>> {
    let addresses = fleet.entry_addresses();
    let start = |number: usize| start_caller(number, addresses[number % addresses.len()].clone(), report);
    (0..count).map(start).collect()
}

/// Starts a caller that runs until `report.done` is set. Callers with an odd number place orders, the others request
/// completions.
fn start_caller(number: usize, address: String, report: &Arc<Report>) -> JoinHandle<u64> {
    let report = Arc::clone(report);
    let mut caller = Caller::new(address);
    task::spawn(async move {
        let mut orders = 0;
        while !report.done.load(Ordering::SeqCst) {
            let result = if number % 2 == 1 {
                orders += 1;
                caller.order(&format!("order-{number}-{orders}")).await
            } else {
                caller.complete().await
            };
            match result {
                Ok(()) => drop(report.complete_answers.fetch_add(1, Ordering::SeqCst)),
                Err(failure) => report.failures.lock().expect("no caller panicked").push(failure),
            }
            task::sleep(Duration::from_millis(10)).await;
        }
        orders
    })
}
