//! Converts the counts of an interval into samples, in the order in which the samples are sent.

use super::counts::{IntervalCounts, ServiceCounts, ServiceKey};
use super::samples::SampleList;
use super::zone::ZoneMeter;
use super::{ExternalValue, ExternalValues, Meter, SeriesKey};
use crate::catalogue::Metric;
use crate::interval::{Correction, Distribution, Interval};
use crate::source_monitor::SourceState;
use std::sync::Arc;
use wingfold_director::interface::Timestamp;
use wingfold_director::Director;

/// The number of past intervals to which late reports are still added.
const MAX_PAST_INTERVALS: usize = 3;
/// Histograms of delays are in tenths of a millisecond; the metrics are in milliseconds.
const DELAYS_PER_MS: f64 = 10.0;
/// The histogram of call durations and its metric are both in microseconds.
const DURATIONS_PER_US: f64 = 1.0;

impl Meter {
    /// Ends the present interval if its time has come. If several intervals have passed since the last
    /// call, all but the last are skipped: it is not known how the counts are distributed over them.
    pub fn end_interval(
        &mut self,
        now: Timestamp,
        director: &Director,
        external: ExternalValues<'_>,
    ) -> Option<Interval> {
        if now < self.interval_ends_at {
            return None;
        }
        let ended_at = Timestamp(now.0 / self.interval_length.0 * self.interval_length.0);
        let mut samples = SampleList::default();
        self.export_gauges(now, director, &mut samples);
        self.export_counters(&mut samples);
        self.export_distributions(external, &mut samples);
        for index in 0..self.zones.len() {
            self.export_zone(index, now, director, &mut samples);
        }
        self.export_external_totals(external.totals, &mut samples);
        export_external_gauges(external.gauges, &mut samples);
        let corrections = self.take_corrections();
        self.start_interval(ended_at);
        Some(Interval {
            number: self.interval_number,
            ended_at,
            length: self.interval_length,
            samples: samples.into_samples(),
            corrections,
        })
    }

    /// Moves the counts of the ended interval to the past intervals, and begins the next interval.
    fn start_interval(&mut self, previous_ended_at: Timestamp) {
        self.interval_number += 1;
        self.interval_ends_at = Timestamp(previous_ended_at.0 + self.interval_length.0);
        let mut ended = std::mem::replace(&mut self.current, IntervalCounts::new(self.interval_ends_at));
        ended.ends_at = previous_ended_at;
        self.past.push_back(ended);
        while self.past.len() > MAX_PAST_INTERVALS {
            self.past.pop_front();
        }
    }

    fn export_gauges(&mut self, now: Timestamp, director: &Director, samples: &mut SampleList) {
        let fleet = director.fleet_view();
        samples.push_gauge(Metric::DirectorStartTime, &[], self.started_at.secs());
        samples.push_gauge(Metric::DirectorUptime, &[], now.since(self.started_at));
        samples.push_gauge(Metric::AdmissionRatio, &[], fleet.admission_ratio);
        samples.push_gauge(Metric::Utilization, &[], fleet.utilization);
        samples.push_gauge(Metric::QueuedLines, &[], self.queued_lines);
        samples.push_gauge(Metric::MaxQueuedLines, &[], std::mem::take(&mut self.max_queued_lines));
        samples.push_gauge(Metric::EndpointListAge, &[], now.since(self.last_list_response_at));
    }

    fn export_counters(&mut self, samples: &mut SampleList) {
        samples.push_count(Metric::ProxyMessages, &[], std::mem::take(&mut self.module.messages));
        samples.push_count(Metric::ProxyMessageLines, &[], std::mem::take(&mut self.module.lines));
        samples.push_count(Metric::ModuleCalls, &[], std::mem::take(&mut self.module.calls));
        samples.push_count(Metric::ModuleEvents, &[], std::mem::take(&mut self.module.events));
        samples.push_count(Metric::EndpointListFailures, &[], std::mem::take(&mut self.failed_list_polls));
    }

    fn export_distributions(&mut self, external: ExternalValues<'_>, samples: &mut SampleList) {
        let durations = Distribution::from_histogram(&self.module.duration_us, DURATIONS_PER_US);
        let acknowledgements = Distribution::from_histogram(&self.acknowledgement_delays, DELAYS_PER_MS);
        let writes = Distribution::from_histogram(external.write_delays, DELAYS_PER_MS);
        samples.push_distribution(Metric::ModuleCallDuration, &[], durations);
        samples.push_distribution(Metric::TableAcknowledgementDelay, &[], acknowledgements);
        samples.push_distribution(Metric::TableWriteDelay, &[], writes);
        self.module.duration_us.reset();
        self.acknowledgement_delays.reset();
    }

    fn export_zone(&mut self, index: usize, now: Timestamp, director: &Director, samples: &mut SampleList) {
        let zone = &mut self.zones[index];
        export_hosts(zone, director, samples);
        export_sources(zone, now, samples);
        let latencies = Distribution::from_histogram(&zone.attempt_latencies, DELAYS_PER_MS);
        samples.push_distribution(Metric::AttemptLatency, &[&zone.name.0], latencies);
        zone.attempt_latencies.reset();
        self.export_attempts(index, samples);
        for class in 0..self.classes.len() {
            self.export_class(index, class, now, samples);
        }
    }

