//! Message framing: determines how the end of a body is found, and decodes bodies with a check for truncation.

use std::io;

use httparse::Header;
use snafu::Snafu;

use crate::chunk::{ChunkDecoder, ChunkStep};

/// Determines the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    /// The body ends when the peer closes the connection. Only valid for responses.
    UntilClose,
    /// Like [`Framing::UntilClose`], on a connection that has failed already. No end of the connection proves that the body is
    /// complete.
    Unfinished,
}

impl Framing {
    /// Returns the framing of a body whose connection failed while the request was being written.
    ///
    /// A socket reports a reset once. After a write has returned it, reads return what was received before the reset and then an end
    /// that looks like an orderly close.
    pub(crate) fn after_write_error(self) -> Self {
        match self {
            Self::UntilClose => Self::Unfinished,
            declared => declared,
        }
    }
}

/// The head of a message does not determine the length of its body.
#[derive(Debug, Snafu)]
pub(crate) enum FramingError {
    #[snafu(display("content-length occurs more than once"))]
    RepeatedLength,
    #[snafu(display("content-length and transfer-encoding occur together"))]
    LengthAndEncoding,
    #[snafu(display("content-length is not a valid number"))]
    BadLength,
    #[snafu(display("transfer-encoding is not exactly \"chunked\""))]
    Encoding,
}

/// Returns the framing that the headers declare, or `None` if they declare none.
pub(crate) fn declared_framing(headers: &[Header<'_>]) -> Result<Option<Framing>, FramingError> {
    let lengths = header_values(headers, "content-length");
    let encodings = header_values(headers, "transfer-encoding");
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

/// Returns the values of all headers with the given name.
pub(crate) fn header_values<'a>(headers: &[Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value).collect()
}

/// Whether a comma-separated header contains `token`.
pub(crate) fn has_token(headers: &[Header<'_>], name: &str, token: &str) -> bool {
    header_values(headers, name)
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

/// Reason why a body is incomplete or invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum BodyError {
    #[snafu(display("the body ended before its declared length"))]
    Truncated,
    #[snafu(display("the connection failed before the end of a body without a declared length"))]
    Unfinished,
    #[snafu(display("invalid chunk: {reason}"))]
    BadChunk { reason: &'static str },
}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::Truncated | BodyError::Unfinished => io::ErrorKind::UnexpectedEof,
            BodyError::BadChunk { .. } => io::ErrorKind::InvalidData,
        };
        Self::new(kind, error.to_string())
    }
}

/// Classification of the next input bytes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyStep {
    NeedMore,
    /// Number of framing bytes to skip.
    Skip(usize),
    /// Number of body bytes.
    Data(usize),
    Done,
}

/// Separates the body bytes from the framing bytes in the input.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    Length { remaining_bytes: u64 },
    Chunked(ChunkDecoder),
    UntilClose,
    Unfinished,
}

impl BodyDecoder {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(remaining_bytes) => Self::Length { remaining_bytes },
            Framing::Chunked => Self::Chunked(ChunkDecoder::default()),
            Framing::UntilClose => Self::UntilClose,
            Framing::Unfinished => Self::Unfinished,
        }
    }

    /// Classifies the start of `input`. The caller must consume the returned number of bytes before the next step.
    pub(crate) fn step(&mut self, input: &[u8]) -> Result<BodyStep, BodyError> {
        match self {
            Self::Length { remaining_bytes: 0 } => Ok(BodyStep::Done),
            Self::Length { .. } | Self::UntilClose | Self::Unfinished if input.is_empty() => {
                Ok(BodyStep::NeedMore)
            }
            Self::Length { remaining_bytes } => {
                let amount = input
                    .len()
                    .min(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
                *remaining_bytes -= amount as u64;
                Ok(BodyStep::Data(amount))
            }
            Self::UntilClose | Self::Unfinished => Ok(BodyStep::Data(input.len())),
            Self::Chunked(decoder) => decoder.step(input).map(|step| match step {
                ChunkStep::NeedMore => BodyStep::NeedMore,
                ChunkStep::Skip(amount) => BodyStep::Skip(amount),
                ChunkStep::Data(amount) => BodyStep::Data(amount),
                ChunkStep::Done => BodyStep::Done,
            }),
        }
    }

    /// Checks that the body is complete when the peer closes the connection at this point.
    pub(crate) fn check_close(&self) -> Result<(), BodyError> {
        match self {
            Self::UntilClose => Ok(()),
            Self::Unfinished => UnfinishedSnafu.fail(),
            _ => TruncatedSnafu.fail(),
        }
    }

    /// Whether all bytes of a body with a declared length have been returned.
    pub(crate) fn is_length_reached(&self) -> bool {
        matches!(self, Self::Length { remaining_bytes: 0 })
    }
}
