//! Reads batches, passes their events to the instances and writes the replies.

use crate::batch::Batch;
use crate::instance::Instance;
use crate::wire::{self, BatchStart, Fields, LineReader, MessageKind, OrderError, WireError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::PathBuf;
use wingfold_director::interface::{Action, Event, Timestamp};

/// Reads batches and replies to each until the input ends. If `capture_root` is given, the calls of each
/// instance are captured in a directory of its own below it.
pub fn serve(
    input: impl BufRead,
    mut output: impl Write,
    capture_root: Option<PathBuf>,
) -> Result<(), WireError> {
    let mut lines = LineReader::new(input);
    let mut instances = Instances::new(capture_root);
    let mut reply = String::new();
    while let Some(mut fields) = lines.next_line()? {
        let start = wire::read_batch_start(&mut fields)?;
        instances.read_batch(&mut lines, start.clock)?;
        reply.clear();
        instances.write_reply(&mut reply, &start);
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

/// All director instances of this process. They share no state.
struct Instances {
    by_number: BTreeMap<u64, Instance>,
    capture_root: Option<PathBuf>,
    /// The actions of one instance. The vector is kept between calls to reuse its allocation.
    actions: Vec<Action>,
}

impl Instances {
    fn new(capture_root: Option<PathBuf>) -> Self {
        Instances { by_number: BTreeMap::new(), capture_root, actions: Vec::new() }
    }

    /// Reads the lines of a batch up to its end, and queues the events in their instances.
    fn read_batch(
        &mut self,
        lines: &mut LineReader<impl BufRead>,
        clock: Timestamp,
    ) -> Result<(), WireError> {
        let mut batch = Batch::new(clock);
        while let Some(mut fields) = lines.next_line()? {
            batch.check_list_order(&fields)?;
            if fields.kind() == MessageKind::BatchEnd {
                return fields.end();
            }
            self.apply_line(&mut batch, &mut fields)?;
            fields.end()?;
        }
        Err(WireError::input_ended_in_batch())
    }

    /// Applies one line between the first and the last line of a batch.
    fn apply_line(&mut self, batch: &mut Batch, fields: &mut Fields) -> Result<(), WireError> {
        match fields.kind() {
            MessageKind::BatchStart => return Err(fields.unexpected(OrderError::BatchNotEnded)),
            MessageKind::Instance => {
                batch.select_instance(wire::read_instance(fields)?);
                return Ok(());
            }
            _ => {}
        }
        let number = batch.instance().ok_or_else(|| fields.unexpected(OrderError::NoInstance))?;
        match fields.kind() {
            MessageKind::Launch => self.launch(number, batch.clock(), fields),
            MessageKind::Destroy => {
                self.by_number.remove(&number);
                Ok(())
            }
            _ => self.queue_event(number, batch, fields),
        }
    }

    /// Starts an instance. It replaces a running instance of the same number.
    fn launch(&mut self, number: u64, now: Timestamp, fields: &mut Fields) -> Result<(), WireError> {
        let launch = wire::read_launch(fields)?;
        // Dropping the previous instance ends its capture, before the new instance captures into the same
        // directory.
        self.by_number.remove(&number);
        let instance = Instance::new(number, now, &launch, self.capture_root.as_deref());
        self.by_number.insert(number, instance);
        Ok(())
    }

    /// Queues the event that a line completes. A line of an endpoint list may hold only a part of the event.
    fn queue_event(&mut self, number: u64, batch: &mut Batch, fields: &mut Fields) -> Result<(), WireError> {
        let Some(instance) = self.by_number.get_mut(&number) else {
            return Err(fields.unexpected(OrderError::NotLaunched));
        };
        let event: Option<Event> = match fields.kind() {
            MessageKind::EndpointList => batch.begin_list(wire::read_endpoint_list(fields)?),
            MessageKind::Endpoint => batch.add_endpoint(wire::read_endpoint(fields)?),
            _ => Some(wire::read_event(fields, instance.names())?),
        };
        if let Some(event) = event {
            instance.queue(event);
        }
        Ok(())
    }

    /// Makes every instance with queued events handle them, and writes the reply to a batch.
    fn write_reply(&mut self, reply: &mut String, start: &BatchStart) {
        for (&number, instance) in &mut self.by_number {
            if !instance.has_events() {
                continue;
            }
            self.actions.clear();
            instance.handle_events(start.clock, &mut self.actions);
            wire::write_actions(reply, number, &self.actions);
        }
        wire::write_acknowledgement(reply, start.sequence);
    }
}
