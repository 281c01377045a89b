//! Frames: a length of four bytes, most significant first, and that many bytes of one message.

use tokio_util::codec::LengthDelimitedCodec;

/// Bytes of the length that comes first.
pub const HEAD: usize = 4;
/// No message holds more.
pub const LARGEST: usize = 1 << 20;

/// The codec of every connection.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(HEAD).max_frame_length(LARGEST).new_codec()
}

/// Whether the first bytes of a connection begin an HTTP request. Read as a length, each of these would be
/// far more than [`LARGEST`], so no frame can be taken for a request.
pub fn is_http(first: &[u8; HEAD]) -> bool {
    matches!(first, b"GET " | b"HEAD" | b"POST" | b"PUT " | b"DELE" | b"OPTI" | b"PATC")
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::{Bytes, BytesMut};
    use tokio_util::codec::{Decoder, Encoder};

    #[test]
    fn frames_come_out_whole_however_their_bytes_arrive() {
        let mut wire = BytesMut::new();
        codec().encode(Bytes::from_static(b"one"), &mut wire).unwrap();
        codec().encode(Bytes::from_static(b"three"), &mut wire).unwrap();
        assert_eq!(&wire[..7], b"\0\0\0\x03one");
        let (mut reader, mut arrived, mut frames) = (codec(), BytesMut::new(), Vec::new());
        for byte in wire {
            arrived.extend_from_slice(&[byte]);
            frames.extend(reader.decode(&mut arrived).unwrap());
        }
        assert_eq!(frames, ["one", "three"]);
    }

    #[test]
    fn a_frame_over_the_limit_is_refused_by_its_head_alone() {
        let mut wire = BytesMut::from(&(LARGEST as u32 + 1).to_be_bytes()[..]);
        assert!(codec().decode(&mut wire).is_err());
        let mut wire = BytesMut::from(&(LARGEST as u32).to_be_bytes()[..]);
        assert!(codec().decode(&mut wire).unwrap().is_none());
    }

    #[test]
    fn what_begins_a_request_is_no_length_of_a_frame() {
        for method in [b"GET ", b"HEAD", b"POST", b"PUT ", b"DELE", b"OPTI", b"PATC"] {
            assert!(is_http(method) && u32::from_be_bytes(*method) as usize > LARGEST);
        }
        assert!(!is_http(&[0, 0, 0, 15]));
    }
}
