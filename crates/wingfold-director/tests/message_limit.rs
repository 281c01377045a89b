//! The limit on messages to one proxy: within it, every draining host must leave the tables of all proxies
//! soon enough for the drain grace, for as long as hosts drain and however often streams break.
mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use wingfold_director::interface::*;

const MAX_MESSAGES: u32 = 12;
const MESSAGE_WINDOW_S: f64 = 10.0;
const DRAIN_GRACE_S: f64 = 2.0;
/// Seconds between two changes of the endpoint list.
const LIST_INTERVAL_S: f64 = 0.16;
/// Seconds from the start of a host's drain until the endpoint list names the host's successor.
const SUCCESSOR_LISTED_AFTER_S: f64 = 3.77;

/// Half a microsecond, by which the harness's clock in seconds stays clear of being rounded down.
const CLOCK_ROUNDING_S: f64 = 5e-7;

/// Settings with a limit on messages to one proxy, where a message takes `mean_push_delay_s` on average.
fn limited_settings(mean_push_delay_s: f64) -> Settings {
    let mut settings = settings();
    settings.proxies = 20;
    settings.directors = 2;
    settings.max_messages_per_proxy = MAX_MESSAGES;
    settings.message_window = seconds(MESSAGE_WINDOW_S);
    settings.mean_push_delay = seconds(mean_push_delay_s);
    settings.max_push_delay = seconds(2.5 * mean_push_delay_s);
    settings.drain_grace = seconds(DRAIN_GRACE_S);
    settings
}

fn connect(proxy: u32) -> Event {
    let zone_name = if proxy.is_multiple_of(2) { "east" } else { "west" };
    Event::ProxyConnected { proxy: ProxyId(proxy), zone: zone(zone_name), requests_per_s: 5.0 }
}

/// What one proxy was sent.
#[derive(Default)]
struct ProxyRecord {
    /// When the proxy's stream was opened, in seconds; `None` while it is broken.
    connected_at: Option<f64>,
    /// The table that the proxy is assigned to on its present stream.
    table: Option<TableId>,
    /// The hosts that the proxy sends requests to.
    hosts: BTreeSet<HostId>,
    /// When messages were sent to the proxy, in seconds.
    message_times: Vec<f64>,
    /// The longest time from the notification that a host drains, or from the start of the stream if that is
    /// later, to the message that removes the host; in seconds.
    longest_removal_s: f64,
}

/// A director whose timers fire on time, and ten proxies. The director knows of the draining hosts.
struct LimitedFleet {
    harness: Harness,
    proxies: BTreeMap<ProxyId, ProxyRecord>,
    /// When the director was told that a host drains, in seconds.
    drains: BTreeMap<HostId, f64>,
    timers: BTreeSet<Timestamp>,
    /// Changes that are still to come: when, in microseconds, and what.
    planned: BTreeMap<(u64, usize), Event>,
}

impl LimitedFleet {
    /// A fleet of `hosts` hosts that has been left alone for longer than the message window.
    fn new(settings: Settings, hosts: usize) -> LimitedFleet {
        let mut fleet = LimitedFleet {
            harness: Harness::new(settings),
            proxies: BTreeMap::new(),
            drains: BTreeMap::new(),
            timers: BTreeSet::new(),
            planned: BTreeMap::new(),
        };
        let endpoints = ready_endpoints(hosts);
        fleet.handle(&Event::EndpointList { kind: EndpointListKind::Cached, endpoints });
        for proxy in 0..10 {
            fleet.handle(&connect(proxy));
        }
        fleet.run_for(2.0 * MESSAGE_WINDOW_S);
        fleet
    }

    /// Plans an event that happens `after_s` seconds from now.
    fn plan(&mut self, after_s: f64, event: Event) {
        let at = at_seconds(self.harness.now + after_s);
        self.planned.insert((at.0, self.planned.len()), event);
    }

    /// Plans the replacement of host `number`, which starts to drain `after_s` seconds from now.
    fn plan_replacement(&mut self, number: usize, after_s: f64) {
        self.plan_replacement_as(Readiness::Draining, number, after_s);
    }

