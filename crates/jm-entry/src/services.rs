//! `/v1/services/<service>/<path>`: calls to plain services.

use std::sync::Arc;

use jm_config::ServiceKind;
use jm_http::{
    BodySender, Request, Response, SentStatus, StatusCode,
    headers::{HeaderName, HeaderValue},
};
use jm_link::{ExecuteRequest, HeaderLine, RequestHead, TrafficClass};
use jm_types::{DurationMs, ResultCode, ServiceId};
use jm_uri::decoded_segment;

use crate::{
    CallerHead, Entry, ForwardedHead,
    access::{Admission, admit, find_service, protected_key},
    burn::LiveRequest,
    call::{AnswerHead, Call, Part, TARGET_HEADER},
    check_body_for_key,
    driven_body::driven_body,
    execution::{Answer, Execution},
    forward_head,
    input::body_bytes,
    keyed_requests::KeyWatch,
    orders::{OrderIdentifiers, run_order},
    refusal::{Refusal, TICKET_HEADER},
};

/// The parts of a request that a target receives, and whether the request may be sent more than once.
pub(crate) struct RequestParts {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) repeatable: bool,
}

/// Builds the message to a dispatch daemon for a live request.
pub(crate) fn execute_request(entry: &Entry, admission: &Admission, parts: RequestParts) -> ExecuteRequest {
    let node = &entry.node;
    let caller = admission.caller.as_ref();
    ExecuteRequest {
        request: format!(
            "{}-{}-{}",
            node.peers.own_id(),
            node.incarnation,
            node.next_request_id()
        ),
        organisation: caller.map(|caller| caller.organisation.clone()),
        key: caller.map(|caller| caller.key.clone()),
        service: admission.service.id.clone(),
        class: TrafficClass::Live,
        deadline_ms: DurationMs::default(),
        repeatable: parts.repeatable,
        ticket: None,
        avoid: Vec::new(),
        resume_tokens: 0,
        minimum_version: None,
        head: parts.head,
        body: parts.body.into(),
    }
}

/// Handles a call. `path_after_prefix` is the part of the path after `/v1/services/`.
pub(crate) async fn call(
    entry: &Arc<Entry>,
    mut request: Request,
    path_after_prefix: &str,
) -> Result<Response, Refusal> {
    let node = &entry.node;
    let (service, path) = split_path(path_after_prefix)?;
    let service = find_service(node, &service, ServiceKind::Plain)?;
    let admission = admit(node, &request, service, &path)?;
    let body = body_bytes(node, &mut request).await?;
    let secret = protected_key(node, &request);
    let secret = secret.as_ref().map(|secret| secret.expose());
    let head = target_head(&request, &path, secret)?;
    check_body_for_key(&body, secret)?;
    node.router.count_request();
    let live = LiveRequest::new(entry, &admission);
    let identifiers = OrderIdentifiers::of(&request, &body);
    let repeatable = admission.repeatable;
    let parts = RequestParts {
        head,
        body,
        repeatable,
    };
    let mut execution = Execution::new(entry, &admission, execute_request(entry, &admission, parts));
    let answered = match repeatable {
        true => run_with_retries(&mut execution)
            .await
            .map(|answer| (answer, None)),
        false => {
            let ran = run_order(&mut execution, &admission, identifiers).await;
            ran.map(|(answer, ticket)| (answer, Some(ticket)))
        }
    };
    let (answer, ticket) = answered.inspect_err(|refusal| live.record_failure(refusal))?;
    Ok(answer_response(&execution, answer, ticket.as_deref(), live))
}

fn split_path(path_after_prefix: &str) -> Result<(ServiceId, String), Refusal> {
    let (service, path) = match path_after_prefix.split_once('/') {
        Some((service, path)) => (service, format!("/{path}")),
        None => (path_after_prefix, "/".to_owned()),
    };
    let service = decoded_segment(service).and_then(|service| ServiceId::new(service).ok());
    let unknown = || Refusal::new(ResultCode::UnknownService, "the service does not exist");
    Ok((service.ok_or_else(unknown)?, path))
}

