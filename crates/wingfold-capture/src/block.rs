//! Blocks, the frames of a segment. Each block has a head with a magic number, a kind, a format version, a
//! sequence number, two lengths and two checksums: a reader detects a damaged block and continues at the next
//! valid one.

use std::io::Read;

/// The version of the block format; blocks of other versions are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// The length of a block's head in bytes.
pub const HEAD_BYTES: usize = 28;
/// The maximum length of the uncompressed contents in bytes; a checkpoint of the largest fleet takes about
/// 10 MB. A block whose head claims more is rejected before memory is allocated for its contents.
pub const MAX_CONTENTS_BYTES: usize = 64 << 20;

/// The magic number: the first bytes of every block.
const MAGIC: [u8; 4] = [0xC7, b'W', b'F', b'C'];
/// The number of leading bytes of the head that the head's checksum covers: all bytes before the checksum.
const CHECKED_HEAD_BYTES: usize = HEAD_BYTES - 4;
/// The maximum length of the compressed contents in bytes. It exceeds [`MAX_CONTENTS_BYTES`], as compression
/// makes incompressible contents slightly longer.
const MAX_COMPRESSED_BYTES: usize = MAX_CONTENTS_BYTES + (MAX_CONTENTS_BYTES >> 4);
/// The maximum compression ratio that a head may claim. Captures are compressed by a factor of 10 to 40; a
/// much higher ratio would let a small crafted block exhaust memory.
const MAX_COMPRESSION_RATIO: usize = 1000;
/// The compression level of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// The kind of the contents of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The head of the capture; the first block of a segment.
    Head = 1,
    /// A checkpoint of the director, from which the calls in the following blocks are replayed.
    Checkpoint = 2,
    /// Calls of the director.
    Calls = 3,
    /// The offsets of the blocks with checkpoints and calls; the last block of a sealed segment.
    Index = 4,
}

impl BlockKind {
    fn from_byte(byte: u8) -> Option<BlockKind> {
        let kinds = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls, BlockKind::Index];
        kinds.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Why a block of a segment is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The bytes end inside a block.
    #[error("the segment is cut inside a block")]
    Truncated,
    /// The magic number is missing at the offset at which a block should begin.
    #[error("no block begins here")]
    Magic,
    /// The checksum of the head does not match the head, or the kind of the block is unknown.
    #[error("the head of a block is damaged")]
    Head,
    /// The block has another format version.
    #[error("the format has version {0}, this build reads version {FORMAT_VERSION}")]
    Format(u8),
    /// A length in the head is out of bounds.
    #[error("a block claims a length that cannot be")]
    Length,
    /// The checksum in the head does not match the contents, or the contents cannot be decoded.
    #[error("the contents of a block are damaged")]
    Contents,
    /// The sequence number is not the expected one: a block is missing or duplicated. Also returned for a
    /// segment that does not begin with a head.
    #[error("a block is out of its order")]
    Order,
}

/// A valid block in a segment.
#[derive(Clone, Copy, Debug)]
pub struct Block<'a> {
    /// The kind of the contents.
    pub kind: BlockKind,
    /// The sequence number of the block in the segment, from 0.
    pub number: u32,
    /// The offset in the segment at which the block begins, in bytes.
    pub offset: usize,
    /// The offset in the segment at which the next block begins, in bytes.
    pub end: usize,
    /// The length of the uncompressed contents, as the head claims it.
    contents_bytes: usize,
    /// The compressed contents.
    compressed: &'a [u8],
}

/// The head of a block, except for the magic number, the format version and the checksum of the head.
struct BlockHead {
    kind: BlockKind,
    number: u32,
    /// The length of the uncompressed contents.
    contents_bytes: u32,
    /// The length of the compressed contents.
    compressed_bytes: u32,
    /// CRC-32 of the compressed contents.
    compressed_checksum: u32,
}

