//! A capture without a disk: a bounded amount of memory holds the last segments, to be dumped on request.

use crate::model::{GapReason, SegmentMeta};
use crate::segment_writer::DiskOperation;
use std::collections::VecDeque;

/// The last segments of a capture.
#[derive(Debug, Default)]
pub struct SegmentRing {
    /// The metadata and the bytes of each segment, oldest first.
    segments: VecDeque<(SegmentMeta, Vec<u8>)>,
    /// The bytes of all segments together.
    bytes: usize,
    max_bytes: usize,
}

impl SegmentRing {
    /// A ring of at most `max_bytes` bytes. The oldest segments are removed first, and always as a whole, as
    /// a part of a segment cannot be replayed.
    pub fn new(max_bytes: usize) -> Self {
        SegmentRing { max_bytes, ..SegmentRing::default() }
    }

    /// Carries out an operation of a segment writer.
    pub fn apply(&mut self, operation: DiskOperation) -> Result<(), GapReason> {
        match operation {
            DiskOperation::Create(meta) => self.segments.push_back((meta, Vec::new())),
            DiskOperation::Append(bytes, meta) => self.append(&bytes, meta)?,
            DiskOperation::Seal(meta) => {
                if let Some((last, _)) = self.segments.back_mut() {
                    *last = meta;
                }
            }
            DiskOperation::Remove(segment) => {
                if let Some(index) = self.segments.iter().position(|(meta, _)| meta.segment == segment) {
                    self.remove_at(index);
                }
            }
        }
        self.enforce_bound();
        Ok(())
    }

    fn append(&mut self, bytes: &[u8], meta: SegmentMeta) -> Result<(), GapReason> {
        let last = self.segments.back_mut().filter(|(last, _)| last.segment == meta.segment);
        let Some((last, contents)) = last else {
            return Err(GapReason::Failed("the memory set aside does not hold one segment".into()));
        };
        *last = meta;
        self.bytes += bytes.len();
        contents.reserve_exact(bytes.len());
        contents.extend(bytes);
        Ok(())
    }

    /// Removes the oldest segments until the rest is within the bound. A single segment that exceeds the
    /// bound is removed too, although it is the open one: the next checkpoint begins a new segment.
    fn enforce_bound(&mut self) {
        while self.bytes > self.max_bytes && !self.segments.is_empty() {
            self.remove_at(0);
        }
    }

    fn remove_at(&mut self, index: usize) {
        if let Some((_, bytes)) = self.segments.remove(index) {
            self.bytes -= bytes.len();
        }
    }

    /// The bytes of all segments together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The metadata and the bytes of each segment, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (&SegmentMeta, &[u8])> {
        self.segments.iter().map(|(meta, bytes)| (meta, &bytes[..]))
    }
}
