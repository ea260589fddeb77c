//! Guards against results without a valid score, texts that are generated again because a score is late, and reward
//! calls that run although nobody needs them.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task;
use common::{
    FaultyStore, Hosts, Script, TestHost, data, engine, scored, scorer, spec_with_rewards, text, whole_text,
    with_timeout,
};
use jm_batch::{GenerationEnd, ResultState, RewardEnd};
use jm_types::WeightVersion;

fn whole_texts() -> Script {
    Box::new(|_, request| text(request, 3, 1))
}

fn failed() -> RewardEnd {
    RewardEnd::Failed {
        reason: "status 500".to_owned(),
    }
}

fn lost() -> RewardEnd {
    RewardEnd::Lost {
        reason: "reset".to_owned(),
    }
}

async fn wait_until(is_reached: impl Fn() -> bool) {
    with_timeout(async {
        while !is_reached() {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// A score that was requested before the last event would belong to an incomplete text.
#[async_std::test]
async fn score_after_text() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let is_complete = Arc::new(AtomicBool::new(false));
    let was_early = Arc::new(AtomicBool::new(false));
    let (completes, checks) = (Arc::clone(&is_complete), Arc::clone(&is_complete));
    let early = Arc::clone(&was_early);
    let script: Script = Box::new(move |_, request| {
        completes.store(true, Ordering::SeqCst);
        text(request, 3, 1)
    });
    let scoring = Box::new(move |_: &_, _: &_| {
        early.fetch_or(!checks.load(Ordering::SeqCst), Ordering::SeqCst);
        scored()
    });
    let targets = vec![engine("e1", 2, 1), scorer("d1", 6)];
    let host = TestHost::start_scored("a", &hosts, &store, targets, script, scoring);
    host.service.submit(spec_with_rewards("b1", 1)).await.unwrap();
    let page = host.listed("b1", 1).await;
    let result = &page.results[0];
    assert_eq!(result.state, ResultState::Completed);
    assert_eq!(result.text, whole_text(3));
    assert_eq!(result.score.as_ref().unwrap().as_str(), "s");
    assert!(!was_early.load(Ordering::SeqCst));
}

/// A call that is sent while the text is still generated would score an incomplete one.
#[async_std::test]
async fn no_call_before_end() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let script: Script = Box::new(|_, _| vec![data(1), data(2), common::Step::Stall]);
    let scoring = Box::new(|_: &_, _: &_| scored());
    let targets = vec![engine("e1", 2, 1), scorer("d1", 6)];
    let host = TestHost::start_scored("a", &hosts, &store, targets, script, scoring);
    host.service.submit(spec_with_rewards("b1", 1)).await.unwrap();
    wait_until(|| host.engines.open.load(Ordering::SeqCst) == 1).await;
    for _ in 0..20 {
        host.service.routing_changed();
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(host.scorers.call_count(), 0);
}

/// Lost, rejected and unsent attempts say nothing about the text, so they do not count against it.
#[async_std::test]
async fn lost_answers() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let attempts = AtomicU64::new(0);
    let scoring = Box::new(move |_: &_, _: &_| {
        let end = match attempts.fetch_add(1, Ordering::SeqCst) {
            0 | 4 => lost(),
            1 => RewardEnd::NotRun {
                reason: "status 503".to_owned(),
            },
            2 => RewardEnd::Unsent {
                reason: "refused".to_owned(),
            },
            3 | 5 => failed(),
            _ => return scored(),
        };
        Some((Duration::ZERO, end))
    });
    let targets = vec![
        engine("e1", 2, 1),
        scorer("d1", 6),
        scorer("d2", 6),
        scorer("d3", 6),
    ];
    let host = TestHost::start_scored("a", &hosts, &store, targets, whole_texts(), scoring);
    host.service.submit(spec_with_rewards("b1", 1)).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].state, ResultState::Completed);
    assert_eq!(host.scorers.call_count(), 7);
    assert_eq!(
        host.engines.runs.lock().unwrap().len(),
        1,
        "the text is generated once"
    );
}

/// Some calls fail at every target. Their items are given up after the route's attempts, and no sooner.
#[async_std::test]
async fn failing_call() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let scoring = Box::new(|_: &_, _: &_| Some((Duration::ZERO, failed())));
    let targets = vec![engine("e1", 2, 1), scorer("d1", 6)];
    let host = TestHost::start_scored("a", &hosts, &store, targets, whole_texts(), scoring);
    host.service.submit(spec_with_rewards("b1", 1)).await.unwrap();
    let page = host.listed("b1", 1).await;
    assert_eq!(page.results[0].state, ResultState::Expired);
    assert_eq!(page.results[0].score, None);
    assert_eq!(host.scorers.call_count(), 3);
}

