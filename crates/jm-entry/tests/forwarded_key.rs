//! Guards against a caller's key that reaches a target: no forwarded byte sequence contains the key in any encoding.

use std::fmt;

use jm_entry::{CallerHead, ForwardError, ForwardedHead, RequestPart, check_body_for_key, forward_head};
use jm_http::Method;
use jm_types::ResultCode;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

const KEY_CHARACTERS: &[u8] = b"abcdefghijkLMNOPQRSTUVWXYZ0123456789-._~+/=% ";
const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

#[derive(Debug, Clone, Copy)]
enum Encoding {
    Plain,
    Case,
    /// Percent-encodes the characters whose bit is set, with lower-case digits if the flag is set.
    Percent(u64, bool),
    PlusForSpace,
    Json(u64, bool),
    /// Base64 of the text after a user name of this length, in the URL-safe alphabet if the flag is set.
    Base64(usize, bool),
    Basic(usize),
    WrappedBase64(usize),
}

impl Arbitrary for Encoding {
    fn arbitrary(random: &mut Gen) -> Self {
        let mask = u64::arbitrary(random) | u64::arbitrary(random);
        let flag = bool::arbitrary(random);
        let length = usize::arbitrary(random) % 7;
        match u8::arbitrary(random) % 8 {
            0 => Self::Plain,
            1 => Self::Case,
            2 => Self::Percent(mask, flag),
            3 => Self::PlusForSpace,
            4 => Self::Json(mask, flag),
            5 => Self::Base64(length, flag),
            6 => Self::Basic(length),
            _ => Self::WrappedBase64(length),
        }
    }
}

impl Encoding {
    fn is_base64(self) -> bool {
        matches!(self, Self::Base64(..) | Self::Basic(_) | Self::WrappedBase64(_))
    }

    fn apply(self, text: &str) -> String {
        match self {
            Self::Plain => text.to_owned(),
            Self::Case => text.chars().map(switched_case).collect(),
            Self::Percent(mask, lower) => escape(text, mask, |byte| match lower {
                true => format!("%{byte:02x}"),
                false => format!("%{byte:02X}"),
            }),
            Self::PlusForSpace => text.replace(' ', "+"),
            Self::Json(mask, lower) => escape(text, mask, |byte| match lower {
                true => format!("\\u{byte:04x}"),
                false => format!("\\u{byte:04X}"),
            }),
            Self::Base64(user, url) => match url {
                true => base64(user, text).replace('+', "-").replace('/', "_"),
                false => base64(user, text),
            },
            Self::Basic(user) => format!("Basic {}==", base64(user, text)),
            Self::WrappedBase64(user) => {
                let digits = base64(user, text);
                let lines = digits
                    .as_bytes()
                    .chunks(16)
                    .map(|line| std::str::from_utf8(line).unwrap());
                lines.collect::<Vec<_>>().join("\r\n")
            }
        }
    }
}

fn switched_case(character: char) -> char {
    match character.is_ascii_lowercase() {
        true => character.to_ascii_uppercase(),
        false => character.to_ascii_lowercase(),
    }
}

/// A percent sign or backslash is always escaped, as an encoder must do.
fn escape(text: &str, mask: u64, escaped: impl Fn(u8) -> String) -> String {
    let encode_byte =
        |(index, byte): (usize, u8)| match mask >> (index % 64) & 1 == 1 || b"%\\".contains(&byte) {
            true => escaped(byte),
            false => char::from(byte).to_string(),
        };
    text.bytes().enumerate().map(encode_byte).collect()
}

fn base64(user_length: usize, text: &str) -> String {
    let bytes = [&b"usernames"[..user_length], text.as_bytes()].concat();
    let mut digits = String::new();
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0, |bits, index| {
            bits << 8 | u32::from(*group.get(index).unwrap_or(&0))
        });
        for digit in 0..=group.len() {
            digits.push(char::from(BASE64[(bits >> (18 - 6 * digit) & 63) as usize]));
        }
    }
    digits
}

/// A key, and a text that contains it after up to three encodings, of which at most one is base64.
#[derive(Debug, Clone)]
struct EncodedKey {
    key: String,
    encoded: String,
    text: String,
}

impl Arbitrary for EncodedKey {
    fn arbitrary(random: &mut Gen) -> Self {
        let length = 16 + usize::arbitrary(random) % 30;
        let key = (0..length).map(|_| char::from(*random.choose(KEY_CHARACTERS).unwrap()));
        let key = key.collect::<String>();
        let mut encoded = key.clone();
        let mut has_base64 = false;
        for _ in 0..3 {
            let next = Encoding::arbitrary(random);
            if next.is_base64() && has_base64 {
                continue;
            }
            // A change of letter case changes what base64 text decodes to.
            if has_base64 && matches!(next, Encoding::Case) {
                continue;
            }
            has_base64 |= next.is_base64();
            encoded = next.apply(&encoded);
        }
        let before = random
            .choose(&["", "/v1/a/", "/b?c=", "x", "AAA", "\"", "{\"a\":\"", " "])
            .unwrap();
        let after = random
            .choose(&["", "/d", "&e=f", "x", "BB", "\"}", "=="])
            .unwrap();
        let text = format!("{before}{encoded}{after}");
        Self { key, encoded, text }
    }
}

fn bytes_of(head: &ForwardedHead) -> String {
    let mut text = format!("{} {}", head.method, head.path_and_query);
    for (name, value) in &head.headers {
        text += &format!("\r\n{name}: {value}");
    }
    text
}

fn forward(path: &str, headers: &[(&str, &str)], key: &str) -> Result<ForwardedHead, ForwardError> {
    let head = CallerHead {
        method: Method::Post,
        path_and_query: path,
        headers,
    };
    forward_head(&head, Some(key))
}

