//! Guards against bodies that fill the memory of a process together, although each of them is within its own limit.

mod common;

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use common::{long_limits, with_hang_timeout};
use futures::{AsyncRead, future::join_all, io::BufReader};
use http_types::{Body, Response};
use jm_http::{BufferBudget, Client, Limits, RejectionReason};
use jm_types::{ByteSize, DurationMs};

const BODY_BYTES: usize = 4_000_000;
const BUDGET_BYTES: usize = 8_000_000;
const BODIES: usize = 50;
/// Size up to which a body does not count, with the buffers of its readers.
const SMALL_BYTES: usize = 100_000;

/// A body without end. Every second read waits, so that all bodies are read at the same time.
struct Endless {
    is_waiting: bool,
    own_bytes: usize,
    all_bytes: Arc<AtomicUsize>,
    peak_bytes: Arc<AtomicUsize>,
}

impl AsyncRead for Endless {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.is_waiting = !self.is_waiting;
        if self.is_waiting {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        buffer.fill(b'x');
        self.own_bytes += buffer.len();
        let all = self.all_bytes.fetch_add(buffer.len(), Ordering::SeqCst) + buffer.len();
        self.peak_bytes.fetch_max(all, Ordering::SeqCst);
        Poll::Ready(Ok(buffer.len()))
    }
}

impl Drop for Endless {
    fn drop(&mut self) {
        self.all_bytes.fetch_sub(self.own_bytes, Ordering::SeqCst);
    }
}

fn client() -> Client {
    Client::new(Limits {
        body_bytes: ByteSize::new(BODY_BYTES as u64),
        buffered_bytes: ByteSize::new(BUDGET_BYTES as u64),
        ..long_limits()
    })
}

fn response(body: Body) -> Response {
    let mut response = Response::new(200);
    response.set_body(body);
    response
}

#[async_std::test]
async fn endless_bodies() {
    let client = client();
    let all_bytes = Arc::new(AtomicUsize::new(0));
    let peak_bytes = Arc::new(AtomicUsize::new(0));
    let reads = (0..BODIES).map(|_| {
        let endless = Endless {
            is_waiting: false,
            own_bytes: 0,
            all_bytes: Arc::clone(&all_bytes),
            peak_bytes: Arc::clone(&peak_bytes),
        };
        let mut response = response(Body::from_reader(BufReader::new(endless), None));
        let client = client.clone();
        async move { client.read_body(&mut response).await.unwrap_err() }
    });
    with_hang_timeout(join_all(reads)).await;
    assert!(peak_bytes.load(Ordering::SeqCst) <= BUDGET_BYTES + BODIES * SMALL_BYTES);
    // The memory is free again.
    let mut whole = response(Body::from(vec![1; BODY_BYTES]));
    assert_eq!(client.read_body(&mut whole).await.unwrap().len(), BODY_BYTES);
}

/// Guards against small answers that are refused while large ones fill the budget.
#[async_std::test]
async fn small_bodies_always_fit() {
    let client = client();
    let reads = (0..200).map(|_| {
        let mut response = response(Body::from(vec![1; 60_000]));
        let client = client.clone();
        async move { client.read_body(&mut response).await.unwrap() }
    });
    join_all(reads).await;
}

/// Guards against a body that is read up to the limit although its head declares more.
#[async_std::test]
async fn declared_length() {
    let mut large = response(Body::from(vec![1; BODY_BYTES + 1]));
    let error = client().read_body(&mut large).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
}

/// Guards against a body that can never fit and ends others, or is refused only after a wait.
#[async_std::test]
async fn larger_than_the_budget() {
    let budget = BufferBudget::new(ByteSize::new(BUDGET_BYTES as u64));
    let other = budget.share();
    other.set(BUDGET_BYTES as u64 / 2);
    let share = budget.share();
    let never = DurationMs::new(u64::MAX);
    let refused = with_hang_timeout(share.grow_to(BUDGET_BYTES as u64 + 1, never)).await;
    assert_eq!(refused.unwrap_err().kind(), io::ErrorKind::QuotaExceeded);
    assert_eq!(budget.rejected(RejectionReason::Selected), 0);
    share.grow_to(BUDGET_BYTES as u64 / 2, never).await.unwrap();
}
