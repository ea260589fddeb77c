//! `POST /v1/completions`: text generation on engines. Tokens are streamed to the caller. A broken stream is resumed on
//! another engine.

use std::{collections::VecDeque, sync::Arc};

use futures::FutureExt;
use jm_config::ServiceKind;
use jm_http::{BodySender, Method, Request, Response, StatusCode};
use jm_link::{HeaderLine, RequestHead};
use jm_route::stable_hash;
use jm_types::{ResultCode, ServiceId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{
    Entry,
    access::{admit, find_service, protected_key},
    burn::LiveRequest,
    call::{Call, Failure, Part},
    check_body_for_key,
    driven_body::driven_body,
    execution::Execution,
    input::{body_bytes, parse_json},
    refusal::Refusal,
    services::{RequestParts, execute_request},
};

/// The path that routes of engine services are matched against.
const ROUTE_PATH: &str = "/v1/completions";

/// The path of the engine's endpoint.
const ENGINE_PATH: &str = "/v1/generate";

/// Number of leading bytes of a prompt that select the dispatch daemon. Prompts with a common prefix go to the same
/// dispatch daemon, which tracks the engine that has the prefix cached.
const PREFIX_BYTES: usize = 256;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompletionRequest {
    service: ServiceId,
    prompt: String,
    max_tokens: u64,
}

#[derive(Serialize)]
struct EngineRequest<'a> {
    prompt: &'a str,
    max_tokens: u64,
}

/// One line of an engine's answer. The line with its token is forwarded unchanged.
#[derive(Deserialize)]
struct EngineLine {
    version: Option<WeightVersion>,
}

/// A run of consecutive tokens that were generated with one weight version.
#[derive(Serialize)]
struct Segment {
    version: Option<WeightVersion>,
    tokens: u64,
}

/// The last line of a complete answer.
#[derive(Serialize)]
struct Summary<'a> {
    done: bool,
    segments: &'a [Segment],
    tokens: u64,
}

/// Handles `POST /v1/completions`.
pub(crate) async fn complete(entry: &Arc<Entry>, mut request: Request) -> Result<Response, Refusal> {
    let node = &entry.node;
    let body = body_bytes(node, &mut request).await?;
    let completion: CompletionRequest = parse_json(&body)?;
    if completion.max_tokens == 0 {
        return Err(Refusal::new(
            ResultCode::OutOfRange,
            "max_tokens must be at least 1",
        ));
    }
    let service = find_service(node, &completion.service, ServiceKind::Engine)?;
    let admission = admit(node, &request, service, ROUTE_PATH)?;
    let secret = protected_key(node, &request);
    check_body_for_key(&body, secret.as_ref().map(|secret| secret.expose()))?;
    node.router.count_request();
    let live = LiveRequest::new(entry, &admission);
    let parts = RequestParts {
        head: engine_head(),
        body: engine_body(&completion)?,
        repeatable: true,
    };
    let mut execution = Execution::new(entry, &admission, execute_request(entry, &admission, parts));
    execution.prefix_hash = prefix_hash(&completion.prompt);
    let mut generation = Generation::new(execution, completion.max_tokens);
    let first = generation
        .next()
        .await
        .inspect_err(|refusal| live.record_failure(refusal))?;
    Ok(stream_response(entry, generation, first, live))
}

fn engine_head() -> RequestHead {
    let content_type = HeaderLine {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    };
    RequestHead {
        method: Method::Post.to_string(),
        path: ENGINE_PATH.to_owned(),
        headers: vec![content_type],
    }
}

fn engine_body(completion: &CompletionRequest) -> Result<Vec<u8>, Refusal> {
    let content = EngineRequest {
        prompt: &completion.prompt,
        max_tokens: completion.max_tokens,
    };
    serde_json::to_vec(&content).map_err(|error| Refusal::new(ResultCode::Internal, error.to_string()))
}

fn prefix_hash(prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    Some(stable_hash(prefix))
}

fn stream_response(
    entry: &Arc<Entry>,
    generation: Generation,
    first: GenerationEvent,
    live: LiveRequest,
) -> Response {
    let open = entry.open_stream();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(driven_body(|sender| async move {
        let _open = open;
        write_stream(generation, first, live, sender).await;
    }));
    response.insert_header("content-type", "application/x-ndjson");
    response
}

