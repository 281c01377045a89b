//! Deterministic subsetting: which part of the hosts a subset of proxies uses at listed weight, and how
//! large it is.
//!
//! Each zone's proxies share subsets, and each subset an arc of a ring of all hosts.
use crate::director::Director;
use crate::interface::{Notice, ZoneId};
use crate::policy::admission::SATURATED_UTILIZATION;
use crate::policy::outlier_detection::COMMON_LOSS_RATIO;
use crate::policy::ranking::{CONFIRMING_ROUNDS, RANKING_COOLDOWN_S};
use crate::state::{LocalityWeightedHosts, Subset, Zone};

/// Requests that a connection should carry before it would close idle.
pub(crate) const MIN_REQUESTS_PER_CONNECTION: f64 = 3.0;
/// The same where connections run short.
const MAX_REQUESTS_PER_CONNECTION: f64 = 48.0;
/// Hosts of a subset, at least.
pub(crate) const MIN_SUBSET_HOSTS: f64 = 3.0;
/// Ratio of all hosts from which a subset has all of them.
const FULL_SUBSET_RATIO: f64 = 0.7;
/// Proxies that share a subset.
const PROXIES_PER_SUBSET: f64 = 5.0;
/// The same where connections run short.
const PROXIES_PER_FINE_SUBSET: f64 = 2.0;
/// Arcs are laid again once one would move by more than this ratio of its length.
const SUBSET_CHANGE_RATIO: f64 = 0.25;
/// Ratio of the hosts that must have been reported for a loss to be common.
const MIN_REPORTED_HOST_RATIO: f64 = 0.2;
/// Hosts that are enough for a mean, however many there are.
pub(crate) const MIN_SAMPLE_HOSTS: f64 = 16.0;

/// Arcs of the ring of hosts for slots of some work, laid end to end from `begin` on: the start of each,
/// and its share of the work. They lie in the order of their numbers' multiples of the golden ratio: arcs
/// of slots opened one after the other are scattered evenly, and another slot changes nothing in the order
/// of those before.
fn ring_arcs(work: &[f64], begin: f64) -> Vec<(f64, f64)> {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    let place = |slot: &usize| (*slot as f64 * GOLDEN_RATIO).fract();
    let mut order: Vec<usize> = (0..work.len()).collect();
    order.sort_by(|a, b| place(a).total_cmp(&place(b)));
    let (all, mut start) = (work.iter().sum::<f64>(), begin);
    let mut arcs = vec![(begin, 0.0); work.len()];
    for slot in order {
        arcs[slot] = (start, work[slot] / all);
        start += work[slot] / all;
    }
    arcs
}

impl Director {
    /// Common losses while hosts have time to spare mean refused connections. Each proxy then keeps to fewer
    /// hosts, and to more again by steps once losses are gone. Harm: less choice if they have another cause.
    pub(crate) fn adjust_subset_size(&mut self, name: &ZoneId, zone: &mut Zone) {
        // One that has just started has heard of a few hosts only, and those are the ones that fail.
        let heard = || {
            zone.memo
                .rows
                .paths()
                .iter()
                .filter(|row| row.recent_successes + row.recent_failures >= 2.0)
                .count() as f64
        };
        let told = || {
            self.utilization > 0.0
                && heard()
                    >= MIN_SAMPLE_HOSTS.min(MIN_REPORTED_HOST_RATIO * self.ready_hosts().count() as f64)
        };
        let short = (COMMON_LOSS_RATIO..1.0).contains(&zone.baseline_loss)
            && self.utilization < SATURATED_UTILIZATION
            && told();
        let before = zone.requests_per_connection.max(MIN_REQUESTS_PER_CONNECTION);
        let calm = zone.baseline_loss < COMMON_LOSS_RATIO / 5.0 && before > MIN_REQUESTS_PER_CONNECTION;
        zone.calm_rounds = if calm { (zone.calm_rounds + 1) % (2 * CONFIRMING_ROUNDS) } else { 0 };
        let back = if calm && zone.calm_rounds == 0 { before / 2.0 } else { before };
        zone.requests_per_connection = if short { MAX_REQUESTS_PER_CONNECTION } else { back };
        if zone.requests_per_connection != before {
            self.notices.push(Notice::SubsetSizeChanged {
                zone: name.clone(),
                requests_per_connection: zone.requests_per_connection,
                baseline_loss: zone.baseline_loss,
                utilization: self.utilization,
            });
        }
    }