fn target_head(request: &Request, path: &str, secret: Option<&str>) -> Result<RequestHead, Refusal> {
    let path_and_query = match request.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let headers: Vec<(&str, &str)> = request
        .iter()
        .flat_map(|(name, values)| values.iter().map(|value| (name.as_str(), value.as_str())))
        .collect();
    let caller = CallerHead {
        method: request.method(),
        path_and_query: &path_and_query,
        headers: &headers,
    };
    Ok(request_head(forward_head(&caller, secret)?))
}

fn request_head(forwarded: ForwardedHead) -> RequestHead {
    let headers = forwarded
        .headers
        .into_iter()
        .map(|(name, value)| HeaderLine { name, value });
    RequestHead {
        method: forwarded.method.to_string(),
        path: forwarded.path_and_query,
        headers: headers.collect(),
    }
}

/// Runs a repeatable call and retries it until an answer begins or no retry is allowed.
async fn run_with_retries(execution: &mut Execution) -> Result<Answer, Refusal> {
    loop {
        let attempt = match execution.start().await {
            Ok(call) => execution.wait_for_first_chunk(call).await,
            Err(failure) => Err(failure),
        };
        match attempt {
            Ok(answer) => return Ok(answer),
            Err(failure) => execution.retry_after(failure)?,
        }
    }
}

/// Builds the response for the caller from the answer of a target.
fn answer_response(
    execution: &Execution,
    answer: Answer,
    ticket: Option<&str>,
    live: LiveRequest,
) -> Response {
    let Answer { call, head, first } = answer;
    let status = SentStatus::new(head.status).unwrap_or(StatusCode::BadGateway.into());
    let mut response = status.response();
    match first {
        None => live.record_answer(head.status),
        Some(first) => {
            let open = execution.entry.open_stream();
            let stream = AnswerStream {
                call,
                live,
                watch: execution.watch(),
                status: head.status,
            };
            response.set_body(driven_body(|sender| async move {
                let _open = open;
                stream.write(first, sender).await;
            }));
            response.remove_header("content-type");
        }
    }
    set_headers(&mut response, &head);
    if let Some(ticket) = ticket {
        response.insert_header(TICKET_HEADER, ticket);
    }
    response
}

/// Copies the headers of a target's answer, except the header that identifies the target and invalid headers.
pub(crate) fn set_headers(response: &mut Response, head: &AnswerHead) {
    for HeaderLine { name, value } in &head.headers {
        let name = HeaderName::from_bytes(name.clone().into_bytes());
        let value = HeaderValue::from_bytes(value.clone().into_bytes());
        if let (Ok(name), Ok(value)) = (name, value)
            && name.as_str() != TARGET_HEADER
        {
            response.append_header(name, value);
        }
    }
}

/// Relays the body of a target's answer to the caller.
struct AnswerStream {
    call: Call,
    live: LiveRequest,
    watch: Arc<KeyWatch>,
    status: u16,
}

impl AnswerStream {
    /// Writes the body. On failure it returns without finishing the body, so that the caller detects a truncated
    /// answer.
    async fn write(mut self, first: Vec<u8>, sender: BodySender) {
        let mut chunk = first;
        loop {
            match self.watch.unless_aborted(sender.send(chunk)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(refusal) => return self.record_failure(&refusal),
            }
            match self.call.next().await {
                Ok(Part::Chunk(bytes)) => chunk = bytes,
                Ok(Part::Head(_)) => chunk = Vec::new(),
                Ok(Part::Done) => {
                    if sender.finish().await.is_ok() {
                        self.live.record_answer(self.status);
                    }
                    return;
                }
                Err(failure) => return self.record_failure(&failure.into_refusal()),
            }
        }
    }

    fn record_failure(&self, refusal: &Refusal) {
        refusal.record(&self.call.node, "services");
        self.live.record_failure(refusal);
    }
}
