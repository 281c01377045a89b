//! Memory of a director, by kind of record.
//!
//! The whole is what a restored copy of a director allocates up to its first look. Kinds are told apart by directors that hold one kind
//! only, or that differ by one: without zones there are hosts alone; with classes that keep to the proxy's own zone
//! there are as many paths as without that restriction, and fewer lines.

use crate::fleet::Fleet;
use crate::measure::allocated;
use crate::sizes::Size;
use serde::Serialize;
use wingfold_director::interface::{Event, Micros, Settings, Timestamp};
use wingfold_director::Director;

/// Seconds after which every table is laid.
const LAID_AFTER_S: u32 = 3;

/// Bytes of one record of each kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RecordBytes {
    /// The size at which they were measured.
    pub size: Size,
    pub host: f64,
    pub path: f64,
    pub line: f64,
    pub proxy: f64,
}

/// Time until a director looks at everything again.
const LOOK: Micros = Micros(250_000);

/// Bytes that a director holds: what a copy of it allocates, with all that it works out anew at its next look.
pub fn of_director(director: &Director) -> usize {
    let checkpoint = director.checkpoint();
    let before = allocated();
    let mut copy = Director::restore(&checkpoint).expect("a director takes up what another wrote down");
    let now = copy.fleet_view().now;
    copy.handle(Timestamp(now.0 + LOOK.0), &[], &mut Vec::new());
    let held = allocated().saturating_sub(before);
    drop(copy);
    held
}

/// Measures one record of each kind at a size.
pub fn by_record(size: Size) -> RecordBytes {
    let settings = size.settings();
    let fleet = Fleet::new(size);
    let no_zones = Settings { zones: Vec::new(), ..settings.clone() };
    let mut near = settings.clone();
    near.classes.iter_mut().for_each(|class| class.own_zone_only = true);
    let hosts_only = Held::of(&no_zones, &[fleet.whole_list()]);
    let few_lines = Held::of(&near, &[fleet.whole_list()]);
    let all_lines = Held::of(&settings, &[fleet.whole_list()]);
    let joined: Vec<Event> = std::iter::once(fleet.whole_list()).chain(fleet.joins()).collect();
    let with_proxies = Held::of(&settings, &joined);
    let host = hosts_only.bytes / hosts_only.hosts;
    let line = (all_lines.bytes - few_lines.bytes) / (all_lines.lines - few_lines.lines);
    let path = (few_lines.bytes - hosts_only.bytes - few_lines.lines * line) / few_lines.paths;
    let more_lines = (with_proxies.lines - all_lines.lines) * line;
    let proxy = (with_proxies.bytes - all_lines.bytes - more_lines) / with_proxies.proxies;
    RecordBytes { size, host, path, line, proxy }
}

/// What a director holds.
struct Held {
    bytes: f64,
    hosts: f64,
    paths: f64,
    lines: f64,
    proxies: f64,
}

impl Held {
    /// What a director holds some seconds after these events.
    fn of(settings: &Settings, events: &[Event]) -> Held {
        let mut director = Director::new(settings.clone(), 7);
        let mut actions = Vec::new();
        let start = Timestamp::from_secs(1000.0);
        director.handle(start, events, &mut actions);
        for second in 1..=LAID_AFTER_S {
            actions.clear();
            let now = Timestamp(start.0 + u64::from(second) * 1_000_000);
            director.handle(now, &[Event::TimerFired(0)], &mut actions);
        }
        let counts = director.record_counts();
        Held {
            bytes: of_director(&director) as f64,
            hosts: counts.hosts as f64,
            paths: counts.zone_host_stats as f64,
            lines: counts.table_entries as f64,
            proxies: counts.proxies as f64,
        }
    }
}
