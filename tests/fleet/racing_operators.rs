//! Concurrent changes by operators at several daemons, with lost answers of the store and with killed and frozen
//! daemons. Guards against a change that is accepted twice or lost, a revision that decreases, and "in force" without
//! a majority.

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
    operator::Outcome,
};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ROUNDS: u64 = 4;

/// Polls the documents of all daemons until `stop` is set and checks that the revision of no daemon decreases.
async fn watch_revisions(fleet: &Fleet, stop: &AtomicBool) {
    let mut newest_revisions = [0; 3];
    while !stop.load(Ordering::SeqCst) {
        for (daemon, newest) in newest_revisions.iter_mut().enumerate() {
            let view = async_std::future::timeout(POLL_INTERVAL * 20, fleet.view(daemon)).await;
            let Ok(Some(view)) = view else { continue };
            let revision = view.revision.get();
            assert!(
                revision >= *newest,
                "daemon {daemon} went from revision {newest} to {revision}"
            );
            *newest = revision;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

fn is_accepted(answer: &Answer) -> bool {
    matches!(answer.status, 200 | 202)
}

/// Sends a change repeatedly with the same id until the answer shows whether it is stored. Returns whether it is.
async fn resend_until_resolved(
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
            Some(answer) if answer.outcome() == Outcome::NotRun && answer.status == 409 => return false,
            // The only fault is a lost answer of the store, so no change can be reported as not stored.
            Some(answer) if answer.outcome() == Outcome::NotRun => {
                panic!("{id} was reported as not stored: {answer:?}")
            }
            _ => task::sleep(POLL_INTERVAL * 10).await,
        }
    }
    panic!("the outcome of change {id} stays unknown");
}

async fn count_history_entries(fleet: &Fleet, daemon: usize, id: &str) -> usize {
    let history = fleet.history(daemon).await.expect("a history");
    history
        .iter()
        .filter(|entry| entry.change_id.as_str() == id)
        .count()
}

/// Guards against lost and duplicate changes. Of three operators who edit the same section of the same revision,
/// exactly one succeeds. Three who edit different sections all succeed. Each accepted change must be in the history of
/// every daemon exactly once.
#[async_std::test]
async fn same_and_different_sections() {
    let fleet = Fleet::start(3, 0, 0).await;
    let stop = AtomicBool::new(false);
    let rounds = async {
        for round in 0..ROUNDS {
            fleet.platform.set_faults(|faults| faults.lose_every = round);
            edit_same_section_concurrently(&fleet, round).await;
            edit_different_sections_concurrently(&fleet, round).await;
        }
        stop.store(true, Ordering::SeqCst);
    };
    join(rounds, watch_revisions(&fleet, &stop)).await;
}

async fn edit_same_section_concurrently(fleet: &Fleet, round: u64) {
    fleet.wait_for_revision_everywhere().await;
    let view = fleet.view(0).await.expect("a document");
    let edits = (0..3).map(|daemon| {
        let (id, body) = (
            format!("same-{round}-{daemon}"),
            format!("name = {round} {daemon}\n"),
        );
        let view = &view;
        async move {
            let accepted =
                resend_until_resolved(fleet, daemon, &id, view, "organisation parish", &body).await;
            (id, accepted)
        }
    });
    let results = join_all(edits).await;
    assert_eq!(
        results.iter().filter(|(_, accepted)| *accepted).count(),
        1,
        "{results:?}"
    );
    check_history(fleet, &results).await;
}

async fn edit_different_sections_concurrently(fleet: &Fleet, round: u64) {
    fleet.wait_for_revision_everywhere().await;
    let view = fleet.view(0).await.expect("a document");
    let edits = (0..3).map(|daemon| {
        let (id, section) = (
            format!("own-{round}-{daemon}"),
            format!("organisation own-{daemon}"),
        );
        let (body, view) = (format!("name = {round}\n"), &view);
        async move {
            let accepted = resend_until_resolved(fleet, daemon, &id, view, &section, &body).await;
            (id, accepted)
        }
    });
    let results = join_all(edits).await;
    assert!(results.iter().all(|(_, accepted)| *accepted), "{results:?}");
    check_history(fleet, &results).await;
}

async fn check_history(fleet: &Fleet, results: &[(String, bool)]) {
    fleet.wait_for_revision_everywhere().await;
    for daemon in 0..3 {
        for (id, accepted) in results {
            assert_eq!(
                count_history_entries(fleet, daemon, id).await,
                usize::from(*accepted),
                "{id} at {daemon}"
            );
        }
    }
}

/// Guards against an accepted change that is lost when the accepting daemon is killed immediately and another daemon is
/// frozen meanwhile. Once both answer again, they must show the change and no older revision.
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
        // The first document that the restarted daemon returns must contain the change.
        let shown = wait_for_document(&fleet, 0).await;
        assert!(shown.revision > before.revision, "{:?}", shown.revision);
        fleet.wait_for_revision_everywhere().await;
        stop.store(true, Ordering::SeqCst);
    };
    join(returned, watch_revisions(&fleet, &stop)).await;
    for daemon in 0..3 {
        assert_eq!(count_history_entries(&fleet, daemon, "accepted").await, 1);
    }
    fleet.daemons[1].stop().await;
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.daemons[1].restart();
    let health = format!("http://127.0.0.1:{}/healthz", fleet.daemons[1].ports.entry_admin);
    wait_for("the restarted daemon", || async {
        call(Method::Get, &health, None, &[], b"").await.is_some()
    })
    .await;
    // A daemon that has not read the change log yet must return no document instead of an empty one.
    assert!(fleet.view(1).await.is_none());
    fleet.platform.set_faults(|faults| faults.down = false);
    let shown = wait_for_document(&fleet, 1).await;
    assert!(shown.revision > before.revision, "{:?}", shown.revision);
}

async fn wait_for_document(fleet: &Fleet, daemon: usize) -> ConfigView {
    let mut shown = None;
    for _ in 0..2_000 {
        shown = fleet.view(daemon).await;
        if shown.is_some() {
            break;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    shown.expect("the daemon returns its document")
}

/// Guards against a change that is reported as in force while a majority is frozen. The change is stored, and a
/// repetition of it must not be reported as in force either.
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
    fleet.wait_for_revision_everywhere().await;
    wait_for("the confirmation", || async {
        edit().await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(count_history_entries(&fleet, 0, "unconfirmed").await, 1);
}
