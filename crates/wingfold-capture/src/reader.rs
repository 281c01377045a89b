//! Reads a segment: every sound part of it, and what is wrong with the others. Whatever the bytes are, reading them
//! ends, without a panic and within the memory that [`block::MOST_RAW`] allows.

use crate::block::{self, Block, Fault, Kind};
use crate::model::{Call, CheckpointHead, Head, Index};

/// One thing that stands in a segment, in its order.
#[derive(Debug)]
pub enum Entry {
    /// Whose capture it is.
    Head(Box<Head>),
    /// The module's state, written down: what follows replays from it.
    Checkpoint(CheckpointHead, Vec<u8>),
    /// One call.
    Call(Call),
    /// Where the blocks are; nothing follows.
    Index(Index),
    /// From `offset` on something is wrong; reading goes on at the next sound block, if there is one.
    Damage {
        /// Where.
        offset: usize,
        /// What.
        fault: Fault,
    },
}

/// Reads all of a segment.
pub fn entries(bytes: &[u8]) -> Entries<'_> {
    Entries { bytes, at: 0, number: 0, calls: Vec::new(), used: 0, ended: false, block: 0 }
}

/// Reads a segment's head only.
pub fn head(bytes: &[u8]) -> Result<Head, Fault> {
    let block = Block::at(bytes, 0)?;
    match block.kind {
        Kind::Head => rmp_serde::from_slice(&block.contents()?).map_err(|_| Fault::Contents),
        _ => Err(Fault::Order),
    }
}

/// What stands in a segment, one by one.
#[derive(Debug)]
pub struct Entries<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u32,
    /// An unpacked block of calls, and how much of it has been read.
    calls: Vec<u8>,
    used: usize,
    /// Where that block begins.
    block: usize,
    ended: bool,
}

impl<'a> Entries<'a> {
    fn damage(&mut self, offset: usize, fault: Fault) -> Option<Entry> {
        match block::resume(self.bytes, offset + 1) {
            Some(next) => {
                self.at = next;
                self.number = Block::at(self.bytes, next).map_or(0, |block| block.number);
            }
            None => self.ended = true,
        }
        Some(Entry::Damage { offset, fault })
    }

    fn read(&mut self, block: Block<'a>) -> Result<Option<Entry>, Fault> {
        let contents = block.contents()?;
        Ok(match block.kind {
            Kind::Head => {
                Some(Entry::Head(Box::new(rmp_serde::from_slice(&contents).map_err(|_| Fault::Contents)?)))
            }
            Kind::Checkpoint => {
                let (head, state) = postcard::take_from_bytes(&contents).map_err(|_| Fault::Contents)?;
                Some(Entry::Checkpoint(head, state.to_vec()))
            }
            Kind::Calls => {
                (self.calls, self.used, self.block) = (contents, 0, block.offset);
                None
            }
            Kind::Index => Some(Entry::Index(postcard::from_bytes(&contents).map_err(|_| Fault::Contents)?)),
        })
    }
}

impl Iterator for Entries<'_> {
    type Item = Entry;

    fn next(&mut self) -> Option<Entry> {
        loop {
            if self.used < self.calls.len() {
                let before = self.calls.len() - self.used;
                match postcard::take_from_bytes::<Call>(&self.calls[self.used..]) {
                    Ok((call, rest)) if rest.len() < before => {
                        self.used = self.calls.len() - rest.len();
                        return Some(Entry::Call(call));
                    }
                    // The checksum holds, so a writer wrote it wrongly: the rest of the block means nothing.
                    _ => {
                        (self.calls, self.used) = (Vec::new(), 0);
                        return Some(Entry::Damage { offset: self.block, fault: Fault::Contents });
                    }
                }
            }
            if self.ended || self.at >= self.bytes.len() {
                return None;
            }
            let offset = self.at;
            let block = match Block::at(self.bytes, offset) {
                Ok(block) => block,
                Err(fault) => return self.damage(offset, fault),
            };
            let expected = std::mem::replace(&mut self.number, block.number.wrapping_add(1));
            (self.at, self.ended) = (block.end, block.kind == Kind::Index);
            if block.number != expected {
                // The block itself is sound: it is read next.
                (self.at, self.number, self.ended) = (offset, block.number, false);
                return Some(Entry::Damage { offset, fault: Fault::Order });
            }
            match self.read(block) {
                Ok(Some(entry)) => return Some(entry),
                Ok(None) => {}
                Err(fault) => return Some(Entry::Damage { offset, fault }),
            }
        }
    }
}
