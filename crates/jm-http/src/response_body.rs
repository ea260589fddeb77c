//! Response body whose reader returns an error when the body is truncated or the peer stalls.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use async_std::task;
use futures::{AsyncBufRead, AsyncRead, FutureExt, future::BoxFuture};
use http_types::Body;

use crate::{
    buffered::poll_read_buffered,
    framing::{BodyDecoder, BodyStep, Framing},
    pool::{ClientConnection, Pool},
};

/// Pool and address to which a connection returns after its response has been read. `None` closes the connection.
pub(crate) type ReusePool = Option<(Arc<Pool>, String)>;

/// Creates the body that follows a response head on `connection`.
pub(crate) fn response_body(
    connection: ClientConnection,
    framing: Framing,
    piece_timeout: Duration,
    reuse_pool: ReusePool,
) -> Body {
    let mut reader = ResponseReader {
        connection: Some(connection),
        decoder: BodyDecoder::new(framing),
        available_bytes: 0,
        piece_timeout,
        timer: Mutex::new(None),
        reuse_pool,
        failed: None,
    };
    let length = match framing {
        Framing::Length(length) => usize::try_from(length).ok(),
        Framing::Chunked | Framing::UntilClose | Framing::Unfinished => None,
    };
    reader.release_if_read();
    Body::from_reader(reader, length)
}

struct ResponseReader {
    /// `None` once the body has been read completely or has failed.
    connection: Option<ClientConnection>,
    decoder: BodyDecoder,
    /// Bytes at the front of the stream that belong to the body.
    available_bytes: usize,
    piece_timeout: Duration,
    /// Runs while the reader waits for more data. The mutex is never locked and only makes the reader `Sync`.
    timer: Mutex<Timer>,
    reuse_pool: ReusePool,
    failed: Option<(io::ErrorKind, String)>,
}

impl ResponseReader {
    /// Waits until body bytes are available or the body has ended.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some((kind, message)) = &self.failed {
            return Poll::Ready(Err(io::Error::new(*kind, message.clone())));
        }
        let result = ready!(self.poll_decode(cx));
        if let Err(error) = &result {
            self.failed = Some((error.kind(), error.to_string()));
            self.connection = None;
        }
        Poll::Ready(result)
    }

    fn poll_decode(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.available_bytes == 0 {
            let Some(connection) = &mut self.connection else {
                break;
            };
            match self.decoder.step(connection.stream.data())? {
                BodyStep::Data(amount) => self.available_bytes = amount,
                BodyStep::Skip(amount) => connection.stream.consume(amount),
                BodyStep::Done => self.release(),
                BodyStep::NeedMore => ready!(self.poll_more(cx))?,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(Ok(()));
        };
        let Poll::Ready(read) = connection.stream.poll_fill(cx) else {
            return self.poll_timer(cx);
        };
        *timer(&mut self.timer) = None;
        if read? == 0 {
            self.decoder.check_close()?;
            self.connection = None;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let wait = self.piece_timeout;
        let timer = timer(&mut self.timer).get_or_insert_with(|| task::sleep(wait).boxed());
        ready!(timer.as_mut().poll(cx));
        let message = "no data of the body arrived within the body timeout";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }

    /// Releases the connection after the last byte of a body with a declared length. A reader that has the length does
    /// not poll for the end of the body.
    fn release_if_read(&mut self) {
        if self.available_bytes == 0 && self.decoder.is_length_reached() {
            self.release();
        }
    }

    fn release(&mut self) {
        if let (Some(connection), Some((pool, address))) = (self.connection.take(), self.reuse_pool.take()) {
            pool.put(&address, connection);
        }
    }

    fn data(&self) -> &[u8] {
        match &self.connection {
            Some(connection) => &connection.stream.data()[..self.available_bytes],
            None => &[],
        }
    }
}

type Timer = Option<BoxFuture<'static, ()>>;

fn timer(slot: &mut Mutex<Timer>) -> &mut Timer {
    slot.get_mut().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl AsyncBufRead for ResponseReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_piece(cx))?;
        Poll::Ready(Ok(this.data()))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        if let Some(connection) = &mut self.connection {
            connection.stream.consume(amount);
            self.available_bytes -= amount;
            self.release_if_read();
        }
    }
}

impl AsyncRead for ResponseReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}
