//! Reads a segment: all valid blocks, and the fault of each damaged part. Whatever the bytes are, reading
//! ends without a panic, and the uncompressed contents of a block take at most [`block::MAX_CONTENTS_BYTES`]
//! of memory.

use crate::block::{self, Block, BlockError, BlockKind};
use crate::model::{Call, CheckpointHead, Head, Index};
use serde::de::DeserializeOwned;

/// An entry of a segment.
#[derive(Debug)]
pub enum Entry {
    /// The head of the capture.
    Head(Box<Head>),
    /// A checkpoint of the director, from which the following calls are replayed: its head and its bytes.
    Checkpoint(CheckpointHead, Vec<u8>),
    /// A call of the director.
    Call(Call),
    /// The index of the blocks; no entry follows.
    Index(Index),
    /// A damaged part of the segment; reading continues at the next valid block.
    Damage {
        /// The offset in the segment at which the damaged part begins, in bytes.
        offset: usize,
        /// The fault at that offset.
        fault: BlockError,
    },
}

/// Iterates over the entries of a segment.
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

/// Reads the head of the capture, which is the first block of a segment.
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

/// Decodes a value from the front of `contents`; returns the value and the bytes that follow.
fn decode_front<T: DeserializeOwned>(contents: &[u8]) -> Result<(T, &[u8]), BlockError> {
    postcard::take_from_bytes(contents).map_err(|_| BlockError::Contents)
}

/// Whether a call can have this number: calls are numbered from 1, and there must be a number after it.
fn is_call_number(number: u64) -> bool {
    (1..u64::MAX).contains(&number)
}

/// An iterator over the entries of a segment; see [`entries`].
#[derive(Debug)]
pub struct Entries<'a> {
    bytes: &'a [u8],
    /// The offset of the next block.
    offset: usize,
    /// The expected sequence number of the next block.
    next_block: u32,
    /// The contents of the current block of calls.
    calls: Vec<u8>,
    /// The number of bytes of `calls` that have been read.
    calls_read: usize,
    /// The offset of the current block of calls.
    calls_offset: usize,
    has_ended: bool,
}

impl<'a> Entries<'a> {
    /// Moves to the first valid block after the damaged one at `offset`, and returns the entry for the
    /// damage.
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

    /// The next call of the current block of calls, or its damage; `None` at the end of the block.
    fn next_call(&mut self) -> Option<Entry> {
        let unread = self.calls.get(self.calls_read..).filter(|unread| !unread.is_empty())?;
        match decode_front::<Call>(unread) {
            Ok((call, rest)) if rest.len() < unread.len() && is_call_number(call.number) => {
                self.calls_read = self.calls.len() - rest.len();
                Some(Entry::Call(call))
            }
            // The checksum of the block matches, so its contents were written wrongly: the rest is
            // unreadable.
            _ => {
                (self.calls, self.calls_read) = (Vec::new(), 0);
                Some(Entry::Damage { offset: self.calls_offset, fault: BlockError::Contents })
            }
        }
    }

    /// Reads the next block. `None` for a block of calls, whose entries [`Self::next_call`] returns one by
    /// one.
    fn next_block(&mut self) -> Option<Entry> {
        let offset = self.offset;
        let block = match Block::at(self.bytes, offset) {
            Ok(block) => block,
            Err(fault) => return Some(self.skip_damage(offset, fault)),
        };
        if block.number != self.next_block {
            // The block itself is valid: report the missing or duplicated block, then read this one.
            self.next_block = block.number;
            return Some(Entry::Damage { offset, fault: BlockError::Order });
        }
        self.next_block = block.number.wrapping_add(1);
        (self.offset, self.has_ended) = (block.end, block.kind == BlockKind::Index);
        self.decode(block).unwrap_or_else(|fault| Some(Entry::Damage { offset, fault }))
    }

    /// Decodes the contents of a valid block; `None` for a block of calls.
    fn decode(&mut self, block: Block<'a>) -> Result<Option<Entry>, BlockError> {
        let contents = block.contents()?;
        match block.kind {
            BlockKind::Head => Ok(Some(Entry::Head(Box::new(decode_head(&contents)?)))),
            BlockKind::Checkpoint => {
                let (head, state) = decode_front::<CheckpointHead>(&contents)?;
                if !is_call_number(head.call) {
                    return Err(BlockError::Contents);
                }
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
