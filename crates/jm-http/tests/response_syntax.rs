//! Guards against a malformed response that is returned to the caller of the client.

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use common::{client, get, with_hang_timeout};
use futures::AsyncReadExt;
use jm_http::Client;

/// A peer that answers each request with the bytes that are set.
struct Peer {
    address: SocketAddr,
    response: Arc<Mutex<Vec<u8>>>,
    client: Client,
}

impl Peer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let response = Arc::new(Mutex::new(Vec::new()));
        let set = Arc::clone(&response);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let _ = stream.read(&mut [0; 4_096]);
                let bytes = set.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Write);
            }
        });
        Self {
            address,
            response,
            client: client(),
        }
    }

    /// Whether the response is returned with its whole body.
    async fn is_returned(&self, response: impl Into<Vec<u8>>) -> bool {
        *self.response.lock().unwrap() = response.into();
        let sent = with_hang_timeout(self.client.send_once(get(self.address))).await;
        let Ok(mut response) = sent else { return false };
        let mut body = String::new();
        let read = with_hang_timeout(response.read_to_string(&mut body)).await;
        read.is_ok() && body == "body"
    }
}

fn with_line(line: &[u8]) -> Vec<u8> {
    let rest = b"\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody";
    [b"HTTP/1.1 200 OK\r\n", line, rest].concat()
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

#[async_std::test]
async fn bytes_in_names() {
    let peer = Peer::start();
    for byte in (0..=u8::MAX).filter(|byte| *byte != b':') {
        for (start, end) in [
            ("", "me"),
            ("na", "me"),
            ("na", ""),
            ("a-name-of-more-than-16-bytes", "-and-16-more-bytes"),
        ] {
            let line = [start.as_bytes(), &[byte], end.as_bytes(), b": value"].concat();
            let is_returned = peer.is_returned(with_line(&line)).await;
            assert_eq!(
                is_returned,
                is_token(byte),
                "{:?}",
                line.escape_ascii().to_string()
            );
        }
    }
    for line in [
        ": value",
        "name",
        "name : value",
        "name\t: value",
        " name: value",
        "a: b\r\n c",
        "a: b\r\n\tc",
    ] {
        assert!(!peer.is_returned(with_line(line.as_bytes())).await, "{line:?}");
    }
}

#[async_std::test]
async fn bytes_in_values() {
    let peer = Peer::start();
    for byte in 0..=u8::MAX {
        for (start, end) in [
            ("", "lue"),
            ("va", "lue"),
            ("va", ""),
            ("a value of more than 32 bytes, which", " goes on"),
        ] {
            let line = [b"name: ", start.as_bytes(), &[byte], end.as_bytes()].concat();
            let is_returned = peer.is_returned(with_line(&line)).await;
            let is_valid = byte == b'\t' || matches!(byte, b' '..=b'~');
            assert_eq!(is_returned, is_valid, "{:?}", line.escape_ascii().to_string());
        }
    }
}

#[async_std::test]
async fn status_lines() {
    let peer = Peer::start();
    let response = |line: &str| format!("{line}\r\ncontent-length: 4\r\n\r\nbody");
    for code in 0..1_000 {
        let is_returned = peer.is_returned(response(&format!("HTTP/1.1 {code:03} X"))).await;
        let is_final = (200..600).contains(&code);
        let has_body = ![204, 304].contains(&code);
        assert_eq!(is_returned, is_final && has_body, "{code}");
    }
    let malformed = [
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 +20 X",
        "HTTP/1.1 -20 X",
        "HTTP/1.1  200 X",
        "HTTP/1.1 2 0 X",
        "HTTP/1.1 0xc X",
        "HTTP/1.1 2e2 X",
        "HTTP/1.1 200\0X",
        "HTTP/1.1 200 \0",
        "HTTP/1.1 200 a\x1bb",
        "HTTP/1.1 200 a\rb",
        "HTTP/1.1",
        "HTTP/1.1 X",
        "HTTP/1.1\t200 X",
        " HTTP/1.1 200 X",
        "HTTP/1.2 200 X",
        "HTTP/0.9 200 X",
        "http/1.1 200 X",
        "HTTP/11 200 X",
        "HTTP/1.10 200 X",
        "\r\n\r\nHTTP/1.1 200 X",
        "\r\nHTTP/1.1 200 X",
        "\nHTTP/1.1 200 X",
    ];
    let mut returned = Vec::new();
    for line in malformed {
        if peer.is_returned(response(line)).await {
            returned.push(line);
        }
    }
    assert!(returned.is_empty(), "{returned:?}");
}

/// Guards against a malformed interim response that is skipped as if it were none.
#[async_std::test]
async fn interim_responses() {
    let peer = Peer::start();
    let last = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    for (interim, is_valid) in [
        ("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", true),
        ("HTTP/1.1 199 X\r\n\r\n", true),
        ("HTTP/1.1 103 Early Hints\r\nlink : a\r\n\r\n", false),
        ("HTTP/1.1 103 Early Hints\r\nli\x01nk: a\r\n\r\n", false),
        ("HTTP/1.1 103 Early Hints\r\nlink: \0\r\n\r\n", false),
        ("HTTP/1.1 000 X\r\n\r\n", false),
        ("HTTP/1.1 099 X\r\n\r\n", false),
    ] {
        assert_eq!(
            peer.is_returned(format!("{interim}{last}")).await,
            is_valid,
            "{interim:?}"
        );
    }
}

#[async_std::test]
async fn chunk_lines() {
    let peer = Peer::start();
    let mut wrong = Vec::new();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (line, is_valid) in [
        ("4", true),
        ("04", true),
        ("4;a", true),
        ("4 ;a=b;c=\"d e\"", true),
        ("4;a=\tb", true),
        ("+4", false),
        (" 4", false),
        ("-4", false),
        ("0x4", false),
        ("4 4", false),
        ("4\0", false),
        ("4;a=\0", false),
        ("4;a\x1b=b", false),
        ("4;\x7f", false),
        ("4;a\rb", false),
    ] {
        let body = format!("{head}{line}\r\nbody\r\n0\r\n\r\n");
        if peer.is_returned(body).await != is_valid {
            wrong.push(line);
        }
    }
    for (trailer, is_valid) in [
        ("", true),
        ("a: b\r\n", true),
        ("a:\r\nc: d e\r\n", true),
        ("a b: c\r\n", false),
        ("a : b\r\n", false),
        (" a: b\r\n", false),
        ("a: b\r\n c\r\n", false),
        ("a\x01: b\r\n", false),
        ("a: \0\r\n", false),
        (": b\r\n", false),
        ("a\r\n", false),
        ("HTTP/1.1 200 OK\r\n", false),
        ("a: b\rc\r\n", false),
        ("a: \x7f\r\n", false),
    ] {
        let body = format!("{head}4\r\nbody\r\n0\r\n{trailer}\r\n");
        if peer.is_returned(body).await != is_valid {
            wrong.push(trailer);
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}
