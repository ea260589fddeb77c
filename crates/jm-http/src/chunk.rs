//! Decoder for the chunked transfer coding. Chunk extensions and trailers are checked and discarded.

use crate::{
    framing::{BadChunkSnafu, BodyError},
    validate::{is_field_value, is_token},
};

/// Maximum length of a chunk-size line including extensions. Extensions are ignored, so the line only needs room for a
/// size.
const MAX_LINE_BYTES: usize = 256;
/// Maximum total size of the trailer lines.
const MAX_TRAILER_BYTES: usize = 8_000;
/// Maximum number of hexadecimal digits of a chunk size. Sixteen digits represent 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

#[derive(Debug, Default)]
enum State {
    #[default]
    Size,
    Data {
        remaining_bytes: u64,
    },
    DataEnd,
    Trailer,
    Done,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkStep {
    NeedMore,
    Skip(usize),
    Data(usize),
    Done,
}

#[derive(Debug, Default)]
pub(crate) struct ChunkDecoder {
    state: State,
    trailer_bytes: usize,
}

impl ChunkDecoder {
    pub(crate) fn step(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        match self.state {
            State::Size => self.size(input),
            State::Data { remaining_bytes } => Ok(self.data(remaining_bytes, input)),
            State::DataEnd => self.data_end(input),
            State::Trailer => self.trailer(input),
            State::Done => Ok(ChunkStep::Done),
        }
    }

    fn size(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return bad_chunk("the chunk size is not a hexadecimal number");
        }
        let Some(line) = line(input, MAX_LINE_BYTES)? else {
            return Ok(ChunkStep::NeedMore);
        };
        self.state = match parse_size(line)? {
            0 => State::Trailer,
            remaining_bytes => State::Data { remaining_bytes },
        };
        Ok(ChunkStep::Skip(line.len() + 2))
    }

    fn data(&mut self, remaining_bytes: u64, input: &[u8]) -> ChunkStep {
        if input.is_empty() {
            return ChunkStep::NeedMore;
        }
        let amount = input
            .len()
            .min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        self.state = match remaining_bytes - amount as u64 {
            0 => State::DataEnd,
            remaining_bytes => State::Data { remaining_bytes },
        };
        ChunkStep::Data(amount)
    }

    fn data_end(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::Size;
                Ok(ChunkStep::Skip(2))
            }
            [] | [b'\r'] => Ok(ChunkStep::NeedMore),
            _ => bad_chunk("the chunk data exceeds the chunk size"),
        }
    }

    fn trailer(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        let Some(line) = line(input, MAX_TRAILER_BYTES - self.trailer_bytes)? else {
            return Ok(ChunkStep::NeedMore);
        };
        self.trailer_bytes += line.len();
        if line.is_empty() {
            self.state = State::Done;
        } else if !is_field(line) {
            return bad_chunk("a trailer is not a header field");
        }
        Ok(ChunkStep::Skip(line.len() + 2))
    }
}

/// Returns the first line of `input` without its line terminator, or `None` while the line is incomplete.
fn line(input: &[u8], limit_bytes: usize) -> Result<Option<&[u8]>, BodyError> {
    let end = input.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(input.len()) > limit_bytes + 1 {
        return bad_chunk("a line is too long");
    }
    let Some(end) = end else { return Ok(None) };
    match input[..end].split_last() {
        Some((b'\r', line)) if !line.contains(&b'\r') => Ok(Some(line)),
        _ => bad_chunk("a line does not end with CR LF"),
    }
}

fn is_field(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    is_token(name) && parts.next().is_some_and(is_field_value)
}

fn parse_size(line: &[u8]) -> Result<u64, BodyError> {
    if !is_field_value(line) {
        return bad_chunk("a chunk extension has a control character");
    }
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = size.trim_ascii_end();
    let is_size = (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_size {
        return bad_chunk("the chunk size is not a hexadecimal number");
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    u64::from_str_radix(text, 16).or_else(|_| bad_chunk("the chunk size is not a hexadecimal number"))
}

fn bad_chunk<T>(reason: &'static str) -> Result<T, BodyError> {
    BadChunkSnafu { reason }.fail()
}
