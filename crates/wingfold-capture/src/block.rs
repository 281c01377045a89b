//! Blocks, the frames of a segment. Each block has a head with a magic number, a kind, a sequence number, two lengths
//! and two checksums: damaged blocks are detected, and reading goes on at the next valid one.

use std::io::Read;

/// The version of the format; segments of other versions are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes of a block's head.
pub const HEAD_BYTES: usize = 28;
/// Most bytes of unpacked contents: a checkpoint of the largest fleet has some 10 MB. A block that claims more is damaged,
/// and no memory is allocated for it.
pub const MAX_CONTENTS_BYTES: usize = 64 << 20;

/// The bytes that every block begins with.
const MAGIC: [u8; 4] = [0xC7, b'W', b'F', b'C'];
/// Bytes of the head that its own checksum covers: all in front of it.
const CHECKED_HEAD_BYTES: usize = HEAD_BYTES - 4;
/// Most bytes of packed contents: incompressible contents grow a little.
const MAX_PACKED_BYTES: usize = MAX_CONTENTS_BYTES + (MAX_CONTENTS_BYTES >> 4);
/// Captures are compressed by a factor of 10 to 40; a block that claims a thousand was made to exhaust memory.
const MAX_COMPRESSION_RATIO: usize = 1000;
/// The zstd level.
const COMPRESSION_LEVEL: i32 = 3;

/// What a block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The head of the capture; the first block of a segment.
    Head = 1,
    /// The director's state, from which the calls after it are replayed.
    Checkpoint = 2,
    /// Calls of the director.
    Calls = 3,
    /// Where the other blocks are; the last block of a segment that was sealed.
    Index = 4,
}

impl BlockKind {
    fn from_byte(byte: u8) -> Option<BlockKind> {
        let kinds = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls, BlockKind::Index];
        kinds.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// What is wrong with a part of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The bytes end inside a block.
    #[error("the segment is cut inside a block")]
    Cut,
    /// No block begins here.
    #[error("no block begins here")]
    Magic,
    /// The head does not have its own checksum, or its kind is unknown.
    #[error("the head of a block is damaged")]
    Head,
    /// Another version of the format wrote it.
    #[error("the format has version {0}, this build reads version {FORMAT_VERSION}")]
    Format(u8),
    /// One of its lengths is out of bounds.
    #[error("a block claims a length that cannot be")]
    Length,
    /// The checksum of the contents differs, or they cannot be decoded.
    #[error("the contents of a block are damaged")]
    Contents,
    /// A block is missing or is there twice.
    #[error("a block is out of its order")]
    Order,
}

/// A valid block in a segment.
#[derive(Clone, Copy, Debug)]
pub struct Block<'a> {
    /// Its kind.
    pub kind: BlockKind,
    /// Its number in the segment, from 0.
    pub number: u32,
    /// The byte of the segment at which it begins.
    pub offset: usize,
    /// The byte of the segment at which the next one begins.
    pub end: usize,
    contents_bytes: usize,
    packed: &'a [u8],
}

/// The head of a block, without magic number, format version and its own checksum.
struct BlockHead {
    kind: BlockKind,
    number: u32,
    contents_bytes: u32,
    packed_bytes: u32,
    /// CRC-32 of the packed contents.
    packed_checksum: u32,
}