async fn write_stream(
    mut generation: Generation,
    first: GenerationEvent,
    live: LiveRequest,
    sender: BodySender,
) {
    let watch = generation.execution.watch();
    let mut event = Ok(first);
    loop {
        match event {
            Ok(GenerationEvent::TokenLine(line)) => match watch.unless_aborted(sender.send(line)).await {
                Ok(Ok(())) => event = generation.next().await,
                Ok(Err(_)) => return,
                Err(refusal) => event = Err(refusal),
            },
            Ok(GenerationEvent::Completed) => return finish_stream(&generation, &live, sender).await,
            Err(refusal) => return abort_stream(&generation, &live, &sender, &refusal),
        }
    }
}

async fn finish_stream(generation: &Generation, live: &LiveRequest, sender: BodySender) {
    let last_line = generation.summary_line();
    if sender.send(last_line).await.is_ok() && sender.finish().await.is_ok() {
        live.record_answer(StatusCode::Ok.into());
    }
}

/// Sends the reason as the last line and drops the body without its terminator, so that the caller detects a truncated
/// answer. If the channel is full because the caller reads too slowly, the line is omitted.
fn abort_stream(generation: &Generation, live: &LiveRequest, sender: &BodySender, refusal: &Refusal) {
    refusal.record(&generation.execution.entry.node, "completions");
    live.record_failure(refusal);
    let _ = sender.send(refusal.error_line()).now_or_never();
}

/// An item that a generation yields.
enum GenerationEvent {
    /// A line with one token.
    TokenLine(Vec<u8>),
    /// The generation is complete.
    Completed,
}

/// A generation across all its attempts. Each token is yielded exactly once.
struct Generation {
    execution: Execution,
    call: Option<Call>,
    lines: VecDeque<Vec<u8>>,
    segments: Vec<Segment>,
    tokens: u64,
    max_tokens: u64,
}

impl Generation {
    fn new(execution: Execution, max_tokens: u64) -> Self {
        Self {
            execution,
            call: None,
            lines: VecDeque::new(),
            segments: Vec::new(),
            tokens: 0,
            max_tokens,
        }
    }

    async fn next(&mut self) -> Result<GenerationEvent, Refusal> {
        loop {
            let failure = match self.next_from_call().await {
                Ok(event) => return Ok(event),
                Err(failure) => failure,
            };
            // The stream broke after the last token, so the answer is complete.
            if self.tokens >= self.max_tokens && failure.is_repeatable() {
                return Ok(GenerationEvent::Completed);
            }
            self.resume_after(failure)?;
        }
    }

    fn resume_after(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.call = None;
        self.lines.clear();
        self.execution.request.resume_tokens = self.tokens;
        let tokens = self.tokens;
        self.execution
            .retry_after(failure)
            .map_err(|refusal| match tokens {
                0 => refusal,
                _ => refusal.with_code_if_not_run(ResultCode::AnswerCut),
            })
    }

    async fn next_from_call(&mut self) -> Result<GenerationEvent, Failure> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                self.record_token(&line)?;
                return Ok(GenerationEvent::TokenLine(line));
            }
            let mut call = match self.call.take() {
                Some(call) => call,
                None => self.execution.start().await?,
            };
            let part = call.next().await?;
            self.call = Some(call);
            match part {
                Part::Head(head) => {
                    self.execution.record_target(&head);
                    check_status(head.status)?;
                }
                Part::Chunk(bytes) => self.lines.extend(lines_with_newline(&bytes)),
                Part::Done => return Ok(GenerationEvent::Completed),
            }
        }
    }

    fn record_token(&mut self, line: &[u8]) -> Result<(), Failure> {
        let Ok(EngineLine { version }) = serde_json::from_slice(line) else {
            let message = "the engine sent an invalid token line";
            return Err(Failure::refused(ResultCode::MalformedAnswer, message));
        };
        self.tokens += 1;
        match self.segments.last_mut() {
            Some(segment) if segment.version == version => segment.tokens += 1,
            _ => self.segments.push(Segment { version, tokens: 1 }),
        }
        Ok(())
    }

    fn summary_line(&self) -> Vec<u8> {
        let summary = Summary {
            done: true,
            segments: &self.segments,
            tokens: self.tokens,
        };
        let text = serde_json::to_string(&summary).expect("a summary is always serializable");
        format!("{text}\n").into_bytes()
    }
}

fn check_status(status: u16) -> Result<(), Failure> {
    if status == u16::from(StatusCode::Ok) {
        return Ok(());
    }
    let message = format!("the engine answered with status {status}");
    Err(Failure::refused(ResultCode::TargetFailed, message))
}

fn lines_with_newline(bytes: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter(|line| !line.trim_ascii().is_empty())
        .map(|line| [line, b"\n"].concat())
}
