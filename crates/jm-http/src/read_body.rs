//! Reads a body into memory up to a size limit.

use std::io;

use futures::{AsyncReadExt, io::AsyncRead};
use http_types::Body;
use jm_types::ByteSize;

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

async fn read_bounded(body: impl AsyncRead + Unpin, limit: ByteSize, bytes: &mut Vec<u8>) -> io::Result<()> {
    // Reading one byte more than the limit distinguishes a body at the limit from a larger one.
    body.take(limit.get().saturating_add(1))
        .read_to_end(bytes)
        .await?;
    if bytes.len() as u64 > limit.get() {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            format!("body exceeds {limit}"),
        ));
    }
    Ok(())
}