impl BlockHead {
    fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + self.packed_bytes as usize);
        bytes.extend(MAGIC);
        bytes.extend([self.kind as u8, FORMAT_VERSION, 0, 0]);
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(self.contents_bytes.to_le_bytes());
        bytes.extend(self.packed_bytes.to_le_bytes());
        bytes.extend(self.packed_checksum.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    fn read(bytes: &[u8; HEAD_BYTES]) -> Result<BlockHead, BlockError> {
        let (magic, rest) = split::<4>(bytes);
        if magic != MAGIC {
            return Err(BlockError::Magic);
        }
        let ([kind, format, _, _], rest) = split::<4>(rest);
        let (number, rest) = split_u32(rest);
        let (contents_bytes, rest) = split_u32(rest);
        let (packed_bytes, rest) = split_u32(rest);
        let (packed_checksum, rest) = split_u32(rest);
        let (head_checksum, _) = split_u32(rest);
        if crc32fast::hash(&bytes[..CHECKED_HEAD_BYTES]) != head_checksum {
            return Err(BlockError::Head);
        }
        if format != FORMAT_VERSION {
            return Err(BlockError::Format(format));
        }
        let kind = BlockKind::from_byte(kind).ok_or(BlockError::Head)?;
        Ok(BlockHead { kind, number, contents_bytes, packed_bytes, packed_checksum })
    }

    fn has_valid_lengths(&self) -> bool {
        let (contents, packed) = (self.contents_bytes as usize, self.packed_bytes as usize);
        contents <= MAX_CONTENTS_BYTES
            && contents / MAX_COMPRESSION_RATIO <= packed
            && packed <= MAX_PACKED_BYTES
    }
}

/// The next field of a head, and the bytes behind it.
fn split<const BYTES: usize>(bytes: &[u8]) -> ([u8; BYTES], &[u8]) {
    let (field, rest) = bytes.split_first_chunk::<BYTES>().expect("the fields fill HEAD_BYTES");
    (*field, rest)
}

fn split_u32(bytes: &[u8]) -> (u32, &[u8]) {
    let (field, rest) = split::<4>(bytes);
    (u32::from_le_bytes(field), rest)
}

/// Packs contents into a block.
pub fn encode(kind: BlockKind, number: u32, contents: &[u8]) -> Vec<u8> {
    let packed = zstd::bulk::compress(contents, COMPRESSION_LEVEL).expect("packing in memory does not fail");
    let head = BlockHead {
        kind,
        number,
        contents_bytes: contents.len() as u32,
        packed_bytes: packed.len() as u32,
        packed_checksum: crc32fast::hash(&packed),
    };
    let mut block = head.write();
    block.extend(packed);
    block
}

impl<'a> Block<'a> {
    /// Reads the block that begins at `offset`. Its contents are checked, not unpacked.
    pub fn at(bytes: &'a [u8], offset: usize) -> Result<Block<'a>, BlockError> {
        let rest = bytes.get(offset..).unwrap_or_default();
        let (head, rest) = rest.split_first_chunk::<HEAD_BYTES>().ok_or(BlockError::Cut)?;
        let head = BlockHead::read(head)?;
        if !head.has_valid_lengths() {
            return Err(BlockError::Length);
        }
        let packed_bytes = head.packed_bytes as usize;
        let packed = rest.get(..packed_bytes).ok_or(BlockError::Cut)?;
        if crc32fast::hash(packed) != head.packed_checksum {
            return Err(BlockError::Contents);
        }
        Ok(Block {
            kind: head.kind,
            number: head.number,
            offset,
            end: offset + HEAD_BYTES + packed_bytes,
            contents_bytes: head.contents_bytes as usize,
            packed,
        })
    }

    /// The unpacked contents. Memory is allocated for what is there, up to the length that the head claims.
    pub fn contents(&self) -> Result<Vec<u8>, BlockError> {
        let mut contents = Vec::new();
        let decoder =
            zstd::stream::read::Decoder::with_buffer(self.packed).map_err(|_| BlockError::Contents)?;
        let limit = self.contents_bytes as u64 + 1;
        decoder.take(limit).read_to_end(&mut contents).map_err(|_| BlockError::Contents)?;
        if contents.len() == self.contents_bytes {
            Ok(contents)
        } else {
            Err(BlockError::Contents)
        }
    }
}

/// The offset of the next valid block at or after `from`.
pub fn find_next(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    while let Some(found) = bytes.get(start..)?.windows(MAGIC.len()).position(|window| window == MAGIC) {
        if Block::at(bytes, start + found).is_ok() {
            return Some(start + found);
        }
        start += found + 1;
    }
    None
}

#[cfg(test)]
mod tests;
