//! Encodes label values, which come from outside (zones, classes, hosts), so that distinct labels have
//! distinct encodings and no label contains a separator of metric names or of lines.

#[cfg(test)]
mod tests;

use xxhash_rust::xxh3::xxh3_128;

/// The longest encoded label, in bytes. collectd accepts names of at most 127 bytes, which may have other
/// parts besides a label.
const MAX_ENCODED_BYTES: usize = 100;
/// Bytes of the suffix of a truncated label: `_x` and a hash of 128 bits in 32 hexadecimal digits.
const HASH_SUFFIX_BYTES: usize = 34;
const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Encodes a label: ASCII letters, digits and hyphens stay, any other byte becomes `_` and two hexadecimal
/// digits, and the empty label becomes `_`. A label whose encoding is too long is truncated and ends in `_x`
/// and a hash of the complete label; it cannot be decoded.
pub fn encode(label: &str) -> String {
    let mut encoded = String::with_capacity(label.len());
    for byte in label.bytes() {
        if is_plain(byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push('_');
            encoded.push(char::from(HEX_DIGITS[usize::from(byte >> 4)]));
            encoded.push(char::from(HEX_DIGITS[usize::from(byte & 15)]));
        }
    }
    if encoded.is_empty() {
        return "_".into();
    }
    if encoded.len() > MAX_ENCODED_BYTES {
        let hash = xxh3_128(label.as_bytes());
        encoded.truncate(MAX_ENCODED_BYTES - HASH_SUFFIX_BYTES);
        encoded.push_str(&format!("_x{hash:032x}"));
    }
    encoded
}

/// Decodes a label. Returns `None` if the text is not an output of [`encode`], or if the label was truncated.
pub fn decode(encoded: &str) -> Option<String> {
    if encoded == "_" {
        return Some(String::new());
    }
    let mut bytes = Vec::new();
    let mut rest = encoded.bytes();
    while let Some(byte) = rest.next() {
        if is_plain(byte) {
            bytes.push(byte);
        } else if byte == b'_' {
            let high = hex_value(rest.next()?)?;
            let low = hex_value(rest.next()?)?;
            bytes.push(high * 16 + low);
        } else {
            return None;
        }
    }
    let label = String::from_utf8(bytes).ok()?;
    // Only the encoding that `encode` writes for a label is accepted.
    (!label.is_empty() && encode(&label) == encoded).then_some(label)
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'-'
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    Some(value as u8)
}