    /// Deals a zone's hosts to its slots. Each has every host, the design's table, unless a proxy sends so
    /// little that most connections would close before they are used again: handshakes then eat the hosts'
    /// capacity, and each slot gets an arc of the ring, as long as its part of the work, at listed weight and
    /// all others as spares. Arcs cover the ring evenly; short ones start elsewhere with each director. Slots
    /// opened one after the other lie far apart: joiners fill those, and would crowd onto the same few hosts.
    pub(crate) fn assign_subsets(&mut self, name: &ZoneId, zone: &mut Zone) {
        let (count, total) =
            self.proxies_in_zone(name).fold((0.0, 1e-9), |(n, all), p| (n + 1.0, all + p.1.requests_per_s));
        let LocalityWeightedHosts { ready: hosts, known } = zone.locality_weighted_hosts();
        let wanted = (total / count * self.settings.connection_idle_timeout.secs()
            / zone.requests_per_connection.max(MIN_REQUESTS_PER_CONNECTION))
        .max(MIN_SUBSET_HOSTS);
        let (groups, idle) = (self.class_groups.len(), self.settings.connection_idle_timeout.0);
        // By all hosts known: a zone that loses its own must not turn to every host of the others.
        let whole = count == 0.0 || idle == 0 || wanted >= FULL_SUBSET_RATIO * known;
        let due = if count > 0.0 { count.max(self.expected_proxies_per_zone()) / groups as f64 } else { 0.0 };
        let slots = |by: f64| (due / by).ceil().max(1.0);
        if zone.requests_per_connection > MIN_REQUESTS_PER_CONNECTION
            && !zone.has_fine_subsets
            && hosts / slots(PROXIES_PER_SUBSET) > 2.0 * MIN_SUBSET_HOSTS
        {
            zone.has_fine_subsets = true;
            self.proxies.values_mut().filter(|p| p.zone == *name).for_each(|p| p.awaiting_assignment = true);
            self.memo.revisions.proxies += 1;
        }
        let slots =
            slots(if zone.has_fine_subsets { PROXIES_PER_FINE_SUBSET } else { PROXIES_PER_SUBSET }) as usize;
        while zone.subsets.len() < slots {
            zone.subsets.push(Subset::new(self.next_table_id, groups));
            self.next_table_id += groups as u32;
        }
        let slots = zone.subsets.len() as f64;
        let tables = slots * self.directors_per_zone();
        let tight = f64::max(wanted / hosts, 1.0 / tables);
        let even = (wanted / hosts * slots).round().max(1.0) / slots;
        let part = [even, tight, 1.0]
            [if whole { 2 } else { usize::from(zone.requests_per_connection > MIN_REQUESTS_PER_CONNECTION) }];
        let work = self.load_by_subset(name, zone, 0.1 * total / slots);
        let (all, begin) = (work.iter().sum::<f64>(), f64::from(self.settings.director_index) / tables);
        let length = |share: f64| (part * share * slots).max(MIN_SUBSET_HOSTS / hosts).min(1.0);
        let spans = ring_arcs(&work, begin).into_iter().map(|(start, share)| (start, length(share)));
        let moved = |(slot, to): (&Subset, (f64, f64))| {
            f64::max((slot.start - to.0).abs(), (slot.length - to.1).abs())
                > SUBSET_CHANGE_RATIO * slot.length
        };
        // Not with every joiner: in a crowd of them that would cost more than their tables.
        let rests = zone.last_assignment.is_some_and(|(uses, work, at)| {
            uses == zone.requests_per_connection
                && all < work * (1.0 + 2.0 * SUBSET_CHANGE_RATIO)
                && self.now.since(at) < RANKING_COOLDOWN_S
        });
        let anew = !rests && zone.subsets.iter().zip(spans.clone()).any(moved);
        zone.last_assignment =
            if anew { Some((zone.requests_per_connection, all, self.now)) } else { zone.last_assignment };
        // A slot opened meanwhile gets its arc at once: its table costs nothing, as no proxy holds it yet.
        for (slot, span) in zone.subsets.iter_mut().zip(spans).filter(|(slot, _)| anew || slot.length == 0.0)
        {
            (slot.start, slot.length) = span;
            slot.tables.iter_mut().for_each(|t| t.peak_weight = 0.0);
        }
    }

    /// How many proxies a director may expect in a zone, by its settings alone.
    fn expected_proxies_per_zone(&self) -> f64 {
        let (directors, zones) = (self.settings.directors.max(1), self.settings.zones.len().max(1) as u32);
        let parts = if self.settings.local_first { directors.max(zones) } else { directors * zones };
        f64::from(self.settings.proxies) / f64::from(parts)
    }

    /// How many directors surely serve a zone.
    fn directors_per_zone(&self) -> f64 {
        let (directors, zones) = (self.settings.directors.max(1), self.settings.zones.len().max(1) as u32);
        f64::from(if self.settings.local_first { (directors / zones).max(1) } else { directors })
    }
}
