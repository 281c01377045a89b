//! The director: its state, and the order in which it makes its decisions.
use crate::incremental::FleetMemo;
use crate::interface::{Action, Event, HostId, Notice, ProxyId, Settings, Timestamp, ZoneId};
use crate::policy::admission::ADMISSION_INTERVAL_S;
use crate::state::{AdmissionSample, ByZone, ClassGroup, Host, Proxy, SendQueue, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Interval of scheduled evaluations, in seconds. A change of the endpoint list is evaluated at once.
const EVALUATION_INTERVAL_S: f64 = 0.25;

/// Lower bound of the requests per second that a proxy is counted with.
const MIN_PROXY_REQUESTS_PER_S: f64 = 0.01;

/// Multiplier of the linear congruential random number generator, as in Knuth's MMIX.
const RNG_MULTIPLIER: u64 = 0x5851_F42D_4C95_7F2D;

/// A director: the state that its decisions depend on, all of which a checkpoint holds except the memo.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Director {
    /// The settings, which do not change after the director's creation.
    #[serde(rename = "set")]
    pub(crate) settings: Settings,
    /// State of the random number generator.
    #[serde(rename = "random")]
    pub(crate) rng_state: u64,
    /// Time of the last call. An earlier time of a later call is ignored.
    pub(crate) now: Timestamp,
    /// When the next evaluation is due.
    #[serde(rename = "next_tick")]
    pub(crate) next_evaluation_at: Timestamp,
    /// When the next scoring round is due.
    #[serde(rename = "next_round")]
    pub(crate) next_scoring_at: Timestamp,
    /// When the next admission update is due.
    #[serde(rename = "next_level")]
    pub(crate) next_admission_update_at: Timestamp,
    /// The hosts that the endpoint list names, and removed hosts that are not evicted yet.
    #[serde(rename = "fleet")]
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// The zones of the settings, and the zones of all proxies that have ever connected.
    pub(crate) zones: ByZone<Zone>,
    /// The connected proxies.
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    /// The classes, grouped by the hosts that their requests may go to.
    #[serde(rename = "groups")]
    pub(crate) class_groups: Vec<ClassGroup>,
    /// Ratio of the offered load that is admitted.
    #[serde(rename = "admitted")]
    pub(crate) admission_ratio: f64,
    /// Past admission updates, oldest first. The first one was in force when the hosts measured the present
    /// utilization.
    #[serde(rename = "let_in")]
    pub(crate) admission_history: VecDeque<AdmissionSample>,
    /// Median loss ratio of the hosts in the last scoring round.
    #[serde(rename = "loss")]
    pub(crate) median_loss: f64,
    /// Median latency of the hosts in the last scoring round, in milliseconds.
    #[serde(rename = "latency")]
    pub(crate) median_latency_ms: Option<f64>,
    /// The lowest median latency of all admission updates, in milliseconds, which stands for the latency
    /// without queueing.
    #[serde(rename = "unloaded_ms")]
    pub(crate) unloaded_latency_ms: Option<f64>,
    /// Utilization of the hosts at the last admission update, as reported or as inferred from the queueing
    /// delay, whichever is higher.
    #[serde(rename = "load")]
    pub(crate) utilization: f64,
    /// Offered load, whether admitted or not, in units of listed weight.
    #[serde(rename = "demand")]
    pub(crate) offered_load: f64,
    /// Speed of each machine type per listed weight, as a ratio of the fastest type's.
    #[serde(rename = "speeds")]
    pub(crate) relative_speeds: BTreeMap<String, f64>,
    /// When a relative speed last changed.
    #[serde(rename = "sized_at")]
    pub(crate) speeds_updated_at: Option<Timestamp>,
    /// The proxies that the present evaluation sends a message to, with the lines of the message.
    #[serde(rename = "sending")]
    pub(crate) pending_messages: BTreeMap<ProxyId, f64>,
    /// The lines that have been sent to proxies and not been acknowledged yet.
    #[serde(rename = "channel")]
    pub(crate) send_queue: SendQueue,
    /// Send times of messages to proxies that have disconnected since: the limit on messages to a proxy
    /// continues when the proxy connects again.
    #[serde(rename = "parted")]
    pub(crate) departed_send_times: BTreeMap<ProxyId, VecDeque<Timestamp>>,
    /// Id of the next new table.
    #[serde(rename = "next_table")]
    pub(crate) next_table_id: u32,
    /// The endpoint list or the address of discovery has changed, so that this call evaluates at once.
    #[serde(rename = "urgent")]
    pub(crate) endpoint_list_changed: bool,
    /// The endpoint list has been polled or is being watched, without a failure since.
    #[serde(rename = "watching")]
    pub(crate) endpoint_list_requested: bool,
    /// When to poll the endpoint list again after a failure.
    #[serde(rename = "ask_at")]
    pub(crate) next_poll_at: Timestamp,
    /// Consecutive polls of the endpoint list that failed.
    #[serde(rename = "failures")]
    pub(crate) poll_failures: u32,
    /// Notices that [`Director::handle`] has not returned yet.
    #[serde(rename = "notes")]
    pub(crate) notices: Vec<Notice>,
    /// Results cached from the fields above.
    #[serde(skip)]
    pub(crate) memo: FleetMemo,
}

