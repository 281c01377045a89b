//! Reads a segment: all its valid blocks, and what is wrong with the others. Whatever the bytes are, reading ends without
//! a panic and within the memory that [`block::MAX_CONTENTS_BYTES`] allows.

use crate::block::{self, Block, BlockError, BlockKind};
use crate::model::{Call, CheckpointHead, Head, Index};
use serde::de::DeserializeOwned;

/// An entry of a segment.
#[derive(Debug)]
pub enum Entry {
    /// The head of the capture.
    Head(Box<Head>),
    /// A checkpoint, from which the calls after it are replayed.
    Checkpoint(CheckpointHead, Vec<u8>),
    /// A call.
    Call(Call),
    /// Where the blocks are; nothing follows.
    Index(Index),
    /// Something is wrong at `offset`; reading goes on at the next valid block.
    Damage {
        /// The byte of the segment.
        offset: usize,
        /// What is wrong.
        fault: BlockError,
    },
}

/// The entries of a segment.
pub fn entries(bytes: &[u8]) -> Entries<'_> {
    Entries {
        bytes,
        offset: 0,
        next_block: 0,
        calls: Vec::new(),
        calls_read: 0,
        calls_offset: 0,
        has_ended: false,
    }
}

/// The head of a segment.
pub fn head(bytes: &[u8]) -> Result<Head, BlockError> {
    let block = Block::at(bytes, 0)?;
    match block.kind {
        BlockKind::Head => decode_head(&block.contents()?),
        _ => Err(BlockError::Order),
    }
}

fn decode_head(contents: &[u8]) -> Result<Head, BlockError> {
    rmp_serde::from_slice(contents).map_err(|_| BlockError::Contents)
}

fn decode_front<T: DeserializeOwned>(contents: &[u8]) -> Result<(T, &[u8]), BlockError> {
    postcard::take_from_bytes(contents).map_err(|_| BlockError::Contents)
}

/// Iterates over the entries of a segment.
#[derive(Debug)]
pub struct Entries<'a> {
    bytes: &'a [u8],
    /// Where the next block begins.
    offset: usize,
    /// The number that the next block should have.
    next_block: u32,
    /// The contents of the current block of calls.
    calls: Vec<u8>,
    /// How many bytes of them have been read.
    calls_read: usize,
    /// Where that block begins.
    calls_offset: usize,
    has_ended: bool,
}

impl<'a> Entries<'a> {
    /// Goes on at the next valid block after a damaged one.
    fn skip_damage(&mut self, offset: usize, fault: BlockError) -> Entry {
        match block::find_next(self.bytes, offset + 1) {
            Some(next) => {
                self.offset = next;
                self.next_block = Block::at(self.bytes, next).map_or(0, |block| block.number);
            }
            None => self.has_ended = true,
        }
        Entry::Damage { offset, fault }
    }

    /// The next call of the current block of calls; `None` at its end.
    fn next_call(&mut self) -> Option<Entry> {
        let unread = self.calls.get(self.calls_read..).filter(|unread| !unread.is_empty())?;
        match decode_front::<Call>(unread) {
            Ok((call, rest)) if rest.len() < unread.len() => {
                self.calls_read = self.calls.len() - rest.len();
                Some(Entry::Call(call))
            }
            // The checksum is right, so the block was written wrongly: the rest of it means nothing.
            _ => {
                (self.calls, self.calls_read) = (Vec::new(), 0);
                Some(Entry::Damage { offset: self.calls_offset, fault: BlockError::Contents })
            }
        }
    }

    /// Reads the next block. `None` if its entries are calls, which follow one by one.
    fn next_block(&mut self) -> Option<Entry> {
        let offset = self.offset;
        let block = match Block::at(self.bytes, offset) {
            Ok(block) => block,
            Err(fault) => return Some(self.skip_damage(offset, fault)),
        };
        if block.number != self.next_block {
            // The block itself is valid: it is read next.
            self.next_block = block.number;
            return Some(Entry::Damage { offset, fault: BlockError::Order });
        }
        self.next_block = block.number.wrapping_add(1);
        (self.offset, self.has_ended) = (block.end, block.kind == BlockKind::Index);
        self.decode(block).unwrap_or_else(|fault| Some(Entry::Damage { offset, fault }))
    }

    fn decode(&mut self, block: Block<'a>) -> Result<Option<Entry>, BlockError> {
        let contents = block.contents()?;
        match block.kind {
            BlockKind::Head => Ok(Some(Entry::Head(Box::new(decode_head(&contents)?)))),
            BlockKind::Checkpoint => {
                let (head, state) = decode_front(&contents)?;
                Ok(Some(Entry::Checkpoint(head, state.to_vec())))
            }
            BlockKind::Calls => {
                (self.calls, self.calls_read, self.calls_offset) = (contents, 0, block.offset);
                Ok(None)
            }
            BlockKind::Index => Ok(Some(Entry::Index(decode_front(&contents)?.0))),
        }
    }
}

impl Iterator for Entries<'_> {
    type Item = Entry;

    fn next(&mut self) -> Option<Entry> {
        loop {
            if let Some(entry) = self.next_call() {
                return Some(entry);
            }
            if self.has_ended || self.offset >= self.bytes.len() {
                return None;
            }
            if let Some(entry) = self.next_block() {
                return Some(entry);
            }
        }
    }
}
