//! The units left in a turn, and the requests for units in the order in which they are granted.

use super::{Work, DELAY_OF_LATE_START};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::task::{Poll, Waker};
use tokio::time::Instant;

/// The units left in this turn, and the work that waits for units.
#[derive(Debug)]
pub struct Queue {
    pub(super) free_units: u64,
    /// Requests that wait or were granted and have not been taken yet, by their numbers.
    pub(super) requests: BTreeMap<u64, Request>,
    /// The order in which waiting requests are granted.
    pub(super) order: BTreeSet<Place>,
    next_number: u64,
}

/// The place of a request in the order of service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    /// Requests with an earlier rank are granted before.
    rank: Instant,
    number: u64,
}

/// A request for units.
#[derive(Debug)]
pub(super) struct Request {
    work: Work,
    /// Wakes the task that waits; `None` if the request is granted at once. A task that is woken without need
    /// would not let the others run when it yields.
    waker: Option<Waker>,
    /// The place of the request while it waits; `None` once it is granted.
    place: Option<Place>,
    /// Time after which the request goes behind the others, if it can be too late.
    latest_start: Option<Instant>,
    /// Whether the request went behind the others.
    is_postponed: bool,
}

/// The units of a request were granted.
#[derive(Debug)]
pub struct Granted {
    /// Whether the request went behind the others because it was too late.
    pub is_postponed: bool,
}

impl Queue {
    /// Creates a queue with the units of the first turn.
    pub fn new(free_units: u64) -> Queue {
        Queue { free_units, requests: BTreeMap::new(), order: BTreeSet::new(), next_number: 0 }
    }

    /// Begins a turn with this number of units.
    pub fn refill(&mut self, units: u64) {
        self.free_units = units;
        self.grant();
    }

    /// Makes a request, which is granted at once if there are units left for it; returns its number.
    pub fn request(&mut self, work: Work, rank: Instant, latest_start: Option<Instant>) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let place = Place { rank, number };
        let request = Request { work, waker: None, place: Some(place), latest_start, is_postponed: false };
        self.requests.insert(number, request);
        self.order.insert(place);
        self.grant();
        number
    }

    /// Takes a request that was granted; otherwise `waker` is woken once it is.
    pub fn poll(&mut self, number: u64, waker: &Waker) -> Poll<Granted> {
        let Entry::Occupied(mut request) = self.requests.entry(number) else { return Poll::Pending };
        if request.get().place.is_some() {
            request.get_mut().waker = Some(waker.clone());
            return Poll::Pending;
        }
        Poll::Ready(Granted { is_postponed: request.remove().is_postponed })
    }

    /// Withdraws a request that was not taken; its units go to others.
    pub fn withdraw(&mut self, number: u64) {
        let Some(request) = self.requests.remove(&number) else { return };
        if let Some(place) = request.place {
            self.order.remove(&place);
        } else {
            self.free_units += request.work.units();
            self.grant();
        }
    }

    /// Grants units to the first in the order, as far as they last.
    fn grant(&mut self) {
        let now = Instant::now();
        while let Some(place) = self.order.first().copied() {
            let Some(request) = self.requests.get_mut(&place.number) else { return };
            if request.latest_start.is_some_and(|latest_start| latest_start < now) {
                self.postpone(place);
                continue;
            }
            let units = request.work.units();
            if units > self.free_units {
                return;
            }
            self.free_units -= units;
            self.order.remove(&place);
            request.place = None;
            if let Some(waker) = request.waker.take() {
                waker.wake();
            }
        }
    }

    /// Moves a request for which it is too late behind the others.
    fn postpone(&mut self, place: Place) {
        let later = Place { rank: place.rank + DELAY_OF_LATE_START, ..place };
        self.order.remove(&place);
        self.order.insert(later);
        if let Some(request) = self.requests.get_mut(&place.number) {
            request.place = Some(later);
            request.latest_start = None;
            request.is_postponed = true;
        }
    }
}
