//! Guards against orders that are written without a valid lease, and against an outcome that misstates what was
//! written.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use async_std::{net::TcpListener, task};
use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future::join};
use http_types::{Method, Request, StatusCode, Url};
use jm_lease::{
    Acquisition, Duty, FencingCheck, GuardedWriter, LeaseGuard, LeaseManager, LeaseOptions, OrderOptions,
    OrderOutcome, OrderRefusal, send_guarded_order, write_guarded_order,
};
use jm_platform::MemoryPlatform;
use jm_types::{Clock, DurationMs, Incarnation, ManualClock, Timestamp};

const FREEZE: DurationMs = DurationMs::new(60_000);

/// Clock that jumps ahead after a number of readings, as if the process had been suspended at that point.
struct FreezingClock {
    readings_left: AtomicUsize,
}

impl FreezingClock {
    fn after(readings: usize) -> Arc<Self> {
        Arc::new(Self {
            readings_left: AtomicUsize::new(readings),
        })
    }
}

impl Clock for FreezingClock {
    fn now(&self) -> Timestamp {
        let left = self
            .readings_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        left.map_or_else(|_| Timestamp::new(FREEZE.get()), |_| Timestamp::new(0))
    }
}

fn manager(holder: &str) -> LeaseManager {
    let holder = holder.parse().expect("a valid id");
    let options = LeaseOptions::new(Duty::Weights, holder, Incarnation::new(1));
    LeaseManager::new(options).expect("consistent options")
}

async fn acquire(
    manager: &mut LeaseManager,
    store: &MemoryPlatform,
    clock: &dyn Clock,
) -> Option<LeaseGuard> {
    match manager.acquire(store, clock).await.expect("the store answers") {
        Acquisition::Held(guard) => Some(guard),
        Acquisition::Observing { .. } => None,
    }
}

/// A guard that is valid at time 0.
async fn guard() -> LeaseGuard {
    let store = MemoryPlatform::default();
    let guard = acquire(&mut manager("control-1"), &store, &ManualClock::default()).await;
    guard.expect("the lease is free")
}

fn request() -> Request {
    let url = Url::parse("http://engine/weights").expect("a valid address");
    let mut request = Request::new(Method::Post, url);
    request.set_body("version 7");
    request
}

fn options(fencing: FencingCheck) -> OrderOptions {
    OrderOptions {
        fencing,
        connect_timeout_ms: DurationMs::new(5_000),
        longest_order_ms: DurationMs::new(5_000),
    }
}

/// Sends one order to a target that responds with `answer`. Returns the outcome and what the target received.
async fn exchange(clock: Arc<dyn Clock>, fencing: FencingCheck, answer: &str) -> (OrderOutcome, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let guard = guard().await;
    let order = send_guarded_order(&address, request(), &guard, clock, options(fencing));
    let target = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        let mut buffer = [0; 1_024];
        while !received.ends_with(b"version 7") {
            match stream.read(&mut buffer).await.expect("readable") {
                0 => break,
                count => received.extend_from_slice(&buffer[..count]),
            }
        }
        // The write fails if the order was refused, because the sender has then closed the connection.
        drop(stream.write_all(answer.as_bytes()).await);
        String::from_utf8(received).expect("text")
    };
    join(order, target).await
}

/// Guards against an answer that is refused or emptied because of the way in which its end is declared.
#[test]
fn whole_order() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\ndone",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
    ] {
        let clock = Arc::new(ManualClock::default());
        let (outcome, received) = task::block_on(exchange(clock, FencingCheck::Checked, answer));
        let OrderOutcome::Written { status, body } = outcome else {
            panic!("{answer:?}: {outcome:?}");
        };
        assert_eq!(
            (status, body.as_slice()),
            (StatusCode::Ok, b"done".as_slice()),
            "{answer:?}"
        );
        assert!(received.contains("jm-fencing: 1\r\n"), "{received}");
    }
}

