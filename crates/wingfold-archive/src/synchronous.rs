//! A recorder's queue that writes each item before `push` returns. It is for callers that may block on the
//! disk: the simulator's adapter and the emulator.

use crate::store::{gap_reason, SegmentStore};
use std::io;
use wingfold_capture::model::Head;
use wingfold_capture::recorder::RecorderQueue;
use wingfold_capture::segment_writer::{DiskOperation, RecordedItem, SegmentLimits, SegmentWriter};

/// A recorder's queue that writes each item to the store when the item is pushed.
#[derive(Debug)]
pub struct SynchronousQueue<S: SegmentStore> {
    store: S,
    writer: SegmentWriter,
    operations: Vec<DiskOperation>,
    /// The first failure, reported by [`RecorderQueue::finish`].
    first_error: Option<io::Error>,
}

/// Opens a store, and returns a queue that writes a capture to it.
pub fn open_synchronous<S: SegmentStore>(
    mut store: S,
    head: Head,
    limits: SegmentLimits,
) -> io::Result<SynchronousQueue<S>> {
    let segments = store.open()?;
    let writer = SegmentWriter::new(head, limits, segments);
    Ok(SynchronousQueue { store, writer, operations: Vec::new(), first_error: None })
}

impl<S: SegmentStore> SynchronousQueue<S> {
    /// Carries out the pending operations. After a failure the remaining ones are dropped, and the segment
    /// writer leaves a gap in the capture.
    fn apply_operations(&mut self) {
        for operation in self.operations.drain(..) {
            if let Err(error) = self.store.apply(&operation) {
                self.writer.operation_failed(gap_reason(&error));
                self.first_error.get_or_insert(error);
                break;
            }
        }
    }
}

impl<S: SegmentStore> RecorderQueue for SynchronousQueue<S> {
    fn has_room(&self, _: usize) -> bool {
        true
    }

    fn push(&mut self, item: RecordedItem) -> bool {
        self.writer.handle(item, &mut self.operations);
        self.apply_operations();
        true
    }

    fn wants_checkpoint(&self) -> bool {
        self.writer.wants_checkpoint()
    }

    fn finish(&mut self) -> io::Result<()> {
        self.writer.finish(&mut self.operations);
        self.apply_operations();
        self.first_error.take().map_or(Ok(()), Err)
    }
}
