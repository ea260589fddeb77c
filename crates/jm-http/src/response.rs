//! Responses of the server: error responses, validation and encoding.

use std::{io, time::Duration};

use async_std::{net::TcpStream, task};
use futures::AsyncReadExt;
use http_types::{Body, Method, Response, StatusCode};
use jm_types::{LogEvent, ResultCode};
use serde_json::json;

use crate::{
    SentStatus,
    head::has_no_body,
    stream::write_all,
    validate::{FRAMING_HEADERS, invalid_header, length_checked_body},
};

/// Buffer size for encoding a response.
const ENCODE_BUFFER_BYTES: usize = 16 * 1024;

/// Creates a response that carries a result code as JSON: `{"code","name","execution","message"}`.
pub fn error_response(code: ResultCode, message: &str) -> Response {
    let status = StatusCode::try_from(code.http_status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let content = json!({
        "code": code.to_string(),
        "name": code.name(),
        "execution": code.execution().to_string(),
        "message": message,
    });
    response.set_body(format!("{content}\n"));
    response.insert_header("content-type", "application/json");
    response
}

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    KeepAlive,
    Close,
}

/// Validates a response and removes headers that could contradict its body. An invalid response is replaced by an
/// error response.
pub(crate) fn prepare_response(response: Response, method: Method, after: AfterResponse) -> Response {
    let mut response = match find_violation(&response) {
        None => response,
        Some(violation) => {
            LogEvent::RequestFailed.write(&violation);
            error_response(ResultCode::Internal, "the handler returned an invalid response")
        }
    };
    let declared_length = declared_length(&response);
    for name in FRAMING_HEADERS {
        response.remove_header(name);
    }
    let body = match response.take_body() {
        _ if method == Method::Head && declared_length.is_some() => head_only(declared_length),
        body if method == Method::Head => body,
        _ if has_no_body(response.status(), method) => Body::empty(),
        body => length_checked_body(body),
    };
    set_body(&mut response, body);
    if after == AfterResponse::Close {
        response.insert_header("connection", "close");
    }
    response
}

fn find_violation(response: &Response) -> Option<String> {
    if response.status().is_informational() {
        return Some(format!(
            "the handler returned informational status {}",
            response.status()
        ));
    }
    let name = invalid_header(response.as_ref())?;
    Some(format!("the handler set an invalid header {name:?}"))
}

fn declared_length(response: &Response) -> Option<usize> {
    let header = response.header("content-length")?;
    header.last().as_str().parse().ok()
}

/// An empty body with a declared length, because a response to `HEAD` declares the length of the response to `GET`.
fn head_only(length: Option<usize>) -> Body {
    Body::from_reader(futures::io::empty(), length)
}

/// Replaces the body and removes the content type that `http-types` adds on its own.
pub(crate) fn set_body(response: &mut Response, body: Body) {
    let has_type = response.header("content-type").is_some();
    response.set_body(body);
    if !has_type {
        response.remove_header("content-type");
    }
}

/// Writes a prepared response. Body data is written as soon as the body yields it. `on_progress` receives the number of
/// written bytes.
pub(crate) async fn write_response(
    mut stream: TcpStream,
    response: Response,
    method: Method,
    stall_timeout: Duration,
    mut on_progress: impl FnMut(usize),
) -> io::Result<()> {
    let mut sent_status = Some(SentStatus::of(&response)).filter(|sent| *sent != response.status().into());
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut buffer = vec![0; ENCODE_BUFFER_BYTES];
    loop {
        let amount = encoder.read(&mut buffer).await?;
        if amount == 0 {
            return Ok(());
        }
        let bytes = match sent_status.take() {
            Some(sent) => &with_status(&buffer[..amount], sent),
            None => &buffer[..amount],
        };
        write_all(&mut stream, bytes, stall_timeout, &mut on_progress).await?;
        if amount == buffer.len() {
            // A body that always has more bytes, read by a peer that is as fast, must not keep other tasks from running.
            task::yield_now().await;
        }
    }
}

/// Replaces the status line of an encoded head, because the encoder writes the status of `http-types`.
fn with_status(head: &[u8], status: SentStatus) -> Vec<u8> {
    let line_end = head.windows(2).position(|pair| pair == b"\r\n").unwrap_or(0);
    let mut bytes = format!("HTTP/1.1 {status} ").into_bytes();
    bytes.extend_from_slice(&head[line_end..]);
    bytes
}
