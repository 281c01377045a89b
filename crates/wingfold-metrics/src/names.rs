//! Names of figures on their way to a receiver. Labels are names from outside (halls, classes, hosts): each is encoded so
//! that no two ever become the same, none can end a part of a name or a line, and each can be read back.

/// Characters that an encoded label may have: collectd takes 127 bytes, and the parts around it need some.
const LONGEST: usize = 100;

/// Encodes a label: letters, digits and hyphens as they are, any other byte as `_` and two hexadecimal digits, nothing as
/// `_`. One that would be too long is cut and ends in `_x` and a hash of the whole: it cannot be read back, and still
/// meets no other.
pub fn encode(label: &str) -> String {
    let mut out = String::with_capacity(label.len());
    for byte in label.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => out.push(char::from(byte)),
            _ => {
                const HEX: &[u8; 16] = b"0123456789abcdef";
                out.push('_');
                out.push(char::from(HEX[usize::from(byte >> 4)]));
                out.push(char::from(HEX[usize::from(byte & 15)]));
            }
        }
    }
    if out.is_empty() {
        return "_".into();
    }
    if out.len() > LONGEST {
        let hash = xxhash_rust::xxh3::xxh3_128(label.as_bytes());
        out.truncate(LONGEST - 34);
        out.push_str(&format!("_x{hash:032x}"));
    }
    out
}

/// Reads a label back; `None` if no label is encoded so, or it was cut.
pub fn decode(text: &str) -> Option<String> {
    if text == "_" {
        return Some(String::new());
    }
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => bytes.push(byte),
            b'_' => {
                let digit = |byte: Option<u8>| char::from(byte?).to_digit(16).filter(|_| byte != Some(b'x'));
                let (high, low) = (digit(rest.next())?, digit(rest.next())?);
                bytes.push((high * 16 + low) as u8);
            }
            _ => return None,
        }
    }
    let label = String::from_utf8(bytes).ok()?;
    // Only what `encode` writes is read: one label has one name.
    (!label.is_empty() && encode(&label) == text).then_some(label)
}

#[cfg(test)]
mod tests;
