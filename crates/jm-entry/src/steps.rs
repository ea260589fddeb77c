//! `/v1/steps`: training steps. One dispatch daemon assembles each step; see section 4.5 of `docs/design.md`.

use std::{pin::pin, sync::Arc};

use async_std::task;
use futures::future::{Either, join_all, select};
use jm_config::ServiceKind;
use jm_http::{BodySender, Method, Request, Response, StatusCode};
use jm_link::{PeerReply, PeerRequest, ReplyStream, StepOperation};
use jm_types::{DurationMs, MemberId, ResultCode, Sequence, ServiceId, StepId, Timestamp, WeightVersion};
use jm_uri::decoded_segment;
use serde::Deserialize;
use serde_json::json;

use crate::{
    Entry,
    access::{Caller, authenticate, find_service, protected_key},
    call::{AnswerHead, Failure},
    check_body_for_key,
    driven_body::driven_body,
    input::{body_bytes, json_response, parse_json},
    keyed_requests::KeyWatch,
    refusal::Refusal,
    services::set_headers,
};

/// Delay before all candidates are queried again.
const SEARCH_RETRY_DELAY_MS: DurationMs = DurationMs::new(200);

/// Timeout for a probe that checks whether a dispatch daemon holds a step, and for the first reply to an operation on
/// an existing step.
const PROBE_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

/// Timeout for the creation of a step. The dispatch daemon may copy state to another daemon before it replies.
const OPERATION_TIMEOUT_MS: DurationMs = DurationMs::new(10_000);

