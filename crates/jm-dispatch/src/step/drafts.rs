//! Runs one draft: sends a training request through the router and reads its segments from the engine's response.

use std::sync::Arc;

use jm_link::{ExecuteRequest, PeerReply, PeerRequest, ReplyStream, RequestHead, TrafficClass};
use jm_route::Class;
use jm_step::{Draft, Segment, StepSpec};
use jm_types::{AttemptId, DurationMs, LogEvent, MemberId, ResultCode, TargetId, TokenCount, WeightVersion};
use serde::Deserialize;

use super::owner::OwnedStep;
use crate::{
    call::{SharedDispatch, prefix_hashes},
    engine::Prompt,
};

/// Timeout for a draft; a slow draft is reissued long before it.
const DRAFT_TIMEOUT_MS: DurationMs = DurationMs::new(960_000);

/// Delay after a failed draft, so that a step without live engines does not retry in a busy loop.
const FAILURE_BACKOFF_MS: DurationMs = DurationMs::new(100);

#[derive(Deserialize)]
struct Piece {
    token: String,
    version: Option<WeightVersion>,
}

/// The output that a draft has received so far.
#[derive(Default)]
struct Received {
    target: Option<TargetId>,
    started: bool,
    text: String,
    tokens: u64,
    segments: Vec<Segment>,
}

impl Received {
    fn add(&mut self, piece: &Piece) {
        self.text.push_str(&piece.token);
        self.tokens += 1;
        match self.segments.last_mut() {
            Some(last) if last.version == piece.version => last.tokens = last.tokens.next(),
            _ => self.segments.push(Segment {
                version: piece.version,
                tokens: TokenCount::new(1),
            }),
        }
    }
}

/// Runs one draft and reports the result to the step.
pub(crate) async fn run_draft(dispatch: SharedDispatch, step: Arc<OwnedStep>, draft: Draft) {
    let attempt = draft.attempt;
    let result = generate(&dispatch, &step, &draft).await;
    let failed = result.is_err();
    let effects = match result {
        Ok(received) => {
            let now = dispatch.node.now();
            step.assembly()
                .on_finished(attempt, received.segments, received.text, now)
        }
        Err(reason) => {
            LogEvent::RequestFailed.write(format_args!(
                "draft {attempt} of step {}: {reason}",
                step.key.step
            ));
            step.assembly().on_failed(attempt)
        }
    };
    if failed {
        async_std::task::sleep(FAILURE_BACKOFF_MS.as_std()).await;
    }
    step.remove_draft(attempt);
    step.apply_effects(&dispatch, effects);
    step.notify();
}

async fn generate(
    dispatch: &SharedDispatch,
    step: &Arc<OwnedStep>,
    draft: &Draft,
) -> Result<Received, String> {
    let request = {
        let assembly = step.assembly();
        build_request(dispatch, step, assembly.spec(), draft)
    };
    let (mut replies, first) = send(dispatch, request).await?;
    let mut received = Received::default();
    let mut reply = first;
    loop {
        match reply {
            Some(PeerReply::Head { headers, .. }) => {
                let target = headers.into_iter().find(|line| line.name == "jm-target");
                received.target = target.and_then(|line| line.value.parse().ok());
            }
            Some(PeerReply::Chunk(bytes)) => add_piece(dispatch, step, draft.attempt, &mut received, &bytes)?,
            Some(PeerReply::Done) => return Ok(received),
            Some(PeerReply::Refused { code, message }) => return Err(format!("{code}: {message}")),
            Some(_) => return Err("unexpected reply from the dispatch daemon".to_owned()),
            None => return Err("the reply stream ended before the final reply".to_owned()),
        }
        reply = replies.next().await.map_err(|error| error.to_string())?;
    }
}

fn add_piece(
    dispatch: &SharedDispatch,
    step: &Arc<OwnedStep>,
    attempt: AttemptId,
    received: &mut Received,
    bytes: &[u8],
) -> Result<(), String> {
    let piece: Piece = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    received.add(&piece);
    if !received.started {
        received.started = true;
        let target = received
            .target
            .clone()
            .ok_or("the response does not name its target")?;
        let effects = step
            .assembly()
            .on_started(attempt, target, piece.version, dispatch.node.now());
        step.apply_effects(dispatch, effects);
    }
    step.assembly()
        .on_progress(attempt, TokenCount::new(received.tokens));
    Ok(())
}

/// Sends a draft to one dispatch daemon after another until one has a target for it, and returns the first reply. A
/// daemon without a new enough engine refuses immediately, and its short queue would otherwise attract every further
/// draft.
async fn send(
    dispatch: &SharedDispatch,
    request: ExecuteRequest,
) -> Result<(ReplyStream, Option<PeerReply>), String> {
    let prompt = Prompt::parse(&request.body).map_err(|failure| failure.to_string())?;
    let prefix = prefix_hashes(prompt.prompt.as_bytes()).last().copied();
    let node = &dispatch.node;
    let mut avoid: Vec<MemberId> = Vec::new();
    loop {
        let member = node.choose_dispatcher(&request.service, Class::Training, prefix, &avoid);
        let member = member.ok_or_else(|| format!("no live target serves {}", request.service))?;
        let called = node
            .call_member(&member, PeerRequest::Execute(Box::new(request.clone())))
            .await;
        let mut replies = called.map_err(|error| error.to_string())?;
        match replies.next().await.map_err(|error| error.to_string())? {
            Some(PeerReply::Refused {
                code: ResultCode::NoTarget,
                ..
            }) => avoid.push(member),
            first => return Ok((replies, first)),
        }
    }
}

fn build_request(
    dispatch: &SharedDispatch,
    step: &OwnedStep,
    spec: &StepSpec,
    draft: &Draft,
) -> ExecuteRequest {
    let prompt = Prompt {
        prompt: spec.prompts[draft.prompt].clone(),
        max_tokens: spec.max_tokens.get(),
    };
    let body = serde_json::to_vec(&prompt).expect("a prompt has only text and numbers");
    ExecuteRequest {
        request: format!(
            "{}-{}-{}",
            dispatch.node.peers.own_id(),
            dispatch.node.incarnation,
            draft.attempt
        ),
        organisation: Some(step.key.organisation.clone()),
        key: None,
        service: spec.service.clone(),
        class: TrafficClass::Training,
        deadline_ms: DRAFT_TIMEOUT_MS,
        repeatable: true,
        ticket: None,
        avoid: draft.avoid.iter().cloned().collect(),
        resume_tokens: 0,
        minimum_version: Some(draft.minimum_version),
        head: RequestHead {
            method: "POST".to_owned(),
            path: "/v1/generate".to_owned(),
            headers: Vec::new(),
        },
        body: body.into(),
    }
}
