//! Guards against bursts of reward calls that delay live callers of the same service or the most urgent step.
//!
//! The replayed load is that of a step of 120 texts that complete within a fifth of a second, at four targets with six
//! slots each, which also answer six previews a second. A preview takes 25 ms and has to be answered within 150 ms; a
//! reward call takes 80 ms.

mod common;

use std::{cmp::Reverse, collections::VecDeque};

use common::scorer;
use indexmap::IndexMap;
use jm_batch::{
    RemoteWork, RewardEnd, RewardKey, RewardOptions, RewardPass, RewardQueue, RewardStart, RewardUrgency,
};
use jm_forward::{Catalog, Target};
use jm_types::{DurationMs, ServiceId, Timestamp};

const PREVIEW_MS: u64 = 25;
const PREVIEW_OBJECTIVE_MS: u64 = 150;
const PREVIEW_INTERVAL_MS: u64 = 166;
const REWARD_MS: u64 = 80;
const BURST_AT_MS: u64 = 1_000;
const BURST_MS: u64 = 200;
const TEXTS: usize = 120;
const END_MS: u64 = 4_000;

fn key(batch: &str, item: usize) -> RewardKey {
    RewardKey {
        batch: batch.parse().unwrap(),
        item,
    }
}

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn urgency(due_at_ms: u64) -> RewardUrgency {
    RewardUrgency {
        due_at: Timestamp::new(due_at_ms),
        is_awaited: Reverse(false),
        open_texts: 0,
    }
}

enum Work {
    Preview { sent_ms: u64 },
    Reward(RewardKey, u64),
}

/// A target that runs as many requests at once as it has slots, in the order of their arrival.
#[derive(Default)]
struct Server {
    running: Vec<(u64, Work)>,
    queue: VecDeque<Work>,
}

impl Server {
    fn step(&mut self, slots: usize, now_ms: u64) -> Vec<Work> {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end_ms, _)| *end_ms <= now_ms);
        self.running = running;
        while self.running.len() < slots
            && let Some(work) = self.queue.pop_front()
        {
            let took_ms = match work {
                Work::Preview { .. } => PREVIEW_MS,
                Work::Reward(..) => REWARD_MS,
            };
            self.running.push((now_ms + took_ms, work));
        }
        ended.into_iter().map(|(_, work)| work).collect()
    }
}

struct Replay {
    slowest_preview_ms: u64,
    last_score_ms: u64,
    scores: usize,
}

/// Plays the load. `is_limited` sends the calls through the queue, otherwise each is sent as its text completes.
fn replay(is_limited: bool) -> Replay {
    let targets: Vec<Target> = (0..4).map(|index| scorer(&format!("d{index}"), 6)).collect();
    let catalog: Catalog = targets.iter().cloned().collect();
    let mut servers: IndexMap<String, Server> = targets
        .iter()
        .map(|target| (target.run.id.to_string(), Server::default()))
        .collect();
    let mut queue = RewardQueue::new(RewardOptions::default());
    let mut result = Replay {
        slowest_preview_ms: 0,
        last_score_ms: 0,
        scores: 0,
    };
    let texts_at = |now_ms: u64| {
        let completed =
            |ms: u64| (ms.saturating_sub(BURST_AT_MS).min(BURST_MS) as usize) * TEXTS / BURST_MS as usize;
        completed(now_ms)..completed(now_ms + 1)
    };
    for now_ms in 0..END_MS {
        let now = Timestamp::new(now_ms);
        if now_ms % PREVIEW_INTERVAL_MS == 0 {
            let index = (now_ms / PREVIEW_INTERVAL_MS) as usize % servers.len();
            servers[index].queue.push_back(Work::Preview { sent_ms: now_ms });
        }
        for item in texts_at(now_ms) {
            match is_limited {
                true => queue.push(key("b", item), now),
                false => servers[item % 4].queue.push_back(Work::Reward(key("b", item), 0)),
            }
        }
        let pass = RewardPass {
            now,
            catalog: &catalog,
            own_work: 1,
            remote_work: &[],
        };
        for start in queue.start_ready(&pass, |_| urgency(8_000), |_| Some(service())) {
            let server = &mut servers[start.target.run.id.as_str()];
            server.queue.push_back(Work::Reward(start.key, start.serial));
        }
        for server in servers.values_mut() {
            for work in server.step(6, now_ms) {
                match work {
                    Work::Preview { sent_ms } => {
                        result.slowest_preview_ms = result.slowest_preview_ms.max(now_ms - sent_ms);
                    }
                    Work::Reward(key, serial) => {
                        let end = RewardEnd::Scored("s".parse().unwrap());
                        queue.attempt_ended(&key, serial, &end, now);
                        queue.remove(&key);
                        result.scores += 1;
                        result.last_score_ms = now_ms;
                    }
                }
            }
        }
    }
    result
}

