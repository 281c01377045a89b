//! Reads batches, hands events to the instances concerned and writes their replies. Where a folder is named, every call
//! is captured there, each instance in a folder of its own.

use crate::wire::{self, Fields, WireError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::Path;
use wingfold_archive::{synchronous, SegmentFolder, SynchronousQueue};
use wingfold_capture::{Head, Recorder, RecorderQueue, SegmentLimits};
use wingfold_director::interface::{Action, Endpoint, EndpointListKind, Event, Timestamp};
use wingfold_director::Director;
use wingfold_settings::ReportNames;

/// One director and what is needed to read its messages.
struct Instance {
    names: ReportNames,
    director: Director,
    pending: Vec<Event>,
    tap: Option<Recorder<SynchronousQueue<SegmentFolder>>>,
}

impl Instance {
    fn new(
        number: u64,
        now: Timestamp,
        seed: u64,
        info: &wingfold_settings::PlatformSettings,
        captures: Option<&Path>,
    ) -> Self {
        let (names, settings) = (info.report_names(), info.director_settings());
        let tap = captures.and_then(|root| {
            let name = format!("instance-{number}");
            let build = format!("wingfold {}", env!("CARGO_PKG_VERSION"));
            let (settings, classes) = (settings.clone(), names.classes.clone());
            let head = Head {
                build,
                director: name.clone(),
                incarnation: now,
                segment: 0,
                seed,
                settings,
                class_names: classes,
                ..Head::default()
            };
            let begun = synchronous(SegmentFolder::new(root, &name), head, SegmentLimits::default());
            begun
                .map_err(|problem| eprintln!("wingfold-simhost: no capture: {problem}"))
                .ok()
                .map(Recorder::new)
        });
        Instance { names, director: Director::new(settings, seed), pending: Vec::new(), tap }
    }

    fn answer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(tap) = &mut self.tap {
            tap.before_call(now, &self.director);
        }
        self.director.handle(now, &self.pending, actions);
        if let Some(tap) = &mut self.tap {
            tap.after_call(now, &self.pending, actions, self.director.digest());
        }
        self.pending.clear();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(Err(problem)) = self.tap.as_mut().map(|tap| tap.queue().finish()) {
            eprintln!("wingfold-simhost: the capture has gaps: {problem}");
        }
    }
}

/// A list of which some entries are still to come.
struct OpenList {
    kind: EndpointListKind,
    left: usize,
    entries: Vec<Endpoint>,
}

/// The state of one batch while it is read.
struct Batch {
    clock: Timestamp,
    sequence: u64,
    instance: Option<u64>,
    list: Option<OpenList>,
}

/// Answers batches until the input ends.
pub fn serve(
    mut input: impl BufRead,
    mut output: impl Write,
    captures: Option<&Path>,
) -> Result<(), WireError> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut batch: Option<Batch> = None;
    let mut line = String::new();
    let mut reply = String::new();
    let mut actions: Vec<Action> = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(Fields::new("batch").unexpected("the input ends inside it")),
            };
        }
        let text = line.trim_end_matches(['\n', '\r']);
        let mut fields = Fields::new(text);
        if text.is_empty() {
            continue;
        }
        let Some(open) = &mut batch else {
            if fields.message() != "batch" {
                return Err(fields.unexpected("stands outside a batch"));
            }
            let clock = Timestamp(fields.value("t")?);
            let sequence = fields.value("frame")?;
            fields.end()?;
            batch = Some(Batch { clock, sequence, instance: None, list: None });
            continue;
        };
        if open.list.is_some() != (fields.message() == "item") {
            return Err(fields.unexpected("list entries must follow their `fleet`, all of them"));
        }
        if fields.message() != "flush" {
            take(open, &mut fields, &mut instances, captures)?;
            fields.end()?;
            continue;
        }
        fields.end()?;
        reply.clear();
        for (number, instance) in &mut instances {
            if instance.pending.is_empty() {
                continue;
            }
            actions.clear();
            instance.answer(open.clock, &mut actions);
            actions.retain(|action| !matches!(action, Action::EvictHost(_)));
            if !actions.is_empty() {
                reply.push_str(&format!("source\t{number}\n"));
                actions.iter().for_each(|action| wire::action(&mut reply, action));
            }
        }
        reply.push_str(&format!("ack\t{}\n", open.sequence));
        output.write_all(reply.as_bytes())?;
        output.flush()?;
        batch = None;
    }
}

/// Takes in one line inside a batch.
fn take(
    batch: &mut Batch,
    fields: &mut Fields,
    instances: &mut BTreeMap<u64, Instance>,
    captures: Option<&Path>,
) -> Result<(), WireError> {
    if fields.message() == "batch" {
        return Err(fields.unexpected("the batch before it has not ended"));
    }
    if fields.message() == "for" {
        batch.instance = Some(fields.value("i")?);
        return Ok(());
    }
    let Some(number) = batch.instance else {
        return Err(fields.unexpected("no instance was named before it"));
    };
    if fields.message() == "launch" {
        let (seed, info) = wire::launch(fields)?;
        // The old one ends its capture before the new one begins in the same folder.
        instances.remove(&number);
        instances.insert(number, Instance::new(number, batch.clock, seed, &info, captures));
        return Ok(());
    }
    if fields.message() == "destroy" {
        instances.remove(&number);
        return Ok(());
    }
    let Some(instance) = instances.get_mut(&number) else {
        return Err(fields.unexpected("the instance has not been launched"));
    };
    match fields.message() {
        "fleet" => {
            let (kind, left) = wire::fleet(fields)?;
            match kind {
                None => instance.pending.push(Event::EndpointListFailed),
                Some(kind) if left == 0 => {
                    instance.pending.push(Event::EndpointList { kind, endpoints: Vec::new() })
                }
                Some(kind) => batch.list = Some(OpenList { kind, left, entries: Vec::new() }),
            }
        }
        "item" => {
            let entry = wire::item(fields)?;
            if let Some(list) = &mut batch.list {
                list.entries.push(entry);
                list.left -= 1;
                if list.left == 0 {
                    let done =
                        Event::EndpointList { kind: list.kind, endpoints: std::mem::take(&mut list.entries) };
                    instance.pending.push(done);
                    batch.list = None;
                }
            }
        }
        _ => instance.pending.push(wire::event(fields, &instance.names)?),
    }
    Ok(())
}
