//! Reads request bodies and builds JSON responses.

use jm_http::{Request, Response, StatusCode, read_body_to_end};
use jm_node::Node;
use jm_types::ResultCode;
use serde::{Serialize, de::DeserializeOwned};

use crate::refusal::Refusal;

/// Reads the complete body. Fails when it exceeds the limit in the settings or ends early.
pub(crate) async fn body_bytes(node: &Node, request: &mut Request) -> Result<Vec<u8>, Refusal> {
    let limit = node.settings.limits.body_bytes;
    let bytes = read_body_to_end(request.take_body(), limit).await;
    bytes.map_err(|error| match error.kind() {
        std::io::ErrorKind::FileTooLarge => Refusal::new(ResultCode::BodyTooLarge, error.to_string()),
        _ => Refusal::new(ResultCode::CutBody, error.to_string()),
    })
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = format!("the body cannot be parsed: {error}");
        Refusal::new(ResultCode::MalformedRequest, message)
    })
}

/// Builds a response with a JSON body and a trailing newline.
pub(crate) fn json_response(status: StatusCode, content: &impl Serialize) -> Result<Response, Refusal> {
    let text = serde_json::to_string(content)
        .map_err(|error| Refusal::new(ResultCode::Internal, error.to_string()))?;
    let mut response = Response::new(status);
    response.set_body(format!("{text}\n"));
    response.insert_header("content-type", "application/json");
    Ok(response)
}
