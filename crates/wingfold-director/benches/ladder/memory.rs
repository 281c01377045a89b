//! Memory of a director, by kind of record.
//!
//! The total is what a restored copy of a director allocates up to its first evaluation. Kinds of records are measured by
//! directors that hold one kind only, or that differ in one: without zones there are hosts alone; with classes that stay in
//! the proxy's own zone there are as many statistics of hosts as without that restriction, and fewer table entries.

use crate::fleet::Fleet;
use crate::measure::allocated;
use crate::sizes::Size;
use serde::Serialize;
use wingfold_director::interface::{Event, Micros, Settings, Timestamp};
use wingfold_director::Director;

/// Seconds after which every table is complete.
const SETTLING_TIME_S: u32 = 3;

/// Bytes of one record of each kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RecordBytes {
    /// The size at which they were measured.
    pub size: Size,
    pub host: f64,
    #[serde(rename = "path")]
    pub zone_host_stats: f64,
    #[serde(rename = "line")]
    pub table_entry: f64,
    pub proxy: f64,
}

/// Time until the next evaluation of a director.
const EVALUATION_INTERVAL: Micros = Micros(250_000);

/// Bytes that a director holds: what a restored copy of it allocates, with the results that it caches at its next
/// evaluation.
pub fn of_director(director: &Director) -> usize {
    let checkpoint = director.checkpoint();
    let before = allocated();
    let mut copy = Director::restore(&checkpoint).expect("a director restores what another wrote");
    let now = copy.fleet_view().now;
    copy.handle(Timestamp(now.0 + EVALUATION_INTERVAL.0), &[], &mut Vec::new());
    let held = allocated().saturating_sub(before);
    drop(copy);
    held
}

/// Measures one record of each kind at a size.
pub fn by_record(size: Size) -> RecordBytes {
    let settings = size.settings();
    let fleet = Fleet::new(size);
    let no_zones = Settings { zones: Vec::new(), ..settings.clone() };
    let mut own_zone_only = settings.clone();
    own_zone_only.classes.iter_mut().for_each(|class| class.own_zone_only = true);
    let hosts_only = Totals::of(&no_zones, &[fleet.cached_list()]);
    let with_few_entries = Totals::of(&own_zone_only, &[fleet.cached_list()]);
    let with_all_entries = Totals::of(&settings, &[fleet.cached_list()]);
    let with_all: Vec<Event> = std::iter::once(fleet.cached_list()).chain(fleet.connections()).collect();
    let with_proxies = Totals::of(&settings, &with_all);
    let host = hosts_only.bytes / hosts_only.hosts;
    let table_entry = (with_all_entries.bytes - with_few_entries.bytes)
        / (with_all_entries.entries - with_few_entries.entries);
    let zone_host_stats =
        (with_few_entries.bytes - hosts_only.bytes - with_few_entries.entries * table_entry)
            / with_few_entries.zone_host_stats;
    let added_bytes = (with_proxies.entries - with_all_entries.entries) * table_entry;
    let proxy = (with_proxies.bytes - with_all_entries.bytes - added_bytes) / with_proxies.proxies;
    RecordBytes { size, host, zone_host_stats, table_entry, proxy }
}

/// How much a director holds.
struct Totals {
    bytes: f64,
    hosts: f64,
    zone_host_stats: f64,
    entries: f64,
    proxies: f64,
}

impl Totals {
    /// How much a director holds some seconds after these events.
    fn of(settings: &Settings, events: &[Event]) -> Totals {
        let mut director = Director::new(settings.clone(), 7);
        let mut actions = Vec::new();
        let start = Timestamp::from_secs(1000.0);
        director.handle(start, events, &mut actions);
        for second in 1..=SETTLING_TIME_S {
            actions.clear();
            let now = Timestamp(start.0 + u64::from(second) * 1_000_000);
            director.handle(now, &[Event::TimerFired(0)], &mut actions);
        }
        let counts = director.record_counts();
        Totals {
            bytes: of_director(&director) as f64,
            hosts: counts.hosts as f64,
            zone_host_stats: counts.zone_host_stats as f64,
            entries: counts.table_entries as f64,
            proxies: counts.proxies as f64,
        }
    }
}
