//! Load reports: what proxies counted, summed by zone and sent to each director, late and out of order.

use super::event::SimulationEvent;
use super::Simulation;
use crate::host::HostState;
use crate::proxy::{AttemptStats, ClassUsage};
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

impl Simulation<'_> {
    /// Every zone reports to every director.
    pub(super) fn send_reports(&mut self) {
        let period = self.scenario.settings.report_period;
        self.schedule_after(period, SimulationEvent::ReportsDue);
        self.measure_utilization();
        for director in 0..self.directors.len() {
            for zone in 0..self.scenario.settings.zones.len() {
                let mut reports = self.collect_reports(director, zone, period);
                if self.disruptions.silent_collectors.contains(&zone) {
                    reports.retain(|report| !matches!(report, Event::LoadReport { .. }));
                }
                if reports.is_empty() || self.partitioned(zone, self.directors[director].zone) {
                    continue;
                }
                self.send_out_of_order(director, reports);
            }
        }
    }

    fn measure_utilization(&mut self) {
        let since = std::mem::replace(&mut self.last_report, self.now);
        for (host, utilization) in self.hosts.iter_mut().zip(&mut self.utilization) {
            if host.state == HostState::Up {
                *utilization = Some(host.report_utilization(self.now, since));
            }
        }
    }

    /// Sends reports one by one: some overtake others.
    fn send_out_of_order(&mut self, director: usize, reports: Vec<Event>) {
        let (mut usual, mut delayed) = (Vec::new(), Vec::new());
        for report in reports {
            let overtaken = self.rng.random::<f64>() < self.scenario.reorder_share;
            let group = if overtaken { &mut delayed } else { &mut usual };
            group.push(report);
        }
        delayed.shuffle(&mut self.rng);
        let delay = self.scenario.report_delay;
        let least = Micros(delay.0 + self.disruptions.report_delay.0);
        let first = self.random_time(least, Micros(least.0 + delay.0));
        let period = self.scenario.settings.report_period;
        let second = self.random_time(first, Micros(first.0 + period.0 * 3 / 2));
        self.send_to_director(first, director, usual);
        if !delayed.is_empty() {
            self.send_to_director(second, director, delayed);
        }
    }

    /// Schedules events for the incarnation that a director has now.
    pub(super) fn send_to_director(&mut self, delay: Micros, director: usize, events: Vec<Event>) {
        let incarnation = self.directors[director].incarnation;
        self.schedule_after(delay, SimulationEvent::DirectorReceives { director, incarnation, events });
    }

    /// Takes what a zone's proxies that are connected to a director have counted.
    fn collect_reports(&mut self, director: usize, zone: usize, over: Micros) -> Vec<Event> {
        let mut host_stats: BTreeMap<usize, AttemptStats> = BTreeMap::new();
        let mut reports = Vec::new();
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.zone != zone || proxy.director != Some(director) {
                continue;
            }
            for (host, stats) in std::mem::take(&mut proxy.host_stats) {
                host_stats.entry(host).or_default().add(&stats);
            }
            for (class, usage) in proxy.class_usage.iter_mut().enumerate() {
                let ClassUsage { total, lost } = std::mem::take(usage);
                if total > 0 {
                    let sums = AttemptCounts { total, failed: lost, period: over };
                    reports.push(Event::Usage {
                        proxy: ProxyId(number as u32),
                        class: ClassId(class),
                        requests: sums,
                    });
                }
            }
        }
        let host_reports =
            host_stats.into_iter().map(|(host, stats)| self.host_report(zone, host, &stats, over));
        reports.extend(host_reports);
        reports
    }

    fn host_report(&self, zone: usize, host: usize, stats: &AttemptStats, over: Micros) -> Event {
        let zone = self.scenario.settings.zones[zone].clone();
        let sums = AttemptCounts { total: stats.attempts, failed: stats.failures, period: over };
        let latency = Micros((stats.mean_latency_ms() * 1e3) as u64);
        let reported = self.scenario.settings.load_report_source != LoadReportSource::Never;
        let load =
            HostLoad { utilization: self.utilization[host].filter(|_| reported), ..HostLoad::default() };
        Event::LoadReport {
            zone,
            host: self.hosts[host].id.clone(),
            attempts: sums,
            mean_latency: latency,
            load,
        }
    }
}
