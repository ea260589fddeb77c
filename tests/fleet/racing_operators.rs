//! Operators who race at several daemons, with lost answers of the store, killed and frozen daemons. Guards against a
//! change that is accepted twice or lost, a revision that goes back, and "in force" without a majority.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use async_std::task;
use futures::future::{join, join_all};
use jm_config::ConfigView;
use jm_http::Method;

use crate::{
    harness::{Answer, Fleet, call, wait_for},
    operator::Said,
};

const WATCH_PAUSE: Duration = Duration::from_millis(10);
const ROUNDS: u64 = 4;

/// Reads the documents of all daemons until `stop` and requires that no daemon ever shows an older revision than before.
async fn watch_revisions(fleet: &Fleet, stop: &AtomicBool) {
    let mut seen = [0; 3];
    while !stop.load(Ordering::SeqCst) {
        for (daemon, newest) in seen.iter_mut().enumerate() {
            let view = async_std::future::timeout(WATCH_PAUSE * 20, fleet.view(daemon)).await;
            let Ok(Some(view)) = view else { continue };
            let revision = view.revision.get();
            assert!(
                revision >= *newest,
                "daemon {daemon} went from revision {newest} to {revision}"
            );
            *newest = revision;
        }
        task::sleep(WATCH_PAUSE).await;
    }
}

fn is_accepted(answer: &Answer) -> bool {
    matches!(answer.status, 200 | 202)
}

/// Sends the same change again, with its id, until the answer says whether it is stored.
async fn settle(
    fleet: &Fleet,
    daemon: usize,
    id: &str,
    view: &ConfigView,
    section: &str,
    body: &str,
) -> bool {
    for _ in 0..40 {
        let answer = fleet.edit(daemon, id, view, section, Some(body)).await;
        match answer {
            Some(answer) if is_accepted(&answer) => return true,
            Some(answer) if answer.said() == Said::NotRun && answer.status == 409 => return false,
            // Only answers of the store get lost here, so that no change is known to be not stored.
            Some(answer) if answer.said() == Said::NotRun => panic!("{id} counts as not stored: {answer:?}"),
            _ => task::sleep(WATCH_PAUSE * 10).await,
        }
    }
    panic!("change {id} is never settled");
}

async fn entries_of(fleet: &Fleet, daemon: usize, id: &str) -> usize {
    let history = fleet.history(daemon).await.expect("a history");
    history
        .iter()
        .filter(|entry| entry.change_id.as_str() == id)
        .count()
}

/// Three operators edit the same section from the same view: one wins. Three edit different sections: all win. Each
/// accepted change stands in the history of every daemon exactly once.
#[async_std::test]
async fn same_and_different_sections() {
    let fleet = Fleet::start(3, 0, 0).await;
    let stop = AtomicBool::new(false);
    let race = async {
        for round in 0..ROUNDS {
            fleet.platform.set_faults(|faults| faults.lose_every = round);
            race_same(&fleet, round).await;
            race_different(&fleet, round).await;
        }
        stop.store(true, Ordering::SeqCst);
    };
    join(race, watch_revisions(&fleet, &stop)).await;
}

async fn race_same(fleet: &Fleet, round: u64) {
    fleet.wait_revision_everywhere().await;
    let view = fleet.view(0).await.expect("a document");
    let races = (0..3).map(|daemon| {
        let (id, body) = (
            format!("same-{round}-{daemon}"),
            format!("name = {round} {daemon}\n"),
        );
        let view = &view;
        async move {
            let won = settle(fleet, daemon, &id, view, "organisation parish", &body).await;
            (id, won)
        }
    });
    let results = join_all(races).await;
    assert_eq!(results.iter().filter(|(_, won)| *won).count(), 1, "{results:?}");
    check_history(fleet, &results).await;
}

