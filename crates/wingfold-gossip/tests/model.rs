//! Exhaustive test of entry exchange: all sequences of a few steps. The steps are publications by two owners,
//! exchanges, pushes, a restart, and datagrams that are lost, duplicated or reordered.

use std::collections::BTreeMap;
use wingfold_director::interface::Timestamp;
use wingfold_gossip::entries::{EntryKey, EntryStore, HealthState, HostReport, ReceivedEntry};

const KEYS: [EntryKey; 2] = [EntryKey { zone: 0, host: 1 }, EntryKey { zone: 1, host: 2 }];

/// Number of different steps, see [`Model::step`].
const STEPS: usize = 13;

/// A part in transit, with the director that receives it.
#[derive(Clone)]
enum InFlight {
    Entries(usize, Vec<u8>),
    Urgent(usize, Vec<u8>),
}

/// Three directors, the parts in transit between them, and what each director may still receive.
#[derive(Clone)]
struct Model {
    stores: Vec<EntryStore>,
    incarnations: [u32; 3],
    in_flight: Vec<InFlight>,
    now_us: u64,
    /// All reports that an owner published, in order, by owner, incarnation and key.
    published: BTreeMap<(u16, u32, EntryKey), Vec<HostReport>>,
    /// The position in `published` of the last report received, by receiver, owner, incarnation and key.
    received: BTreeMap<(usize, u16, u32, EntryKey), usize>,
}

fn report(health: HealthState, weight_halvings: u8) -> HostReport {
    HostReport { health, weight_halvings, is_warming_up: false, attempts: 7, loss: 255, latency_ms: 90 }
}

impl Model {
    fn new() -> Model {
        let stores = (0..3).map(|id| EntryStore::new(id, 1)).collect();
        Model {
            stores,
            incarnations: [1; 3],
            in_flight: Vec::new(),
            now_us: 1_000_000,
            published: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }

    fn publish(&mut self, owner: usize, reports: BTreeMap<EntryKey, HostReport>) {
        self.stores[owner].publish(Timestamp(self.now_us), &reports);
        for key in KEYS {
            let Some(versioned) = self.stores[owner].entry(owner as u16, key) else { continue };
            let report = versioned.entry.report;
            let published = self.published.entry((owner as u16, self.incarnations[owner], key)).or_default();
            if published.last() != Some(&report) {
                published.push(report);
            }
        }
    }

    /// A director sends its digest to another one, which puts the missing parts in transit.
    fn exchange(&mut self, requester: usize, responder: usize) {
        let digest = self.stores[requester].digest(200);
        // Each part has room for a single entry, so that entries can be lost one by one.
        let parts = self.stores[responder].missing_parts(Timestamp(self.now_us), &digest, 14 + 12, 4);
        self.in_flight.extend(parts.into_iter().map(|part| InFlight::Entries(requester, part)));
    }

    /// Delivers a part, and checks that each entry new to the receiver was published by its owner and is not
    /// older than the entry that the receiver knew.
    fn deliver(&mut self, part: InFlight) {
        let mut received = Vec::new();
        let now = Timestamp(self.now_us);
        let to = match part {
            InFlight::Entries(to, part) => {
                self.stores[to].receive(now, &part, &mut received);
                to
            }
            InFlight::Urgent(to, part) => {
                self.stores[to].receive_urgent(now, &part, &mut received);
                to
            }
        };
        for ReceivedEntry { owner, key, entry } in received {
            let known = self.stores[to].known_versions().find(|(id, _)| *id == owner);
            let incarnation = known.expect("the owner of a received entry is known").1.incarnation;
            let published = &self.published[&(owner, incarnation, key)];
            let position = self.received.entry((to, owner, incarnation, key)).or_insert(0);
            let is_report = |index: &usize| published[*index] == entry.report;
            *position = (*position..published.len()).find(is_report).unwrap_or_else(|| {
                panic!("{entry:?} of {owner} is unpublished, or older than {position} in {published:?}")
            });
        }
    }

    /// Takes a step; `false` if it is not possible in this state.
    fn step(&mut self, step: usize) -> bool {
        self.now_us += 300_000;
        match step {
            0 => self.publish(0, BTreeMap::from([(KEYS[0], report(HealthState::Ejected, 0))])),
            1 => self.publish(
                0,
                BTreeMap::from([
                    (KEYS[0], report(HealthState::Healthy, 2)),
                    (KEYS[1], report(HealthState::Ejected, 0)),
                ]),
            ),
            2 => self.publish(0, BTreeMap::new()),
            3 => self.publish(1, BTreeMap::from([(KEYS[0], report(HealthState::Probation, 0))])),
            4 => self.exchange(1, 0),
            5 => self.exchange(0, 1),
            6 => self.exchange(2, 1),
            7 => {
                let part = self.stores[0].urgent_part(Timestamp(self.now_us), 200);
                if part.is_empty() {
                    return false;
                }
                self.in_flight.push(InFlight::Urgent(1, part));
            }
            8..=11 if self.in_flight.is_empty() => return false,
            // The oldest part in transit arrives.
            8 => {
                let part = self.in_flight.remove(0);
                self.deliver(part);
            }
            // The newest part overtakes the others.
            9 => {
                let part = self.in_flight.pop().expect("a part is in transit");
                self.deliver(part);
            }
            // A duplicate of the oldest part arrives.
            10 => {
                let part = self.in_flight[0].clone();
                self.deliver(part);
            }
            // The oldest part is lost.
            11 => drop(self.in_flight.remove(0)),
            // Director 0 restarts.
            _ => {
                self.incarnations[0] += 1;
                self.stores[0] = EntryStore::new(0, self.incarnations[0]);
            }
        }
        true
    }

    /// Checks that after a few exchanges without loss all directors know the entries of each owner.
    fn assert_convergence(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        in_flight.into_iter().rev().for_each(|part| self.deliver(part));
        for _ in 0..4 {
            for (requester, responder) in [(1, 0), (0, 1), (2, 1), (1, 2), (2, 0), (0, 2)] {
                self.exchange(requester, responder);
                let in_flight = std::mem::take(&mut self.in_flight);
                in_flight.into_iter().for_each(|part| self.deliver(part));
            }
        }
        for owner in 0..3u16 {
            for observer in 0..3 {
                for key in KEYS {
                    let report_in =
                        |id: usize| self.stores[id].entry(owner, key).map(|versioned| versioned.entry.report);
                    let (own, known) = (report_in(usize::from(owner)), report_in(observer));
                    assert!(
                        own.is_none() || own == known,
                        "director {observer} knows {known:?}, but {owner} published {own:?}"
                    );
                }
            }
        }
    }
}

/// Checks convergence after all sequences of `depth` further steps; adds their number to `count`.
fn check_all_sequences(model: &Model, depth: usize, count: &mut u64) {
    if depth == 0 {
        *count += 1;
        model.clone().assert_convergence();
        return;
    }
    for step in 0..STEPS {
        let mut next = model.clone();
        if next.step(step) {
            check_all_sequences(&next, depth - 1, count);
        }
    }
}

#[test]
fn entries_keep_their_order_and_converge_after_any_four_steps() {
    let mut count = 0;
    check_all_sequences(&Model::new(), 4, &mut count);
    assert!(count > 5_000, "{count} sequences");
}

#[test]
#[ignore = "takes some minutes"]
fn entries_keep_their_order_and_converge_after_any_six_steps() {
    let mut count = 0;
    check_all_sequences(&Model::new(), 6, &mut count);
    println!("{count} sequences");
}
