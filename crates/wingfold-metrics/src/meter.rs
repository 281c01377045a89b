//! Counts the events and the actions of the decision module, and summarizes them in intervals. An interval
//! ends at a whole multiple of its length. The cost of an interval grows with the number of zones times the
//! number of hosts and classes, not with traffic.

mod counts;
mod export;
mod samples;
mod zone;

use self::counts::{IntervalCounts, ModuleCounts, ServiceKey};
use self::zone::ZoneMeter;
use crate::catalogue::Metric;
use crate::source_monitor::{SourceMonitor, SourceState};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use wingfold_director::interface::{
    AdmissionMode, AttemptCounts, ClassId, Event, Micros, ProxyId, Timestamp, ZoneId,
};
use wingfold_director::Director;

/// The time between two updates of source states and admission levels.
const UPDATE_PERIOD: Micros = Micros(1_000_000);
/// Reports are counted as late if the zone lags by more than this, in seconds.
const LAG_TOLERANCE_S: f64 = 1.5;
/// The resolution of recorded delays: tenths of a millisecond.
const DELAY_RESOLUTION_US: u64 = 100;
/// The largest value that histograms record: one hour, for durations in microseconds. Histograms of delays,
/// in tenths of a millisecond, have the same bound.
const MAX_RECORDED: u64 = 3_600_000_000;

/// A value that is counted outside the meter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExternalValue {
    /// The metric.
    pub metric: Metric,
    /// The values of the metric's labels, in the order of the catalogue.
    pub labels: Vec<Arc<str>>,
    /// The running total or the gauge.
    pub value: u64,
}

/// A metric with the values of its labels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    metric: Metric,
    labels: Vec<Arc<str>>,
}

/// All values of an interval that are counted outside the meter.
#[derive(Clone, Copy, Debug)]
pub struct ExternalValues<'a> {
    /// Delays from an action until the last byte of the action is written, in tenths of a millisecond.
    pub write_delays: &'a Histogram<u64>,
    /// Running totals. The interval contains their increase since the previous interval.
    pub totals: &'a [ExternalValue],
    /// Gauges. The interval contains them unchanged.
    pub gauges: &'a [ExternalValue],
}

/// The work of one call of the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallCounts {
    /// The duration of the call, including carrying out its actions, in microseconds.
    pub duration_us: u64,
    /// Messages to proxies that resulted from the call.
    pub messages: usize,
    /// Lines in these messages.
    pub lines: usize,
    /// Lines in the send queue after the call.
    pub queued_lines: f64,
}

/// States of a zone's sources of reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSourceStates {
    /// The zone's load reports.
    pub load_reports: SourceState,
    /// The zone's collector.
    pub collector: SourceState,
    /// The usage reports of each class, by position.
    pub classes: Vec<SourceState>,
}

/// Computes the metrics of one director.
#[derive(Debug)]
pub struct Meter {
    started_at: Timestamp,
    interval_length: Micros,
    interval_ends_at: Timestamp,
    next_update_at: Timestamp,
    interval_number: u64,
    admission_mode: AdmissionMode,
    classes: Vec<Arc<str>>,
    zones: Vec<ZoneMeter>,
    /// Index of the zone of each connected proxy.
    zone_of_proxy: BTreeMap<ProxyId, usize>,
    /// Counts of the present interval.
    current: IntervalCounts,
    /// Counts of the last intervals, the oldest first, to which late reports are added.
    past: VecDeque<IntervalCounts>,
    module: ModuleCounts,
    failed_list_polls: u64,
    last_list_response_at: Timestamp,
    queued_lines: f64,
    max_queued_lines: f64,
    /// Delays of acknowledgements, in tenths of a millisecond.
    acknowledgement_delays: Histogram<u64>,
    /// External running totals at the end of the last interval.
    previous_totals: BTreeMap<SeriesKey, u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED, 2).expect("these bounds are valid")
}

