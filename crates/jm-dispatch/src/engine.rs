//! Execution of one generation on an inference engine.

use std::sync::Arc;

use async_std::task;
use futures::{AsyncBufReadExt, io::Lines, stream::StreamExt};
use jm_config::Target;
use jm_http::{Body, Method, Request, Url};
use jm_link::{ExecuteRequest, RequestHead};
use jm_node::Node;
use jm_types::{ModelId, ResultCode, TokenCount, WeightVersion};
use jm_usage::UsageCounts;
use serde::{Deserialize, Serialize};

use crate::{
    plain::{CallError, build_request, target_header},
    queue::RunningRequest,
    sink::{AnswerSink, Failure},
};

/// The body of a completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prompt {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u64,
}

impl Prompt {
    /// Parses the body of a request for an engine.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Failure> {
        let read = serde_json::from_slice(body);
        read.map_err(|error| {
            Failure::new(
                ResultCode::MalformedRequest,
                format!("invalid body of a completion request: {error}"),
            )
        })
    }
}

#[derive(Serialize)]
struct EngineRequest<'a> {
    request: &'a str,
    model: &'a ModelId,
    prompt: &'a str,
    max_tokens: u64,
    resume_tokens: u64,
}

/// One line of an engine's response.
#[derive(Deserialize)]
#[serde(untagged)]
enum EngineLine {
    Piece {
        token: String,
        version: Option<WeightVersion>,
    },
    Done(EngineDone),
}

#[derive(Deserialize)]
struct EngineDone {
    done: bool,
    #[serde(default)]
    cancelled: bool,
    prompt_tokens: u64,
}

/// One line of the response to the calling daemon.
#[derive(Serialize)]
struct PieceLine<'a> {
    token: &'a str,
    version: Option<WeightVersion>,
}

/// The parameters of one generation.
pub(crate) struct Generation<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) target: &'a Target,
    pub(crate) model: &'a ModelId,
    pub(crate) request: &'a ExecuteRequest,
    pub(crate) prompt: &'a Prompt,
    /// Number of tokens that the caller received before, from this or other targets.
    pub(crate) resume_tokens: u64,
}

impl Generation<'_> {
    /// Runs the generation. `generated` counts the forwarded tokens and is valid after an error too.
    pub(crate) async fn run(
        &self,
        running: &RunningRequest,
        sink: &dyn AnswerSink,
        generated: &mut u64,
    ) -> Result<UsageCounts, CallError> {
        let cancel = CancelOnDrop::new(self);
        let sent = self.node.client.send(self.http_request()?).await;
        let mut response = sent.map_err(|error| CallError::from_client(&error, *generated > 0))?;
        if !response.status().is_success() {
            let reason = format!(
                "engine {} responded with status {}",
                self.target.id,
                response.status()
            );
            let failure = Failure::new(ResultCode::TargetFailed, reason);
            return Err(CallError {
                failure,
                written: true,
                delivered: *generated > 0,
            });
        }
        sink.head(200, vec![target_header(self.target)])
            .await
            .map_err(CallError::caller_disconnected)?;
        let mut lines = response.take_body().lines();
        let done = self.forward_pieces(&mut lines, running, sink, generated).await?;
        cancel.disarm();
        Ok(UsageCounts {
            requests: 1,
            prompt_tokens: TokenCount::new(done.prompt_tokens),
            generated_tokens: TokenCount::new(*generated),
        })
    }

    async fn forward_pieces(
        &self,
        lines: &mut Lines<Body>,
        running: &RunningRequest,
        sink: &dyn AnswerSink,
        generated: &mut u64,
    ) -> Result<EngineDone, CallError> {
        loop {
            let delivered = *generated > 0;
            let line = lines
                .next()
                .await
                .ok_or_else(|| CallError::truncated("the final line is missing", delivered))?;
            let line = line.map_err(|error| CallError::truncated(error, delivered))?;
            match serde_json::from_str(&line) {
                Ok(EngineLine::Piece { token, version }) => {
                    let piece = piece_line(&token, version);
                    sink.chunk(piece).await.map_err(CallError::caller_disconnected)?;
                    *generated += 1;
                    running.progress(TokenCount::new(1));
                }
                Ok(EngineLine::Done(done)) if done.done && !done.cancelled => return Ok(done),
                Ok(EngineLine::Done(_)) => return Err(CallError::truncated("request cancelled", delivered)),
                Err(error) => return Err(CallError::truncated(error, delivered)),
            }
        }
    }

    fn http_request(&self) -> Result<Request, CallError> {
        let body = EngineRequest {
            request: &self.request.request,
            model: self.model,
            prompt: &self.prompt.prompt,
            max_tokens: self.prompt.max_tokens,
            resume_tokens: self.resume_tokens,
        };
        let body = serde_json::to_vec(&body).expect("the body has no map with keys that are not text");
        let head = RequestHead {
            method: "POST".to_owned(),
            path: "/v1/generate".to_owned(),
            headers: Vec::new(),
        };
        let built = build_request(self.target, &head, &body);
        built.map_err(|failure| CallError {
            failure,
            written: false,
            delivered: false,
        })
    }
}

fn piece_line(token: &str, version: Option<WeightVersion>) -> Vec<u8> {
    let mut line =
        serde_json::to_vec(&PieceLine { token, version }).expect("a piece has only text and numbers");
    line.push(b'\n');
    line
}

/// Cancels the generation on the engine when dropped, because engines continue after a lost connection.
struct CancelOnDrop {
    node: Arc<Node>,
    url: Option<Url>,
}

impl CancelOnDrop {
    fn new(generation: &Generation<'_>) -> Self {
        let address = generation.target.address;
        let url = format!("http://{address}/v1/requests/{}", generation.request.request);
        Self {
            node: Arc::clone(generation.node),
            url: Url::parse(&url).ok(),
        }
    }

    fn disarm(mut self) {
        self.url = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(url) = self.url.take() else { return };
        let node = Arc::clone(&self.node);
        task::spawn(async move {
            // An error needs no handling: an unreachable engine ends the stream by itself.
            let _ = node.client.send(Request::new(Method::Delete, url)).await;
        });
    }
}
