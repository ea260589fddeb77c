//! `/v1/steps`: training steps, which one dispatch daemon assembles; section 4.5 of `docs/design.md`.

use std::{pin::pin, sync::Arc};

use async_std::task;
use futures::future::{Either, join_all, select};
use jm_config::ServiceKind;
use jm_http::{BodySender, Method, Request, Response, StatusCode};
use jm_link::{PeerReply, PeerRequest, ReplyStream, StepOperation};
use jm_types::{DurationMs, MemberId, ResultCode, Sequence, ServiceId, StepId, Timestamp, WeightVersion};
use serde::Deserialize;
use serde_json::json;

use crate::{
    Entry,
    access::{Caller, authenticate, find_service, protected_key},
    call::{AnswerHead, Failure},
    check_body_for_key,
    driven_body::driven_body,
    input::{body_bytes, json_response, parse_json},
    open_streams::StreamWatch,
    refusal::Refusal,
    services::set_headers,
};

/// Pause before all candidates are asked again.
const SEARCH_INTERVAL_MS: DurationMs = DurationMs::new(200);

/// Time within which a dispatch daemon answers whether it holds a step, and begins to answer a read.
const PROBE_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

/// Time within which a dispatch daemon carries out an operation; it may copy state to another daemon first.
const OPERATION_TIMEOUT_MS: DurationMs = DurationMs::new(10_000);