    /// Plans the replacement of host `number`, which the endpoint list shows as `readiness` `after_s` seconds
    /// from now.
    fn plan_replacement_as(&mut self, readiness: Readiness, number: usize, after_s: f64) {
        let changes =
            |endpoint| Event::EndpointList { kind: EndpointListKind::Changes, endpoints: vec![endpoint] };
        let zone_name = if number.is_multiple_of(2) { "east" } else { "west" };
        let drain = endpoint(&format!("h{number}"), zone_name, readiness, None);
        self.plan(after_s, changes(drain));
        let listed_after_s = after_s + SUCCESSOR_LISTED_AFTER_S;
        let started_at = Some(self.harness.now + listed_after_s - 0.27);
        let successor = endpoint(&format!("t{number}"), zone_name, Readiness::Ready, started_at);
        self.plan(listed_after_s, changes(successor));
    }

    /// Plans a rolling deployment: rounds of five hosts, one after the other, each `round_s` seconds long.
    fn plan_deployment(&mut self, hosts: usize, round_s: f64) {
        for number in 0..hosts {
            let (round, slot) = (number / 5, number % 5);
            self.plan_replacement(number, round as f64 * round_s + slot as f64 * LIST_INTERVAL_S);
        }
    }

    /// Plans that the stream of `proxy` breaks `after_s` seconds from now, and is opened again.
    fn plan_break(&mut self, proxy: u32, after_s: f64, reconnected_after_s: f64) {
        self.plan(after_s, Event::ProxyDisconnected(ProxyId(proxy)));
        self.plan(after_s + reconnected_after_s, connect(proxy));
    }

    /// Lets planned events happen and timers fire for `secs` seconds.
    fn run_for(&mut self, secs: f64) {
        let end = at_seconds(self.harness.now + secs);
        loop {
            let planned_at = self.planned.keys().next().map(|(at, _)| Timestamp(*at));
            let timer_at = self.timers.first().copied();
            let Some(next_at) = [planned_at, timer_at].into_iter().flatten().min() else { break };
            if next_at > end {
                break;
            }
            self.harness.now = next_at.secs() + CLOCK_ROUNDING_S;
            if planned_at == Some(next_at) {
                let (_, event) = self.planned.pop_first().expect("an event is planned");
                self.handle(&event);
            } else {
                self.timers.remove(&next_at);
                self.handle(&Event::TimerFired(0));
            }
        }
        self.harness.now = end.secs();
    }

    fn handle(&mut self, event: &Event) {
        self.record_event(event);
        let actions = self.harness.handle(std::slice::from_ref(event));
        let mut sent: BTreeSet<ProxyId> = BTreeSet::new();
        for action in &actions {
            self.record_action(action, &mut sent);
        }
        for id in sent {
            self.record_message(id);
        }
    }

    fn record_event(&mut self, event: &Event) {
        let now = self.harness.now;
        match event {
            Event::ProxyConnected { proxy, .. } => {
                self.proxies.entry(*proxy).or_default().connected_at = Some(now);
            }
            Event::ProxyDisconnected(proxy) => {
                let proxy = self.proxies.entry(*proxy).or_default();
                (proxy.connected_at, proxy.table) = (None, None);
            }
            Event::EndpointList { endpoints, .. } => {
                let draining = endpoints.iter().filter(|e| e.readiness != Readiness::Ready);
                self.drains.extend(draining.map(|endpoint| (endpoint.host.clone(), now)));
            }
            _ => {}
        }
    }

    /// Records a timer, or the proxies that an action concerns.
    fn record_action(&mut self, action: &Action, sent: &mut BTreeSet<ProxyId>) {
        match action {
            Action::SetTimer { at, .. } => {
                self.timers.insert(*at);
            }
            Action::AssignTable { proxy, table, .. } => {
                self.proxies.entry(*proxy).or_default().table = Some(*table);
                sent.insert(*proxy);
            }
            Action::SetEntry { table, .. }
            | Action::ClearTable(table)
            | Action::SetAdmission { table: Some(table), .. } => {
                let users = self.proxies.iter().filter(|(_, proxy)| proxy.table == Some(*table));
                sent.extend(users.map(|(id, _)| *id));
            }
            _ => {}
        }
    }

