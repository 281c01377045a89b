use super::*;
use bytes::Bytes;
use tokio_util::codec::Encoder;

#[test]
fn frames_that_arrive_byte_by_byte_are_decoded_whole() {
    let mut wire = BytesMut::new();
    codec().encode(Bytes::from_static(b"one"), &mut wire).unwrap();
    codec().encode(Bytes::from_static(b"three"), &mut wire).unwrap();
    assert_eq!(&wire[..7], b"\0\0\0\x03one");
    let (mut decoder, mut arrived, mut frames) = (FrameDecoder::new(None), BytesMut::new(), Vec::new());
    for byte in wire {
        arrived.extend_from_slice(&[byte]);
        frames.extend(decoder.decode(&mut arrived).unwrap());
    }
    assert_eq!(frames, ["one", "three"]);
}

#[test]
fn frame_over_the_limit_is_rejected_by_its_header() {
    let mut wire = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(FrameDecoder::new(None).decode(&mut wire).is_err());
    let mut wire = BytesMut::from(&(MAX_FRAME_BYTES as u32).to_be_bytes()[..]);
    assert!(FrameDecoder::new(None).decode(&mut wire).unwrap().is_none());
}

/// Encodes a message as a frame.
fn frame(message: &str) -> BytesMut {
    let mut wire = BytesMut::new();
    codec().encode(Bytes::copy_from_slice(message.as_bytes()), &mut wire).unwrap();
    wire
}

#[test]
fn long_frame_is_reduced_to_known_fields_however_it_is_split() {
    let unknown = format!(r#""x":[{}0]"#, r#"{"site":"\u0041]"},"#.repeat(1 << 10));
    let long = format!(r#"{{{unknown}, "site" : "a b", {unknown}, "type":"SOURCE"}}"#);
    let mut wire = frame(&long);
    wire.extend_from_slice(&frame(r#"{"type":"PING"}"#));
    for piece_bytes in [1, 3, 1000, wire.len()] {
        let (mut decoder, mut arrived, mut messages) = (FrameDecoder::new(None), BytesMut::new(), Vec::new());
        for piece in wire.chunks(piece_bytes) {
            arrived.extend_from_slice(piece);
            while let Some(message) = decoder.decode(&mut arrived).unwrap() {
                messages.push(message);
            }
        }
        assert_eq!(messages, [r#"{"site":"a b","type":"SOURCE"}"#, r#"{"type":"PING"}"#]);
    }
}

/// Guards against review case 6: what a connection holds of a message must not grow with the message.
#[test]
fn unfinished_long_frame_keeps_nothing_of_what_has_arrived() {
    let mut arrived = BytesMut::from(&(MAX_FRAME_BYTES as u32).to_be_bytes()[..]);
    let mut decoder = FrameDecoder::new(None);
    arrived.extend_from_slice(br#"{"lines":["#);
    for _ in 0..1000 {
        arrived.extend_from_slice(&b"[0],".repeat(256));
        assert!(decoder.decode(&mut arrived).unwrap().is_none());
        assert!(arrived.is_empty(), "{} bytes are kept", arrived.len());
    }
    assert!(arrived.capacity() < 2 * SMALL_FRAME_BYTES, "the buffer has grown to {}", arrived.capacity());
}

#[test]
fn long_frame_ends_at_its_first_syntax_error() {
    let mut wire = BytesMut::from(&(MAX_FRAME_BYTES as u32).to_be_bytes()[..]);
    wire.extend_from_slice(br#"{"type":]"#);
    assert!(matches!(FrameDecoder::new(None).decode(&mut wire), Err(FrameError::Syntax(_))));
}

#[test]
fn http_methods_are_not_valid_frame_lengths() {
    for method in [b"GET ", b"HEAD", b"POST", b"PUT ", b"DELE", b"OPTI", b"PATC"] {
        assert!(is_http(method) && u32::from_be_bytes(*method) as usize > MAX_FRAME_BYTES);
    }
    assert!(!is_http(&[0, 0, 0, 15]));
}
