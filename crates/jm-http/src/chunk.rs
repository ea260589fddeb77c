//! Decoder of the chunked transfer coding. Extensions and trailers are read and dropped.

use crate::framing::{BadChunkSnafu, BodyError};

/// Longest chunk-size line including extensions. Extensions have no use here, so the bound only has to admit a size.
const LINE_BYTES: usize = 256;
/// Most bytes in all trailer lines together.
const TRAILER_BYTES: usize = 8_000;
/// Sixteen hexadecimal digits fill 64 bits.
const SIZE_DIGITS: usize = 16;

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
            return bad("the size is not hexadecimal");
        }
        let Some(line) = line(input, LINE_BYTES)? else {
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
            _ => bad("the data is longer than its size"),
        }
    }

    fn trailer(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        let Some(line) = line(input, TRAILER_BYTES - self.trailer_bytes)? else {
            return Ok(ChunkStep::NeedMore);
        };
        self.trailer_bytes += line.len();
        if line.is_empty() {
            self.state = State::Done;
        }
        Ok(ChunkStep::Skip(line.len() + 2))
    }
}

/// The first line of `input` without its line end, or `None` while it is not complete.
fn line(input: &[u8], limit_bytes: usize) -> Result<Option<&[u8]>, BodyError> {
    let end = input.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(input.len()) > limit_bytes + 1 {
        return bad("a line is too long");
    }
    let Some(end) = end else { return Ok(None) };
    match input[..end].split_last() {
        Some((b'\r', line)) if !line.contains(&b'\r') => Ok(Some(line)),
        _ => bad("a line does not end with CR LF"),
    }
}

fn parse_size(line: &[u8]) -> Result<u64, BodyError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = size.trim_ascii_end();
    let is_size = (1..=SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_size {
        return bad("the size is not hexadecimal");
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    u64::from_str_radix(text, 16).or_else(|_| bad("the size is not hexadecimal"))
}

fn bad<T>(reason: &'static str) -> Result<T, BodyError> {
    BadChunkSnafu { reason }.fail()
}
