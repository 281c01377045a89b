//! Joining records of the same host. Sequences of hosts are in the order of their identifiers, so that one
//! pass over two of them is enough.
use crate::interface::HostId;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::sync::Arc;

/// The order of two hosts. Most often both are the same string in memory, which need not be read then.
pub(crate) fn compare_hosts(one: &HostId, other: &HostId) -> Ordering {
    if Arc::ptr_eq(&one.0, &other.0) {
        Ordering::Equal
    } else {
        one.cmp(other)
    }
}

/// Looks up hosts in an ordered sequence of hosts with values. The hosts must be looked up in their order.
pub(crate) struct HostCursor<Entries: Iterator> {
    /// The entries that have been neither found nor skipped.
    rest: Peekable<Entries>,
}

impl<'a, Value, Entries: Iterator<Item = (&'a HostId, Value)>> HostCursor<Entries> {
    /// A cursor before the first of some entries.
    pub(crate) fn new(entries: impl IntoIterator<IntoIter = Entries>) -> Self {
        HostCursor { rest: entries.into_iter().peekable() }
    }

    /// The value of a host, if the sequence has it. `skip` is given each entry that is passed on the way.
    pub(crate) fn seek(&mut self, id: &HostId, mut skip: impl FnMut(&'a HostId, Value)) -> Option<Value> {
        loop {
            let (next, _) = self.rest.peek()?;
            match compare_hosts(next, id) {
                Ordering::Less => {
                    let (skipped, value) = self.rest.next()?;
                    skip(skipped, value);
                }
                Ordering::Equal => return self.rest.next().map(|(_, value)| value),
                Ordering::Greater => return None,
            }
        }
    }

    /// The value of a host, if the sequence has it.
    pub(crate) fn find(&mut self, id: &HostId) -> Option<Value> {
        self.seek(id, |_, _| {})
    }

    /// The entries after the last host that was looked up.
    pub(crate) fn rest(self) -> impl Iterator<Item = (&'a HostId, Value)> {
        self.rest
    }
}

/// A cursor over the positions of hosts that are in their order.
pub(crate) fn position_cursor(ids: &[HostId]) -> HostCursor<impl Iterator<Item = (&HostId, usize)>> {
    HostCursor::new(ids.iter().zip(0..))
}

/// Each entry of one map with the entry that another has for the same host.
pub(crate) fn join_by_host<'a, One, Other>(
    one: &'a BTreeMap<HostId, One>,
    other: &'a BTreeMap<HostId, Other>,
) -> impl Iterator<Item = (&'a HostId, &'a One, Option<&'a Other>)> {
    let mut others = HostCursor::new(other);
    one.iter().map(move |(id, value)| (id, value, others.find(id)))
}

#[cfg(test)]
mod tests;