    /// Records a message that brings the hosts of a proxy up to date with the proxy's table.
    fn record_message(&mut self, id: ProxyId) {
        let now = self.harness.now;
        let proxy = self.proxies.get_mut(&id).expect("a message is sent to an unknown proxy");
        let table = proxy.table.expect("a message is sent to a proxy without a table");
        let connected_at = proxy.connected_at.expect("a message is sent to a proxy without a stream");
        let hosts: BTreeSet<HostId> = self.harness.tables[&table].keys().cloned().collect();
        for host in proxy.hosts.difference(&hosts) {
            let Some(told_at) = self.drains.get(host) else { continue };
            let removal_s = now - told_at.max(connected_at);
            proxy.longest_removal_s = proxy.longest_removal_s.max(removal_s);
        }
        proxy.hosts = hosts;
        proxy.message_times.push(now);
    }

    /// Checks that no draining host was sent requests after the drain grace, and that no proxy got more
    /// messages than the limit.
    fn check(&self) {
        let settings = self.harness.director.settings();
        // A message may take the longest push delay.
        let allowed_s = settings.drain_grace.secs() - settings.max_push_delay.secs() + CLOCK_ROUNDING_S;
        for (ProxyId(id), proxy) in &self.proxies {
            let longest_s = proxy.longest_removal_s;
            assert!(
                longest_s <= allowed_s,
                "proxy {id} is told after {longest_s:.2} s that a host drains, {allowed_s:.2} s are allowed"
            );
            let kept = proxy.hosts.iter().find(|host| self.drains.contains_key(host));
            assert_eq!(kept, None, "proxy {id} still has a host that drained");
            for window in proxy.message_times.windows(MAX_MESSAGES as usize + 1) {
                assert!(
                    window[MAX_MESSAGES as usize] - window[0] > MESSAGE_WINDOW_S,
                    "proxy {id} is sent too many messages: {window:.2?}"
                );
            }
        }
    }
}

#[test]
fn drains_of_a_rolling_deployment_are_sent_within_the_grace() {
    // Regression: the first rounds used up the limit on messages, and later drains waited for the window.
    for mean_push_delay_s in [0.1, 0.25, 0.43] {
        let mut fleet = LimitedFleet::new(limited_settings(mean_push_delay_s), 28);
        fleet.plan_deployment(28, 3.55);
        fleet.run_for(30.0);
        fleet.check();
    }
}

#[test]
fn hosts_that_drain_all_the_time_are_removed_within_the_grace() {
    // Regression: like the test above, without the pauses in which the limit can recover.
    for mean_push_delay_s in [0.1, 0.25, 0.43] {
        let mut fleet = LimitedFleet::new(limited_settings(mean_push_delay_s), 150);
        for number in 0..140 {
            fleet.plan_replacement(number, number as f64 * LIST_INTERVAL_S);
        }
        fleet.run_for(40.0);
        fleet.check();
    }
}

#[test]
fn hosts_that_are_removed_without_a_drain_leave_within_the_grace() {
    // Regression: like the test above, where the list shows no host as draining before it removes the host.
    let mut fleet = LimitedFleet::new(limited_settings(0.25), 150);
    for number in 0..140 {
        fleet.plan_replacement_as(Readiness::Removed, number, number as f64 * LIST_INTERVAL_S);
    }
    fleet.run_for(40.0);
    fleet.check();
}

#[test]
fn a_drain_after_a_pause_is_sent_at_once() {
    let mut fleet = LimitedFleet::new(limited_settings(0.43), 28);
    fleet.plan_replacement(3, 0.1);
    fleet.run_for(1.0);
    fleet.check();
    assert!(fleet.proxies.values().all(|proxy| proxy.longest_removal_s == 0.0), "a drain waits needlessly");
}

#[test]
fn a_proxy_that_reconnects_often_delays_no_drain() {
    // Regression: each assignment took a message of a proxy whose stream broke again and again. Once that
    // proxy had none left, no proxy of its subset was told that hosts drain.
    for (breaks, interval_s, reconnected_after_s) in
        [(5, 0.9, 0.43), (9, 0.72, 0.43), (12, 0.3, 0.02), (30, 1.3, 0.43)]
    {
        for mean_push_delay_s in [0.1, 0.25, 0.43] {
            let mut fleet = LimitedFleet::new(limited_settings(mean_push_delay_s), 150);
            for number in 0..breaks {
                fleet.plan_break(0, number as f64 * interval_s, reconnected_after_s);
            }
            let first_drain_s = 6.0f64.min(breaks as f64 * interval_s);
            for number in 0..100 {
                fleet.plan_replacement(number, first_drain_s + number as f64 * LIST_INTERVAL_S);
            }
            fleet.run_for(50.0);
            fleet.check();
        }
    }
}