impl Meter {
    /// A meter for a director that starts now, with intervals of `interval_length`.
    pub fn new(now: Timestamp, interval_length: Micros, director: &Director, classes: &[String]) -> Self {
        let settings = director.settings();
        let new_zone =
            |name: &ZoneId| ZoneMeter::new(name.clone(), now, settings.report_period, classes.len());
        let interval_ends_at = Timestamp((now.0 / interval_length.0 + 1) * interval_length.0);
        Meter {
            started_at: now,
            interval_length,
            interval_ends_at,
            next_update_at: now,
            interval_number: 0,
            admission_mode: settings.admission_mode,
            classes: classes.iter().map(|class| Arc::from(class.as_str())).collect(),
            zones: settings.zones.iter().map(new_zone).collect(),
            zone_of_proxy: BTreeMap::new(),
            current: IntervalCounts::new(interval_ends_at),
            past: VecDeque::new(),
            module: ModuleCounts::new(),
            failed_list_polls: 0,
            last_list_response_at: now,
            queued_lines: 0.0,
            max_queued_lines: 0.0,
            acknowledgement_delays: new_histogram(),
            previous_totals: BTreeMap::new(),
        }
    }

    /// Records an event that the decision module is about to handle.
    pub fn record_event(&mut self, now: Timestamp, event: &Event) {
        self.module.events += 1;
        match event {
            Event::ProxyConnected { proxy, zone, requests_per_s } => {
                self.record_connection(*proxy, zone, *requests_per_s);
            }
            Event::ProxyDisconnected(proxy) => {
                if let Some(zone) = self.remove_proxy(*proxy) {
                    self.zones[zone].disconnections += 1;
                }
            }
            Event::LoadReport { zone, attempts, mean_latency, .. } => {
                self.record_load_report(now, zone, *attempts, *mean_latency);
            }
            Event::Usage { proxy, class, requests } => self.record_usage(now, *proxy, *class, *requests),
            Event::Acknowledged { elapsed, .. } => {
                let delay = (elapsed.0 / DELAY_RESOLUTION_US).max(1);
                self.acknowledgement_delays.saturating_record(delay);
            }
            Event::EndpointList { .. } => self.last_list_response_at = now,
            Event::EndpointListFailed => self.failed_list_polls += 1,
            _ => {}
        }
    }

    fn record_connection(&mut self, proxy: ProxyId, zone: &ZoneId, requests_per_s: f64) {
        self.remove_proxy(proxy);
        if let Some(zone) = self.zone_index(zone) {
            self.zone_of_proxy.insert(proxy, zone);
            self.zones[zone].connected_proxies.insert(proxy, requests_per_s.max(0.0));
        }
    }

    /// Removes a connected proxy; returns the index of its zone.
    fn remove_proxy(&mut self, proxy: ProxyId) -> Option<usize> {
        let zone = self.zone_of_proxy.remove(&proxy)?;
        self.zones[zone].connected_proxies.remove(&proxy);
        Some(zone)
    }

    fn record_load_report(
        &mut self,
        now: Timestamp,
        zone: &ZoneId,
        attempts: AttemptCounts,
        mean_latency: Micros,
    ) {
        let Some(index) = self.zone_index(zone) else { return };
        self.zones[index].record_load_report(now, attempts, mean_latency);
        let lateness_s = self.lateness_s(index);
        let counts = self.counts_for(now, lateness_s).attempts.entry(index).or_default();
        counts.total += attempts.total;
        counts.failed += attempts.failed;
        let late = if lateness_s > 0.0 { attempts.total } else { 0 };
        self.current.attempts.entry(index).or_default().late += late;
    }

    fn record_usage(&mut self, now: Timestamp, proxy: ProxyId, class: ClassId, requests: AttemptCounts) {
        let Some(index) = self.zone_of_proxy.get(&proxy).copied() else { return };
        if class.0 >= self.classes.len() {
            return;
        }
        let zone = &mut self.zones[index];
        zone.last_usage_at = Some(now);
        zone.class_usage[class.0].record(now, requests.total as f64);
        let rejected = estimated_rejections(self.admission_mode, zone.admission_levels[class.0], requests);
        let lateness_s = self.lateness_s(index);
        let key = ServiceKey { zone: index, class: class.0 };
        let counts = self.counts_for(now, lateness_s).services.entry(key).or_default();
        counts.offered += requests.total;
        counts.rejected += rejected;
        counts.failed += requests.failed;
        let late = if lateness_s > 0.0 { requests.total } else { 0 };
        self.current.services.entry(key).or_default().late += late;
    }

