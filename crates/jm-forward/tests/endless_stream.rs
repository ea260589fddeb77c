//! Guards against a stream of whole events without end that is passed on beyond the deadline of its request, and against
//! sound streams that are cut before it.

mod common;

use std::{
    future::pending,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{future::timeout, task};
use common::{Does, forwarder, request, route};
use futures::{AsyncReadExt, StreamExt, TryStreamExt, io::BufReader, stream};
use jm_forward::{Access, AnswerBody, RouteKind, limit_duration};
use jm_http::Body;
use jm_types::DurationMs;

/// Fails a test that would otherwise hang. No assertion depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

fn events(gap: Option<Duration>, count: usize) -> Body {
    let events = stream::iter(0..count).then(move |_| async move {
        if let Some(gap) = gap {
            task::sleep(gap).await;
        }
        Ok::<_, io::Error>(b"data: a\n\n".to_vec())
    });
    Body::from_reader(BufReader::new(Box::pin(events).into_async_read()), None)
}

async fn read_all(mut body: Body) -> io::Result<usize> {
    let mut piece = [0; 4_096];
    let mut total = 0;
    let reading = async {
        loop {
            match body.read(&mut piece).await? {
                0 => return Ok(total),
                amount => total += amount,
            }
        }
    };
    timeout(HANG_TIMEOUT, reading).await.expect("the stream ends")
}

#[async_std::test]
async fn events_without_end() {
    // The second target always has bytes, so the reader never waits for it.
    for gap in [Some(Duration::from_millis(5)), None] {
        let expired = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&expired);
        let count = move || {
            counted.fetch_add(1, Ordering::SeqCst);
        };
        let body = limit_duration(events(gap, usize::MAX), DurationMs::new(60), count);
        let error = read_all(body).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
        assert_eq!(expired.load(Ordering::SeqCst), 1);
    }
}

#[async_std::test]
async fn sound_stream() {
    let body = limit_duration(
        events(Some(Duration::from_millis(2)), 50),
        DurationMs::new(60_000),
        || panic!("the stream is sound"),
    );
    assert_eq!(read_all(body).await.unwrap(), 50 * b"data: a\n\n".len());
}

/// Guards against a forwarder that applies the deadline only until the head of the answer.
#[async_std::test]
async fn forwarded_stream() {
    let test = forwarder(&["t1"], vec![("t1", Does::StreamForEver)]);
    let mut route = route(RouteKind::Streaming { is_resumable: false });
    route.timeout_ms = DurationMs::new(100);
    let access = Access::Organisation("parish".parse().unwrap());
    let request = request("/orders/1", Some("key-1"));
    let catalog = || Arc::clone(&test.catalog);
    let forwarded = test
        .forwarder
        .forward(&request, &route, &access, &catalog, pending());
    let answer = forwarded.await.unwrap().answer;
    let AnswerBody::Stream(body) = answer.body else {
        panic!("not a stream");
    };
    assert_eq!(read_all(body).await.unwrap_err().kind(), io::ErrorKind::TimedOut);
}
