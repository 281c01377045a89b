//! Damaged blocks, and blocks whose heads claim wrong lengths.
use super::*;

#[test]
fn a_block_round_trips_and_each_flipped_bit_or_cut_is_detected() {
    let contents = b"recorded calls of a director ".repeat(20);
    let block = encode(BlockKind::Calls, 7, &contents);
    let read = Block::at(&block, 0).unwrap();
    assert_eq!((read.kind, read.number, read.end), (BlockKind::Calls, 7, block.len()));
    assert_eq!(read.contents().unwrap(), contents);
    for bit in 0..block.len() * 8 {
        let mut damaged = block.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(Block::at(&damaged, 0).is_err(), "bit {bit}");
    }
    for length in 0..block.len() {
        assert_eq!(Block::at(&block[..length], 0).unwrap_err(), BlockError::Truncated);
    }
}

#[test]
fn lengths_beyond_the_bounds_or_the_contents_are_rejected() {
    let mut block = encode(BlockKind::Calls, 0, b"small");
    // The offsets of both lengths in the head.
    for offset in [12, 16] {
        block[offset..offset + 4].copy_from_slice(&u32::MAX.to_le_bytes());
        let checksum = crc32fast::hash(&block[..24]);
        block[24..28].copy_from_slice(&checksum.to_le_bytes());
        assert_eq!(Block::at(&block, 0).unwrap_err(), BlockError::Length);
    }
    // Compressed contents that are much longer, when uncompressed, than the head claims.
    let compressed = zstd::bulk::compress(&vec![0; 8 << 20], COMPRESSION_LEVEL).unwrap();
    let block = Block {
        kind: BlockKind::Calls,
        number: 0,
        offset: 0,
        end: 0,
        contents_bytes: 100,
        compressed: &compressed,
    };
    assert_eq!(block.contents().unwrap_err(), BlockError::Contents);
}

#[test]
fn the_next_valid_block_is_found_after_a_damaged_one() {
    let blocks = [encode(BlockKind::Calls, 0, b"one"), encode(BlockKind::Calls, 1, b"two")];
    let mut bytes = blocks.concat();
    bytes[HEAD_BYTES + 2] ^= 1;
    assert!(Block::at(&bytes, 0).is_err());
    assert_eq!(find_next(&bytes, 1), Some(blocks[0].len()));
    assert_eq!(find_next(&bytes, blocks[0].len() + 1), None);
}
