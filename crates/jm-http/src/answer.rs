//! Answers of the server: error answers, and the checks and writing of every answer.

use std::{io, time::Duration};

use async_std::net::TcpStream;
use futures::AsyncReadExt;
use http_types::{Body, Method, Response, StatusCode};
use jm_types::{LogEvent, ResultCode};
use serde_json::json;

use crate::{
    guard::{FRAMING_HEADERS, exact_body, unsafe_header},
    head::has_no_body,
    stream::write_all,
};

/// Bytes of an answer that are encoded at once.
const PIECE_BYTES: usize = 16 * 1024;

/// An answer that carries a result code as JSON: `{"code","name","execution","message"}`.
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

/// Whether the connection can carry another request after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    KeepAlive,
    Close,
}

/// The same answer with the headers and the body that may go on the wire.
pub(crate) fn checked(response: Response, method: Method, after: After) -> Response {
    let mut response = match fault(&response) {
        None => response,
        Some(fault) => {
            LogEvent::RequestFailed.write(&fault);
            error_response(
                ResultCode::Internal,
                "the answer of the handler is not valid HTTP",
            )
        }
    };
    let stated_length = stated_length(&response);
    for name in FRAMING_HEADERS {
        response.remove_header(name);
    }
    let body = match response.take_body() {
        _ if method == Method::Head && stated_length.is_some() => head_only(stated_length),
        body if method == Method::Head => body,
        _ if has_no_body(response.status(), method) => Body::empty(),
        body => exact_body(body),
    };
    set_body(&mut response, body);
    if after == After::Close {
        response.insert_header("connection", "close");
    }
    response
}

fn fault(response: &Response) -> Option<String> {
    if response.status().is_informational() {
        return Some(format!("the handler answered with status {}", response.status()));
    }
    let name = unsafe_header(response.as_ref())?;
    Some(format!("the handler set an invalid header {name:?}"))
}

fn stated_length(response: &Response) -> Option<usize> {
    let header = response.header("content-length")?;
    header.last().as_str().parse().ok()
}

/// A body that only states its length: the answer to `HEAD` has the length of the answer to `GET`.
fn head_only(length: Option<usize>) -> Body {
    Body::from_reader(futures::io::empty(), length)
}

/// Replaces the body without the content type that `http-types` would add.
pub(crate) fn set_body(response: &mut Response, body: Body) {
    let has_type = response.header("content-type").is_some();
    response.set_body(body);
    if !has_type {
        response.remove_header("content-type");
    }
}

/// Writes a checked answer. Each piece of the body is written as soon as the body yields it.
pub(crate) async fn write_answer(
    mut stream: TcpStream,
    response: Response,
    method: Method,
    stall_timeout: Duration,
) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let amount = encoder.read(&mut piece).await?;
        if amount == 0 {
            return Ok(());
        }
        write_all(&mut stream, &piece[..amount], stall_timeout, || {}).await?;
    }
}
