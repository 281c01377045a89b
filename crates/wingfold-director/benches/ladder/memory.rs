//! Memory of a director, by kind of record.
//!
//! The total is what a restored copy of a director allocates up to its first evaluation. The size of a record
//! is computed from directors that hold only one kind of record, or that differ in one kind. A director
//! without zones holds hosts only. With classes that stay in the proxy's own zone, a director holds as many
//! statistics of hosts as without that restriction, but fewer table entries.

use crate::fleet::Fleet;
use crate::measure::allocated;
use crate::sizes::Size;
use serde::Serialize;
use wingfold_director::interface::{Event, Micros, Settings, Timestamp};
use wingfold_director::Director;

/// Seconds after which all tables are complete.
const SETTLING_TIME_S: u32 = 3;

/// The size in memory of one record of each kind, in bytes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RecordBytes {
    /// The size of the fleet.
    pub size: Size,
    pub host: f64,
    #[serde(rename = "path")]
    pub zone_host_stats: f64,
    #[serde(rename = "line")]
    pub table_entry: f64,
    pub proxy: f64,
}

/// Interval of a director's scheduled evaluations.
const EVALUATION_INTERVAL: Micros = Micros(250_000);

/// Bytes that a director holds: what a restored copy of the director allocates, including the results that
/// the copy caches in its next evaluation.
pub fn held_bytes(director: &Director) -> usize {
    let checkpoint = director.checkpoint();
    let before = allocated();
    let mut copy = Director::restore(&checkpoint).expect("the checkpoint of a director cannot be restored");
    let now = copy.fleet_view().now;
    copy.handle(Timestamp(now.0 + EVALUATION_INTERVAL.0), &[], &mut Vec::new());
    let held_bytes = allocated().saturating_sub(before);
    drop(copy);
    held_bytes
}

/// Measures the memory of one record of each kind, at this size.
pub fn bytes_by_record(size: Size) -> RecordBytes {
    let settings = size.settings();
    let fleet = Fleet::new(size);
    let no_zones = Settings { zones: Vec::new(), ..settings.clone() };
    let mut own_zone_only = settings.clone();
    own_zone_only.classes.iter_mut().for_each(|class| class.own_zone_only = true);
    let hosts_only = Totals::after_events(&no_zones, &[fleet.cached_list()]);
    let with_few_entries = Totals::after_events(&own_zone_only, &[fleet.cached_list()]);
    let with_all_entries = Totals::after_events(&settings, &[fleet.cached_list()]);
    let list_and_connections: Vec<Event> =
        std::iter::once(fleet.cached_list()).chain(fleet.connections()).collect();
    let with_proxies = Totals::after_events(&settings, &list_and_connections);
    let host = hosts_only.bytes / hosts_only.hosts;
    let table_entry = (with_all_entries.bytes - with_few_entries.bytes)
        / (with_all_entries.table_entries - with_few_entries.table_entries);
    let zone_host_stats =
        (with_few_entries.bytes - hosts_only.bytes - with_few_entries.table_entries * table_entry)
            / with_few_entries.zone_host_stats;
    let added_entry_bytes = (with_proxies.table_entries - with_all_entries.table_entries) * table_entry;
    let proxy = (with_proxies.bytes - with_all_entries.bytes - added_entry_bytes) / with_proxies.proxies;
    RecordBytes { size, host, zone_host_stats, table_entry, proxy }
}

/// The bytes that a director holds, and the numbers of its records.
struct Totals {
    bytes: f64,
    hosts: f64,
    zone_host_stats: f64,
    table_entries: f64,
    proxies: f64,
}

impl Totals {
    /// The totals of a director once all tables are complete after these events.
    fn after_events(settings: &Settings, events: &[Event]) -> Totals {
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
            bytes: held_bytes(&director) as f64,
            hosts: counts.hosts as f64,
            zone_host_stats: counts.zone_host_stats as f64,
            table_entries: counts.table_entries as f64,
            proxies: counts.proxies as f64,
        }
    }
}
