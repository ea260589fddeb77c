//! Routes, targets and a scripted target client for the forwarding tests.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::task;
use async_trait::async_trait;
use futures::{StreamExt, TryStreamExt};
use indexmap::IndexMap;
use jm_forward::{
    AnswerBody, AttemptOptions, AttemptOutcome, CallerLimits, CallerRequest, Catalog, ColdStart,
    ForwardObserver, Forwarder, ForwarderOptions, Organisation, RetryOptions, Route, RouteKind, RoutingTable,
    RunKey, SelectionOptions, Service, ServiceWeight, Target, TargetAnswer, TargetClient, TargetState,
};
use jm_http::{Body, Method, RequestTarget, Response, StatusCode, headers::Headers};
use jm_types::{ByteSize, DurationMs, OrganisationId, Rate, Revision, SystemClock};

pub(crate) fn target(id: &str) -> Target {
    Target {
        run: RunKey {
            id: id.parse().unwrap(),
            started_unix_ms: 1,
        },
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 6,
        state: TargetState::Serving,
        models: IndexMap::new(),
        software: None,
        cold_left_ms: DurationMs::new(0),
    }
}

pub(crate) fn route(kind: RouteKind) -> Route {
    Route {
        name: "lookup".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/orders/".to_owned(),
        kind,
        timeout_ms: DurationMs::new(600),
        objective_ms: DurationMs::new(60),
        priority: 1,
        services: vec![ServiceWeight {
            service: "desk".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    }
}

pub(crate) fn table(routes: impl IntoIterator<Item = Route>) -> RoutingTable {
    let limits = CallerLimits {
        head_bytes: ByteSize::new(8_000),
        body_bytes: ByteSize::new(1_000_000),
        head_timeout_ms: DurationMs::new(1_000),
        idle_timeout_ms: DurationMs::new(1_000),
    };
    let mut table = RoutingTable::new(Revision::new(1), limits);
    for route in routes {
        table.add_route(route);
    }
    table.add_service(Service {
        id: "desk".parse().unwrap(),
        engine: None,
        capacity: None,
        cold_start: None,
    });
    let parish = Organisation {
        id: "parish".parse().unwrap(),
        priority: None,
    };
    table.add_organisation(parish, ["key-1".to_owned()]);
    table
}

/// A table whose service tolerates a limited rate of requests for 3 s after the start of a target.
pub(crate) fn limited_table(requests_per_s: f64) -> RoutingTable {
    let mut table = table([]);
    table.add_service(Service {
        id: "desk".parse().unwrap(),
        engine: None,
        capacity: None,
        cold_start: Some(ColdStart {
            duration_ms: DurationMs::new(3_000),
            requests_per_s: Rate::new(requests_per_s),
        }),
    });
    table
}

pub(crate) fn request(path: &str, key: Option<&str>) -> CallerRequest {
    CallerRequest {
        id: "r1".to_owned(),
        host: "desk.example".to_owned(),
        method: Method::Post,
        target: RequestTarget::new(path),
        headers: empty_headers(),
        body: b"body".to_vec().into(),
        key: key.map(str::to_owned),
        timeout_ms: Some(DurationMs::new(500)),
        resumption: None,
    }
}

fn empty_headers() -> Headers {
    let response = Response::new(StatusCode::Ok);
    let headers: &Headers = response.as_ref();
    headers.clone()
}

/// How a scripted target responds to an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Does {
    Answer,
    AnswerAfter(u64),
    Reject,
    RejectAfter(u64),
    Lose,
    RefuseConnection,
    Hang,
    /// Answers with an event every few milliseconds, without end.
    StreamForEver,
}

/// Target client with scripted behaviour by target id. The first matching rule applies, and a target without a rule
/// responds at once.
pub(crate) struct ScriptedTargets {
    pub(crate) rules: Vec<(&'static str, Does)>,
    pub(crate) attempts: Mutex<Vec<(String, Option<OrganisationId>)>>,
}

#[async_trait]
impl TargetClient for ScriptedTargets {
    async fn send(
        &self,
        target: &Target,
        _request: &CallerRequest,
        options: &AttemptOptions,
    ) -> AttemptOutcome {
        let id = target.run.id.to_string();
        self.attempts
            .lock()
            .unwrap()
            .push((id.clone(), options.organisation.clone()));
        let rule = self
            .rules
            .iter()
            .find(|(name, _)| *name == id)
            .map_or(Does::Answer, |(_, does)| *does);
        let reason = "scripted".to_owned();
        match rule {
            Does::Answer => answer(),
            Does::AnswerAfter(ms) => {
                task::sleep(Duration::from_millis(ms)).await;
                answer()
            }
            Does::Reject => AttemptOutcome::NotRun { reason },
            Does::RejectAfter(ms) => {
                task::sleep(Duration::from_millis(ms)).await;
                AttemptOutcome::NotRun { reason }
            }
            Does::Lose => AttemptOutcome::Lost { reason },
            Does::RefuseConnection => AttemptOutcome::Unsent { reason },
            Does::Hang => std::future::pending().await,
            Does::StreamForEver => stream_for_ever(),
        }
    }
}

fn answer() -> AttemptOutcome {
    AttemptOutcome::Answered(TargetAnswer {
        status: StatusCode::Ok.into(),
        headers: empty_headers(),
        body: AnswerBody::Whole(b"answer".to_vec()),
    })
}

fn stream_for_ever() -> AttemptOutcome {
    let events = futures::stream::repeat(()).then(|()| async {
        task::sleep(Duration::from_millis(5)).await;
        Ok::<_, std::io::Error>(b"data: a\n\n".to_vec())
    });
    let reader = futures::io::BufReader::new(Box::pin(events).into_async_read());
    AttemptOutcome::Answered(TargetAnswer {
        status: StatusCode::Ok.into(),
        headers: empty_headers(),
        body: AnswerBody::Stream(Body::from_reader(reader, None)),
    })
}

#[derive(Default)]
pub(crate) struct Counted {
    pub(crate) began: Mutex<Vec<Option<OrganisationId>>>,
}

impl ForwardObserver for Counted {
    fn execution_started(&self, organisation: Option<&OrganisationId>) {
        self.began.lock().unwrap().push(organisation.cloned());
    }
    fn attempt_failed(&self, _: &CallerRequest, _: &Target, _: &AttemptOutcome, _: DurationMs) {}
    fn hedged(&self, _: &CallerRequest, _: &RunKey, _: DurationMs) {}
}

pub(crate) struct TestForwarder {
    pub(crate) forwarder: Forwarder,
    pub(crate) targets: Arc<ScriptedTargets>,
    pub(crate) counted: Arc<Counted>,
    pub(crate) catalog: Arc<Catalog>,
}

pub(crate) fn forwarder(ids: &[&str], rules: Vec<(&'static str, Does)>) -> TestForwarder {
    let targets = Arc::new(ScriptedTargets {
        rules,
        attempts: Mutex::default(),
    });
    let counted = Arc::new(Counted::default());
    let options = ForwarderOptions {
        zone: "a".parse().unwrap(),
        selection: SelectionOptions::default(),
        retry: RetryOptions::default(),
    };
    TestForwarder {
        forwarder: Forwarder::new(
            options,
            Arc::new(SystemClock),
            Arc::clone(&targets) as _,
            Arc::clone(&counted) as _,
        ),
        targets,
        counted,
        catalog: Arc::new(ids.iter().map(|id| target(id)).collect()),
    }
}