    /// Adds the attempts of a zone. If the zone does not report, the samples are left out: zeros would say
    /// that no attempts were made.
    fn export_attempts(&self, index: usize, samples: &mut SampleList) {
        let zone = &self.zones[index];
        let attempts = self.current.attempts.get(&index).copied().unwrap_or_default();
        let is_reporting =
            zone.load_reports.has_reported() && zone.load_reports.state() == SourceState::Reporting;
        if attempts.total + attempts.late > 0 || is_reporting {
            let label = &zone.name.0;
            samples.push_count(Metric::Attempts, &[label], attempts.total);
            samples.push_count(Metric::AttemptsFailed, &[label], attempts.failed);
            samples.push_count(Metric::AttemptsReportedLate, &[label], attempts.late);
        }
    }

    fn export_class(&self, zone_index: usize, class: usize, now: Timestamp, samples: &mut SampleList) {
        let zone = &self.zones[zone_index];
        let usage = &zone.class_usage[class];
        let labels = [&zone.name.0, &self.classes[class]];
        samples.push_gauge(Metric::UsageReportAge, &labels, usage.age_s(now));
        samples.push_gauge(Metric::UsageReportState, &labels, usage.state().number());
        samples.push_gauge(Metric::AdmissionLevel, &labels, zone.admission_levels[class]);
        let key = ServiceKey { zone: zone_index, class };
        let service = self.current.services.get(&key).copied().unwrap_or_default();
        let is_reporting = usage.has_reported() && usage.state() == SourceState::Reporting;
        // If any class of the zone reported usage in this interval, a class without usage had no requests.
        let zone_has_usage = zone.last_usage_at.is_some_and(|at| now.since(at) < self.interval_length.secs());
        if service != ServiceCounts::default() || is_reporting || zone_has_usage {
            export_service(&service, labels, samples);
            samples.push_count(Metric::RequestsReportedLate, &labels, service.late);
        }
    }

    /// Adds the increase of each running total since the last interval.
    fn export_external_totals(&mut self, totals: &[ExternalValue], samples: &mut SampleList) {
        for total in totals {
            let key = SeriesKey { metric: total.metric, labels: total.labels.clone() };
            let previous = self.previous_totals.insert(key, total.value).unwrap_or(0);
            let labels: Vec<&Arc<str>> = total.labels.iter().collect();
            samples.push_count(total.metric, &labels, total.value.saturating_sub(previous));
        }
    }

    /// The counters of past intervals that late reports have changed since the counters were last exported.
    fn take_corrections(&mut self) -> Vec<Correction> {
        let mut corrections = Vec::new();
        for counts in self.past.iter_mut().filter(|counts| counts.is_corrected) {
            counts.is_corrected = false;
            let mut samples = SampleList::default();
            for (zone, attempts) in &counts.attempts {
                let label = &self.zones[*zone].name.0;
                samples.push_count(Metric::Attempts, &[label], attempts.total);
                samples.push_count(Metric::AttemptsFailed, &[label], attempts.failed);
            }
            for (key, service) in &counts.services {
                let labels = [&self.zones[key.zone].name.0, &self.classes[key.class]];
                export_service(service, labels, &mut samples);
            }
            corrections.push(Correction { ended_at: counts.ends_at, samples: samples.into_samples() });
        }
        corrections
    }
}

/// Adds the number of hosts in each state in the zone's tables, and the number of the zone's connected
/// proxies.
fn export_hosts(zone: &ZoneMeter, director: &Director, samples: &mut SampleList) {
    let hosts = director.host_counts(&zone.name);
    let mut push = |metric, count: usize| samples.push_gauge(metric, &[&zone.name.0], count as f64);
    push(Metric::HostsLeading, hosts.leading);
    push(Metric::HostsWeightHalved, hosts.weight_halved);
    push(Metric::HostsWeightQuartered, hosts.weight_quartered);
    push(Metric::HostsEjected, hosts.ejected);
    push(Metric::HostsInProbation, hosts.in_probation);
    push(Metric::HostsWarmingUp, hosts.warming_up);
    push(Metric::HostsNotReady, hosts.not_ready);
    push(Metric::ProxiesConnected, zone.connected_proxies.len());
}

/// Adds the zone's disconnections, and the ages and states of the zone's sources of reports.
fn export_sources(zone: &mut ZoneMeter, now: Timestamp, samples: &mut SampleList) {
    let label = &zone.name.0;
    samples.push_count(Metric::ProxiesDisconnected, &[label], std::mem::take(&mut zone.disconnections));
    samples.push_gauge(Metric::LoadReportAge, &[label], zone.load_reports.age_s(now));
    samples.push_gauge(Metric::LoadReportState, &[label], zone.load_reports.state().number());
    samples.push_gauge(Metric::LoadReportLag, &[label], zone.lag.secs());
    samples.push_gauge(Metric::CollectorAge, &[label], zone.collector.age_s(now));
    samples.push_gauge(Metric::CollectorState, &[label], zone.collector.state().number());
}

/// Adds the counters of a class in a zone. These are the counters that late reports may correct.
fn export_service(service: &ServiceCounts, labels: [&Arc<str>; 2], samples: &mut SampleList) {
    let rejected = (service.rejected.round() as u64).min(service.offered);
    samples.push_count(Metric::RequestsOffered, &labels, service.offered);
    samples.push_count(Metric::RequestsRejected, &labels, rejected);
    samples.push_count(Metric::RequestsAdmitted, &labels, service.offered - rejected);
    samples.push_count(Metric::RequestsFailed, &labels, service.failed);
}

fn export_external_gauges(gauges: &[ExternalValue], samples: &mut SampleList) {
    for gauge in gauges {
        let labels: Vec<&Arc<str>> = gauge.labels.iter().collect();
        samples.push_gauge(gauge.metric, &labels, gauge.value as f64);
    }
}
