//! Guards against a handler that runs with a truncated, oversized or badly chunked body. A peer that still reads must
//! receive an error response.

mod common;

use std::net::Shutdown;

use common::{TestServer, long_limits, read_to_close};
use futures::AsyncWriteExt;
use jm_types::{ByteSize, DurationMs, ResultCode};
use quickcheck::{Gen, QuickCheck, TestResult};

const HEAD: &str = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
/// End of a head that declares a chunked body.
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// What a sender does after its last byte. Closing after a complete request would count as a disconnect of the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterSend {
    Close,
    Wait,
}

async fn response_to(lines_and_body: &[u8], after_send: AfterSend) -> (String, usize) {
    let server = TestServer::echo(long_limits()).await;
    let mut stream = server.connect().await;
    stream.write_all(HEAD.as_bytes()).await.unwrap();
    stream.write_all(lines_and_body).await.unwrap();
    if after_send == AfterSend::Close {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let response = read_to_close(&mut stream).await;
    (response, server.handled())
}

async fn refuses(lines_and_body: &str, after_send: AfterSend, code: ResultCode) {
    let (response, handled) = response_to(lines_and_body.as_bytes(), after_send).await;
    assert!(
        response.contains(&code.to_string()),
        "{lines_and_body:?} got {response:?}"
    );
    assert_eq!(handled, 0, "{lines_and_body:?}");
}

#[async_std::test]
async fn refuses_truncated_bodies() {
    refuses(
        "content-length: 30\r\n\r\nabc",
        AfterSend::Close,
        ResultCode::CutBody,
    )
    .await;
    refuses(
        &format!("{CHUNKED}5\r\nabc"),
        AfterSend::Close,
        ResultCode::CutBody,
    )
    .await;
    refuses(
        &format!("{CHUNKED}3\r\nabc\r\n"),
        AfterSend::Close,
        ResultCode::CutBody,
    )
    .await;
    refuses(
        &format!("{CHUNKED}3\r\nabc\r\n0\r\n"),
        AfterSend::Close,
        ResultCode::CutBody,
    )
    .await;
}

#[async_std::test]
async fn refuses_bad_chunks() {
    let bodies = [
        "xyz\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "3 4\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "00000000000000003\r\nabc\r\n0\r\n\r\n",
    ];
    for body in bodies {
        refuses(
            &format!("{CHUNKED}{body}"),
            AfterSend::Wait,
            ResultCode::MalformedRequest,
        )
        .await;
    }
    let long_extension = format!("{CHUNKED}3;{}\r\nabc\r\n0\r\n\r\n", "x".repeat(500));
    refuses(&long_extension, AfterSend::Wait, ResultCode::MalformedRequest).await;
}

#[async_std::test]
async fn refuses_large_bodies() {
    refuses(
        "content-length: 1001\r\n\r\nabc",
        AfterSend::Wait,
        ResultCode::BodyTooLarge,
    )
    .await;
    let chunk = format!("3E9\r\n{}\r\n0\r\n\r\n", "x".repeat(1_001));
    refuses(
        &format!("{CHUNKED}{chunk}"),
        AfterSend::Wait,
        ResultCode::BodyTooLarge,
    )
    .await;
}

#[async_std::test]
async fn refuses_stalled_bodies() {
    let mut limits = long_limits();
    limits.body_timeout_ms = DurationMs::new(50);
    let server = TestServer::echo(limits).await;
    let request = format!("{HEAD}content-length: 30\r\n\r\nabc");
    let response = server.exchange(request.as_bytes()).await;
    assert!(
        response.contains(&ResultCode::RequestTimeout.to_string()),
        "{response:?}"
    );
    assert_eq!(server.handled(), 0);
}

/// Guards against a connection reset that destroys the error response while the peer is still sending a large body.
#[async_std::test]
async fn refusal_reaches_a_busy_sender() {
    let mut limits = long_limits();
    limits.body_bytes = ByteSize::new(10);
    let server = TestServer::echo(limits).await;
    let mut request = format!("{HEAD}content-length: 4000000\r\n\r\n").into_bytes();
    request.resize(request.len() + 4_000_000, b'x');
    let response = server.exchange(&request).await;
    assert!(
        response.contains(&ResultCode::BodyTooLarge.to_string()),
        "{response:?}"
    );
}

fn chunked(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        bytes.extend_from_slice(format!("{:x};ext=1\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\ntrailer: 1\r\n\r\n");
    bytes
}

/// Guards against a chunked body that reaches the handler although it is truncated, or is refused although it is
/// complete.
#[test]
fn chunked_body_is_complete_or_refused() {
    fn property(chunks: Vec<Vec<u8>>, truncation: usize) -> TestResult {
        let content = chunks
            .concat()
            .into_iter()
            .map(|byte| b'a' + byte % 26)
            .collect::<Vec<_>>();
        if content.len() > 1_000 {
            return TestResult::discard();
        }
        let mut rest = content.as_slice();
        let mut printable = Vec::new();
        for chunk in &chunks {
            let (front, back) = rest.split_at(chunk.len());
            printable.push(front.to_vec());
            rest = back;
        }
        let encoded = chunked(&printable);
        let sent = encoded.len() - truncation % encoded.len().min(12);
        let body = [CHUNKED.as_bytes(), &encoded[..sent]].concat();
        let after_send = if sent == encoded.len() {
            AfterSend::Wait
        } else {
            AfterSend::Close
        };
        let (response, handled) = async_std::task::block_on(response_to(&body, after_send));
        let expected = usize::from(sent == encoded.len());
        let is_refused = response.contains(&ResultCode::CutBody.to_string());
        let content = String::from_utf8(content).unwrap();
        let is_echoed = response.ends_with(&format!("\r\n\r\n{content}"));
        TestResult::from_bool(
            handled == expected && (is_refused != is_echoed) && is_echoed == (expected == 1),
        )
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 7))
        .tests(40)
        .quickcheck(property as fn(Vec<Vec<u8>>, usize) -> TestResult);
}
