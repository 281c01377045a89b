use super::*;
use bytes::Bytes;
use tokio_util::codec::Encoder;

fn decoder() -> FrameDecoder {
    FrameDecoder::new(FrameBudget::new(MAX_FRAME_BYTES))
}

#[test]
fn frames_that_arrive_byte_by_byte_are_decoded_whole() {
    let mut wire = BytesMut::new();
    codec().encode(Bytes::from_static(b"one"), &mut wire).unwrap();
    codec().encode(Bytes::from_static(b"three"), &mut wire).unwrap();
    assert_eq!(&wire[..7], b"\0\0\0\x03one");
    let (mut decoder, mut arrived, mut frames) = (decoder(), BytesMut::new(), Vec::new());
    for byte in wire {
        arrived.extend_from_slice(&[byte]);
        frames.extend(decoder.decode(&mut arrived).unwrap());
    }
    assert_eq!(frames, ["one", "three"]);
}

#[test]
fn frame_over_the_limit_is_rejected_by_its_header() {
    let mut wire = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(decoder().decode(&mut wire).is_err());
    let mut wire = BytesMut::from(&(MAX_FRAME_BYTES as u32).to_be_bytes()[..]);
    assert!(decoder().decode(&mut wire).unwrap().is_none());
}

#[test]
fn only_long_frames_take_from_the_shared_budget() {
    let header = |length: usize| BytesMut::from(&(length as u32).to_be_bytes()[..]);
    let budget = FrameBudget::new(100_000);
    let begin = |length| {
        let mut decoder = FrameDecoder::new(budget.clone());
        decoder.decode(&mut header(length)).map(|_| decoder)
    };
    let first = begin(60_000).unwrap();
    assert!(begin(60_000).is_err(), "the budget does not hold both frames");
    let second = begin(40_000).unwrap();
    assert!(begin(SMALL_FRAME_BYTES + 1).is_err() && begin(SMALL_FRAME_BYTES).is_ok());
    drop((first, second));
    let mut decoder = begin(60_000).unwrap();
    let mut wire = BytesMut::from(&vec![0; 60_000][..]);
    assert_eq!(decoder.decode(&mut wire).unwrap().map(|frame| frame.len()), Some(60_000));
    wire.extend_from_slice(&90_000u32.to_be_bytes());
    assert!(
        decoder.decode(&mut wire).unwrap().is_none(),
        "a longer frame raises the reservation of its connection"
    );
    assert!(begin(20_000).is_err(), "a connection keeps its reservation after the frame");
}

#[test]
fn http_methods_are_not_valid_frame_lengths() {
    for method in [b"GET ", b"HEAD", b"POST", b"PUT ", b"DELE", b"OPTI", b"PATC"] {
        assert!(is_http(method) && u32::from_be_bytes(*method) as usize > MAX_FRAME_BYTES);
    }
    assert!(!is_http(&[0, 0, 0, 15]));
}
