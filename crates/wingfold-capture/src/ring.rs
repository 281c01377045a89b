//! A capture without a disk: the last segments in memory, within a set size, to be written out when somebody asks.

use crate::model::{Reason, SegmentMeta};
use crate::scribe::Do;
use std::collections::VecDeque;

/// The segments kept.
#[derive(Debug, Default)]
pub struct Ring {
    segments: VecDeque<(SegmentMeta, Vec<u8>)>,
    bytes: usize,
    most: usize,
}

impl Ring {
    /// Holds at most so many bytes; what is older goes first, segment by segment, since only whole ones replay.
    pub fn new(most: usize) -> Self {
        Ring { most, ..Ring::default() }
    }

    /// Carries out what a scribe asks for.
    pub fn carry_out(&mut self, what: Do) -> Result<(), Reason> {
        match what {
            Do::Create(meta) => self.segments.push_back((meta, Vec::new())),
            Do::Append(bytes, meta) => {
                let Some((last, held)) = self.segments.back_mut().filter(|s| s.0.segment == meta.segment)
                else {
                    return Err(Reason::Failed("the memory set aside does not hold one segment".into()));
                };
                *last = meta;
                self.bytes += bytes.len();
                held.reserve_exact(bytes.len());
                held.extend(bytes);
            }
            Do::Seal(meta) => {
                if let Some((last, _)) = self.segments.back_mut() {
                    *last = meta;
                }
            }
            Do::Remove(segment) => {
                if let Some(at) = self.segments.iter().position(|(meta, _)| meta.segment == segment) {
                    self.drop_at(at);
                }
            }
        }
        while self.bytes > self.most && self.segments.len() > 1 {
            self.drop_at(0);
        }
        // One segment alone over the bound: it goes too, and the next checkpoint begins anew.
        if self.bytes > self.most {
            self.drop_at(0);
        }
        Ok(())
    }

    fn drop_at(&mut self, at: usize) {
        if let Some((_, bytes)) = self.segments.remove(at) {
            self.bytes -= bytes.len();
        }
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The segments held, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (&SegmentMeta, &[u8])> {
        self.segments.iter().map(|(meta, bytes)| (meta, &bytes[..]))
    }
}
