//! Sends an order to a target or to the platform under a lease.

use std::{fmt, future::Future, io, sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use http_types::{Method, Request, StatusCode};
use jm_http::{Limits, read_whole_response};
use jm_types::{ByteSize, Clock, DurationMs};

use crate::{GuardedWriter, LeaseGuard};

/// Maximum size of an order including its head. It fits into the send buffer of a new connection, so that one write
/// sends all of it.
const MAX_ORDER_BYTES: usize = 16_384;

/// Maximum size of a response body that is read.
const MAX_ANSWER_BYTES: ByteSize = ByteSize::new(65_536);

/// Request header with the fencing number.
const FENCING_HEADER: &str = "jm-fencing";

/// Whether a target rejects orders with an outdated fencing number. Operators set it in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingCheck {
    /// The target rejects orders with an outdated fencing number.
    Checked,
    /// The target ignores the fencing number, so no order is sent to it before [`LeaseGuard::orders_allowed_at`].
    Ignored,
}

/// Fencing mode and time limits of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderOptions {
    /// Whether the target checks fencing numbers.
    pub fencing: FencingCheck,
    /// Maximum time to establish the connection. Nothing is written during it.
    pub connect_timeout_ms: DurationMs,
    /// Maximum time from the write to the end of the response. Set it to `longest_order_ms` of the lease.
    pub longest_order_ms: DurationMs,
}

/// Why no byte of an order was written.
#[derive(Debug)]
pub enum OrderRefusal {
    /// The connection could not be established.
    Connect(io::Error),
    /// The lease expired before the first byte was written.
    LeaseExpired,
    /// Orders of an earlier holder may still take effect at a target that ignores fencing numbers.
    TooEarly,
    /// The order exceeds 16,384 bytes, the size that is sent in one write.
    TooLarge,
    /// The request cannot be encoded; carries the error text.
    Invalid(String),
    /// The connection failed before the first byte was written.
    Write(io::Error),
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::LeaseExpired => f.write_str("the lease expired before the order was written"),
            Self::TooEarly => f.write_str("an order of an earlier lease holder may still take effect"),
            Self::TooLarge => write!(f, "the order exceeds {MAX_ORDER_BYTES} bytes"),
            Self::Invalid(reason) => write!(f, "the order cannot be encoded: {reason}"),
            Self::Write(error) => write!(f, "the connection failed before the order was written: {error}"),
        }
    }
}

/// Outcome of sending an order.
#[derive(Debug)]
pub enum OrderOutcome {
    /// The order was written and a complete response was received.
    Written {
        /// HTTP status of the response.
        status: StatusCode,
        /// Body of the response, at most 65,536 bytes.
        body: Vec<u8>,
    },
    /// No byte was written. The target did not execute the order.
    NotWritten(OrderRefusal),
    /// The order was written completely or in part, but no complete response was received.
    Unknown {
        /// Error text for the log.
        reason: String,
    },
}

/// Connects to `address` and writes `request` as one order. The lease is checked in the write itself, so that nothing
/// is written if the process was suspended while it connected and the lease has expired since.
pub async fn send_guarded_order(
    address: &str,
    request: Request,
    guard: &LeaseGuard,
    clock: Arc<dyn Clock>,
    options: OrderOptions,
) -> OrderOutcome {
    match limited(options.connect_timeout_ms, connect(address)).await {
        Ok(stream) => write_guarded_order(stream, request, guard, clock, options).await,
        Err(error) => OrderOutcome::NotWritten(OrderRefusal::Connect(error)),
    }
}

/// Writes `request` as one order to an established connection and reads the response.
pub async fn write_guarded_order(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + Sync + 'static,
    request: Request,
    guard: &LeaseGuard,
    clock: Arc<dyn Clock>,
    options: OrderOptions,
) -> OrderOutcome {
    let method = request.method();
    let bytes = match encode(request, guard).await {
        Ok(bytes) => bytes,
        Err(refusal) => return OrderOutcome::NotWritten(refusal),
    };
    if options.fencing == FencingCheck::Ignored && clock.now() < guard.orders_allowed_at() {
        return OrderOutcome::NotWritten(OrderRefusal::TooEarly);
    }
    let mut writer = GuardedWriter::new(stream, guard.clone(), clock);
    let exchange = async {
        writer.write_all(&bytes).await?;
        writer.flush().await
    };
    let started_at = std::time::Instant::now();
    if let Err(error) = limited(options.longest_order_ms, exchange).await {
        return unwritten(&writer, error);
    }
    let remaining = options
        .longest_order_ms
        .as_std()
        .saturating_sub(started_at.elapsed());
    read_response(writer.into_inner(), method, remaining).await
}

fn unwritten<W>(writer: &GuardedWriter<W>, error: io::Error) -> OrderOutcome {
    if writer.written_bytes() > 0 {
        let reason = format!("only a part of the order was written: {error}");
        return OrderOutcome::Unknown { reason };
    }
    if error.kind() == io::ErrorKind::PermissionDenied {
        return OrderOutcome::NotWritten(OrderRefusal::LeaseExpired);
    }
    OrderOutcome::NotWritten(OrderRefusal::Write(error))
}

async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn limited<T>(limit: DurationMs, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit.as_std(), work)
        .await
        .unwrap_or_else(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "timed out")))
}

/// Encodes head and body into one buffer, so that they are sent in one write.
async fn encode(mut request: Request, guard: &LeaseGuard) -> Result<Vec<u8>, OrderRefusal> {
    request.insert_header(FENCING_HEADER, guard.fencing().to_string());
    request.insert_header("connection", "close");
    let mut bytes = Vec::new();
    let limit = MAX_ORDER_BYTES as u64 + 1;
    let mut encoder = async_h1::client::Encoder::new(request).take(limit);
    let invalid = |error: io::Error| OrderRefusal::Invalid(error.to_string());
    encoder.read_to_end(&mut bytes).await.map_err(invalid)?;
    if bytes.len() > MAX_ORDER_BYTES {
        return Err(OrderRefusal::TooLarge);
    }
    Ok(bytes)
}

async fn read_response(stream: impl AsyncRead + Unpin, method: Method, limit: Duration) -> OrderOutcome {
    let limits = Limits {
        body_bytes: MAX_ANSWER_BYTES,
        ..Limits::default()
    };
    let answer = read_whole_response(stream, method, &limits);
    match timeout(limit, answer).await {
        Ok(Ok((status, body))) => OrderOutcome::Written { status, body },
        Ok(Err(error)) => OrderOutcome::Unknown {
            reason: error.to_string(),
        },
        Err(_) => OrderOutcome::Unknown {
            reason: "no response within the maximum order time".to_owned(),
        },
    }
}