/// The parts of a specification that the entry daemon checks; the rest is for the dispatch daemon.
#[derive(Deserialize)]
struct StepHead {
    step: StepId,
    service: ServiceId,
    staleness_bound: u64,
    group_size: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Acknowledgement {
    through: Sequence,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedVersion {
    weight_version: WeightVersion,
    received: Sequence,
}

/// A step of one organisation.
struct StepCall {
    entry: Arc<Entry>,
    caller: Caller,
    step: StepId,
    watch: Arc<StreamWatch>,
}

/// The first reply of a daemon that holds the step.
struct Held {
    first: Option<PeerReply>,
    replies: ReplyStream,
}

/// Answers `POST /v1/steps`.
pub(crate) async fn create(entry: &Arc<Entry>, mut request: Request) -> Result<Response, Refusal> {
    let node = &entry.node;
    let caller = authenticate(node, &request)?;
    let body = body_bytes(node, &mut request).await?;
    let head: StepHead = parse_json(&body)?;
    find_service(node, &head.service, ServiceKind::Engine)?;
    check_bounds(entry, &caller, &head)?;
    let secret = protected_key(node, &request);
    check_body_for_key(&body, secret.as_ref().map(|secret| secret.expose()))?;
    let call = StepCall::new(entry, caller, head.step);
    call.create(body).await
}

fn check_bounds(entry: &Entry, caller: &Caller, head: &StepHead) -> Result<(), Refusal> {
    let config = entry.node.config.active();
    let Some(training) = config.training(&caller.organisation, &head.service) else {
        let message = "the organisation may not train with the service";
        return Err(Refusal::new(ResultCode::RouteNotAllowed, message));
    };
    let bounds = [
        ("staleness_bound", head.staleness_bound, training.max_staleness),
        ("group_size", head.group_size, training.max_group_size),
    ];
    match bounds.into_iter().find(|(_, value, max)| value > max) {
        Some((name, _, max)) => {
            let message = format!("{name} may be at most {max}");
            Err(Refusal::new(ResultCode::OutOfRange, message))
        }
        None => Ok(()),
    }
}

/// Answers the calls of one step; `rest` is the path after `/v1/steps/`.
pub(crate) async fn operate(
    entry: &Arc<Entry>,
    mut request: Request,
    rest: &str,
) -> Result<Response, Refusal> {
    let (step, action) = rest.split_once('/').unwrap_or((rest, ""));
    let method = request.method();
    let caller = authenticate(&entry.node, &request)?;
    let step = StepId::new(step).map_err(|_| Refusal::new(ResultCode::UnknownStep, "not a step id"))?;
    let call = StepCall::new(entry, caller, step);
    match (action, method) {
        ("samples", Method::Get) => call.read(read_operation(&request)?).await,
        ("ack", Method::Post) => {
            let body = body_bytes(&entry.node, &mut request).await?;
            let Acknowledgement { through } = parse_json(&body)?;
            call.change(StepOperation::Acknowledge { through }).await
        }
        ("version", Method::Post) => {
            let body = body_bytes(&entry.node, &mut request).await?;
            let named: NamedVersion = parse_json(&body)?;
            let operation = StepOperation::NameVersion {
                version: named.weight_version,
                received: named.received,
            };
            call.change(operation).await
        }
        ("", Method::Delete) => call.change(StepOperation::Delete).await,
        ("" | "samples" | "ack" | "version", _) => Err(Refusal::method_not_allowed()),
        _ => Err(Refusal::unknown_endpoint()),
    }
}

fn read_operation(request: &Request) -> Result<StepOperation, Refusal> {
    let malformed = |message: &str| Refusal::new(ResultCode::MalformedRequest, message);
    let mut after = Sequence::default();
    let mut term = None;
    let mut version = None;
    for (name, value) in request.url().query_pairs() {
        match &*name {
            "after" => after = value.parse().map_err(|_| malformed("after must be a number"))?,
            "term" => term = Some(value.into_owned()),
            "version" => {
                let parsed = value.parse().map_err(|_| malformed("version must be a number"))?;
                version = Some(parsed);
            }
            _ => return Err(malformed("the query may have after, term and version")),
        }
    }
    Ok(StepOperation::Read { after, term, version })
}

impl StepCall {
    fn new(entry: &Arc<Entry>, caller: Caller, step: StepId) -> Self {
        Self {
            entry: Arc::clone(entry),
            watch: Arc::new(entry.streams.watch(Some(&caller))),
            caller,
            step,
        }
    }

    async fn cuttable<T>(&self, work: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
        self.watch.unless_cut(work).await?
    }

    /// Asks every candidate for the step first, because a daemon that came up later may precede the one that holds it.
    /// All are asked at the same time. Only when nobody holds the step, the first that answered creates it.
    async fn create(&self, spec: Vec<u8>) -> Result<Response, Refusal> {
        let holder = self.cuttable(self.find_or_choose()).await?;
        let operation = StepOperation::Create { spec: spec.into() };
        let created = async {
            let called = self.call(&holder, operation, OPERATION_TIMEOUT_MS).await;
            called.map_err(Failure::into_refusal)
        };
        let held = self.cuttable(created).await?;
        self.confirmation(held)
    }

    /// The daemon that holds the step, or the one that is to create it.
    async fn find_or_choose(&self) -> Result<MemberId, Refusal> {
        let deadline = self.search_deadline();
        loop {
            let candidates = self.candidates()?;
            let answers = self.probe(&candidates).await;
            let first = |wanted: fn(&Result<Held, Failure>) -> bool| {
                let mut pairs = candidates.iter().zip(&answers);
                pairs
                    .find(|(_, answer)| wanted(answer))
                    .map(|(member, _)| member.clone())
            };
            if let Some(holder) = first(is_held) {
                return Ok(holder);
            }
            // A daemon that does not answer, or that holds a copy, may go on with the step.
            let settled = answers.iter().all(is_unknown_answer);
            if settled || self.entry.node.now() >= deadline {
                let message = "no dispatch daemon answers";
                let unreachable = || Refusal::new(ResultCode::DispatchUnreachable, message);
                return first(is_without_step).ok_or_else(unreachable);
            }
            task::sleep(SEARCH_INTERVAL_MS.as_std()).await;
        }
    }

    /// Asks all candidates at the same time whether they hold the step.
    async fn probe(&self, candidates: &[MemberId]) -> Vec<Result<Held, Failure>> {
        // Acknowledging nothing changes nothing, and only the holder of the step accepts it.
        let probe = StepOperation::Acknowledge {
            through: Sequence::default(),
        };
        let probes = candidates
            .iter()
            .map(|member| self.call(member, probe.clone(), PROBE_TIMEOUT_MS));
        join_all(probes).await
    }

    fn search_deadline(&self) -> Timestamp {
        self.entry
            .node
            .now()
            .after(self.entry.options.step_search_timeout_ms)
    }

    fn candidates(&self) -> Result<Vec<MemberId>, Refusal> {
        let candidates = self.entry.node.step_candidates(&self.step);
        match candidates.is_empty() {
            true => Err(Refusal::new(ResultCode::NoTarget, "no dispatch daemon is live")),
            false => Ok(candidates),
        }
    }

    /// Sends an operation to one daemon and waits for its first reply; a late one counts as a failure.
    async fn call(
        &self,
        member: &MemberId,
        operation: StepOperation,
        limit: DurationMs,
    ) -> Result<Held, Failure> {
        let mut replies = self.send(member, operation).await?;
        let first = replies.next_within(limit).await?;
        held(first, replies)
    }

    async fn send(&self, member: &MemberId, operation: StepOperation) -> Result<ReplyStream, Failure> {
        let request = PeerRequest::Step {
            organisation: self.caller.organisation.clone(),
            step: self.step.clone(),
            operation,
        };
        Ok(self.entry.node.call_member(member, request).await?)
    }

    async fn change(&self, operation: StepOperation) -> Result<Response, Refusal> {
        let held = self.cuttable(self.first_holder(operation)).await?;
        self.confirmation(held)
    }

    /// Asks for the step until a daemon holds it. Only after the search limit is the step unknown, because a dead owner
    /// is not noticed at once and its copy holder takes over only then.
    async fn first_holder(&self, operation: StepOperation) -> Result<Held, Refusal> {
        let deadline = self.search_deadline();
        loop {
            let outcome = match self.ask_candidates(&operation).await? {
                Ok(held) => return Ok(held),
                Err(outcome) => outcome,
            };
            if self.entry.node.now() >= deadline {
                return Err(outcome);
            }
            task::sleep(SEARCH_INTERVAL_MS.as_std()).await;
        }
    }

    /// Asks the candidates in their order. The outer error is final; the inner one says that no daemon holds the step
    /// now.
    async fn ask_candidates(&self, operation: &StepOperation) -> Result<Result<Held, Refusal>, Refusal> {
        let mut outcome = Refusal::new(ResultCode::UnknownStep, "the step does not exist");
        for member in self.candidates()? {
            match self.call(&member, operation.clone(), PROBE_TIMEOUT_MS).await {
                Ok(held) => return Ok(Ok(held)),
                Err(failure) if is_without(&failure) => {}
                Err(Failure::Refused(refusal)) => return Err(refusal),
                // The step may be there, so the trainer must not take it for lost.
                Err(failure) => outcome = failure.into_refusal(),
            }
        }
        Ok(Err(outcome))
    }

    fn confirmation(&self, held: Held) -> Result<Response, Refusal> {
        let content = match held.first {
            Some(PeerReply::Message(bytes) | PeerReply::Chunk(bytes)) => serde_json::from_slice(&bytes).ok(),
            _ => None,
        };
        json_response(StatusCode::Ok, &content.unwrap_or(json!({ "step": self.step })))
    }

    async fn read(self, operation: StepOperation) -> Result<Response, Refusal> {
        let held = self.cuttable(self.first_holder(operation)).await?;
        let open = self.entry.open_stream();
        let mut response = Response::new(StatusCode::Ok);
        let first = match held.first {
            Some(PeerReply::Head { headers, .. }) => {
                let status = StatusCode::Ok.into();
                set_headers(&mut response, &AnswerHead { status, headers });
                None
            }
            first => first,
        };
        let replies = held.replies;
        response.set_body(driven_body(|sender| async move {
            let _open = open;
            self.write_samples(first, replies, sender).await;
        }));
        response.insert_header("content-type", "application/x-ndjson");
        Ok(response)
    }

    async fn write_samples(self, first: Option<PeerReply>, replies: ReplyStream, sender: BodySender) {
        let relay = self.cuttable(relay_samples(first, replies, &sender));
        match self.until_stopped(relay).await {
            Ok(true) => {
                // An error means that the trainer has gone, which needs no answer.
                let _ = sender.finish().await;
            }
            Ok(false) => {}
            // Without its end the body is cut; the trainer reads on after the last sample that it holds.
            Err(refusal) => refusal.record(&self.entry.node, "steps"),
        }
    }

    /// The result of a relay, or the end of the body at a planned stop: a step lasts longer than a stop should, and the
    /// trainer reads on at another address.
    async fn until_stopped(
        &self,
        relay: impl Future<Output = Result<bool, Refusal>>,
    ) -> Result<bool, Refusal> {
        match select(pin!(relay), self.entry.node.stop.stopped()).await {
            Either::Left((ended, _)) => ended,
            Either::Right(((), _)) => Ok(true),
        }
    }
}

/// Passes samples on as they come; false when the trainer has gone.
async fn relay_samples(
    first: Option<PeerReply>,
    mut replies: ReplyStream,
    sender: &BodySender,
) -> Result<bool, Refusal> {
    let mut reply = first;
    loop {
        match reply {
            Some(PeerReply::Chunk(bytes)) => {
                let lines = whole_lines(bytes.into_vec());
                if sender.send(lines).await.is_err() {
                    return Ok(false);
                }
            }
            Some(PeerReply::Done) => return Ok(true),
            Some(PeerReply::Refused { code, message }) => return Err(Refusal::new(code, message)),
            _ => {}
        }
        let next = replies.next().await;
        let next = next.map_err(|error| Failure::from(error).into_refusal())?;
        let ended = || Refusal::new(ResultCode::AnswerCut, "the call ended without its last reply");
        reply = Some(next.ok_or_else(ended)?);
    }
}

fn held(first: Option<PeerReply>, replies: ReplyStream) -> Result<Held, Failure> {
    match first {
        Some(PeerReply::Refused { code, message }) => Err(Failure::refused(code, message)),
        Some(first) => Ok(Held {
            first: Some(first),
            replies,
        }),
        None => Err(Failure::Link {
            written: true,
            reason: "the dispatch daemon ended the call without a reply".to_owned(),
        }),
    }
}

/// Whether a daemon holds the step that it was probed for.
fn is_held(answer: &Result<Held, Failure>) -> bool {
    match answer {
        Ok(_) => true,
        Err(Failure::Refused(refusal)) => refusal.code == ResultCode::BadAcknowledgement,
        Err(_) => false,
    }
}

/// Whether a daemon answered that it knows nothing of the step.
fn is_unknown_answer(answer: &Result<Held, Failure>) -> bool {
    matches!(answer, Err(Failure::Refused(refusal)) if refusal.code == ResultCode::UnknownStep)
}

fn is_without_step(answer: &Result<Held, Failure>) -> bool {
    matches!(answer, Err(failure) if is_without(failure))
}

/// Whether a daemon answered that it does not own the step now.
fn is_without(failure: &Failure) -> bool {
    let Failure::Refused(refusal) = failure else {
        return false;
    };
    matches!(refusal.code, ResultCode::UnknownStep | ResultCode::StepMoving)
}

fn whole_lines(mut lines: Vec<u8>) -> Vec<u8> {
    if lines.last().is_some_and(|byte| *byte != b'\n') {
        lines.push(b'\n');
    }
    lines
}
