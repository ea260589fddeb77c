//! Guards against streams that never end because their target sends a byte now and then, and against streams that are cut
//! although they are slow but sound, or because their caller reads slowly.

use std::{io, time::Duration};

use async_std::{
    channel::{Receiver, unbounded},
    task,
};
use futures::{AsyncReadExt, StreamExt, io::BufReader, stream, stream::TryStreamExt};
use jm_forward::limit_stalls;
use jm_http::Body;
use jm_types::DurationMs;

/// Fails a test that would otherwise hang. No assertion depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A body that sends each piece after its delay in milliseconds, and then nothing more without an end.
fn body(pieces: Vec<(u64, &'static str)>) -> Body {
    let sent = stream::iter(pieces).then(|(delay_ms, piece)| async move {
        task::sleep(Duration::from_millis(delay_ms)).await;
        Ok::<_, io::Error>(piece.as_bytes().to_vec())
    });
    let never = stream::pending();
    let reader = Box::pin(sent.chain(never)).into_async_read();
    Body::from_reader(BufReader::new(reader), None)
}

fn limited(body: Body, limit_ms: u64) -> Body {
    limit_stalls(body, DurationMs::new(limit_ms))
}

/// Reads until the stream is cut, and returns what arrived.
async fn read_until_cut(mut body: Body) -> (String, io::ErrorKind) {
    let mut text = Vec::new();
    let read = async_std::future::timeout(HANG_TIMEOUT, body.read_to_end(&mut text)).await;
    let error = read
        .expect("the stream is cut")
        .expect_err("the stream has no end");
    (String::from_utf8(text).unwrap(), error.kind())
}

#[async_std::test]
async fn bytes_without_events() {
    let mut pieces = vec![(0, "data: a\n\n"), (0, "data: b")];
    pieces.extend([(30, ":"), (30, "\n:\n\n"), (30, "id: 4\n\n")].repeat(400));
    let (text, error) = read_until_cut(limited(body(pieces), 200)).await;
    assert_eq!(error, io::ErrorKind::TimedOut);
    assert!(text.starts_with("data: a\n\ndata: b"), "{text:?}");
    assert!(text.len() < 400, "the rest was not forwarded");
}

#[async_std::test]
async fn silent_target() {
    let (text, error) = read_until_cut(limited(body(vec![(0, "data: a\n\n")]), 50)).await;
    assert_eq!((text.as_str(), error), ("data: a\n\n", io::ErrorKind::TimedOut));
}

/// The whole stream takes many times the limit, and each event arrives in pieces.
#[async_std::test]
async fn slow_but_sound() {
    let mut pieces = [(20, "da"), (20, "ta: a\r"), (20, "\n\r\n")].repeat(12);
    pieces.push((0, "data: last\n\n"));
    let (text, _) = read_until_cut(limited(body(pieces), 400)).await;
    assert!(text.ends_with("data: last\n\n"), "{text:?}");
}

/// The target has sent everything long before the caller reads the second half.
#[async_std::test]
async fn slow_caller() {
    let (sender, pieces): (_, Receiver<&str>) = unbounded();
    for piece in ["data: a\n\nda", "ta: b", "\n\n"] {
        sender.send(piece).await.unwrap();
    }
    let reader = pieces.map(|piece| Ok::<_, io::Error>(piece.as_bytes().to_vec()));
    let reader = reader.into_async_read();
    let mut body = limited(Body::from_reader(BufReader::new(reader), None), 30);
    let mut start = [0; 11];
    body.read_exact(&mut start).await.unwrap();
    task::sleep(Duration::from_millis(60)).await;
    drop(sender);
    let mut rest = String::new();
    body.read_to_string(&mut rest).await.unwrap();
    assert_eq!(rest, "ta: b\n\n");
}