    fn zone_index(&self, zone: &ZoneId) -> Option<usize> {
        self.zones.iter().position(|candidate| candidate.name == *zone)
    }

    /// How late the reports of a zone are, in seconds; 0 if the lag is within the tolerance.
    fn lateness_s(&self, zone: usize) -> f64 {
        let lag_s = self.zones[zone].lag.secs();
        if lag_s > LAG_TOLERANCE_S {
            lag_s
        } else {
            0.0
        }
    }

    /// The counts of the interval to which a report belongs that is received now. A late report belongs to a
    /// past interval, if that interval's counts are still kept.
    fn counts_for(&mut self, now: Timestamp, lateness_s: f64) -> &mut IntervalCounts {
        let measured_at = Timestamp(now.0.saturating_sub(Micros::from_secs(lateness_s).0));
        let length = self.interval_length;
        let covers = |counts: &IntervalCounts| counts.covers(measured_at, length);
        let index = if lateness_s > 0.0 { self.past.iter().position(covers) } else { None };
        match index {
            Some(index) => {
                self.past[index].is_corrected = true;
                &mut self.past[index]
            }
            None => &mut self.current,
        }
    }

    /// Records a valid response of discovery, whether or not the endpoint list changed.
    pub fn record_list_response(&mut self, now: Timestamp) {
        self.last_list_response_at = now;
    }

    /// Records messages from a zone's collector, whatever their contents.
    pub fn record_collector_activity(&mut self, now: Timestamp, zone: &ZoneId, messages: u64) {
        if messages == 0 {
            return;
        }
        if let Some(index) = self.zone_index(zone) {
            self.zones[index].collector.record(now, messages as f64);
        }
    }

    /// Records a completed call of the decision module.
    pub fn record_call(&mut self, call: CallCounts) {
        self.module.calls += 1;
        self.module.messages += call.messages as u64;
        self.module.lines += call.lines as u64;
        self.module.duration_us.saturating_record(call.duration_us.max(1));
        self.queued_lines = call.queued_lines;
        self.max_queued_lines = self.max_queued_lines.max(call.queued_lines);
    }

    /// Updates admission levels and source states, once per `UPDATE_PERIOD`.
    pub fn update(&mut self, now: Timestamp, director: &Director) {
        if now < self.next_update_at {
            return;
        }
        self.next_update_at = Timestamp(now.0 + UPDATE_PERIOD.0);
        for view in director.zone_views() {
            if let Some(index) = self.zone_index(&view.zone) {
                self.zones[index].admission_levels = view.admission_levels;
            }
        }
        let report_period = director.settings().report_period;
        for zone in &mut self.zones {
            let hosts_unreachable = director.is_unreachable_from_other_zones(&zone.name);
            zone.update_sources(now, report_period, hosts_unreachable);
        }
    }

    /// When the present interval ends.
    pub fn interval_ends_at(&self) -> Timestamp {
        self.interval_ends_at
    }

    /// States of the sources of a zone; `None` if the zone is unknown.
    pub fn source_states(&self, zone: &ZoneId) -> Option<ZoneSourceStates> {
        let zone = &self.zones[self.zone_index(zone)?];
        Some(ZoneSourceStates {
            load_reports: zone.load_reports.state(),
            collector: zone.collector.state(),
            classes: zone.class_usage.iter().map(SourceMonitor::state).collect(),
        })
    }
}

/// The number of requests that the current admission level rejected. This is an estimate: proxies do not
/// report rejections.
fn estimated_rejections(mode: AdmissionMode, admission_level: f64, requests: AttemptCounts) -> f64 {
    let total = requests.total as f64;
    match mode {
        AdmissionMode::Share => total * (1.0 - admission_level.clamp(0.0, 1.0)),
        AdmissionMode::Rate => (total - admission_level * requests.period.secs()).max(0.0),
        AdmissionMode::Ignored => 0.0,
    }
}
