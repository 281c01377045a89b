//! Counts what the module is told and what it orders, and makes intervals of it. An interval ends at a whole multiple of
//! its length on the world's clock; what it costs to make one grows with zones times hosts and classes, not with traffic.

use crate::catalogue::{Figure, Kind};
use crate::silence::{Lag, Signs, Silence, State};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use wingfold_director::inspect::HostCounts;
use wingfold_director::interface::{AdmissionMode, Event, Micros, ProxyId, Timestamp, ZoneId};
use wingfold_director::Director;

/// Ended intervals that late news is still booked to.
const KEPT: usize = 3;
/// Silences and levels are looked at so often.
const LOOK: Micros = Micros(1_000_000);
/// A place that had more than twice as many streams so long ago has lost most of them.
const STREAMS_S: f64 = 60.0;

/// A figure's value in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// Of a counter.
    Count(u64),
    /// Of a gauge.
    Gauge(f64),
    /// Of a distribution: count, p50, p90, p99 and max.
    Spread(u64, [f64; 4]),
}

/// One value with its labels, which are not encoded yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Which figure.
    pub figure: Figure,
    /// Its labels, in the catalogue's order.
    pub labels: Vec<Arc<str>>,
    /// Its value.
    pub value: Value,
}

/// What is to be sent of an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Interval {
    /// Counts intervals of this life.
    pub number: u64,
    /// Its end, on the world's clock.
    pub at: Timestamp,
    /// Its length.
    pub length: Micros,
    /// Its values.
    pub samples: Vec<Sample>,
    /// Earlier intervals' counters that late news has changed, by their end: for receivers that take a past time.
    pub mended: Vec<(Timestamp, Vec<Sample>)>,
}

