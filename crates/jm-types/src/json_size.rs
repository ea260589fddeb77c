//! Size of texts in JSON.

/// Number of bytes that a text takes in JSON, without the quotation marks around it. `serde_json` escapes only what it has to.
pub fn json_text_bytes(text: &str) -> usize {
    text.bytes().map(escaped_bytes).sum()
}

fn escaped_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..=0x1f => 6,
        _ => 1,
    }
}