impl Director {
    /// Creates a director without hosts and proxies. `seed` initializes its random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_groups = ClassGroup::from_classes(&settings.classes);
        let mut notices = Vec::new();
        if settings.shards > 0 {
            notices.push(Notice::ShardsUnsupported);
        }
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

    /// Applies events that happened at `now`, makes the decisions that are due and appends the resulting
    /// actions.
    pub fn handle(&mut self, now: Timestamp, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.apply_event(event);
        }
        let is_due = self.is_evaluation_due();
        let timer_at = self.next_evaluation_at;
        self.schedule_next_evaluation();
        if is_due {
            self.evaluate(actions);
        }
        actions.extend(self.notices.drain(..).map(Action::Notice));
        self.set_next_timer(timer_at, actions);
    }

    /// Updates the state by one event.
    fn apply_event(&mut self, event: &Event) {
        self.record_revision(event);
        match event {
            Event::EndpointList { kind, endpoints } => self.apply_endpoint_list(*kind, endpoints),
            Event::EndpointListFailed => self.back_off_endpoint_list(),
            Event::DiscoveryMoved => self.restart_endpoint_list_poll(),
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

    /// Whether an evaluation is due: at each scheduled time, and at once when the endpoint list has changed.
    fn is_evaluation_due(&mut self) -> bool {
        let is_due = self.now >= self.next_evaluation_at || std::mem::take(&mut self.endpoint_list_changed);
        self.settings.shards == 0 && is_due
    }

    /// Makes all decisions that are due, in a fixed order.
    fn evaluate(&mut self, actions: &mut Vec<Action>) {
        self.poll_endpoint_list(actions);
        self.update_warm_ups();
        let mut zones = std::mem::take(&mut self.zones);
        self.detect_outliers_where_changed(&mut zones);
        if self.now >= self.next_scoring_at {
            self.evaluate_scoring_round(&mut zones, actions);
        }
        if self.now >= self.next_admission_update_at {
            self.evaluate_admission(&mut zones, actions);
        }
        self.assign_subsets_where_changed(&mut zones);
        self.reconcile_tables(&mut zones, actions);
        self.zones = zones;
    }

    /// Makes the decisions of a scoring round.
    fn evaluate_scoring_round(&mut self, zones: &mut ByZone<Zone>, actions: &mut Vec<Action>) {
        self.evict_removed_hosts(zones, actions);
        self.expire_idle_usage();
        self.update_scores_where_changed(zones);
        self.update_locality(zones);
        self.next_scoring_at = self.seconds_from_now(self.scoring_interval_s());
    }

    /// Makes the decisions that depend on the load of the hosts.
    fn evaluate_admission(&mut self, zones: &mut ByZone<Zone>, actions: &mut Vec<Action>) {
        self.update_admission(zones);
        self.estimate_capacity(zones);
        for (name, zone) in zones {
            self.adjust_subset_size(name, zone);
        }
        self.request_health_checks(actions);
        self.next_admission_update_at = self.seconds_from_now(ADMISSION_INTERVAL_S);
    }

    /// Schedules the next evaluation if the time of the scheduled one has come.
    fn schedule_next_evaluation(&mut self) {
        if self.now >= self.next_evaluation_at {
            self.next_evaluation_at = self.seconds_from_now(EVALUATION_INTERVAL_S);
        }
    }

    /// Sets a timer for the next evaluation, unless it is still the one that the last timer was set for.
    fn set_next_timer(&self, timer_at: Timestamp, actions: &mut Vec<Action>) {
        if self.next_evaluation_at != timer_at {
            actions.push(Action::SetTimer { at: self.next_evaluation_at, token: 0 });
        }
    }

    /// Adds a proxy, with the send times of its earlier streams: the limit on messages to a proxy spans its
    /// streams.
    fn connect_proxy(&mut self, proxy: ProxyId, zone: &ZoneId, requests_per_s: f64) {
        self.zones.entry(zone.clone()).or_default();
        let replaced_send_times = self.proxies.remove(&proxy).map(|replaced| replaced.send_times);
        let departed_send_times = self.departed_send_times.remove(&proxy);
        let send_times = replaced_send_times.or(departed_send_times).unwrap_or_default();
        let requests_per_s = requests_per_s.max(MIN_PROXY_REQUESTS_PER_S);
        self.proxies.insert(proxy, Proxy::new(zone, requests_per_s, send_times, self.now));
    }

    /// Removes a proxy, but keeps its send times for the limit on messages to it.
    fn disconnect_proxy(&mut self, proxy: ProxyId) {
        let Some(disconnected) = self.proxies.remove(&proxy) else { return };
        if !disconnected.send_times.is_empty() {
            self.departed_send_times.insert(proxy, disconnected.send_times);
        }
    }

    /// The next pseudo-random number, from 0 to below 1.
    pub(crate) fn next_random(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_mul(RNG_MULTIPLIER).wrapping_add(1);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The settings that the director was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