/// The fields of a step specification that the entry daemon checks. The dispatch daemon checks the others.
#[derive(Deserialize)]
struct StepSpecHead {
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
struct VersionAnnouncement {
    weight_version: WeightVersion,
    received: Sequence,
}

/// A call for one step of an organisation.
struct StepCall {
    entry: Arc<Entry>,
    caller: Caller,
    step: StepId,
    watch: Arc<KeyWatch>,
}

/// The replies of a daemon that holds the step.
struct HolderReply {
    first: Option<PeerReply>,
    replies: ReplyStream,
}

/// Handles `POST /v1/steps`.
pub(crate) async fn create(entry: &Arc<Entry>, mut request: Request) -> Result<Response, Refusal> {
    let node = &entry.node;
    let caller = authenticate(node, &request)?;
    let body = body_bytes(node, &mut request).await?;
    let head: StepSpecHead = parse_json(&body)?;
    find_service(node, &head.service, ServiceKind::Engine)?;
    check_bounds(entry, &caller, &head)?;
    let secret = protected_key(node, &request);
    check_body_for_key(&body, secret.as_ref().map(|secret| secret.expose()))?;
    let call = StepCall::new(entry, caller, head.step);
    call.create(body).await
}

fn check_bounds(entry: &Entry, caller: &Caller, head: &StepSpecHead) -> Result<(), Refusal> {
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

/// Handles the calls for an existing step. `path_after_prefix` is the part of the path after `/v1/steps/`.
pub(crate) async fn operate(
    entry: &Arc<Entry>,
    mut request: Request,
    path_after_prefix: &str,
) -> Result<Response, Refusal> {
    let (step, action) = path_after_prefix
        .split_once('/')
        .unwrap_or((path_after_prefix, ""));
    let method = request.method();
    let caller = authenticate(&entry.node, &request)?;
    let step = decoded_segment(step).and_then(|step| StepId::new(step).ok());
    let step = step.ok_or_else(|| Refusal::new(ResultCode::UnknownStep, "the path has no valid step id"))?;
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
            let announced: VersionAnnouncement = parse_json(&body)?;
            let operation = StepOperation::NameVersion {
                version: announced.weight_version,
                received: announced.received,
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
            watch: Arc::new(entry.keyed_requests.register(Some(&caller))),
            caller,
            step,
        }
    }

    async fn unless_aborted<T>(&self, work: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
        self.watch.unless_aborted(work).await?
    }

    /// Creates the step unless a daemon holds it already. All candidates are probed in parallel first, because a daemon
    /// that started later may precede the holder in the candidate order. If no daemon holds the step, the first
    /// candidate that answered creates it.
    async fn create(&self, spec: Vec<u8>) -> Result<Response, Refusal> {
        let holder = self.unless_aborted(self.find_or_select_holder()).await?;
        let operation = StepOperation::Create { spec: spec.into() };
        let created = async {
            let called = self.call(&holder, operation, OPERATION_TIMEOUT_MS).await;
            called.map_err(Failure::into_refusal)
        };
        let reply = self.unless_aborted(created).await?;
        self.confirmation(reply)
    }

    /// The daemon that holds the step, or else the daemon that should create it.
    async fn find_or_select_holder(&self) -> Result<MemberId, Refusal> {
        let deadline = self.search_deadline();
        loop {
            let candidates = self.candidates()?;
            let answers = self.probe(&candidates).await;
            let first = |matches: fn(&Result<HolderReply, Failure>) -> bool| {
                let mut pairs = candidates.iter().zip(&answers);
                pairs
                    .find(|(_, answer)| matches(answer))
                    .map(|(member, _)| member.clone())
            };
            if let Some(holder) = first(holds_step) {
                return Ok(holder);
            }
            // A daemon that does not answer, or that holds a copy, may still continue the step.
            let all_unknown = answers.iter().all(is_unknown_step);
            if all_unknown || self.entry.node.now() >= deadline {
                let message = "no dispatch daemon responds";
                let unreachable = || Refusal::new(ResultCode::DispatchUnreachable, message);
                return first(answered_as_non_owner).ok_or_else(unreachable);
            }
            task::sleep(SEARCH_RETRY_DELAY_MS.as_std()).await;
        }
    }

    /// Asks all candidates in parallel whether they hold the step.
    async fn probe(&self, candidates: &[MemberId]) -> Vec<Result<HolderReply, Failure>> {
        // An acknowledgement through sequence number 0 has no effect, and only the holder of the step accepts it.
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

    /// Sends an operation to one daemon and waits for its first reply. Fails when no reply arrives within `limit`.
    async fn call(
        &self,
        member: &MemberId,
        operation: StepOperation,
        limit: DurationMs,
    ) -> Result<HolderReply, Failure> {
        let mut replies = self.send(member, operation).await?;
        let first = replies.next_within(limit).await?;
        holder_reply(first, replies)
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
        let reply = self.unless_aborted(self.find_holder(operation)).await?;
        self.confirmation(reply)
    }

    /// Sends the operation to the candidates until one of them holds the step. The step is reported as unknown only
    /// after the search timeout, because the daemon with the copy takes over only after the failure of the owner is
    /// detected.
    async fn find_holder(&self, operation: StepOperation) -> Result<HolderReply, Refusal> {
        let deadline = self.search_deadline();
        loop {
            let refusal = match self.query_candidates(&operation).await? {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            if self.entry.node.now() >= deadline {
                return Err(refusal);
            }
            task::sleep(SEARCH_RETRY_DELAY_MS.as_std()).await;
        }
    }

    /// Sends the operation to the candidates in order. The outer error is final. The inner error means that no
    /// candidate holds the step at present, so the search continues.
    async fn query_candidates(
        &self,
        operation: &StepOperation,
    ) -> Result<Result<HolderReply, Refusal>, Refusal> {
        let mut not_found = Refusal::new(ResultCode::UnknownStep, "the step does not exist");
        for member in self.candidates()? {
            match self.call(&member, operation.clone(), PROBE_TIMEOUT_MS).await {
                Ok(reply) => return Ok(Ok(reply)),
                Err(failure) if is_not_owner(&failure) => {}
                Err(Failure::Refused(refusal)) => return Err(refusal),
                // This daemon may hold the step, so the step must not be reported as unknown.
                Err(failure) => not_found = failure.into_refusal(),
            }
        }
        Ok(Err(not_found))
    }

    fn confirmation(&self, reply: HolderReply) -> Result<Response, Refusal> {
        let content = match reply.first {
            Some(PeerReply::Message(bytes) | PeerReply::Chunk(bytes)) => serde_json::from_slice(&bytes).ok(),
            _ => None,
        };
        json_response(StatusCode::Ok, &content.unwrap_or(json!({ "step": self.step })))
    }

    async fn read(self, operation: StepOperation) -> Result<Response, Refusal> {
        let reply = self.unless_aborted(self.find_holder(operation)).await?;
        let open = self.entry.open_stream();
        let mut response = Response::new(StatusCode::Ok);
        let first = match reply.first {
            Some(PeerReply::Head { headers, .. }) => {
                let status = StatusCode::Ok.into();
                set_headers(&mut response, &AnswerHead { status, headers });
                None
            }
            first => first,
        };
        let replies = reply.replies;
        response.set_body(driven_body(|sender| async move {
            let _open = open;
            self.write_samples(first, replies, sender).await;
        }));
        response.insert_header("content-type", "application/x-ndjson");
        Ok(response)
    }

    async fn write_samples(self, first: Option<PeerReply>, replies: ReplyStream, sender: BodySender) {
        let relay = self.unless_aborted(relay_samples(first, replies, &sender));
        match self.until_stop(relay).await {
            Ok(true) => {
                // An error means that the trainer has disconnected, so there is nothing to report.
                let _ = sender.finish().await;
            }
            Ok(false) => {}
            // The body is dropped without its terminator. The trainer resumes after the last sample that it received.
            Err(refusal) => refusal.record(&self.entry.node, "steps"),
        }
    }

    /// Runs the relay, but ends the body at a planned stop. A step may last longer than a stop should take, and the
    /// trainer resumes reading at another address.
    async fn until_stop(&self, relay: impl Future<Output = Result<bool, Refusal>>) -> Result<bool, Refusal> {
        match select(pin!(relay), self.entry.node.stop.stop_started()).await {
            Either::Left((ended, _)) => ended,
            Either::Right(((), _)) => Ok(true),
        }
    }
}

/// Forwards samples to the trainer as they arrive. Returns `false` when the trainer has disconnected.
async fn relay_samples(
    first: Option<PeerReply>,
    mut replies: ReplyStream,
    sender: &BodySender,
) -> Result<bool, Refusal> {
    let mut reply = first;
    loop {
        match reply {
            Some(PeerReply::Chunk(bytes)) => {
                let lines = with_trailing_newline(bytes.into_vec());
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
        let ended = || Refusal::new(ResultCode::AnswerCut, "the call ended before its last reply");
        reply = Some(next.ok_or_else(ended)?);
    }
}

fn holder_reply(first: Option<PeerReply>, replies: ReplyStream) -> Result<HolderReply, Failure> {
    match first {
        Some(PeerReply::Refused { code, message }) => Err(Failure::refused(code, message)),
        Some(first) => Ok(HolderReply {
            first: Some(first),
            replies,
        }),
        None => Err(Failure::Link {
            written: true,
            reason: "the dispatch daemon ended the call without a reply".to_owned(),
        }),
    }
}

/// Whether a daemon answered a probe as the holder of the step.
fn holds_step(answer: &Result<HolderReply, Failure>) -> bool {
    match answer {
        Ok(_) => true,
        Err(Failure::Refused(refusal)) => refusal.code == ResultCode::BadAcknowledgement,
        Err(_) => false,
    }
}

/// Whether a daemon answered that it has neither the step nor a copy of it.
fn is_unknown_step(answer: &Result<HolderReply, Failure>) -> bool {
    matches!(answer, Err(Failure::Refused(refusal)) if refusal.code == ResultCode::UnknownStep)
}

fn answered_as_non_owner(answer: &Result<HolderReply, Failure>) -> bool {
    matches!(answer, Err(failure) if is_not_owner(failure))
}

/// Whether a daemon answered that it does not own the step at present.
fn is_not_owner(failure: &Failure) -> bool {
    let Failure::Refused(refusal) = failure else {
        return false;
    };
    matches!(refusal.code, ResultCode::UnknownStep | ResultCode::StepMoving)
}

fn with_trailing_newline(mut lines: Vec<u8>) -> Vec<u8> {
    if lines.last().is_some_and(|byte| *byte != b'\n') {
        lines.push(b'\n');
    }
    lines
}