#[test]
fn previews_first() {
    let limited = replay(true);
    let at_once = replay(false);
    assert_eq!((limited.scores, at_once.scores), (TEXTS, TEXTS));
    assert!(
        limited.slowest_preview_ms <= PREVIEW_OBJECTIVE_MS,
        "a preview took {} ms",
        limited.slowest_preview_ms
    );
    assert!(
        at_once.slowest_preview_ms > PREVIEW_OBJECTIVE_MS,
        "sent at once, the slowest preview took {} ms",
        at_once.slowest_preview_ms
    );
    // One of six slots is left to callers, so the burst may take a fifth longer.
    let burst_ms = |replay: &Replay| replay.last_score_ms - BURST_AT_MS;
    assert!(
        burst_ms(&limited) <= burst_ms(&at_once) * 6 / 5 + REWARD_MS,
        "the scores took {} ms, sent at once {} ms",
        burst_ms(&limited),
        burst_ms(&at_once)
    );
}

fn start(
    queue: &mut RewardQueue,
    catalog: &Catalog,
    urgency: impl Fn(&RewardKey) -> RewardUrgency,
) -> Vec<RewardStart> {
    let pass = RewardPass {
        now: Timestamp::new(0),
        catalog,
        own_work: 1,
        remote_work: &[],
    };
    queue.start_ready(&pass, urgency, |_| Some(service()))
}

/// Calls of a step that is due later, or of groups that are not complete yet, take the slots of those that a trainer
/// waits for.
#[test]
fn most_urgent_first() {
    let catalog: Catalog = [scorer("d0", 4)].into_iter().collect();
    let mut queue = RewardQueue::new(RewardOptions::default());
    let now = Timestamp::new(0);
    let queued = [
        key("late", 0),
        key("soon", 0),
        key("soon", 1),
        key("soon", 2),
        key("late", 1),
    ];
    for key in queued {
        queue.push(key, now);
    }
    let starts = start(&mut queue, &catalog, |key| RewardUrgency {
        due_at: Timestamp::new(if key.batch.as_str() == "soon" {
            1_000
        } else {
            2_000
        }),
        is_awaited: Reverse(key.item == 2),
        open_texts: if key.item == 0 { 3 } else { 0 },
    });
    let order: Vec<RewardKey> = starts.into_iter().map(|start| start.key).collect();
    assert_eq!(order, [key("soon", 2), key("soon", 1), key("soon", 0)]);
}

/// Owners of several batches do not see one another's calls. Each takes its share, so that together they leave room for
/// live callers.
#[test]
fn shared_between_owners() {
    let catalog: Catalog = [scorer("d0", 7)].into_iter().collect();
    let mut queue = RewardQueue::new(RewardOptions::default());
    for item in 0..12 {
        queue.push(key("b", item), Timestamp::new(0));
    }
    let remote = RemoteWork {
        model: None,
        min_version: Default::default(),
        tokens: 100,
    };
    let pass = RewardPass {
        now: Timestamp::new(0),
        catalog: &catalog,
        own_work: 100,
        remote_work: &[remote.clone(), remote],
    };
    let starts = queue.start_ready(&pass, |_| urgency(1_000), |_| Some(service()));
    assert_eq!(
        starts.len(),
        2,
        "a third of the six slots that are not left to callers"
    );
}

/// Retries without a delay would keep a service busy that rejects everything.
#[test]
fn retries_back_off() {
    let catalog: Catalog = [scorer("d0", 6)].into_iter().collect();
    let mut queue = RewardQueue::new(RewardOptions::default());
    queue.push(key("b", 0), Timestamp::new(0));
    let mut attempts = 0;
    for now_ms in 0..10_000 {
        let now = Timestamp::new(now_ms);
        let pass = RewardPass {
            now,
            catalog: &catalog,
            own_work: 1,
            remote_work: &[],
        };
        for start in queue.start_ready(&pass, |_| urgency(1_000), |_| Some(service())) {
            attempts += 1;
            let end = RewardEnd::NotRun {
                reason: "full".to_owned(),
            };
            queue.attempt_ended(&start.key, start.serial, &end, now);
        }
    }
    let steady = 10_000 / RewardOptions::default().max_retry_delay_ms.get();
    assert!(attempts <= steady + 6, "{attempts} attempts in 10 s");
    assert!(attempts >= steady, "{attempts} attempts in 10 s");
}

/// A target that answers nothing is found out by the calls that another target answers in the meantime.
#[test]
fn hedge_of_slow_target() {
    let catalog: Catalog = [scorer("d0", 2), scorer("d1", 2)].into_iter().collect();
    let mut queue = RewardQueue::new(RewardOptions::default());
    for item in 0..4 {
        queue.push(key("b", item), Timestamp::new(0));
    }
    let first = start(&mut queue, &catalog, |_| urgency(1_000));
    assert_eq!(first.len(), 2, "one call for each target");
    assert!(first[0].hedge_after_ms <= DurationMs::new(2 * REWARD_MS));
    let (silent, answering) = (&first[0], &first[1]);
    let end = RewardEnd::Scored("s".parse().unwrap());
    queue.attempt_ended(&answering.key, answering.serial, &end, Timestamp::new(80));
    queue.remove(&answering.key);
    let pass = RewardPass {
        now: Timestamp::new(160),
        catalog: &catalog,
        own_work: 1,
        remote_work: &[],
    };
    let hedged = queue.hedge(&silent.key, silent.serial, &pass, &service());
    let hedged = hedged.expect("the other target has a slot");
    assert_ne!(hedged.target.run, silent.target.run);
    assert!(
        queue
            .hedge(&silent.key, silent.serial, &pass, &service())
            .is_none(),
        "a call has at most two attempts at a time"
    );
}
