//! Records captures in memory.
use wingfold_capture::{
    DiskOperation, Head, RecordedItem, Recorder, RecorderQueue, SegmentLimits, SegmentWriter,
};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A queue that writes the items into a segment in memory.
struct MemoryQueue {
    writer: SegmentWriter,
    operations: Vec<DiskOperation>,
    bytes: Vec<u8>,
}

impl MemoryQueue {
    fn new(head: Head) -> MemoryQueue {
        let writer = SegmentWriter::new(head, SegmentLimits::default(), Vec::new());
        MemoryQueue { writer, operations: Vec::new(), bytes: Vec::new() }
    }

    fn collect_bytes(&mut self) {
        for operation in self.operations.drain(..) {
            if let DiskOperation::Append(bytes, _) = operation {
                self.bytes.extend(bytes);
            }
        }
    }
}

impl RecorderQueue for MemoryQueue {
    fn has_room(&self, _: usize) -> bool {
        true
    }

    fn push(&mut self, item: RecordedItem) -> bool {
        self.writer.handle(item, &mut self.operations);
        self.collect_bytes();
        true
    }

    fn wants_checkpoint(&self) -> bool {
        self.writer.wants_checkpoint()
    }

    fn finish(&mut self) -> std::io::Result<()> {
        self.writer.finish(&mut self.operations);
        self.collect_bytes();
        Ok(())
    }
}

fn endpoint(number: u64, readiness: Readiness) -> Endpoint {
    Endpoint {
        host: HostId(format!("h{number}").into()),
        machine_type: "box".into(),
        zone: ZoneId("east".into()),
        readiness,
        weight: 1.0,
        started_at: None,
    }
}

/// The time from one recorded call to the next.
pub const CALL_INTERVAL: Micros = Micros(250_000);

/// The events of a call: call 3 adds hosts, call 12 drains one, which the director notes, and the other calls
/// only fire a timer.
fn events(call: u64) -> Vec<Event> {
    let changes = |endpoints| vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints }];
    match call {
        3 => changes((0..4).map(|host| endpoint(host, Readiness::Ready)).collect()),
        12 => changes(vec![endpoint(2, Readiness::Draining)]),
        _ => vec![Event::TimerFired(0)],
    }
}

/// A segment of an incarnation of a director that starts at this time, with the calls from 1 to `calls`.
pub fn record_incarnation(incarnation: Timestamp, calls: u64) -> Vec<u8> {
    let settings = Settings { zones: vec![ZoneId("east".into())], ..Settings::default() };
    let head = Head { settings: settings.clone(), seed: 3, incarnation, ..Head::default() };
    let mut director = Director::new(settings, head.seed);
    let mut recorder = Recorder::new(MemoryQueue::new(head));
    for call in 1..=calls {
        let now = incarnation + Micros(call * CALL_INTERVAL.0);
        let (events, mut actions) = (events(call), Vec::new());
        recorder.before_call(now, &director);
        director.handle(now, &events, &mut actions);
        recorder.after_call(now, &events, &actions, director.digest());
    }
    recorder.queue().finish().unwrap();
    std::mem::take(&mut recorder.queue().bytes)
}