impl BlockHead {
    fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + self.compressed_bytes as usize);
        bytes.extend(MAGIC);
        bytes.extend([self.kind as u8, FORMAT_VERSION, 0, 0]);
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(self.contents_bytes.to_le_bytes());
        bytes.extend(self.compressed_bytes.to_le_bytes());
        bytes.extend(self.compressed_checksum.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    fn read(bytes: &[u8; HEAD_BYTES]) -> Result<BlockHead, BlockError> {
        let (magic, rest) = split_field::<4>(bytes);
        if magic != MAGIC {
            return Err(BlockError::Magic);
        }
        let ([kind, format, _, _], rest) = split_field::<4>(rest);
        let (number, rest) = split_u32(rest);
        let (contents_bytes, rest) = split_u32(rest);
        let (compressed_bytes, rest) = split_u32(rest);
        let (compressed_checksum, rest) = split_u32(rest);
        let (head_checksum, _) = split_u32(rest);
        if crc32fast::hash(&bytes[..CHECKED_HEAD_BYTES]) != head_checksum {
            return Err(BlockError::Head);
        }
        if format != FORMAT_VERSION {
            return Err(BlockError::Format(format));
        }
        let kind = BlockKind::from_byte(kind).ok_or(BlockError::Head)?;
        Ok(BlockHead { kind, number, contents_bytes, compressed_bytes, compressed_checksum })
    }

    /// Whether both lengths are within the bounds, and so is the compression ratio that they claim.
    fn has_valid_lengths(&self) -> bool {
        let (contents, compressed) = (self.contents_bytes as usize, self.compressed_bytes as usize);
        contents <= MAX_CONTENTS_BYTES
            && contents / MAX_COMPRESSION_RATIO <= compressed
            && compressed <= MAX_COMPRESSED_BYTES
    }
}

/// Splits the next field of a head from the bytes that follow the field.
fn split_field<const BYTES: usize>(bytes: &[u8]) -> ([u8; BYTES], &[u8]) {
    let (field, rest) =
        bytes.split_first_chunk::<BYTES>().expect("the lengths of all fields add up to HEAD_BYTES");
    (*field, rest)
}

fn split_u32(bytes: &[u8]) -> (u32, &[u8]) {
    let (field, rest) = split_field::<4>(bytes);
    (u32::from_le_bytes(field), rest)
}

/// Compresses contents and returns a block with them.
pub fn encode(kind: BlockKind, number: u32, contents: &[u8]) -> Vec<u8> {
    let compressed =
        zstd::bulk::compress(contents, COMPRESSION_LEVEL).expect("compressing into memory cannot fail");
    let head = BlockHead {
        kind,
        number,
        contents_bytes: contents.len() as u32,
        compressed_bytes: compressed.len() as u32,
        compressed_checksum: crc32fast::hash(&compressed),
    };
    let mut block = head.write();
    block.extend(compressed);
    block
}

impl<'a> Block<'a> {
    /// Reads the block that begins at `offset`. Verifies the checksum of the compressed contents, but does
    /// not uncompress the contents.
    pub fn at(bytes: &'a [u8], offset: usize) -> Result<Block<'a>, BlockError> {
        let rest = bytes.get(offset..).unwrap_or_default();
        let (head, rest) = rest.split_first_chunk::<HEAD_BYTES>().ok_or(BlockError::Truncated)?;
        let head = BlockHead::read(head)?;
        if !head.has_valid_lengths() {
            return Err(BlockError::Length);
        }
        let compressed_bytes = head.compressed_bytes as usize;
        let compressed = rest.get(..compressed_bytes).ok_or(BlockError::Truncated)?;
        if crc32fast::hash(compressed) != head.compressed_checksum {
            return Err(BlockError::Contents);
        }
        Ok(Block {
            kind: head.kind,
            number: head.number,
            offset,
            end: offset + HEAD_BYTES + compressed_bytes,
            contents_bytes: head.contents_bytes as usize,
            compressed,
        })
    }

    /// Uncompresses the contents. Memory grows with the bytes that are uncompressed, and uncompressing stops
    /// as soon as the contents exceed the length that the head claims.
    pub fn contents(&self) -> Result<Vec<u8>, BlockError> {
        let mut contents = Vec::new();
        let decoder =
            zstd::stream::read::Decoder::with_buffer(self.compressed).map_err(|_| BlockError::Contents)?;
        let limit = self.contents_bytes as u64 + 1;
        decoder.take(limit).read_to_end(&mut contents).map_err(|_| BlockError::Contents)?;
        if contents.len() == self.contents_bytes {
            Ok(contents)
        } else {
            Err(BlockError::Contents)
        }
    }
}

/// The offset of the first valid block that begins at or after `from`.
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