fn check(property: fn(EncodedKey) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(5_000)
        .quickcheck(property);
}

fn test_result(holds: bool, case: impl fmt::Debug) -> TestResult {
    match holds {
        true => TestResult::passed(),
        false => TestResult::error(format!("{case:?}")),
    }
}

#[test]
fn key_in_path_is_refused() {
    check(|encoded_key| {
        let part = RequestPart::PathAndQuery;
        let result = forward(&encoded_key.text, &[], &encoded_key.key);
        test_result(result == Err(ForwardError::KeyInRequest { part }), encoded_key)
    });
}

#[test]
fn key_in_body_is_refused() {
    check(|encoded_key| {
        let part = RequestPart::Body;
        let result = check_body_for_key(encoded_key.text.as_bytes(), Some(&encoded_key.key));
        test_result(result == Err(ForwardError::KeyInRequest { part }), encoded_key)
    });
}

#[test]
fn key_in_headers_is_refused_or_dropped() {
    let names = [
        "Accept",
        "accept-language",
        "content-language",
        "Content-Length",
        "CONTENT-TYPE",
        "authorization",
        "cookie",
        "user-agent",
        "x-key",
        "jm-key",
        "host",
        "referer",
        "proxy-authorization",
        "expect",
        "idempotency-key",
        "order-ticket",
    ];
    for (index, name) in names.into_iter().enumerate() {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(64, index as u64))
            .tests(500)
            .quickcheck(HeaderProperty {
                name,
                allowed: index < 5,
            });
    }
}

struct HeaderProperty {
    name: &'static str,
    allowed: bool,
}

impl Testable for HeaderProperty {
    fn result(&self, random: &mut Gen) -> TestResult {
        let encoded_key = EncodedKey::arbitrary(random);
        let headers = [("accept", "text/plain"), (self.name, encoded_key.text.as_str())];
        let holds = match forward("/v1/a", &headers, &encoded_key.key) {
            Err(error) => self.allowed && error.code() == ResultCode::KeyInRequest,
            Ok(head) => !self.allowed && !bytes_of(&head).contains(&encoded_key.encoded),
        };
        test_result(holds, (self.name, encoded_key))
    }
}

/// Guards against a request without the key that is refused or changed, even when it is full of escapes and base64.
#[test]
fn other_requests_are_forwarded() {
    fn property(encoded_key: EncodedKey, other: EncodedKey) -> bool {
        let headers = [
            ("Accept", other.text.as_str()),
            ("content-type", "text/plain"),
            ("cookie", "a"),
        ];
        let head = forward(&other.text, &headers, &encoded_key.key).unwrap();
        let names = head.headers.keys().map(String::as_str).collect::<Vec<_>>();
        head.path_and_query == other.text
            && names == ["accept", "content-type"]
            && head.headers["accept"] == other.text
            && check_body_for_key(other.text.as_bytes(), Some(&encoded_key.key)).is_ok()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 12))
        .tests(2_000)
        .quickcheck(property as fn(EncodedKey, EncodedKey) -> bool);
}

#[test]
fn known_encodings_are_refused() {
    let key = "sk-Riga+42/x";
    let encodings = [
        "sk-Riga+42/x",
        "SK-RIGA+42/X",
        "sk-Riga%2B42%2fx",
        "sk-Riga%252b42%252Fx",
        "%73%6b%2d%52%69%67%61%2b%34%32%2f%78",
        "sk-Riga 42/x",
        "sk-Riga%2042/x",
        r"\u0073k-Riga\u002B42\/x",
        r"%5Cu0073k-Riga+42/x",
        "c2stUmlnYSs0Mi94",
        "Basic dXNlcjpzay1SaWdhKzQyL3g=",
        "Basic%20dXNlcjpzay1SaWdhKzQyL3g%3D",
        "/v1/files/c2stUmlnYSs0Mi94",
    ];
    for encoded in encodings {
        assert!(
            check_body_for_key(encoded.as_bytes(), Some(key)).is_err(),
            "{encoded}"
        );
        assert!(forward(encoded, &[], key).is_err(), "{encoded}");
    }
}

/// Guards against a missed key that itself contains an escape sequence and is encoded with escapes of the other kind.
#[test]
fn key_with_an_escape_is_found() {
    let key = "key-%41-of-a-caller-1";
    for encoded in [
        key,
        r"key-%41-of-a-caller-\u0031",
        "key-%2541-of-a-caller-1",
        "key-A-of-a-caller-1",
    ] {
        assert!(
            check_body_for_key(encoded.as_bytes(), Some(key)).is_err(),
            "{encoded}"
        );
    }
}

/// Guards against a key that is split over two headers of the same name. These are forwarded as one line, so they are
/// searched as one.
#[test]
fn repeated_headers_are_joined() {
    let headers = [("accept", "text/plain"), ("Accept", "text/html")];
    let head = forward("/", &headers, "some-key-of-a-caller").unwrap();
    assert_eq!(head.headers["accept"], "text/plain, text/html");
    assert!(forward("/", &[("accept", "sk"), ("accept", "1")], "sk, 1").is_err());
}

#[test]
fn open_routes_have_no_key() {
    let head = CallerHead {
        method: Method::Get,
        path_and_query: "/v1/a",
        headers: &[("authorization", "Bearer x"), ("accept", "text/plain")],
    };
    for key in [None, Some("")] {
        assert_eq!(forward_head(&head, key).unwrap().headers.len(), 1);
        assert!(check_body_for_key(b"anything", key).is_ok());
    }
}
