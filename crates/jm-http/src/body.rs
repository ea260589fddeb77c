//! A response body that is produced incrementally while it is being sent.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use async_std::channel::{Receiver, Sender, bounded};
use futures::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;

use crate::buffered::poll_read_buffered;

/// Capacity of the queue between writer and reader. The writer waits while the queue is full.
const MAX_QUEUED_PIECES: usize = 16;

/// Writing end of a streamed body. Dropping it without [`BodySender::finish`] ends the body with an error, so that the
/// reader does not mistake a truncated body for a complete one.
#[derive(Debug)]
pub struct BodySender {
    pieces: Sender<Piece>,
}

#[derive(Debug)]
enum Piece {
    Data(Vec<u8>),
    End,
}

impl BodySender {
    /// Sends one piece of the body. Fails with `BrokenPipe` when the reader has dropped the body.
    pub async fn send(&self, piece: Vec<u8>) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        let reader_dropped = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        self.pieces.send(Piece::Data(piece)).await.map_err(reader_dropped)
    }

    /// Marks the body as complete. Fails with `BrokenPipe` when the reader has dropped the body.
    pub async fn finish(self) -> io::Result<()> {
        let reader_dropped = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        self.pieces.send(Piece::End).await.map_err(reader_dropped)
    }

    /// Whether the reader has dropped the body.
    pub fn is_closed(&self) -> bool {
        self.pieces.is_closed()
    }
}

/// Creates a body of unknown length and its writing end.
pub fn channel_body() -> (BodySender, Body) {
    let (pieces, receiver) = bounded(MAX_QUEUED_PIECES);
    let reader = PieceReader {
        receiver: Box::pin(receiver),
        current: Vec::new(),
        position: 0,
        ended: false,
    };
    (BodySender { pieces }, Body::from_reader(reader, None))
}

struct PieceReader {
    receiver: Pin<Box<Receiver<Piece>>>,
    current: Vec<u8>,
    position: usize,
    ended: bool,
}

impl AsyncBufRead for PieceReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.current.len() && !this.ended {
            match ready!(this.receiver.as_mut().poll_next(cx)) {
                Some(Piece::Data(piece)) => {
                    this.current = piece;
                    this.position = 0;
                }
                Some(Piece::End) => this.ended = true,
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.current[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for PieceReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buffer)
    }
}
