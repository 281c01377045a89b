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
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn strange_letters_stay_inside_their_part() {
        assert_eq!(encode("south-gyle"), "south-gyle");
        assert_eq!(encode("a.b c\n1 2"), "a_2eb_20c_0a1_202");
        assert_eq!(encode("a_2eb"), "a_5f2eb");
        assert_eq!(encode(""), "_");
        assert_eq!(decode("a_5f2eb").as_deref(), Some("a_2eb"));
        for wrong in ["", "a.b", "_2", "_zz", "_61", "a_2E", "_ff"] {
            assert_eq!(decode(wrong), None, "{wrong}");
        }
    }

    proptest! {
        #[test]
        fn every_label_is_read_back_and_none_meets_another(one in ".{0,30}", other in ".{0,30}") {
            let encoded = encode(&one);
            prop_assert!(encoded.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
            prop_assert!(encoded.len() <= LONGEST);
            if encoded.len() < LONGEST {
                prop_assert_eq!(decode(&encoded), Some(one.clone()));
            }
            prop_assert_eq!(one == other, encoded == encode(&other));
        }

        #[test]
        fn long_labels_are_cut_and_stay_apart(label in "[a-z. é]{90,400}", more in "[a-z]{1,3}") {
            let (one, other) = (encode(&label), encode(&format!("{label}{more}")));
            prop_assert!(one.len() <= LONGEST && other.len() <= LONGEST);
            prop_assert_ne!(one, other);
        }
    }
}
