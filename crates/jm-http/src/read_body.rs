//! Reads a body into memory up to a size limit.

use std::io;

use futures::{AsyncReadExt, io::AsyncRead};
use http_types::Body;
use jm_types::ByteSize;

use crate::buffer_budget::BufferBudget;

/// Size of the pieces in which a body is read.
const PIECE_BYTES: usize = 16 * 1024;

/// Reads `body` to its end.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::FileTooLarge`] when the body exceeds `limit`, and with the error of the body when the
/// body is incomplete.
pub async fn read_body_to_end(body: Body, limit: ByteSize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    read_bounded(body, limit, &mut bytes).await?;
    Ok(bytes)
}

/// Like [`read_body_to_end`], for a body that shares the memory of `budget` with others.
pub(crate) async fn read_body_within(
    body: Body,
    limit: ByteSize,
    budget: &BufferBudget,
) -> io::Result<Vec<u8>> {
    if body.len().is_some_and(|length| length as u64 > limit.get()) {
        return Err(too_large(limit));
    }
    let mut share = budget.share();
    let piece_bytes = body
        .len()
        .map_or(PIECE_BYTES, |length| length.clamp(1, PIECE_BYTES));
    let mut reader = body.take(limit.get().saturating_add(1));
    let mut bytes = Vec::new();
    let mut piece = vec![0; piece_bytes];
    loop {
        let amount = reader.read(&mut piece).await?;
        if amount == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&piece[..amount]);
        if bytes.len() as u64 > limit.get() {
            return Err(too_large(limit));
        }
        share.grow_to(bytes.capacity() as u64)?;
    }
}

async fn read_bounded(body: impl AsyncRead + Unpin, limit: ByteSize, bytes: &mut Vec<u8>) -> io::Result<()> {
    // Reading one byte more than the limit distinguishes a body at the limit from a larger one.
    body.take(limit.get().saturating_add(1))
        .read_to_end(bytes)
        .await?;
    match bytes.len() as u64 > limit.get() {
        true => Err(too_large(limit)),
        false => Ok(()),
    }
}

fn too_large(limit: ByteSize) -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, format!("body exceeds {limit}"))
}