async fn race_different(fleet: &Fleet, round: u64) {
    fleet.wait_revision_everywhere().await;
    let view = fleet.view(0).await.expect("a document");
    let races = (0..3).map(|daemon| {
        let (id, section) = (
            format!("own-{round}-{daemon}"),
            format!("organisation own-{daemon}"),
        );
        let (body, view) = (format!("name = {round}\n"), &view);
        async move {
            let won = settle(fleet, daemon, &id, view, &section, &body).await;
            (id, won)
        }
    });
    let results = join_all(races).await;
    assert!(results.iter().all(|(_, won)| *won), "{results:?}");
    check_history(fleet, &results).await;
}

async fn check_history(fleet: &Fleet, results: &[(String, bool)]) {
    fleet.wait_revision_everywhere().await;
    for daemon in 0..3 {
        for (id, won) in results {
            assert_eq!(
                entries_of(fleet, daemon, id).await,
                usize::from(*won),
                "{id} at {daemon}"
            );
        }
    }
}

/// The daemon that accepted a change is killed at once, and another daemon is frozen over it: the change is not lost, and
/// both show it, and nothing older, once they answer again.
#[async_std::test]
async fn killed_after_acceptance() {
    let mut fleet = Fleet::start(3, 0, 0).await;
    let before = fleet.view(0).await.expect("a document");
    fleet.daemons[2].signal("STOP");
    let answer = fleet
        .edit(
            0,
            "accepted",
            &before,
            "organisation parish",
            Some("name = new\n"),
        )
        .await;
    assert!(answer.as_ref().is_some_and(is_accepted), "{answer:?}");
    fleet.daemons[0].kill();
    wait_for("the change at the other daemon", || async {
        fleet
            .view(1)
            .await
            .is_some_and(|view| view.revision > before.revision)
    })
    .await;
    fleet.daemons[0].restart();
    fleet.daemons[2].signal("CONT");
    let stop = AtomicBool::new(false);
    let returned = async {
        // The first document that the new run shows must contain the change already.
        let shown = first_view(&fleet, 0).await;
        assert!(shown.revision > before.revision, "{:?}", shown.revision);
        fleet.wait_revision_everywhere().await;
        stop.store(true, Ordering::SeqCst);
    };
    join(returned, watch_revisions(&fleet, &stop)).await;
    for daemon in 0..3 {
        assert_eq!(entries_of(&fleet, daemon, "accepted").await, 1);
    }
    fleet.daemons[1].stop().await;
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.daemons[1].restart();
    let health = format!("http://127.0.0.1:{}/healthz", fleet.daemons[1].ports.entry_admin);
    wait_for("the new run", || async {
        call(Method::Get, &health, None, &[], b"").await.is_some()
    })
    .await;
    // A run that has not read the log has nothing to show, rather than an empty document.
    assert!(fleet.view(1).await.is_none());
    fleet.platform.set_faults(|faults| faults.down = false);
    let shown = first_view(&fleet, 1).await;
    assert!(shown.revision > before.revision, "{:?}", shown.revision);
}

async fn first_view(fleet: &Fleet, daemon: usize) -> ConfigView {
    let mut shown = None;
    for _ in 0..2_000 {
        shown = fleet.view(daemon).await;
        if shown.is_some() {
            break;
        }
        task::sleep(WATCH_PAUSE).await;
    }
    shown.expect("the daemon shows its document")
}

/// A majority is frozen: the change is stored, and nobody may claim that it is in force, also not for a repetition.
#[async_std::test]
async fn no_claim_without_majority() {
    let fleet = Fleet::start(3, 0, 0).await;
    let view = fleet.view(0).await.expect("a document");
    fleet.daemons[1].signal("STOP");
    fleet.daemons[2].signal("STOP");
    let edit = || {
        fleet.edit(
            0,
            "unconfirmed",
            &view,
            "organisation parish",
            Some("name = new\n"),
        )
    };
    let answer = edit().await.expect("an answer");
    assert_eq!(answer.status, 202, "{answer:?}");
    assert_eq!(answer.code().as_deref(), Some("JM5010"), "{answer:?}");
    fleet.daemons[1].signal("CONT");
    fleet.daemons[2].signal("CONT");
    fleet.wait_revision_everywhere().await;
    wait_for("the confirmation", || async {
        edit().await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(entries_of(&fleet, 0, "unconfirmed").await, 1);
}
