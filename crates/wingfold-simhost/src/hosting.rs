//! Reads batches, hands events to the instances concerned and writes their replies.

use crate::wire::{self, Fields, WireError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use wingfold_director::interface::{Action, Entry, Event, ListKind, Micros};
use wingfold_director::Director;
use wingfold_settings::Names;

/// One director and what is needed to read its messages.
struct Instance {
    names: Names,
    director: Director,
    pending: Vec<Event>,
}

/// A list of which some entries are still to come.
struct OpenList {
    kind: ListKind,
    left: usize,
    entries: Vec<Entry>,
}

/// The state of one batch while it is read.
struct Batch {
    clock: Micros,
    sequence: u64,
    instance: Option<u64>,
    list: Option<OpenList>,
}

/// Answers batches until the input ends.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
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
            let clock = Micros(fields.value("t")?);
            let sequence = fields.value("frame")?;
            fields.end()?;
            batch = Some(Batch { clock, sequence, instance: None, list: None });
            continue;
        };
        if open.list.is_some() != (fields.message() == "item") {
            return Err(fields.unexpected("list entries must follow their `fleet`, all of them"));
        }
        if fields.message() != "flush" {
            take(open, &mut fields, &mut instances)?;
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
            instance.director.handle(open.clock, &instance.pending, &mut actions);
            instance.pending.clear();
            actions.retain(|action| !matches!(action, Action::Forget(_)));
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
        let director = Director::new(info.settings(), seed);
        instances.insert(number, Instance { names: info.names(), director, pending: Vec::new() });
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
                None => instance.pending.push(Event::ListFailed),
                Some(kind) if left == 0 => instance.pending.push(Event::List(kind, Vec::new())),
                Some(kind) => batch.list = Some(OpenList { kind, left, entries: Vec::new() }),
            }
        }
        "item" => {
            let entry = wire::item(fields)?;
            if let Some(list) = &mut batch.list {
                list.entries.push(entry);
                list.left -= 1;
                if list.left == 0 {
                    let done = Event::List(list.kind, std::mem::take(&mut list.entries));
                    instance.pending.push(done);
                    batch.list = None;
                }
            }
        }
        _ => instance.pending.push(wire::event(fields, &instance.names)?),
    }
    Ok(())
}
