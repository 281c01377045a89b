//! Blocks: the frames of a segment. Each has a magic, a kind, its number, two lengths and two checksums, so that a
//! block that was cut or changed is told from one that was not, and the next sound one is found again.

use std::io::Read;

/// The version of the format; a segment of another one is refused.
pub const FORMAT: u8 = 1;
const MAGIC: [u8; 4] = [0xC7, b'W', b'F', b'C'];
/// Bytes of a block's head.
pub const HEAD: usize = 28;
/// Bytes that a block may hold, unpacked: a checkpoint of the largest fleet has some 10 MB. What claims more is damaged,
/// and nothing is set aside for it.
pub const MOST_RAW: usize = 64 << 20;
/// Packing gains a factor of 10 to 40 on captures; bytes that claim a thousand were made to fill a memory.
const MOST_RATIO: usize = 1000;
const LEVEL: i32 = 3;

/// What a block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Whose capture it is; the first of a segment.
    Head = 1,
    /// The module's state, from which the calls after it replay.
    Checkpoint = 2,
    /// Calls of the module.
    Calls = 3,
    /// Where the other blocks are; the last of a segment that was ended well.
    Index = 4,
}

/// What is wrong with a stretch of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The bytes end inside a block.
    #[error("the segment is cut inside a block")]
    Cut,
    /// No block begins here.
    #[error("no block begins here")]
    Magic,
    /// The head does not carry its own checksum.
    #[error("the head of a block is damaged")]
    Head,
    /// Another version of the format.
    #[error("the format has version {0}, this build reads version {FORMAT}")]
    Format(u8),
    /// A length that cannot be.
    #[error("a block claims a length that cannot be")]
    Length,
    /// The checksum of the contents differs.
    #[error("the contents of a block are damaged")]
    Contents,
    /// A block is missing or stands twice.
    #[error("a block is out of its order")]
    Order,
}

/// One block as it stands in a segment.
#[derive(Clone, Copy, Debug)]
pub struct Block<'a> {
    /// Its kind.
    pub kind: Kind,
    /// Its number in the segment, from 0.
    pub number: u32,
    /// Where it begins.
    pub offset: usize,
    /// Where the next one begins.
    pub end: usize,
    raw: usize,
    packed: &'a [u8],
}

/// Packs contents into a block.
pub fn encode(kind: Kind, number: u32, contents: &[u8]) -> Vec<u8> {
    let packed = zstd::bulk::compress(contents, LEVEL).expect("packing in memory does not fail");
    let mut block = Vec::with_capacity(HEAD + packed.len());
    block.extend(MAGIC);
    block.extend([kind as u8, FORMAT, 0, 0]);
    block.extend(number.to_le_bytes());
    block.extend((contents.len() as u32).to_le_bytes());
    block.extend((packed.len() as u32).to_le_bytes());
    block.extend(crc32fast::hash(&packed).to_le_bytes());
    block.extend(crc32fast::hash(&block).to_le_bytes());
    block.extend(packed);
    block
}

impl<'a> Block<'a> {
    /// Reads the block that begins at `offset`; its contents are only checked.
    pub fn at(bytes: &'a [u8], offset: usize) -> Result<Block<'a>, Fault> {
        let rest = bytes.get(offset..).unwrap_or_default();
        let head = rest.get(..HEAD).ok_or(Fault::Cut)?;
        let four = |at: usize| u32::from_le_bytes(head[at..at + 4].try_into().expect("four bytes"));
        if head[..4] != MAGIC {
            return Err(Fault::Magic);
        }
        if crc32fast::hash(&head[..24]) != four(24) {
            return Err(Fault::Head);
        }
        if head[5] != FORMAT {
            return Err(Fault::Format(head[5]));
        }
        let kind = match head[4] {
            1 => Kind::Head,
            2 => Kind::Checkpoint,
            3 => Kind::Calls,
            4 => Kind::Index,
            _ => return Err(Fault::Head),
        };
        let (number, raw, stored) = (four(8), four(12) as usize, four(16) as usize);
        if raw > MOST_RAW || raw / MOST_RATIO > stored || stored > MOST_RAW + (MOST_RAW >> 4) {
            return Err(Fault::Length);
        }
        let packed = rest.get(HEAD..HEAD + stored).ok_or(Fault::Cut)?;
        if crc32fast::hash(packed) != four(20) {
            return Err(Fault::Contents);
        }
        Ok(Block { kind, number, offset, end: offset + HEAD + stored, raw, packed })
    }

    /// The contents, unpacked. Memory grows with what is really there, up to what the head says.
    pub fn contents(&self) -> Result<Vec<u8>, Fault> {
        let mut contents = Vec::new();
        let unpack = zstd::stream::read::Decoder::with_buffer(self.packed).map_err(|_| Fault::Contents)?;
        let most = self.raw as u64 + 1;
        unpack.take(most).read_to_end(&mut contents).map_err(|_| Fault::Contents)?;
        if contents.len() == self.raw {
            Ok(contents)
        } else {
            Err(Fault::Contents)
        }
    }
}

/// The next place at or after `from` where a sound block begins.
pub fn resume(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes.get(at..)?.windows(MAGIC.len()).position(|four| four == MAGIC) {
        if Block::at(bytes, at + found).is_ok() {
            return Some(at + found);
        }
        at += found + 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_block_comes_back_as_it_was_and_every_flipped_bit_is_seen() {
        let contents = b"what the director was told ".repeat(20);
        let block = encode(Kind::Calls, 7, &contents);
        let read = Block::at(&block, 0).unwrap();
        assert_eq!((read.kind, read.number, read.end), (Kind::Calls, 7, block.len()));
        assert_eq!(read.contents().unwrap(), contents);
        for bit in 0..block.len() * 8 {
            let mut spoilt = block.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert!(Block::at(&spoilt, 0).is_err(), "bit {bit}");
        }
        for length in 0..block.len() {
            assert_eq!(Block::at(&block[..length], 0).unwrap_err(), Fault::Cut);
        }
    }

    #[test]
    fn a_length_of_gigabytes_is_refused_before_anything_is_set_aside() {
        let mut block = encode(Kind::Calls, 0, b"small");
        for at in [12, 16] {
            block[at..at + 4].copy_from_slice(&u32::MAX.to_le_bytes());
            let sum = crc32fast::hash(&block[..24]);
            block[24..28].copy_from_slice(&sum.to_le_bytes());
            assert_eq!(Block::at(&block, 0).unwrap_err(), Fault::Length);
        }
        // A few bytes that unpack to a great many more than the head says.
        let packed = zstd::bulk::compress(&vec![0; 8 << 20], LEVEL).unwrap();
        let block = Block { kind: Kind::Calls, number: 0, offset: 0, end: 0, raw: 100, packed: &packed };
        assert_eq!(block.contents().unwrap_err(), Fault::Contents);
    }

    #[test]
    fn the_next_sound_block_is_found_behind_a_damaged_one() {
        let blocks = [encode(Kind::Calls, 0, b"one"), encode(Kind::Calls, 1, b"two")];
        let mut bytes = blocks.concat();
        bytes[HEAD + 2] ^= 1;
        assert!(Block::at(&bytes, 0).is_err());
        assert_eq!(resume(&bytes, 1), Some(blocks[0].len()));
        assert_eq!(resume(&bytes, blocks[0].len() + 1), None);
    }
}
