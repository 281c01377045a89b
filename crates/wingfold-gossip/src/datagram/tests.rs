//! Round trips of datagrams, and malformed input.
use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn parts_round_trip_and_malformed_bytes_do_not_panic(
        from in any::<u16>(), incarnation in any::<u32>(), sequence in any::<u16>(), target in any::<u16>(),
        parts in prop::collection::vec((1..20u8, prop::collection::vec(any::<u8>(), 1..90)), 0..5),
        noise in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let header = Header { kind: DatagramKind::PingRequest, from, incarnation, sequence, target };
        let mut writer = DatagramWriter::new(header, 20);
        let mut written = Vec::new();
        for (kind, contents) in &parts {
            if contents.len() <= writer.remaining() {
                written.push(Part { kind: *kind, contents });
            }
            writer.add_part(*kind, contents);
        }
        let bytes = writer.finish();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES - 20);
        prop_assert_eq!(parse(&bytes), Some((header, written)));
        let _ = parse(&noise);
        let mut corrupted = bytes.clone();
        for (index, byte) in noise.iter().enumerate().take(3) {
            let length = corrupted.len();
            corrupted[(index * 37 + usize::from(*byte)) % length] = *byte;
        }
        let _ = parse(&corrupted);
        let _ = parse(&bytes[..bytes.len() - 1]);
    }
}
