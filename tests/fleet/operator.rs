//! Calls of the admin API of any daemon, and the outcome of a request according to its answer.

use std::time::Duration;

use async_std::task;
use jacinthmoor::demo::ADMIN_TOKEN;
use jm_config::{ConfigView, HistoryEntry};
use jm_http::Method;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::harness::{Answer, Fleet, call, wait_for};

/// Consecutive successful rounds after which the owners of the targets count as stable.
const STABLE_ANSWERS: usize = 15;
const STABLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The execution of a request according to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The answer comes from the target, or the change is stored.
    Ran,
    NotRun,
    Unknown,
}

impl Answer {
    /// Returns the outcome according to the status and the error body. A cut body means `Unknown`.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.body.is_ok() && self.status == 200 {
            return Outcome::Ran;
        }
        let json: Option<serde_json::Value> = self
            .body
            .as_ref()
            .ok()
            .and_then(|body| serde_json::from_str(body).ok());
        match json.as_ref().and_then(|json| json["execution"].as_str()) {
            Some("not run") => Outcome::NotRun,
            Some("ran") => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }
}

impl Fleet {
    /// Fetches the document from one daemon. Returns `None` when the daemon does not answer or has not read the
    /// document.
    pub(crate) async fn view(&self, daemon: usize) -> Option<ConfigView> {
        self.admin_get(daemon, "/admin/v1/config").await
    }

    /// Fetches the history of accepted changes from one daemon.
    pub(crate) async fn history(&self, daemon: usize) -> Option<Vec<HistoryEntry>> {
        self.admin_get(daemon, "/admin/v1/config/history").await
    }

    async fn admin_get<T: DeserializeOwned>(&self, daemon: usize, path: &str) -> Option<T> {
        let url = self.admin_url(daemon, path);
        let answer = call(Method::Get, &url, Some(ADMIN_TOKEN), &[], b"").await?;
        serde_json::from_str(answer.body.as_ref().ok()?).ok()
    }

    fn admin_url(&self, daemon: usize, path: &str) -> String {
        format!(
            "http://127.0.0.1:{}{path}",
            self.daemons[daemon].ports.entry_admin
        )
    }

    /// Sends an edit of one section that is based on `view`.
    pub(crate) async fn edit(
        &self,
        daemon: usize,
        id: &str,
        view: &ConfigView,
        section: &str,
        body: Option<&str>,
    ) -> Option<Answer> {
        let found = view
            .sections
            .iter()
            .find(|found| found.name.to_string() == section);
        let expected = found.map(|found| found.revision);
        let change = json!({
            "change_id": id,
            "author": {"actor": "test", "team": null},
            "base": view.revision,
            "edits": [{"section": section, "expected": expected, "body": body}],
        });
        let url = self.admin_url(daemon, "/admin/v1/config");
        call(
            Method::Post,
            &url,
            Some(ADMIN_TOKEN),
            &[],
            change.to_string().as_bytes(),
        )
        .await
    }

    /// Changes one section through a daemon and checks that the change is in force.
    pub(crate) async fn set_section(&self, daemon: usize, id: &str, section: &str, body: Option<&str>) {
        let view = self.view(daemon).await.expect("a document");
        let answer = self.edit(daemon, id, &view, section, body).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Replaces one setting of a section and keeps the others.
    pub(crate) async fn set_value(&self, daemon: usize, section: &str, name: &str, value: &str) {
        let view = self.view(daemon).await.expect("a document");
        let found = view
            .sections
            .iter()
            .find(|found| found.name.to_string() == section);
        let body = found.expect("the section exists").body.to_string();
        let others = body
            .lines()
            .filter(|line| !line.starts_with(&format!("{name} = ")));
        let mut body = others.map(|line| format!("{line}\n")).collect::<String>();
        body += &format!("{name} = {value}\n");
        let id = format!("set-{}-{name}", section.replace(' ', "-"));
        self.set_section(daemon, &id, section, Some(&body)).await;
    }

    /// Waits until every daemon lists every other daemon, so that a fault is not injected while the fleet forms.
    pub(crate) async fn wait_for_members(&self) {
        for daemon in 0..self.daemons.len() {
            let url = self.caller_url(daemon, "/v1/addresses");
            wait_for("the members", || async {
                let answer = call(Method::Get, &url, None, &[], b"").await;
                let body = answer.and_then(|answer| answer.body.ok()).unwrap_or_default();
                let json: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
                let known = json["addresses"].as_array().map_or(0, Vec::len);
                known == self.daemons.len()
            })
            .await;
        }
    }

    /// Waits until the owners of the targets are stable as well. Owners change while the fleet forms, and a daemon that
    /// has just lost its targets refuses single requests as not run.
    pub(crate) async fn wait_for_stable_owners(&self) {
        self.wait_for_members().await;
        wait_for("stable owners", || async {
            for round in 0..STABLE_ANSWERS {
                if !self.serves(round % self.daemons.len()).await {
                    return false;
                }
                task::sleep(STABLE_CHECK_INTERVAL).await;
            }
            true
        })
        .await;
    }

    /// Returns whether one daemon runs a completion and an order, neither of which the test repeats at another daemon.
    async fn serves(&self, daemon: usize) -> bool {
        let ran = |answer: Option<Answer>| answer.is_some_and(|answer| answer.outcome() == Outcome::Ran);
        (self.engines.is_empty() || ran(self.complete(daemon, 1).await))
            && (self.desks.is_empty() || ran(self.order(daemon, "settling", &[]).await))
    }

    /// Waits until every daemon has at least the current revision of the first daemon.
    pub(crate) async fn wait_for_revision_everywhere(&self) {
        let newest = self.view(0).await.expect("a document").revision;
        for daemon in 0..self.daemons.len() {
            wait_for("the newest revision", || async move {
                self.view(daemon)
                    .await
                    .is_some_and(|view| view.revision >= newest)
            })
            .await;
        }
    }
}

/// Returns the index of the daemon that issued a ticket. Its name is the second field of the ticket.
pub(crate) fn issuer_of(ticket: &str) -> usize {
    let member = ticket.split('/').nth(1).expect("a member");
    let number = member.strip_prefix("host-").expect("a daemon id of the harness");
    number.parse().expect("an index")
}
