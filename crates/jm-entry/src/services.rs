//! `/v1/services/<service>/<path>`: calls of plain services.

use std::sync::Arc;

use jm_config::ServiceKind;
use jm_http::{
    BodySender, Request, Response, StatusCode,
    headers::{HeaderName, HeaderValue},
};
use jm_link::{ExecuteRequest, HeaderLine, RequestHead, TrafficClass};
use jm_types::{DurationMs, ResultCode, ServiceId};

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
    open_streams::StreamWatch,
    orders::{OrderNames, run_order},
    refusal::{Refusal, TICKET_HEADER},
};

/// What a target sees of a request, and whether it may see it twice.
pub(crate) struct RequestParts {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) repeatable: bool,
}

/// The message to a dispatch daemon for a live request.
pub(crate) fn execute_request(entry: &Entry, admission: &Admission, parts: RequestParts) -> ExecuteRequest {
    let node = &entry.node;
    let caller = admission.caller.as_ref();
    ExecuteRequest {
        request: format!(
            "{}-{}-{}",
            node.peers.own_id(),
            node.incarnation,
            node.next_request()
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

/// Answers a call; `rest` is the path after `/v1/services/`.
pub(crate) async fn call(entry: &Arc<Entry>, mut request: Request, rest: &str) -> Result<Response, Refusal> {
    let node = &entry.node;
    let (service, path) = split_path(rest)?;
    let service = find_service(node, &service, ServiceKind::Plain)?;
    let admission = admit(node, &request, service, &path)?;
    let body = body_bytes(node, &mut request).await?;
    let secret = protected_key(node, &request);
    let secret = secret.as_ref().map(|secret| secret.expose());
    let head = target_head(&request, &path, secret)?;
    check_body_for_key(&body, secret)?;
    node.router.count_request();
    let live = LiveRequest::new(entry, &admission);
    let names = OrderNames::of(&request, &body);
    let repeatable = admission.repeatable;
    let parts = RequestParts {
        head,
        body,
        repeatable,
    };
    let mut execution = Execution::new(entry, &admission, execute_request(entry, &admission, parts));
    let answered = match repeatable {
        true => repeat(&mut execution).await.map(|answer| (answer, None)),
        false => {
            let ran = run_order(&mut execution, &admission, names).await;
            ran.map(|(answer, ticket)| (answer, Some(ticket)))
        }
    };
    let (answer, ticket) = answered.inspect_err(|refusal| live.failed(refusal))?;
    Ok(answer_response(&execution, answer, ticket.as_deref(), live))
}

fn split_path(rest: &str) -> Result<(ServiceId, String), Refusal> {
    let (service, path) = match rest.split_once('/') {
        Some((service, path)) => (service, format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let service = ServiceId::new(service);
    let unknown = |_| Refusal::new(ResultCode::UnknownService, "the service does not exist");
    Ok((service.map_err(unknown)?, path))
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

/// Sends a repeatable call until an answer begins.
async fn repeat(execution: &mut Execution) -> Result<Answer, Refusal> {
    loop {
        let attempt = match execution.start().await {
            Ok(call) => execution.first_part(call).await,
            Err(failure) => Err(failure),
        };
        match attempt {
            Ok(answer) => return Ok(answer),
            Err(failure) => execution.retry_after(failure)?,
        }
    }
}

/// The answer of a target as the caller gets it.
fn answer_response(
    execution: &Execution,
    answer: Answer,
    ticket: Option<&str>,
    live: LiveRequest,
) -> Response {
    let Answer { call, head, first } = answer;
    let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    match first {
        None => live.answered(head.status),
        Some(first) => {
            let open = execution.entry.open_stream();
            let stream = PlainStream {
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

/// Sets the headers of a target's answer, without the one that names the target and those that are not valid.
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

/// The body of a target's answer on its way to the caller.
struct PlainStream {
    call: Call,
    live: LiveRequest,
    watch: Arc<StreamWatch>,
    status: u16,
}

impl PlainStream {
    /// Returning without the end of the body tells the caller that the answer was cut.
    async fn write(mut self, first: Vec<u8>, sender: BodySender) {
        let mut piece = first;
        loop {
            match self.watch.unless_cut(sender.send(piece)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(refusal) => return self.cut(&refusal),
            }
            match self.call.next().await {
                Ok(Part::Chunk(bytes)) => piece = bytes,
                Ok(Part::Head(_)) => piece = Vec::new(),
                Ok(Part::Done) => {
                    if sender.finish().await.is_ok() {
                        self.live.answered(self.status);
                    }
                    return;
                }
                Err(failure) => return self.cut(&failure.into_refusal()),
            }
        }
    }

    fn cut(&self, refusal: &Refusal) {
        refusal.record(&self.call.node, "services");
        self.live.failed(refusal);
    }
}
