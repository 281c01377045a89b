//! Load reports and usage reports: the counts of the proxies of each zone, sent to each director with a delay
//! and partly out of order.

use super::delay::DelayRange;
use super::event::SimulationEvent;
use super::Simulation;
use crate::host::HostState;
use crate::proxy::AttemptStats;
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

const MICROS_PER_MS: f64 = 1e3;

impl Simulation<'_> {
    /// Sends the reports of every zone to every director and schedules the next reports.
    pub(super) fn send_load_reports(&mut self) {
        self.schedule_after(self.scenario.settings.report_period, SimulationEvent::LoadReportsDue);
        self.measure_utilization();
        for director in 0..self.directors.len() {
            for zone in 0..self.scenario.settings.zones.len() {
                self.send_zone_reports(director, zone);
            }
        }
    }

    /// Sends the reports of a zone to a director. If the zone is partitioned from the director, the counts
    /// are lost.
    fn send_zone_reports(&mut self, director: usize, zone: usize) {
        let mut reports = self.collect_reports(director, zone);
        if self.disruptions.silent_collectors.contains(&zone) {
            reports.retain(|report| !matches!(report, Event::LoadReport { .. }));
        }
        if reports.is_empty() || self.is_partitioned(zone, self.directors[director].zone) {
            return;
        }
        self.send_out_of_order(director, reports);
    }

    /// Measures the utilization of all hosts that serve; the other hosts keep their last value.
    fn measure_utilization(&mut self) {
        let last_report_at = std::mem::replace(&mut self.last_report_at, self.now);
        for (host, utilization) in self.hosts.iter_mut().zip(&mut self.utilization) {
            if host.state == HostState::Up {
                *utilization = Some(host.report_utilization(self.now, last_report_at));
            }
        }
    }

    /// Sends reports in two groups: the first in order; the second, which arrives later, is a random share of
    /// the reports, shuffled.
    fn send_out_of_order(&mut self, director: usize, reports: Vec<Event>) {
        let mut in_order = Vec::new();
        let mut reordered = Vec::new();
        for report in reports {
            if self.rng.random::<f64>() < self.scenario.reorder_ratio {
                reordered.push(report);
            } else {
                in_order.push(report);
            }
        }
        reordered.shuffle(&mut self.rng);
        let report_delay = self.scenario.report_delay;
        let min_delay = Micros(report_delay.0 + self.disruptions.report_delay.0);
        let max_delay = Micros(min_delay.0 + report_delay.0);
        let first_delay = self.random_delay(DelayRange { min: min_delay, max: max_delay });
        let period = self.scenario.settings.report_period;
        let max_second_delay = Micros(first_delay.0 + period.0 * 3 / 2);
        let second_delay = self.random_delay(DelayRange { min: first_delay, max: max_second_delay });
        self.send_to_director(first_delay, director, in_order);
        if !reordered.is_empty() {
            self.send_to_director(second_delay, director, reordered);
        }
    }

    /// Sends events to the present incarnation of a director, which receives them after a delay.
    pub(super) fn send_to_director(&mut self, delay: Micros, director: usize, events: Vec<Event>) {
        let incarnation = self.directors[director].incarnation;
        self.schedule_after(delay, SimulationEvent::DirectorReceives { director, incarnation, events });
    }

    /// Takes the counts of the proxies of a zone that are connected to a director, and resets them. Returns
    /// the usage reports by proxy and class, followed by the load reports by host.
    fn collect_reports(&mut self, director: usize, zone: usize) -> Vec<Event> {
        let period = self.scenario.settings.report_period;
        let mut host_stats: BTreeMap<usize, AttemptStats> = BTreeMap::new();
        let mut reports = Vec::new();
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.zone != zone || proxy.director != Some(director) {
                continue;
            }
            for (host, stats) in std::mem::take(&mut proxy.host_stats) {
                host_stats.entry(host).or_default().add(&stats);
            }
            for (class, usage) in proxy.class_usage.iter_mut().enumerate() {
                let usage = std::mem::take(usage);
                if usage.requests == 0 {
                    continue;
                }
                let requests = AttemptCounts { total: usage.requests, failed: usage.failures, period };
                reports.push(Event::Usage { proxy: ProxyId(index as u32), class: ClassId(class), requests });
            }
        }
        for (host, stats) in host_stats {
            reports.push(self.load_report(zone, host, &stats));
        }
        reports
    }

    fn load_report(&self, zone: usize, host: usize, stats: &AttemptStats) -> Event {
        let settings = &self.scenario.settings;
        let is_load_reported = settings.load_report_source != LoadReportSource::Never;
        let utilization = if is_load_reported { self.utilization[host] } else { None };
        Event::LoadReport {
            zone: settings.zones[zone].clone(),
            host: self.hosts[host].id.clone(),
            attempts: AttemptCounts {
                total: stats.attempts,
                failed: stats.failures,
                period: settings.report_period,
            },
            mean_latency: Micros((stats.mean_latency_ms() * MICROS_PER_MS) as u64),
            load: HostLoad { utilization, ..HostLoad::default() },
        }
    }
}