/// A target that stops to answer holds a call until its timeout, far later than the step is due.
#[async_std::test]
async fn silent_target() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let scoring = Box::new(
        |target: &jm_forward::Target, _: &_| match target.run.id.as_str() {
            "d1" => None,
            _ => scored(),
        },
    );
    let targets = vec![engine("e1", 8, 1), scorer("d1", 6), scorer("d2", 6)];
    let host = TestHost::start_scored("a", &hosts, &store, targets, whole_texts(), scoring);
    host.service.submit(spec_with_rewards("b1", 6)).await.unwrap();
    host.listed("b1", 6).await;
    assert!(host.events.hedged_rewards.load(Ordering::SeqCst) > 0);
}

/// The owner dies while the service that scores is away. The next owner has the text and only needs the score.
#[async_std::test]
async fn killed_while_scoring() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let targets = || vec![engine("e1", 2, 1), scorer("d1", 6)];
    let silent = Box::new(|_: &_, _: &_| None);
    let first = TestHost::start_scored("a", &hosts, &store, targets(), whole_texts(), silent);
    first.service.submit(spec_with_rewards("b1", 1)).await.unwrap();
    store.wait_for_saved_texts("b1").await;
    hosts.kill("a");
    let no_text: Script = Box::new(|_, _| panic!("the text is complete already"));
    let answers = Box::new(|_: &_, _: &_| scored());
    let second = TestHost::start_scored("b", &hosts, &store, targets(), no_text, answers);
    second.sync_states(&store).await;
    let page = second.listed("b1", 1).await;
    assert_eq!(page.results[0].text, whole_text(3));
    assert_eq!(page.results[0].versions, [WeightVersion::new(1)]);
    assert_eq!(
        second.scorers.call_count(),
        1,
        "the new owner scores the text itself"
    );
}

/// After its end a batch has no use for scores, and its trainer may not expect any more calls.
#[async_std::test]
async fn ended_batch() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let scoring = Box::new(|_: &_, _: &_| Some((Duration::from_millis(3), lost())));
    let targets = vec![engine("e1", 2, 1), scorer("d1", 6)];
    let host = TestHost::start_scored("a", &hosts, &store, targets, whole_texts(), scoring);
    host.service.submit(spec_with_rewards("b1", 2)).await.unwrap();
    wait_until(|| host.scorers.call_count() >= 2).await;
    let organisation = "parish".parse().unwrap();
    let batch = "b1".parse().unwrap();
    host.service.end(&batch, Some(&organisation)).await.unwrap();
    let count = host.scorers.call_count();
    for _ in 0..20 {
        host.service.routing_changed();
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(host.scorers.call_count(), count);
}

/// A trainer submits an unfinished group again. A score counts only for the call that it was asked with.
#[async_std::test]
async fn carried_scores() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let targets = vec![engine("e1", 4, 1), scorer("d1", 6)];
    // The last item never completes, so that its group is carried over.
    let script: Script = Box::new(|_, request| match request.item {
        2 => vec![
            data(1),
            common::Step::End(GenerationEnd::Stopped),
            common::Step::Stall,
        ],
        _ => text(request, 3, 1),
    });
    let scoring = Box::new(|_: &_, _: &_| scored());
    let host = TestHost::start_scored("a", &hosts, &store, targets, script, scoring);
    let first = spec_with_rewards("b1", 3);
    host.service.submit(first.clone()).await.unwrap();
    host.listed("b1", 2).await;
    let organisation = "parish".parse().unwrap();
    host.service.end(&first.id, Some(&organisation)).await.unwrap();
    let mut second = first;
    second.id = "b2".parse().unwrap();
    second.items.truncate(2);
    second.items[1].reward.as_mut().unwrap().id = "another".to_owned();
    host.service.submit(second).await.unwrap();
    let page = host.listed("b2", 2).await;
    assert!(page.results.iter().all(|result| result.score.is_some()));
    let calls = host.scorers.calls.lock().unwrap();
    let count = |id: &str| calls.iter().filter(|(_, call)| call == id).count();
    assert_eq!(count("b1-reward-0"), 1, "the same call is not sent again");
    assert_eq!(count("another"), 1, "another call needs its own score");
}
