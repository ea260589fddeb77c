//! One order to a target or to the platform, written under a lease.

use std::{fmt, future::Future, io, sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use http_types::{Request, Response, StatusCode};
use jm_types::{Clock, DurationMs};

use crate::{GuardedWriter, LeaseGuard};

/// Largest order with its head. It fits into the send buffer of a new connection, so that one write takes all of it.
const MAX_ORDER_BYTES: usize = 16_384;

/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 65_536;

/// Header that carries the fencing number.
const FENCING_HEADER: &str = "jm-fencing";

/// Whether a target refuses orders with an old fencing number; the operators state it in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingCheck {
    /// The target refuses orders with an old number.
    Checked,
    /// The target ignores the number, so that it gets no order before [`LeaseGuard::orders_allowed_at`].
    Ignored,
}

/// Time limits of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderOptions {
    /// What the target does with fencing numbers.
    pub fencing: FencingCheck,
    /// Longest time for connecting; nothing is written during it.
    pub connect_timeout_ms: DurationMs,
    /// Longest time from the write to the end of the answer; the `longest_order_ms` of the lease.
    pub longest_order_ms: DurationMs,
}

/// Why not one byte of an order was written.
#[derive(Debug)]
pub enum OrderRefusal {
    /// No connection was made.
    Connect(io::Error),
    /// The lease lapsed before the first byte was written.
    LeaseExpired,
    /// Orders of an earlier holder may still take effect at a target that ignores fencing numbers.
    TooEarly,
    /// The order exceeds the size that one write takes.
    TooLarge,
    /// The request cannot be encoded.
    Invalid(String),
    /// The connection failed before the first byte was written.
    Write(io::Error),
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "no connection: {error}"),
            Self::LeaseExpired => f.write_str("the lease lapsed before the order was written"),
            Self::TooEarly => f.write_str("an order of an earlier lease holder may still take effect"),
            Self::TooLarge => write!(f, "the order exceeds {MAX_ORDER_BYTES} bytes"),
            Self::Invalid(reason) => write!(f, "the order cannot be encoded: {reason}"),
            Self::Write(error) => write!(f, "nothing could be written: {error}"),
        }
    }
}

/// What is known about an order.
#[derive(Debug)]
pub enum OrderOutcome {
    /// The order was written and answered in whole.
    Written {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// Not one byte was written; the target did not run the order.
    NotWritten(OrderRefusal),
    /// The order was written in whole or in part and its answer is not known.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// Connects to `address` and writes `request` as one order. The lease is checked in the write itself, so that a freeze
/// while the connection is made writes nothing.
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

/// Writes `request` as one order to a connection and reads the answer.
pub async fn write_guarded_order(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + Sync + 'static,
    request: Request,
    guard: &LeaseGuard,
    clock: Arc<dyn Clock>,
    options: OrderOptions,
) -> OrderOutcome {
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
    let begin = std::time::Instant::now();
    if let Err(error) = limited(options.longest_order_ms, exchange).await {
        return unwritten(&writer, error);
    }
    let rest = options.longest_order_ms.as_std().saturating_sub(begin.elapsed());
    read_answer(writer.into_inner(), rest).await
}

fn unwritten<W>(writer: &GuardedWriter<W>, error: io::Error) -> OrderOutcome {
    if writer.written_bytes() > 0 {
        let reason = format!("the order was written in part: {error}");
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
        .unwrap_or_else(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "the time limit passed")))
}

/// Encodes head and body into one buffer, so that they leave in one write.
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

async fn read_answer(
    stream: impl AsyncRead + Unpin + Send + Sync + 'static,
    limit: Duration,
) -> OrderOutcome {
    let answer = async {
        let response = async_h1::client::decode(stream)
            .await
            .map_err(|error| error.to_string())?;
        whole_answer(response).await
    };
    match timeout(limit, answer).await {
        Ok(Ok((status, body))) => OrderOutcome::Written { status, body },
        Ok(Err(reason)) => OrderOutcome::Unknown { reason },
        Err(_) => OrderOutcome::Unknown {
            reason: "no answer within the longest order time".to_owned(),
        },
    }
}

/// Reads the body and checks it against the stated length: the decoder takes a body that was cut short for whole, and
/// an interim answer for the answer.
async fn whole_answer(mut response: Response) -> Result<(StatusCode, Vec<u8>), String> {
    let status = response.status();
    if status.is_informational() {
        return Err(format!("an interim answer with status {status}"));
    }
    let stated = response
        .header("content-length")
        .map(|values| values.as_str().to_owned());
    let mut body = Vec::new();
    let mut reader = response.take_body().into_reader().take(MAX_ANSWER_BYTES);
    reader
        .read_to_end(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    if stated.is_some_and(|stated| stated != body.len().to_string()) {
        return Err("the body of the answer was cut short".to_owned());
    }
    Ok((status, body))
}
