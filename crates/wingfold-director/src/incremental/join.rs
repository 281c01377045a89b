//! Joins of records by host. All sequences of hosts are ordered by identifier, so that two sequences are
//! joined in a single pass.
use crate::interface::HostId;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::sync::Arc;

/// Compares two hosts by identifier. Equal identifiers mostly share one string in memory; such strings are
/// not read.
pub(crate) fn compare_hosts(one: &HostId, other: &HostId) -> Ordering {
    if Arc::ptr_eq(&one.0, &other.0) {
        Ordering::Equal
    } else {
        one.cmp(other)
    }
}

/// Looks up hosts in a sequence of hosts with values that is ordered by host. Hosts must be looked up in
/// ascending order.
pub(crate) struct HostCursor<Entries: Iterator> {
    /// The entries that have been neither returned nor skipped.
    rest: Peekable<Entries>,
}

impl<'a, Value, Entries: Iterator<Item = (&'a HostId, Value)>> HostCursor<Entries> {
    /// A cursor in front of the first entry.
    pub(crate) fn new(entries: impl IntoIterator<IntoIter = Entries>) -> Self {
        HostCursor { rest: entries.into_iter().peekable() }
    }

    /// The value of a host; `None` if the sequence does not have the host. Calls `skip` with each entry that
    /// lies before the host and was not looked up.
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

    /// The value of a host; `None` if the sequence does not have the host.
    pub(crate) fn find(&mut self, id: &HostId) -> Option<Value> {
        self.seek(id, |_, _| {})
    }

    /// The entries after the last host that was looked up.
    pub(crate) fn rest(self) -> impl Iterator<Item = (&'a HostId, Value)> {
        self.rest
    }
}

/// A cursor over hosts that are ordered by identifier, with their positions in `ids` as values.
pub(crate) fn position_cursor(ids: &[HostId]) -> HostCursor<impl Iterator<Item = (&HostId, usize)>> {
    HostCursor::new(ids.iter().zip(0..))
}

/// Each entry of the map `one`, with the value that the map `other` has for the same host.
pub(crate) fn join_by_host<'a, One, Other>(
    one: &'a BTreeMap<HostId, One>,
    other: &'a BTreeMap<HostId, Other>,
) -> impl Iterator<Item = (&'a HostId, &'a One, Option<&'a Other>)> {
    let mut others = HostCursor::new(other);
    one.iter().map(move |(id, value)| (id, value, others.find(id)))
}

#[cfg(test)]
mod tests;
