//! Callers that use the fleet as its interface asks them to, while a test brings faults about.

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

/// Tokens of a live answer; at [`LIVE_RATE`] it takes longer than a daemon takes to close its listener.
const LIVE_TOKENS: u64 = 150;

/// Tokens a second of each engine, so that streams are open whenever a fault is brought about.
pub(crate) const LIVE_RATE: f64 = 500.0;

/// A caller that asks which address to use, keeps the answer for `keep_s` and takes its addresses in turn.
struct Caller {
    known: Vec<String>,
    until: Instant,
    turn: usize,
}

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<String>,
    keep_s: u64,
}

/// What the callers report.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) whole: AtomicU64,
    pub(crate) failures: Mutex<Vec<String>>,
    pub(crate) done: AtomicBool,
}

impl Caller {
    fn new(address: String) -> Self {
        Self {
            known: vec![address],
            until: Instant::now(),
            turn: 0,
        }
    }

    /// The next address. Addresses whose time is over are only used to ask for new ones.
    async fn address(&mut self) -> Result<String, String> {
        if Instant::now() >= self.until {
            self.refresh().await?;
        }
        self.turn += 1;
        Ok(self.known[self.turn % self.known.len()].clone())
    }

    async fn refresh(&mut self) -> Result<(), String> {
        let asked = Instant::now();
        for address in self.known.clone() {
            let url = format!("http://{address}/v1/addresses");
            let Some(answer) = call(Method::Get, &url, None, &[], b"").await else {
                continue;
            };
            let Ok(answer) = serde_json::from_str::<Addresses>(answer.text()) else {
                continue;
            };
            if !answer.addresses.is_empty() {
                self.known = answer.addresses;
                self.until = asked + Duration::from_secs(answer.keep_s);
                return Ok(());
            }
        }
        Err(format!("none of {:?} names addresses", self.known))
    }

    async fn complete(&mut self) -> Result<(), String> {
        let address = self.address().await?;
        // Each prompt is another one, because equal ones go to the engine that has them in its cache.
        let turn = self.turn;
        let body = format!(r#"{{"service":"drafts","prompt":"rack {turn}","max_tokens":{LIVE_TOKENS}}}"#);
        let url = format!("http://{address}/v1/completions");
        let answer = call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await;
        let answer = whole(answer, &address)?;
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
        let answer = whole(answer, &address)?;
        answer
            .ticket
            .map(drop)
            .ok_or_else(|| "the order's answer has no ticket".to_owned())
    }
}

fn whole(answer: Option<Answer>, address: &str) -> Result<Answer, String> {
    match answer {
        Some(answer) if answer.status == 200 && answer.body.is_ok() => Ok(answer),
        other => Err(format!("at {address}: {other:?}")),
    }
}

impl Report {
    /// Waits until this many more calls got whole answers.
    pub(crate) async fn wait_whole(&self, more: u64) {
        let goal = self.whole.load(Ordering::SeqCst) + more;
        wait_for("whole answers", || async {
            self.whole.load(Ordering::SeqCst) >= goal
        })
        .await;
    }

    /// Ends the callers and fails the test when a call got no whole answer. Gives the number of orders of each caller.
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

/// Starts callers that begin at different daemons.
pub(crate) fn start_callers(fleet: &Fleet, count: usize, report: &Arc<Report>) -> Vec<JoinHandle<u64>> {
    let addresses = fleet.entry_addresses();
    let start = |number: usize| start_caller(number, addresses[number % addresses.len()].clone(), report);
    (0..count).map(start).collect()
}

/// Calls until the report is done; odd callers place orders.
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
                Ok(()) => drop(report.whole.fetch_add(1, Ordering::SeqCst)),
                Err(failure) => report.failures.lock().expect("no caller panicked").push(failure),
            }
            task::sleep(Duration::from_millis(10)).await;
        }
        orders
    })
}
