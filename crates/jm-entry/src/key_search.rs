//! Searches a text for a key in any encoding: percent-encoded, with JSON escapes, in base64, or with different letter
//! case.
//!
//! The text is decoded layer by layer and each layer is searched. A part that only looks encoded decodes to bytes that
//! do not contain the key, so needless decoding costs time but does not cause a refusal.

/// Maximum number of layers of percent-encoding and JSON escapes that are decoded. A target decodes one or two. Without
/// this limit, decoding nested escapes would take time quadratic in the length of the text.
const MAX_ESCAPE_LAYERS: usize = 4;
/// Number of digits in a base64 group. Characters before an encoded key may look like base64 digits, so decoding is
/// tried from each position within a group.
const BASE64_GROUP: usize = 4;

/// A key that is prepared for searches.
pub(crate) struct KeySearch {
    /// The key in the form that [`normalized`] returns, as received and after each layer of escapes is decoded.
    keys: Vec<Vec<u8>>,
    /// Minimum number of base64 digits that can encode one of `keys`.
    base64_digits: usize,
}

impl KeySearch {
    /// Prepares a key. An empty key is never found.
    pub(crate) fn new(key: &str) -> Self {
        // A key may itself contain an escape sequence, which is decoded together with the surrounding text. Therefore
        // the decoded key is searched for as well.
        let mut keys = layers(key.as_bytes());
        keys.iter_mut().for_each(|key| *key = normalized(key));
        keys.retain(|key| !key.is_empty());
        let shortest = keys.iter().map(Vec::len).min().unwrap_or_default();
        Self {
            keys,
            base64_digits: shortest * 8 / 6,
        }
    }

    /// Whether `text` contains the key in any encoding.
    pub(crate) fn is_in(&self, text: &[u8]) -> bool {
        if self.keys.is_empty() {
            return false;
        }
        layers(text)
            .iter()
            .any(|layer| self.is_in_plain_text(layer) || self.is_in_base64(layer))
    }

    fn is_in_base64(&self, text: &[u8]) -> bool {
        base64_runs(text, self.base64_digits)
            .flat_map(|run| (0..BASE64_GROUP).map(move |start| decoded_base64(run, start)))
            .any(|decoded| layers(&decoded).iter().any(|layer| self.is_in_plain_text(layer)))
    }

    fn is_in_plain_text(&self, text: &[u8]) -> bool {
        let text = normalized(text);
        self.keys.iter().any(|key| contains(&text, key))
    }
}

fn contains(text: &[u8], key: &[u8]) -> bool {
    let mut windows = text.windows(key.len());
    windows.any(|window| window[0] == key[0] && window == key)
}

/// Converts `text` to lower case and replaces plus signs by spaces, as form encoding does.
fn normalized(text: &[u8]) -> Vec<u8> {
    let fold = |byte: &u8| match byte {
        b'+' => b' ',
        other => other.to_ascii_lowercase(),
    };
    text.iter().map(fold).collect()
}

/// `text`, followed by the result of decoding each further layer of escapes.
fn layers(text: &[u8]) -> Vec<Vec<u8>> {
    let mut layers = vec![text.to_vec()];
    for _ in 0..MAX_ESCAPE_LAYERS {
        let outer = &layers[layers.len() - 1];
        let inner = unescaped(outer);
        if inner == *outer {
            break;
        }
        layers.push(inner);
    }
    layers
}

/// Decodes one layer of percent-encoding and JSON escapes. Invalid escapes are copied unchanged.
fn unescaped(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, after)) = rest.split_first() {
        let escape = match first {
            b'%' => percent_escape(after),
            b'\\' => json_escape(after),
            _ => None,
        };
        match escape {
            Some((character, length)) => {
                let mut buffer = [0; 4];
                decoded.extend_from_slice(character.bytes(&mut buffer));
                rest = &after[length..];
            }
            None => {
                decoded.push(*first);
                rest = after;
            }
        }
    }
    decoded
}

enum Unescaped {
    Byte(u8),
    Character(char),
}

impl Unescaped {
    fn bytes(self, buffer: &mut [u8; 4]) -> &[u8] {
        match self {
            Self::Byte(byte) => {
                buffer[0] = byte;
                &buffer[..1]
            }
            Self::Character(character) => character.encode_utf8(buffer).as_bytes(),
        }
    }
}

/// The byte that is encoded after a percent sign, and the number of digits read.
fn percent_escape(after: &[u8]) -> Option<(Unescaped, usize)> {
    let value = hexadecimal(after.get(..2)?)?;
    let byte = u8::try_from(value).ok()?;
    Some((Unescaped::Byte(byte), 2))
}

/// The character that is encoded after a backslash, and the number of bytes read. A capital `U` is accepted, because
/// the search ignores letter case. Surrogates are not decoded, because a key is ASCII.
fn json_escape(after: &[u8]) -> Option<(Unescaped, usize)> {
    let byte = match after.first()? {
        b'u' | b'U' => {
            let character = char::from_u32(hexadecimal(after.get(1..5)?)?)?;
            return Some((Unescaped::Character(character), 5));
        }
        b'b' => 0x08,
        b'f' => 0x0c,
        b'n' => b'\n',
        b'r' => b'\r',
        b't' => b'\t',
        same @ (b'"' | b'\\' | b'/') => *same,
        _ => return None,
    };
    Some((Unescaped::Byte(byte), 1))
}

fn hexadecimal(digits: &[u8]) -> Option<u32> {
    digits.iter().try_fold(0, |value, digit| {
        let digit = char::from(*digit).to_digit(16)?;
        Some(value * 16 + digit)
    })
}

/// The substrings of `text` that may be base64 with at least `digits` digits. A substring may include line breaks,
/// because encoders wrap long lines.
fn base64_runs(text: &[u8], digits: usize) -> impl Iterator<Item = &[u8]> {
    let is_part = |byte: u8| base64_value(byte).is_some() || matches!(byte, b'\r' | b'\n');
    text.split(move |byte| !is_part(*byte))
        .filter(move |run| !run.is_empty() && run.len() >= digits)
}

/// The value of a digit of the standard or the URL-safe alphabet.
fn base64_value(digit: u8) -> Option<u32> {
    let value = match digit {
        b'A'..=b'Z' => digit - b'A',
        b'a'..=b'z' => digit - b'a' + 26,
        b'0'..=b'9' => digit - b'0' + 52,
        b'+' | b'-' => 62,
        b'/' | b'_' => 63,
        _ => return None,
    };
    Some(u32::from(value))
}

/// Decodes the base64 digits of `run` after skipping `start` digits. Trailing bits that do not form a byte are dropped.
fn decoded_base64(run: &[u8], start: usize) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(run.len() * 3 / 4);
    let mut bits = 0u32;
    let mut bit_count = 0;
    for value in run.iter().filter_map(|digit| base64_value(*digit)).skip(start) {
        bits = bits << 6 | value;
        bit_count += 6;
        if bit_count >= 8 {
            bit_count -= 8;
            decoded.push((bits >> bit_count) as u8);
            bits &= (1 << bit_count) - 1;
        }
    }
    decoded
}
