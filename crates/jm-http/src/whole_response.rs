//! Reads a whole response from a connection that the caller opened and wrote to.

use std::io;

use futures::{AsyncRead, AsyncReadExt};
use http_types::{Method, StatusCode};

use crate::{
    Limits, SentStatus,
    framing::{BodyDecoder, BodyStep},
    head::{ResponseHead, parse_response},
};

/// Maximum bytes per read from the connection.
const READ_BYTES: usize = 4_096;

/// Reads the response to a request with `method` that has been written completely. Returns its status and its body.
///
/// # Errors
///
/// Fails with the error of the connection, with [`io::ErrorKind::UnexpectedEof`] when the response is incomplete, with
/// [`io::ErrorKind::InvalidData`] when it is malformed or has a status that no specification names, and with
/// [`io::ErrorKind::FileTooLarge`] when it exceeds a size in `limits`. The caller limits the time.
pub async fn read_whole_response(
    connection: impl AsyncRead + Unpin,
    method: Method,
    limits: &Limits,
) -> io::Result<(StatusCode, Vec<u8>)> {
    let mut input = Input {
        connection,
        bytes: Vec::new(),
    };
    let head = input.final_head(method, limits).await?;
    let sent = SentStatus::of(&head.response);
    let unknown = || invalid(format!("unknown status {sent}"));
    let status = sent.named().ok_or_else(unknown)?;
    let body = input.body(&head, limits).await?;
    Ok((status, body))
}

fn invalid(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

struct Input<C> {
    connection: C,
    /// Bytes that were read and not yet consumed.
    bytes: Vec<u8>,
}

impl<C: AsyncRead + Unpin> Input<C> {
    /// Reads heads up to the first one that is not interim. All of them together are limited in size.
    async fn final_head(&mut self, method: Method, limits: &Limits) -> io::Result<ResponseHead> {
        let mut limit_bytes = limits.head_bytes.get() as usize;
        loop {
            let parsed = parse_response(&self.bytes, limit_bytes, method);
            match parsed.map_err(|error| invalid(error.to_string()))? {
                Some(head) => {
                    self.bytes.drain(..head.size_bytes);
                    limit_bytes = limit_bytes.saturating_sub(head.size_bytes);
                    if !head.is_interim() {
                        return Ok(head);
                    }
                }
                None if !self.fill().await? => {
                    let message = "the connection closed before the end of the response head";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
                }
                None => {}
            }
        }
    }

    async fn body(&mut self, head: &ResponseHead, limits: &Limits) -> io::Result<Vec<u8>> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            match decoder.step(&self.bytes)? {
                BodyStep::Done => return Ok(body),
                BodyStep::Skip(amount) => drop(self.bytes.drain(..amount)),
                BodyStep::Data(amount) => body.extend(self.bytes.drain(..amount)),
                BodyStep::NeedMore => {
                    if !self.fill().await? {
                        decoder.check_close()?;
                        return Ok(body);
                    }
                }
            }
            if body.len() as u64 > limits.body_bytes.get() {
                let message = format!("the body exceeds {}", limits.body_bytes);
                return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
            }
        }
    }

    /// Reads once. Returns whether the connection is still open.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; READ_BYTES];
        let amount = self.connection.read(&mut piece).await?;
        self.bytes.extend_from_slice(&piece[..amount]);
        Ok(amount > 0)
    }
}