/// Counters that the meter does not keep itself: running totals, of which it sends differences.
pub type Totals<'a> = &'a [(Figure, &'a [Arc<str>], u64)];

/// Requests of a class in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Service {
    asked: u64,
    refused: f64,
    lost: u64,
    late: u64,
}

/// Counts that late news may change.
#[derive(Clone, Debug, Default)]
struct Booked {
    at: Timestamp,
    service: BTreeMap<(usize, usize), Service>,
    tries: BTreeMap<usize, (u64, u64, u64)>,
    changed: bool,
}

#[derive(Debug)]
struct Place {
    name: ZoneId,
    sums: Silence,
    collector: Silence,
    classes: Vec<Silence>,
    lag: Lag,
    levels: Vec<f64>,
    /// Joined proxies and the requests a second they joined with.
    joined: BTreeMap<ProxyId, f64>,
    /// How many were joined, over the last minute.
    past: VecDeque<(Timestamp, usize)>,
    /// When a stream of the place last told of any usage.
    told: Option<Timestamp>,
    left: u64,
    ms: Histogram<u64>,
}

/// Counts for one director.
#[derive(Debug)]
pub struct Meter {
    began: Timestamp,
    length: Micros,
    ends: Timestamp,
    looks: Timestamp,
    number: u64,
    admission: AdmissionMode,
    classes: Vec<Arc<str>>,
    places: Vec<Place>,
    proxies: BTreeMap<ProxyId, usize>,
    open: Booked,
    ended: VecDeque<Booked>,
    calls: u64,
    events: u64,
    messages: u64,
    lines: u64,
    list_failures: u64,
    list_at: Timestamp,
    depth: f64,
    most: f64,
    time: Histogram<u64>,
    applied: Histogram<u64>,
    totals: BTreeMap<(Figure, Vec<Arc<str>>), u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("these bounds are sound")
}

/// Count and quantiles of a distribution, in `scale`ths of its unit; empty it is left out.
pub fn spread(histogram: &Histogram<u64>, scale: f64) -> Option<Value> {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / scale;
    let values = [at(0.5), at(0.9), at(0.99), histogram.max() as f64 / scale];
    (!histogram.is_empty()).then_some(Value::Spread(histogram.len(), values))
}

impl Meter {
    /// For a director that starts now; intervals are `length` long.
    pub fn new(now: Timestamp, length: Micros, director: &Director, classes: &[String]) -> Self {
        let settings = director.settings();
        let silence = || Silence::new(now, settings.report_period);
        let place = |name: &ZoneId| Place {
            name: name.clone(),
            sums: silence(),
            collector: silence(),
            classes: classes.iter().map(|_| silence()).collect(),
            lag: Lag::new(settings.report_period),
            levels: vec![1.0; classes.len()],
            joined: BTreeMap::new(),
            past: VecDeque::new(),
            told: None,
            left: 0,
            ms: histogram(),
        };
        let ends = Timestamp((now.0 / length.0 + 1) * length.0);
        Meter {
            began: now,
            length,
            ends,
            looks: now,
            number: 0,
            admission: settings.admission_mode,
            classes: classes.iter().map(|class| Arc::from(class.as_str())).collect(),
            places: settings.zones.iter().map(place).collect(),
            proxies: BTreeMap::new(),
            open: Booked { at: ends, ..Booked::default() },
            ended: VecDeque::new(),
            calls: 0,
            events: 0,
            messages: 0,
            lines: 0,
            list_failures: 0,
            list_at: now,
            depth: 0.0,
            most: 0.0,
            time: histogram(),
            applied: histogram(),
            totals: BTreeMap::new(),
        }
    }

    fn place(&self, zone: &ZoneId) -> Option<usize> {
        self.places.iter().position(|place| place.name == *zone)
    }

    /// The module is told this.
    pub fn told(&mut self, now: Timestamp, event: &Event) {
        self.events += 1;
        match event {
            Event::ProxyConnected { proxy, zone, requests_per_s: rate } => {
                self.leave(*proxy);
                if let Some(at) = self.place(zone) {
                    self.proxies.insert(*proxy, at);
                    self.places[at].joined.insert(*proxy, rate.max(0.0));
                }
            }
            Event::ProxyDisconnected(proxy) => {
                if let Some(at) = self.leave(*proxy) {
                    self.places[at].left += 1;
                }
            }
            Event::LoadReport { zone, attempts: sums, mean_latency: mean, .. } => {
                let Some(at) = self.place(zone) else { return };
                let place = &mut self.places[at];
                place.lag.heard(now, sums.total as f64);
                place.sums.heard(now, sums.total as f64);
                let good = sums.total.saturating_sub(sums.failed);
                place.ms.saturating_record_n((mean.0 / 100).max(1), good);
                let late = self.late(at);
                let booked = self.booked(now, late);
                let tries = booked.tries.entry(at).or_default();
                (tries.0, tries.1) = (tries.0 + sums.total, tries.1 + sums.failed);
                self.open.tries.entry(at).or_default().2 += if late > 0.0 { sums.total } else { 0 };
            }
            Event::Usage { proxy, class, requests: sums } => {
                let Some(at) = self.proxies.get(proxy).copied() else { return };
                if class.0 >= self.classes.len() {
                    return;
                }
                let place = &mut self.places[at];
                place.told = Some(now);
                place.classes[class.0].heard(now, sums.total as f64);
                let (level, total) = (place.levels[class.0], sums.total as f64);
                let refused = match self.admission {
                    AdmissionMode::Share => total * (1.0 - level.clamp(0.0, 1.0)),
                    AdmissionMode::Rate => (total - level * sums.period.secs()).max(0.0),
                    AdmissionMode::Ignored => 0.0,
                };
                let late = self.late(at);
                let service = self.booked(now, late).service.entry((at, class.0)).or_default();
                service.asked += sums.total;
                service.refused += refused;
                service.lost += sums.failed;
                self.open.service.entry((at, class.0)).or_default().late +=
                    if late > 0.0 { sums.total } else { 0 };
            }
            Event::Acknowledged { elapsed: took, .. } => {
                self.applied.saturating_record((took.0 / 100).max(1))
            }
            Event::EndpointList { .. } => self.list_at = now,
            Event::EndpointListFailed => self.list_failures += 1,
            _ => {}
        }
    }

    fn leave(&mut self, proxy: ProxyId) -> Option<usize> {
        let at = self.proxies.remove(&proxy)?;
        self.places[at].joined.remove(&proxy);
        Some(at)
    }

    /// How late what a place tells now is, if that is more than its usual unevenness.
    fn late(&self, at: usize) -> f64 {
        let lag = self.places[at].lag.secs();
        if lag > 1.5 {
            lag
        } else {
            0.0
        }
    }

    /// The counts of the interval that news of now, so late, belongs to.
    fn booked(&mut self, now: Timestamp, late: f64) -> &mut Booked {
        let spoken = Micros(now.0.saturating_sub(Micros::from_secs(late).0));
        let length = self.length.0;
        let within =
            |booked: &Booked| spoken.0 < booked.at.0 && spoken.0 >= booked.at.0.saturating_sub(length);
        match self.ended.iter().position(within).filter(|_| late > 0.0) {
            Some(at) => {
                self.ended[at].changed = true;
                &mut self.ended[at]
            }
            None => &mut self.open,
        }
    }

    /// Discovery has answered, also if nothing changed.
    pub fn listed(&mut self, now: Timestamp) {
        self.list_at = now;
    }

    /// The collector of a zone said something, whatever it was.
    pub fn collector(&mut self, now: Timestamp, zone: &ZoneId, messages: u64) {
        if let Some(at) = self.place(zone).filter(|_| messages > 0) {
            self.places[at].collector.heard(now, messages as f64);
        }
    }

    /// A call of the module has ended: its time in microseconds with its orders carried out, the messages and lines
    /// ordered, and the lines that wait in the channel.
    pub fn answered(&mut self, took_us: u64, messages: usize, lines: usize, waiting: f64) {
        self.calls += 1;
        self.messages += messages as u64;
        self.lines += lines as u64;
        (self.depth, self.most) = (waiting, self.most.max(waiting));
        self.time.saturating_record(took_us.max(1));
    }

    /// Looks at silences and levels where that is due.
    pub fn look(&mut self, now: Timestamp, director: &Director) {
        if now < self.looks {
            return;
        }
        self.looks = Timestamp(now.0 + LOOK.0);
        for view in director.zone_views() {
            if let Some(at) = self.place(&view.zone) {
                self.places[at].levels = view.admission_levels;
            }
        }
        for place in &mut self.places {
            let joined = place.joined.len();
            place.past.push_back((now, joined));
            while place.past.front().is_some_and(|(at, _)| now.since(*at) > STREAMS_S) {
                place.past.pop_front();
            }
            let most = place.past.iter().map(|(_, joined)| *joined).max().unwrap_or(0);
            let streams_broken = most > 1 && joined * 2 < most || most == 1 && joined == 0;
            let rate: f64 = place.joined.values().sum();
            let due = (joined > 0).then_some(rate);
            let hosts_beyond = director.is_unreachable_from_other_zones(&place.name);
            let recent = |at: Option<Timestamp>| {
                at.is_some_and(|at| now.since(at) < 3.5 * director.settings().report_period.secs())
            };
            let streams = recent(place.told);
            let sums =
                place.sums.age(now) < 3.5 * director.settings().report_period.secs() && place.sums.known();
            let signs = |others_speak, idle| Signs { others_speak, idle, streams_broken, hosts_beyond };
            for class in &mut place.classes {
                class.look(now, due, signs(streams || sums, streams));
            }
            place.sums.look(now, due, signs(streams, false));
            place.collector.look(now, due, signs(streams, false));
        }
    }

    /// When the present interval ends.
    pub fn ends(&self) -> Timestamp {
        self.ends
    }

    /// The state of a zone's sums, of its collector, and of its classes.
    pub fn states(&self, zone: &ZoneId) -> Option<(State, State, Vec<State>)> {
        let place = &self.places[self.place(zone)?];
        let classes = place.classes.iter().map(Silence::state).collect();
        Some((place.sums.state(), place.collector.state(), classes))
    }

    /// Ends the interval where its time has come. `written` is the distribution of delays kept by the streams, in tenths
    /// of a millisecond; `totals` are running counters kept elsewhere.
    pub fn interval(
        &mut self,
        now: Timestamp,
        director: &Director,
        written: &Histogram<u64>,
        totals: Totals<'_>,
        gauges: Totals<'_>,
    ) -> Option<Interval> {
        if now < self.ends {
            return None;
        }
        // Those that passed while the director stood still are not made up: nothing is known of them.
        let at = Timestamp(now.0 / self.length.0 * self.length.0);
        let mut samples = Vec::new();
        let mut add = |figure: Figure, labels: &[&Arc<str>], value: Value| {
            debug_assert_eq!(figure.entry().labels.len(), labels.len(), "{figure:?}");
            samples.push(Sample {
                figure,
                labels: labels.iter().map(|label| Arc::clone(label)).collect(),
                value,
            });
        };
        let gauge = Value::Gauge;
        add(Figure::DirectorStart, &[], gauge(self.began.secs()));
        add(Figure::DirectorUp, &[], gauge(now.since(self.began)));
        let fleet = director.fleet_view();
        add(Figure::Admitted, &[], gauge(fleet.admission_ratio));
        add(Figure::Load, &[], gauge(fleet.utilization));
        add(Figure::ChannelDepth, &[], gauge(self.depth));
        add(Figure::ChannelMost, &[], gauge(std::mem::take(&mut self.most)));
        add(Figure::ListAge, &[], gauge(now.since(self.list_at)));
        for (figure, count) in [
            (Figure::MessagesOrdered, &mut self.messages),
            (Figure::LinesOrdered, &mut self.lines),
            (Figure::ModuleCalls, &mut self.calls),
            (Figure::ModuleEvents, &mut self.events),
            (Figure::ListFailures, &mut self.list_failures),
        ] {
            add(figure, &[], Value::Count(std::mem::take(count)));
        }
        for (figure, histogram, scale) in [
            (Figure::ModuleTime, &self.time, 1.0),
            (Figure::TableApplied, &self.applied, 10.0),
            (Figure::TableWritten, written, 10.0),
        ] {
            if let Some(value) = spread(histogram, scale) {
                add(figure, &[], value);
            }
        }
        self.time.reset();
        self.applied.reset();
        let speaks = |state: State| state == State::Heard;
        for (at, place) in self.places.iter_mut().enumerate() {
            let zone = &place.name.0;
            let HostCounts {
                leading,
                weight_halved: halved,
                weight_quartered: quartered,
                ejected: out,
                in_probation: trial,
                warming_up: cold,
                not_ready: draining,
            } = director.host_counts(&place.name);
            for (figure, count) in [
                (Figure::HostsLeading, leading),
                (Figure::HostsHalved, halved),
                (Figure::HostsQuartered, quartered),
                (Figure::HostsOut, out),
                (Figure::HostsTrial, trial),
                (Figure::HostsCold, cold),
                (Figure::HostsDraining, draining),
                (Figure::ProxiesJoined, place.joined.len()),
            ] {
                add(figure, &[zone], gauge(count as f64));
            }
            add(Figure::StreamsLeft, &[zone], Value::Count(std::mem::take(&mut place.left)));
            add(Figure::ZoneAge, &[zone], gauge(place.sums.age(now)));
            add(Figure::ZoneState, &[zone], gauge(place.sums.state().number()));
            add(Figure::ZoneLag, &[zone], gauge(place.lag.secs()));
            add(Figure::CollectorAge, &[zone], gauge(place.collector.age(now)));
            add(Figure::CollectorState, &[zone], gauge(place.collector.state().number()));
            if let Some(value) = spread(&place.ms, 10.0) {
                add(Figure::TriesMs, &[zone], value);
            }
            place.ms.reset();
            // Where nothing is known no zero is sent: the value is left out, and the age above rises.
            let (total, lost, late) = self.open.tries.get(&at).copied().unwrap_or_default();
            if total + late > 0 || place.sums.known() && speaks(place.sums.state()) {
                add(Figure::TriesTotal, &[zone], Value::Count(total));
                add(Figure::TriesLost, &[zone], Value::Count(lost));
                add(Figure::TriesLate, &[zone], Value::Count(late));
            }
            let fresh = place.told.is_some_and(|told| now.since(told) < self.length.secs());
            for (number, class) in self.classes.iter().enumerate() {
                let silence = &place.classes[number];
                add(Figure::ClassAge, &[zone, class], gauge(silence.age(now)));
                add(Figure::ClassState, &[zone, class], gauge(silence.state().number()));
                add(Figure::Level, &[zone, class], gauge(place.levels[number]));
                let service = self.open.service.get(&(at, number)).copied().unwrap_or_default();
                // Proxies that speak of other classes say by it that this one had nothing.
                if service != Service::default() || speaks(silence.state()) && silence.known() || fresh {
                    counts(&service, zone, class, &mut add);
                }
            }
        }
        for (figure, labels, total) in totals {
            let before = self.totals.insert((*figure, labels.to_vec()), *total).unwrap_or(0);
            let labels: Vec<&Arc<str>> = labels.iter().collect();
            add(*figure, &labels, Value::Count(total.saturating_sub(before)));
        }
        for (figure, labels, value) in gauges {
            let labels: Vec<&Arc<str>> = labels.iter().collect();
            add(*figure, &labels, gauge(*value as f64));
        }
        let mut mended = Vec::new();
        for booked in self.ended.iter_mut().filter(|booked| booked.changed) {
            booked.changed = false;
            let mut again = Vec::new();
            let mut add = |figure: Figure, labels: &[&Arc<str>], value: Value| {
                again.push(Sample {
                    figure,
                    labels: labels.iter().map(|label| Arc::clone(label)).collect(),
                    value,
                });
            };
            for (at, (total, lost, _)) in &booked.tries {
                let zone = &self.places[*at].name.0;
                add(Figure::TriesTotal, &[zone], Value::Count(*total));
                add(Figure::TriesLost, &[zone], Value::Count(*lost));
            }
            for ((at, class), service) in &booked.service {
                counts(service, &self.places[*at].name.0, &self.classes[*class], &mut add);
            }
            again.retain(|sample| sample.figure != Figure::ServiceLate);
            mended.push((booked.at, again));
        }
        self.number += 1;
        self.ends = Timestamp(at.0 + self.length.0);
        let open = std::mem::replace(&mut self.open, Booked { at: self.ends, ..Booked::default() });
        self.ended.push_back(Booked { at, ..open });
        while self.ended.len() > KEPT {
            self.ended.pop_front();
        }
        Some(Interval { number: self.number, at, length: self.length, samples, mended })
    }
}

/// The counters of a class in a zone.
fn counts(
    service: &Service,
    zone: &Arc<str>,
    class: &Arc<str>,
    add: &mut impl FnMut(Figure, &[&Arc<str>], Value),
) {
    let refused = (service.refused.round() as u64).min(service.asked);
    for (figure, count) in [
        (Figure::ServiceAsked, service.asked),
        (Figure::ServiceRefused, refused),
        (Figure::ServiceLetIn, service.asked - refused),
        (Figure::ServiceLost, service.lost),
        (Figure::ServiceLate, service.late),
    ] {
        add(figure, &[zone, class], Value::Count(count));
    }
}

impl Sample {
    /// Its figure's kind.
    pub fn kind(&self) -> Kind {
        self.figure.entry().kind
    }
}
