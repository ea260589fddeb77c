//! Reads a body into memory up to a size limit.

use std::io;

use futures::{AsyncReadExt, io::AsyncRead};
use http_types::Body;
use jm_types::{ByteSize, DurationMs};

use crate::BufferShare;

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

/// Memory that a body shares with others.
pub(crate) struct BodyShares {
    /// Share of the budget of the client.
    pub(crate) client: BufferShare,
    /// Share of the budget of the process, and how long the body waits for it.
    pub(crate) process: Option<(BufferShare, DurationMs)>,
}

impl BodyShares {
    async fn grow_to(&self, size_bytes: u64) -> io::Result<()> {
        self.client.grow_to(size_bytes, DurationMs::new(0)).await?;
        match &self.process {
            Some((share, max_wait)) => share.grow_to(size_bytes, *max_wait).await,
            None => Ok(()),
        }
    }
}

/// Like [`read_body_to_end`], for a body that shares memory with others.
pub(crate) async fn read_body_within(
    body: Body,
    limit: ByteSize,
    shares: &BodyShares,
) -> io::Result<Vec<u8>> {
    if body.len().is_some_and(|length| length as u64 > limit.get()) {
        return Err(too_large(limit));
    }
    let max_bytes = body.len().unwrap_or(limit.get() as usize);
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
        let needed_bytes = bytes.len() + amount;
        if needed_bytes as u64 > limit.get() {
            return Err(too_large(limit));
        }
        if needed_bytes > bytes.capacity() {
            let capacity = next_capacity(bytes.capacity(), needed_bytes, max_bytes);
            shares.grow_to(capacity as u64).await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&piece[..amount]);
    }
}

/// Returns the capacity of a buffer that must hold `needed_bytes` and never holds more than `max_bytes`. It doubles, so
/// that a body is moved only a few times, and ends at the exact size of a body whose length is known.
pub(crate) fn next_capacity(capacity: usize, needed_bytes: usize, max_bytes: usize) -> usize {
    (capacity * 2).max(PIECE_BYTES).min(max_bytes).max(needed_bytes)
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