/// Guards against a process that is suspended between connecting and writing and then writes with an expired lease. In
/// the second case the suspension follows directly after another check of the lease.
#[test]
fn frozen_writer() {
    for (readings, fencing) in [(0, FencingCheck::Checked), (1, FencingCheck::Ignored)] {
        let clock = FreezingClock::after(readings);
        let (outcome, received) = task::block_on(exchange(clock, fencing, ""));
        assert!(
            matches!(outcome, OrderOutcome::NotWritten(OrderRefusal::LeaseExpired)),
            "{outcome:?}"
        );
        assert_eq!(received, "");
    }
}

#[test]
fn cut_answer() {
    let mut wrong = Vec::new();
    for answer in [
        "",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndone",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx y: z\r\n\r\ndone",
        "HTTP/1.1 200 OK\ncontent-length: 4\n\ndone",
        "HTTP/1.1 299 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ncontent-length: +4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ] {
        let clock = Arc::new(ManualClock::default());
        let (outcome, _) = task::block_on(exchange(clock, FencingCheck::Checked, answer));
        if !matches!(outcome, OrderOutcome::Unknown { .. }) {
            wrong.push((answer, outcome));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn early_order() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), Arc::new(ManualClock::default()));
        let mut old = manager("control-1");
        let old_guard = acquire(&mut old, &store, &*clock)
            .await
            .expect("the lease is free");
        let mut new = manager("control-2");
        assert!(acquire(&mut new, &store, &*clock).await.is_none());
        clock.advance(DurationMs::new(10_000));
        let guard = acquire(&mut new, &store, &*clock)
            .await
            .expect("the term is over");
        assert!(guard.fencing() > old_guard.fencing());
        let stream = PartialStream::default();
        let ignoring = options(FencingCheck::Ignored);
        let outcome = write_guarded_order(stream.clone(), request(), &guard, clock.clone(), ignoring).await;
        assert!(
            matches!(outcome, OrderOutcome::NotWritten(OrderRefusal::TooEarly)),
            "{outcome:?}"
        );
        assert_eq!(stream.written(), 0);
        // A target that checks the fencing number accepts orders at once.
        let checking = options(FencingCheck::Checked);
        let outcome = write_guarded_order(stream.clone(), request(), &guard, clock, checking).await;
        assert!(matches!(outcome, OrderOutcome::Unknown { .. }), "{outcome:?}");
        assert!(stream.written() > 0);
    });
}

/// Stream that accepts at most 16 bytes per write and reports the end of the stream on a read.
#[derive(Clone, Default)]
struct PartialStream {
    written: Arc<Mutex<Vec<u8>>>,
    flushes: Arc<AtomicUsize>,
}

impl PartialStream {
    fn written(&self) -> usize {
        self.written.lock().expect("no thread panicked").len()
    }
}

impl AsyncWrite for PartialStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        let count = bytes.len().min(16);
        let mut written = self.written.lock().expect("no thread panicked");
        written.extend_from_slice(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.flushes.fetch_add(1, Ordering::SeqCst);
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.poll_flush(cx)
    }
}

impl AsyncRead for PartialStream {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, _: &mut [u8]) -> Poll<std::io::Result<usize>> {
        Poll::Ready(Ok(0))
    }
}

/// Guards against a process that is suspended within the write: the remaining bytes must not be written, and the
/// outcome must not be reported as not written.
#[test]
fn partial_order() {
    task::block_on(async {
        let stream = PartialStream::default();
        let options = options(FencingCheck::Checked);
        let clock = FreezingClock::after(2);
        let outcome = write_guarded_order(stream.clone(), request(), &guard().await, clock, options).await;
        assert!(matches!(outcome, OrderOutcome::Unknown { .. }), "{outcome:?}");
        assert_eq!(stream.written(), 32);
    });
}

/// Guards against bytes in a buffer below the guard that are sent by a flush or a close after the lease expired.
#[test]
fn late_flush() {
    task::block_on(async {
        let stream = PartialStream::default();
        let mut writer = GuardedWriter::new(stream.clone(), guard().await, FreezingClock::after(1));
        writer.write_all(b"order").await.expect("the lease is valid");
        writer.flush().await.expect_err("the lease has expired");
        writer.close().await.expect_err("the lease has expired");
        assert_eq!(stream.flushes.load(Ordering::SeqCst), 0);
    });
}
