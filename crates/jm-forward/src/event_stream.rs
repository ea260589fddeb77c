//! Detection of stalled event streams by whole events.
//!
//! Load pattern: a target that stopped generating still sends a byte or a comment now and then. A limit on the time
//! without bytes never ends such a stream, and its caller waits without end. A limit on the whole time would cut streams
//! that are slow but sound.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use async_std::task;
use futures::{AsyncRead, FutureExt, future::BoxFuture, io::BufReader};
use jm_http::Body;
use jm_types::DurationMs;

/// Wraps the body of an event stream. Reading fails with [`io::ErrorKind::TimedOut`] when no event ends for `limit`.
pub fn limit_stalls(body: Body, limit: DurationMs) -> Body {
    let reader = EventReader {
        inner: body,
        limit: limit.as_std(),
        timer: Mutex::new(timer(limit.as_std())),
        is_waiting: false,
        scanner: EventScanner::default(),
    };
    Body::from_reader(BufReader::new(reader), None)
}

type Timer = BoxFuture<'static, ()>;

fn timer(limit: Duration) -> Timer {
    task::sleep(limit).boxed()
}

struct EventReader {
    inner: Body,
    limit: Duration,
    /// Runs since the end of the last event. The mutex is never contended and only makes the reader `Sync`.
    timer: Mutex<Timer>,
    /// Whether the target had no data at the last read. Time in which the caller does not read is not its fault.
    is_waiting: bool,
    scanner: EventScanner,
}

impl EventReader {
    fn timer(&mut self) -> &mut Timer {
        self.timer.get_mut().unwrap_or_else(PoisonError::into_inner)
    }

    fn restart_timer(&mut self) {
        *self.timer() = timer(self.limit);
    }

    fn is_expired(&mut self, cx: &mut Context<'_>) -> bool {
        self.timer().as_mut().poll(cx).is_ready()
    }

    fn on_data(&mut self, data: &[u8], cx: &mut Context<'_>) -> io::Result<usize> {
        let was_waiting = std::mem::replace(&mut self.is_waiting, false);
        if data.is_empty() || self.scanner.ends_event(data) {
            self.restart_timer();
        } else if was_waiting && self.is_expired(cx) {
            return Err(stalled());
        }
        Ok(data.len())
    }

    fn on_no_data(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if !self.is_expired(cx) {
            self.is_waiting = true;
            return Poll::Pending;
        }
        if std::mem::replace(&mut self.is_waiting, true) {
            return Poll::Ready(Err(stalled()));
        }
        // The time ran out while the caller did not read.
        self.restart_timer();
        // Registers the task with the new timer, which has just started.
        let _ = self.is_expired(cx);
        Poll::Pending
    }
}

fn stalled() -> io::Error {
    let message = "no event of the stream ended within the stall limit";
    io::Error::new(io::ErrorKind::TimedOut, message)
}

impl AsyncRead for EventReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_read(cx, buffer) {
            Poll::Ready(Ok(amount)) => Poll::Ready(self.on_data(&buffer[..amount], cx)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.on_no_data(cx),
        }
    }
}

/// Finds the ends of events, which are empty lines after a line of data.
#[derive(Debug, Default)]
struct EventScanner {
    line_bytes: usize,
    is_data: bool,
    /// Whether the current event has a line of data.
    has_data: bool,
}

/// Start of the lines that make an event. Comments and other fields alone are none.
const DATA_FIELD: &[u8] = b"data";

impl EventScanner {
    /// Whether an event ends within the next bytes.
    fn ends_event(&mut self, bytes: &[u8]) -> bool {
        let mut is_ended = false;
        for byte in bytes {
            is_ended |= self.push(*byte);
        }
        is_ended
    }

    fn push(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => false,
            b'\n' => {
                let is_end = self.line_bytes == 0 && self.has_data;
                self.has_data = !is_end && (self.has_data || self.is_data_line());
                self.line_bytes = 0;
                is_end
            }
            _ => {
                let expected = DATA_FIELD.get(self.line_bytes);
                self.is_data = match expected {
                    Some(expected) => (self.line_bytes == 0 || self.is_data) && byte == *expected,
                    None => self.is_data,
                };
                self.line_bytes += 1;
                false
            }
        }
    }

    fn is_data_line(&self) -> bool {
        self.is_data && self.line_bytes >= DATA_FIELD.len()
    }
}
