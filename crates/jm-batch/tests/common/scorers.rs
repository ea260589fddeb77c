//! A service that scores texts, with scripted answers.

use std::{sync::Mutex, time::Duration};

use async_std::task;
use async_trait::async_trait;
use jm_batch::{BatchSpec, RewardCall, RewardClient, RewardEnd};
use jm_forward::{Route, RouteKind, RoutingTable, Service, ServiceWeight, Target};
use jm_types::DurationMs;

use super::{engine, spec};

/// Answer to one attempt of a reward call: its outcome and the time it takes. `None` never answers.
pub(crate) type ScoringScript =
    Box<dyn Fn(&Target, &RewardCall) -> Option<(Duration, RewardEnd)> + Send + Sync>;

pub(crate) struct ScriptedScorers {
    script: ScoringScript,
    /// Target and id of each call, in the order of their arrival.
    pub(crate) calls: Mutex<Vec<(String, String)>>,
}

impl ScriptedScorers {
    pub(crate) fn new(script: ScoringScript) -> Self {
        Self {
            script,
            calls: Mutex::default(),
        }
    }

    pub(crate) fn call_count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

#[async_trait]
impl RewardClient for ScriptedScorers {
    async fn score(&self, target: &Target, call: &RewardCall, _time_left_ms: DurationMs) -> RewardEnd {
        let entry = (target.run.id.to_string(), call.id.clone());
        self.calls.lock().unwrap().push(entry);
        match (self.script)(target, call) {
            Some((time, end)) => {
                task::sleep(time).await;
                end
            }
            None => std::future::pending().await,
        }
    }
}

/// An immediate answer with the score `s`.
pub(crate) fn scored() -> Option<(Duration, RewardEnd)> {
    Some((Duration::ZERO, RewardEnd::Scored("s".parse().unwrap())))
}

/// A target of the scoring service.
pub(crate) fn scorer(id: &str, slots: usize) -> Target {
    Target {
        service: "desk".parse().unwrap(),
        models: Default::default(),
        ..engine(id, slots, 1)
    }
}

/// A batch of `count` items that have reward calls.
pub(crate) fn spec_with_rewards(id: &str, count: usize) -> BatchSpec {
    let mut spec = spec(id, &vec![4; count]);
    for (index, item) in spec.items.iter_mut().enumerate() {
        item.reward = Some(RewardCall {
            id: format!("{id}-reward-{index}"),
            host: "drafts.example".to_owned(),
            path: "/score/x".to_owned(),
            body: b"text".to_vec(),
        });
    }
    spec
}

/// Adds the route of the reward calls and its service. The route allows three attempts.
pub(crate) fn add_scoring_route(table: &mut RoutingTable) {
    table.add_service(Service {
        id: "desk".parse().unwrap(),
        engine: None,
        capacity: None,
        cold_start: None,
    });
    table.add_route(Route {
        name: "scores".to_owned(),
        host: "drafts.example".to_owned(),
        path_prefix: "/score/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: DurationMs::new(2_000),
        objective_ms: DurationMs::new(400),
        priority: 2,
        services: vec![ServiceWeight {
            service: "desk".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 3,
        is_public: true,
    });
}
