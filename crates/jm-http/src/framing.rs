//! How the length of a message body is stated, and a decoder that knows whether a body is whole.

use std::io;

use httparse::Header;
use snafu::Snafu;

use crate::chunk::{ChunkDecoder, ChunkStep};

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    /// The body ends when the peer closes; only answers may use it.
    ToClose,
}

/// The length of a body cannot be told from its head.
#[derive(Debug, Snafu)]
pub(crate) enum FramingError {
    #[snafu(display("content-length is given more than once"))]
    RepeatedLength,
    #[snafu(display("content-length and transfer-encoding are given together"))]
    LengthAndEncoding,
    #[snafu(display("content-length is not a whole number"))]
    BadLength,
    #[snafu(display("transfer-encoding is not exactly \"chunked\""))]
    Encoding,
}

/// The framing that the headers state, or `None` if they state none.
pub(crate) fn stated_framing(headers: &[Header<'_>]) -> Result<Option<Framing>, FramingError> {
    let lengths = values(headers, "content-length");
    let encodings = values(headers, "transfer-encoding");
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => Ok(None),
        ([length], []) => parse_length(length).map(Framing::Length).map(Some),
        ([], [encoding]) if encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        ([], _) => EncodingSnafu.fail(),
        (_, []) => RepeatedLengthSnafu.fail(),
        (_, _) => LengthAndEncodingSnafu.fail(),
    }
}

/// The values of every header called `name`.
pub(crate) fn values<'a>(headers: &[Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value).collect()
}

/// Whether a comma-separated header contains `token`.
pub(crate) fn has_token(headers: &[Header<'_>], name: &str, token: &str) -> bool {
    values(headers, name)
        .iter()
        .flat_map(|value| value.split(|byte| *byte == b','))
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn parse_length(value: &[u8]) -> Result<u64, FramingError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return BadLengthSnafu.fail();
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    text.parse().map_err(|_| FramingError::BadLength)
}

/// Why a body is not whole.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum BodyError {
    #[snafu(display("the body ended before its stated length"))]
    Cut,
    #[snafu(display("bad chunk: {reason}"))]
    BadChunk { reason: &'static str },
}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::Cut => io::ErrorKind::UnexpectedEof,
            BodyError::BadChunk { .. } => io::ErrorKind::InvalidData,
        };
        Self::new(kind, error.to_string())
    }
}

/// What the front of the input holds.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyStep {
    NeedMore,
    /// Framing bytes to pass over.
    Skip(usize),
    /// Bytes of the body.
    Data(usize),
    Done,
}

/// Finds the bytes of a body in what the peer sends.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    Length { remaining_bytes: u64 },
    Chunked(ChunkDecoder),
    ToClose,
}

impl BodyDecoder {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(remaining_bytes) => Self::Length { remaining_bytes },
            Framing::Chunked => Self::Chunked(ChunkDecoder::default()),
            Framing::ToClose => Self::ToClose,
        }
    }

    /// Classifies the front of `input`. The caller must consume what is returned before the next step.
    pub(crate) fn step(&mut self, input: &[u8]) -> Result<BodyStep, BodyError> {
        match self {
            Self::Length { remaining_bytes: 0 } => Ok(BodyStep::Done),
            Self::Length { .. } | Self::ToClose if input.is_empty() => Ok(BodyStep::NeedMore),
            Self::Length { remaining_bytes } => {
                let amount = input
                    .len()
                    .min(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
                *remaining_bytes -= amount as u64;
                Ok(BodyStep::Data(amount))
            }
            Self::ToClose => Ok(BodyStep::Data(input.len())),
            Self::Chunked(decoder) => decoder.step(input).map(|step| match step {
                ChunkStep::NeedMore => BodyStep::NeedMore,
                ChunkStep::Skip(amount) => BodyStep::Skip(amount),
                ChunkStep::Data(amount) => BodyStep::Data(amount),
                ChunkStep::Done => BodyStep::Done,
            }),
        }
    }

    /// Whether the body is whole if the peer closes now.
    pub(crate) fn at_close(&self) -> Result<(), BodyError> {
        match self {
            Self::ToClose => Ok(()),
            _ => CutSnafu.fail(),
        }
    }

    /// Whether the last byte of a body of stated length was handed out.
    pub(crate) fn is_length_reached(&self) -> bool {
        matches!(self, Self::Length { remaining_bytes: 0 })
    }
}
