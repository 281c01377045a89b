//! One director: its state, and the order in which its decisions are taken.
use crate::incremental::FleetMemo;
use crate::interface::{Action, Event, HostId, Notice, ProxyId, Settings, Timestamp, ZoneId};
use crate::policy::admission::ADMISSION_INTERVAL_S;
use crate::policy::endpoint_list::EVICT_REMOVED_AFTER_S;
use crate::policy::load_reports::{SILENT_ATTEMPTS, SILENT_REPORT_ROUNDS};
use crate::policy::ranking::MIN_SCORING_INTERVAL_S;
use crate::state::{ByZone, ClassGroup, Host, Proxy, SendQueue, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Longest interval of evaluations, in seconds.
const EVALUATION_INTERVAL_S: f64 = 0.25;

/// Least requests a second that a proxy counts for.
const MIN_REQUESTS_PER_S: f64 = 0.01;

/// One director's decisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Director {
    #[serde(rename = "set")]
    pub(crate) settings: Settings,
    #[serde(rename = "random")]
    pub(crate) rng_state: u64,
    pub(crate) now: Timestamp,
    #[serde(rename = "next_tick")]
    pub(crate) next_evaluation_at: Timestamp,
    #[serde(rename = "next_round")]
    pub(crate) next_scoring_at: Timestamp,
    #[serde(rename = "next_level")]
    pub(crate) next_admission_update_at: Timestamp,
    #[serde(rename = "fleet")]
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) zones: ByZone<Zone>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    #[serde(rename = "groups")]
    pub(crate) class_groups: Vec<ClassGroup>,
    /// Share of the work that is let in, and by time the open capacity over it, from when the present
    /// figures were met.
    #[serde(rename = "admitted")]
    pub(crate) admission_ratio: f64,
    #[serde(rename = "let_in")]
    pub(crate) admission_history: VecDeque<(Timestamp, f64)>,
    /// Median loss and latency of the hosts in the last round.
    #[serde(rename = "loss")]
    pub(crate) median_loss: f64,
    #[serde(rename = "latency")]
    pub(crate) median_latency_ms: Option<f64>,
    /// The lowest median latency of a round so far: what an answer takes without waiting.
    #[serde(rename = "unloaded_ms")]
    pub(crate) unloaded_latency_ms: Option<f64>,
    /// Busy share of the cores, or what the waits say of it, at the last look.
    #[serde(rename = "load")]
    pub(crate) utilization: f64,
    /// All work that is asked for, in units of listed weight.
    #[serde(rename = "demand")]
    pub(crate) offered_load: f64,
    /// How fast each kind of machine is for its listed weight, against the fastest, and when that last
    /// changed.
    #[serde(rename = "speeds")]
    pub(crate) relative_speeds: BTreeMap<String, f64>,
    #[serde(rename = "sized_at")]
    pub(crate) speeds_updated_at: Option<Timestamp>,
    /// Proxies that this answer sends a message, with its lines.
    #[serde(rename = "sending")]
    pub(crate) pending_messages: BTreeMap<ProxyId, f64>,
    #[serde(rename = "channel")]
    pub(crate) send_queue: SendQueue,
    /// When messages went to proxies that have left since: the limit on them goes on.
    #[serde(rename = "parted")]
    pub(crate) departed_send_times: BTreeMap<ProxyId, VecDeque<Timestamp>>,
    #[serde(rename = "next_table")]
    pub(crate) next_table_id: u32,
    /// The list has news that cannot wait for the next look.
    #[serde(rename = "urgent")]
    pub(crate) endpoint_list_changed: bool,
    /// The list: asked for and not failed since, when to ask next, failures in a row.
    #[serde(rename = "watching")]
    pub(crate) is_watching: bool,
    #[serde(rename = "ask_at")]
    pub(crate) next_poll_at: Timestamp,
    #[serde(rename = "failures")]
    pub(crate) poll_failures: u32,
    #[serde(rename = "notes")]
    pub(crate) notices: Vec<Notice>,
    /// What was worked out from the above.
    #[serde(skip)]
    pub(crate) memo: FleetMemo,
}

