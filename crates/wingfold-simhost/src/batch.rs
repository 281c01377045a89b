//! The state of a batch while its lines are read.

use crate::wire::{EndpointListStart, Fields, MessageKind, OrderError, WireError};
use wingfold_director::interface::{Endpoint, EndpointListKind, Event, Timestamp};

/// A batch that is being read.
pub struct Batch {
    clock: Timestamp,
    instance: Option<u64>,
    incomplete_list: Option<IncompleteList>,
}

/// An endpoint list whose entries have not all been read.
struct IncompleteList {
    kind: EndpointListKind,
    missing_entries: usize,
    endpoints: Vec<Endpoint>,
}

impl Batch {
    /// A batch of which only the first line has been read, which gives `clock`.
    pub fn new(clock: Timestamp) -> Self {
        Batch { clock, instance: None, incomplete_list: None }
    }

    /// The time of all events of the batch.
    pub fn clock(&self) -> Timestamp {
        self.clock
    }

    /// The number of the instance to which the next line belongs; `None` before the first line that selects
    /// an instance.
    pub fn instance(&self) -> Option<u64> {
        self.instance
    }

    /// Sets the instance to which the following lines belong.
    pub fn select_instance(&mut self, number: u64) {
        self.instance = Some(number);
    }

    /// Checks that the next line is an entry exactly if an endpoint list is incomplete.
    pub fn check_list_order(&self, fields: &Fields) -> Result<(), WireError> {
        let is_entry = fields.kind() == MessageKind::Endpoint;
        if self.incomplete_list.is_some() == is_entry {
            Ok(())
        } else {
            Err(fields.unexpected(OrderError::ListInterrupted))
        }
    }

    /// Begins an endpoint list. Returns its event at once if no entries follow.
    pub fn begin_list(&mut self, start: EndpointListStart) -> Option<Event> {
        let Some(kind) = start.kind else {
            return Some(Event::EndpointListFailed);
        };
        if start.entries == 0 {
            return Some(Event::EndpointList { kind, endpoints: Vec::new() });
        }
        let list = IncompleteList { kind, missing_entries: start.entries, endpoints: Vec::new() };
        self.incomplete_list = Some(list);
        None
    }

    /// Adds an entry to the incomplete list. Returns the event of the list if this was its last entry.
    pub fn add_endpoint(&mut self, endpoint: Endpoint) -> Option<Event> {
        let list = self.incomplete_list.as_mut()?;
        list.endpoints.push(endpoint);
        list.missing_entries -= 1;
        if list.missing_entries > 0 {
            return None;
        }
        let list = self.incomplete_list.take()?;
        Some(Event::EndpointList { kind: list.kind, endpoints: list.endpoints })
    }
}