impl Director {
    /// A director that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_groups = ClassGroup::from_classes(&settings.classes);
        let notices = Vec::from_iter((settings.shards > 0).then_some(Notice::ShardsUnsupported));
        let zones = settings.zones.iter().map(|zone| (zone.clone(), Zone::default())).collect();
        Director {
            settings,
            class_groups,
            notices,
            zones,
            rng_state: seed | 1,
            admission_ratio: 1.0,
            ..Director::default()
        }
    }

    /// Takes in events that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.apply_event(event);
        }
        if self.is_evaluation_due() {
            self.evaluate(out);
        }
        out.extend(self.notices.drain(..).map(Action::Notice));
        self.set_next_timer(out);
    }

    /// Changes the records by one event.
    fn apply_event(&mut self, event: &Event) {
        self.record_revision(event);
        match event {
            Event::EndpointList { kind, endpoints } => self.apply_endpoint_list(*kind, endpoints),
            Event::EndpointListFailed => self.back_off_endpoint_list(),
            Event::DiscoveryMoved => self.follow_discovery(),
            Event::ProxyConnected { proxy, zone, requests_per_s } => {
                self.connect_proxy(*proxy, zone, *requests_per_s)
            }
            Event::ProxyDisconnected(proxy) => self.disconnect_proxy(*proxy),
            Event::LoadReport { zone, host, attempts, mean_latency, load } => {
                self.record_load_report(zone, host, *attempts, *mean_latency);
                self.record_utilization(host, load);
            }
            Event::HealthChecked { host, load, .. } => self.record_utilization(host, load),
            Event::Usage { proxy, class, requests } => self.record_usage(*proxy, *class, *requests),
            Event::Acknowledged { proxy, barrier, elapsed } => {
                self.record_acknowledgement(*proxy, *barrier, *elapsed)
            }
            Event::TimerFired(_) | Event::PeerMessage { .. } | Event::Shard => {}
        }
    }

    /// Whether decisions are due: at each timer, and at once when the endpoint list has changed.
    fn is_evaluation_due(&mut self) -> bool {
        let is_due = self.now >= self.next_evaluation_at || std::mem::take(&mut self.endpoint_list_changed);
        self.settings.shards == 0 && is_due
    }

    /// Takes all decisions that are due, in their order.
    fn evaluate(&mut self, out: &mut Vec<Action>) {
        self.poll_endpoint_list(out);
        self.update_warm_ups();
        let mut zones = std::mem::take(&mut self.zones);
        self.detect_outliers_where_changed(&mut zones);
        if self.now >= self.next_scoring_at {
            self.evaluate_scoring_round(&mut zones, out);
        }
        if self.now >= self.next_admission_update_at {
            self.evaluate_admission(&mut zones, out);
        }
        self.assign_subsets_where_changed(&mut zones);
        self.reconcile_tables(&mut zones, out);
        self.zones = zones;
    }

    /// The decisions of a scoring round.
    fn evaluate_scoring_round(&mut self, zones: &mut ByZone<Zone>, out: &mut Vec<Action>) {
        self.evict_removed_hosts(zones, EVICT_REMOVED_AFTER_S, out);
        self.expire_idle_usage(SILENT_ATTEMPTS, SILENT_REPORT_ROUNDS);
        self.update_scores_where_changed(zones);
        self.update_locality(zones);
        let interval_s = MIN_SCORING_INTERVAL_S.max(self.settings.report_period.secs());
        self.next_scoring_at = self.seconds_from_now(interval_s);
    }

    /// The decisions about load.
    fn evaluate_admission(&mut self, zones: &mut ByZone<Zone>, out: &mut Vec<Action>) {
        self.update_admission(zones);
        self.estimate_capacity(zones);
        for (name, zone) in zones {
            self.adjust_subset_size(name, zone);
        }
        self.request_health_checks(out);
        self.next_admission_update_at = self.seconds_from_now(ADMISSION_INTERVAL_S);
    }

    /// Sets the timer of the next evaluation, once the last one is over.
    fn set_next_timer(&mut self, out: &mut Vec<Action>) {
        if self.now >= self.next_evaluation_at {
            self.next_evaluation_at = self.seconds_from_now(EVALUATION_INTERVAL_S);
            out.push(Action::SetTimer { at: self.next_evaluation_at, token: 0 });
        }
    }

    /// Adds a proxy. The limit on messages to one proxy outlasts its streams.
    fn connect_proxy(&mut self, proxy: ProxyId, zone: &ZoneId, requests_per_s: f64) {
        self.zones.entry(zone.clone()).or_default();
        let replaced = self.proxies.remove(&proxy).map(|known| known.send_times);
        let send_times = replaced.or(self.departed_send_times.remove(&proxy)).unwrap_or_default();
        let connected = Proxy::new(zone, requests_per_s.max(MIN_REQUESTS_PER_S), send_times, self.now);
        self.proxies.insert(proxy, connected);
    }

    /// Removes a proxy, but not the times of the messages to it.
    fn disconnect_proxy(&mut self, proxy: ProxyId) {
        let send_times = self.proxies.remove(&proxy).map(|known| known.send_times);
        if let Some(send_times) = send_times.filter(|times| !times.is_empty()) {
            self.departed_send_times.insert(proxy, send_times);
        }
    }

    /// The next random number from the seed, below 1.
    pub(crate) fn next_random(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The settings it works by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
