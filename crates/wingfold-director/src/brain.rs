//! Every decision of a wingfold director. What goes in and out is defined in `interface.rs`.
//!
//! Ordinary tables follow the Best Exit Selection Design (docs/design.md): each zone of proxies is
//! an owner that scores every host by heard latency and loss; the leading group keeps its listed
//! weight and laggards halve, step by step. All else answers cases that the design leaves open.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- 1. Constants -------------------------------------------------------------------------
/// Score of one percent of loss, in ms (design page).
const LOSS_MS: f64 = 100.0;
/// Smallest margin in ms, and its share of the score compared (design page).
const MARGIN_MS: f64 = 20.0;
const MARGIN_SHARE: f64 = 0.15;
/// Rounds in a row that confirm a move (design page).
const CONFIRM: u32 = 3;
/// Shortest round, and an owner's cooldown, in seconds (design page).
const ROUND_S: f64 = 2.0;
const COOLDOWN_S: f64 = 8.0;
/// A laggard halves down to a quarter (design page).
const LOWEST_STEP: u32 = 2;
/// Fresh tries that make a figure: below that a mean of skewed times says little.
const ENOUGH: f64 = 6.0;
/// A zone's own figure weighs against the director's whole figure as if that had this many tries.
const PRIOR: f64 = 6.0;
/// The group must hold this share of the listed weight: one server cannot carry a zone.
const GROUP_SHARE: f64 = 0.5;
/// Times well inside the tightest aim earn alike: this share of it counts as margin too.
const AIM_MARGIN: f64 = 0.1;
/// Half-life of the evidence for the fast path; it must span a round of sums.
const HALF_LIFE_S: f64 = 2.0;
/// Losses that take a host out, their share, and how far that stands out against the usual loss:
/// a host that still answers is the ranking's affair, and what all hosts lose is overload.
const OUT_LOST: f64 = 3.0;
const OUT_SHARE: f64 = 0.8;
const OUT_ABOVE: f64 = 0.4;
/// Median loss from which the fleet as a whole is in trouble: then no host is a laggard.
const COMMON_LOSS: f64 = 0.1;
/// Expected tries without a single line that count as silence: chance leaves 1 in 1000.
const SILENT_TRIES: f64 = 7.0;
/// And the other hosts must each have been heard of this often meanwhile: lines may wait their turn.
const SILENT_TURNS: f64 = 3.0;
/// First stay outside, doubling up to the longest; then a trial at this weight.
const OUT_S: f64 = 4.0;
const OUT_LONGEST_S: f64 = 16.0;
const TRIAL: f64 = 0.125;
/// Panic threshold: hosts are not taken out when less listed weight than this would stay.
const PANIC_SHARE: f64 = 0.2;
/// Weight of hosts in other zones where crossing has a price.
const REMOTE: f64 = 0.25;
/// Use of a cold host's budget, and the fleet's load that is assumed where it is not known.
const COLD_USE: f64 = 0.5;
const ASSUMED_LOAD: f64 = 0.75;
/// The channel is taken to run at this share of its usual pace: slow days are not announced.
const CHANNEL_PACE: f64 = 0.5;
/// Longest time between two looks at the state.
const TICK_S: f64 = 0.25;
/// Busy share of the cores that levels aim at, and above which they act.
const BUSY_AIM: f64 = 0.8;
const BUSY_MOST: f64 = 0.92;
/// Usual wait of an answer, as a share of the tightest aim, when the cores are that busy.
const WAIT_AIM: f64 = 0.2;
/// Least of a class that is always let in.
const LEAST_LEVEL: f64 = 0.05;
/// A level that lets everything in where levels are rates.
const NO_LIMIT: f64 = 1e6;

// ---- State --------------------------------------------------------------------------------
#[derive(Clone, Debug)]
struct Host {
    entry: Entry,
    /// Listed weight that tables use; follows the list only on a real change.
    weight: f64,
    /// Busy share of its cores, as last reported.
    busy: Option<f64>,
    probed_at: Micros,
}

/// Tries, losses among them, and time of the good ones in ms.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    tries: f64,
    lost: f64,
    ms: f64,
}

/// What a zone knows of a host.
#[derive(Clone, Debug, Default)]
struct Path {
    /// Since the last round that used it.
    sum: Tally,
    /// Smoothed figures, and the last score.
    latency: Option<f64>,
    loss: f64,
    score: Option<f64>,
    /// Halvings in force, and rounds in a row that speak for the next move.
    step: u32,
    confirmed: u32,
    /// Evidence of the fast path, fading.
    good: f64,
    bad: f64,
    faded_at: Micros,
    /// Since the last line: tries expected by weight, and turns of lines of the other hosts.
    missed: f64,
    turns: f64,
    state: Health,
    /// How long the stay outside lasts.
    stay_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Health {
    #[default]
    In,
    Out {
        until: Micros,
    },
    Trial {
        until: Micros,
    },
}

#[derive(Clone, Debug)]
struct Proxy {
    zone: ZoneId,
    rate: f64,
    bound: bool,
    /// When messages went to it, within the span that is limited.
    sent: VecDeque<Micros>,
    /// Smoothed requests a second by class.
    usage: BTreeMap<ClassId, f64>,
}

/// Classes that may go to the same hosts share a table per zone.
#[derive(Clone, Debug)]
struct Group {
    own_zone: bool,
    zones: Vec<ZoneId>,
    kinds: Vec<String>,
    mask: u64,
}

#[derive(Clone, Debug, Default)]
struct Table {
    id: TableId,
    /// What was ordered: lines, and levels by class.
    lines: BTreeMap<HostId, f64>,
    levels: BTreeMap<ClassId, (f64, Retry)>,
    /// The largest weight that this table ever had open: the scale of a usual day.
    full: f64,
}

/// How urgent an order is; lower goes first and may use more of the channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    Drain,
    Bind,
    Health,
    Ordinary,
}

/// One director's decisions.
#[derive(Clone, Debug, Default)]
pub struct Director {
    set: Settings,
    random: u64,
    now: Micros,
    next_tick: Micros,
    next_round: Micros,
    fleet: BTreeMap<HostId, Host>,
    paths: BTreeMap<(ZoneId, HostId), Path>,
    moved_at: BTreeMap<ZoneId, Micros>,
    proxies: BTreeMap<ProxyId, Proxy>,
    groups: Vec<Group>,
    tables: BTreeMap<(ZoneId, usize), Table>,
    /// Share of the work that is let in, and what it was when the present figures were measured.
    admitted: f64,
    let_in: VecDeque<(Micros, f64)>,
    /// The lowest median latency of a round so far: what an answer takes without waiting.
    unloaded_ms: f64,
    /// All work that is asked for, in units of listed weight.
    demand: f64,
    strained: bool,
    /// Lines that wait in the channel, as modelled.
    queued: f64,
    queued_at: Micros,
    /// The list: asked for and not answered yet, when to ask next, failures in a row.
    watching: bool,
    ask_at: Micros,
    failures: u32,
    told_of_slices: bool,
    notes: Vec<String>,
}

impl Director {
    /// A director that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (at, class) in settings.classes.iter().enumerate() {
            let own = (class.own_zone, &class.zones, &class.kinds);
            match groups.iter_mut().find(|g| (g.own_zone, &g.zones, &g.kinds) == own) {
                Some(group) => group.mask |= 1 << at,
                None => groups.push(Group {
                    own_zone: class.own_zone,
                    zones: class.zones.clone(),
                    kinds: class.kinds.clone(),
                    mask: 1 << at,
                }),
            }
        }
        Director { set: settings, groups, random: seed | 1, admitted: 1.0, ..Director::default() }
    }

    /// Takes in events that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.take(event);
        }
        if self.set.slices > 0 {
            if !self.told_of_slices {
                out.push(Action::Log("slices are not supported: no orders are given".into()));
            }
            self.told_of_slices = true;
            return;
        }
        self.ask(out);
        self.probe(out);
        self.judge();
        if self.now >= self.next_round {
            self.round();
            self.next_round = self.after(ROUND_S.max(self.set.report_period.secs()));
        }
        self.reconcile(out);
        out.extend(self.notes.drain(..).map(Action::Log));
        if self.now >= self.next_tick {
            self.next_tick = self.after(TICK_S);
            out.push(Action::Timer(self.next_tick, 0));
        }
    }

    fn after(&self, secs: f64) -> Micros {
        Micros(self.now.0 + Micros::from_secs(secs).0)
    }

    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- 2. Fleet view --------------------------------------------------------------------
    fn take(&mut self, event: &Event) {
        match event {
            Event::List(kind, entries) => self.list(*kind, entries),
            Event::ListFailed => {
                // A failed call or a broken subscription: ask again, less often each time, but
                // inside the time after which the director counts as told anyway.
                self.watching = false;
                self.failures += 1;
                let longest = (self.set.ask_within.secs() / 2.0).max(1.0);
                let wait = (0.25 * 2f64.powi(self.failures.min(10) as i32)).min(longest);
                let wait = wait * (0.75 + 0.5 * self.chance());
                self.ask_at = self.after(wait);
                self.notes.push(format!("list call failed, asking again in {wait:.1} s"));
            }
            Event::Joined(proxy, zone, rate) => {
                let (zone, rate) = (zone.clone(), rate.max(0.0));
                let sent = VecDeque::new();
                let usage = BTreeMap::new();
                self.proxies.insert(*proxy, Proxy { zone, rate, bound: false, sent, usage });
            }
            Event::Left(proxy) => {
                self.proxies.remove(proxy);
            }
            Event::Heard(zone, host, sums, mean, load) => {
                self.heard(zone, host, *sums, *mean);
                self.loaded(host, load);
            }
            Event::Probed(host, _, load) => self.loaded(host, load),
            Event::Usage(proxy, class, sums) => {
                if let Some(proxy) = self.proxies.get_mut(proxy) {
                    let rate = sums.total as f64 / sums.over.secs().max(0.1);
                    let usage = proxy.usage.entry(*class).or_insert(rate);
                    *usage += 0.5 * (rate - *usage);
                }
            }
            Event::Timer(_) | Event::Peer(..) | Event::Applied(..) | Event::Slice => {}
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind != ListKind::Remembered {
            self.failures = 0;
        }
        if kind != ListKind::Changes {
            for host in self.fleet.values_mut() {
                if !entries.iter().any(|e| e.host == host.entry.host) {
                    host.entry.readiness = Readiness::Gone;
                }
            }
        }
        let first = self.fleet.is_empty();
        for entry in entries {
            let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            let known = self.fleet.get(&entry.host);
            let restarted = known.is_some_and(|k| k.entry.started != entry.started);
            let back = known.is_some_and(|k| k.entry.readiness == Readiness::Gone);
            if entry.readiness != Readiness::Ready && known.is_some() {
                self.notes.push(format!("{} is {:?}", entry.host.0, entry.readiness));
            }
            let kept = known.map(|k| k.weight).filter(|k| (k / weight - 1.0).abs() < 0.25);
            let weight = kept.unwrap_or(weight);
            let host = Host { entry: entry.clone(), weight, busy: None, probed_at: Micros(0) };
            let is_new = known.is_none() && !first;
            self.fleet.insert(entry.host.clone(), host);
            if restarted || back || is_new {
                // A new process shares nothing with the old one: what was heard of that is void.
                // Slow start keeps it reduced; a quarter on top would starve a rolling deploy.
                self.paths.retain(|(_, host), _| *host != entry.host);
                self.notes.push(format!("{} has started", entry.host.0));
            }
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.watching || self.now < self.ask_at {
            return;
        }
        self.watching = true;
        // Where changes are pushed, the remembered list may still be old: ask for it once.
        out.push(if self.set.list_on_request { Action::Watch(true) } else { Action::FetchList });
    }

    /// Probes, where load is told in no other way: each ready host once a round.
    fn probe(&mut self, out: &mut Vec<Action>) {
        if !self.set.probing || self.set.load_reports != LoadReports::WithProbes {
            return;
        }
        let ready = self.fleet.iter_mut().filter(|(_, h)| h.entry.readiness == Readiness::Ready);
        for (id, host) in ready.filter(|(_, h)| self.now.since(h.probed_at) >= ROUND_S) {
            host.probed_at = self.now;
            out.push(Action::Probe(id.clone()));
        }
    }

    // ---- 3. Evidence ----------------------------------------------------------------------
    fn heard(&mut self, zone: &ZoneId, host: &HostId, sums: Sums, mean: Micros) {
        if !self.fleet.contains_key(host) || sums.total == 0 {
            return;
        }
        let lost = sums.lost.min(sums.total) as f64;
        let good = sums.total as f64 - lost;
        // Silence is measured against what the other hosts of the zone reported: sums that are
        // late for all, or wait their turn, are silence of none.
        let shares = self.shares(zone);
        for (other, share) in shares.iter().filter(|(other, _)| other != host) {
            let path = self.paths.entry((zone.clone(), other.clone())).or_default();
            path.missed += sums.total as f64 * share;
            path.turns += 1.0 / shares.len() as f64;
        }
        let path = self.paths.entry((zone.clone(), host.clone())).or_default();
        path.sum.tries += sums.total as f64;
        path.sum.lost += lost;
        path.sum.ms += good * mean.0 as f64 / 1e3;
        (path.missed, path.turns) = (0.0, 0.0);
        let fade = 0.5f64.powf(self.now.since(path.faded_at) / HALF_LIFE_S);
        path.good = path.good * fade + good;
        path.bad = path.bad * fade + lost;
        path.faded_at = self.now;
    }

    fn loaded(&mut self, host: &HostId, load: &Load) {
        if let (Some(host), Some(busy)) = (self.fleet.get_mut(host), load.busy) {
            host.busy = Some(host.busy.map_or(busy, |known| known + 0.5 * (busy - known)));
        }
    }

    /// Shares of the zone's ordinary traffic by what was ordered.
    fn shares(&self, zone: &ZoneId) -> Vec<(HostId, f64)> {
        let Some(table) = self.tables.get(&(zone.clone(), 0)) else { return Vec::new() };
        let sum: f64 = table.lines.values().sum();
        table.lines.iter().map(|(host, weight)| (host.clone(), weight / sum)).collect()
    }

    // ---- 4. Ranking: the design -----------------------------------------------------------
    fn round(&mut self) {
        let mut whole: BTreeMap<HostId, Tally> = BTreeMap::new();
        for ((_, host), Path { sum, .. }) in &self.paths {
            let all = whole.entry(host.clone()).or_default();
            *all = Tally { tries: all.tries + sum.tries, lost: all.lost + sum.lost, ms: all.ms + sum.ms };
        }
        let heard = || whole.values().filter(|t| t.tries >= 3.0);
        let loss = median(heard().map(|t| t.lost / t.tries));
        let latency = median(heard().filter(|t| t.tries > t.lost).map(|t| t.ms / (t.tries - t.lost)));
        let mut fresh: BTreeSet<(ZoneId, HostId)> = BTreeSet::new();
        for (key, path) in &mut self.paths {
            let (all, own) = (whole[&key.1], path.sum);
            // A seldom-heard host must not confirm noise: too few tries make no figure, and a
            // zone that heard little of its own leans on what the other zones heard.
            if all.tries < ENOUGH {
                continue;
            }
            let loss = (own.lost + PRIOR * all.lost / all.tries) / (own.tries + PRIOR);
            path.loss += 0.5 * (loss - path.loss);
            if all.tries > all.lost {
                let mean = all.ms / (all.tries - all.lost);
                let latency = (own.ms + PRIOR * mean) / (own.tries - own.lost + PRIOR);
                path.latency = Some(path.latency.map_or(latency, |known| known + 0.5 * (latency - known)));
            }
            path.score = path.latency.map(|ms| ms + LOSS_MS * 100.0 * path.loss);
            path.sum = Tally::default();
            fresh.insert(key.clone());
        }
        for zone in self.set.zones.clone() {
            self.rank(&zone, &fresh);
        }
        self.levels(loss.unwrap_or(0.0), latency.unwrap_or(0.0));
    }

    /// Moves hosts of one owner in and out of its leading group.
    fn rank(&mut self, zone: &ZoneId, fresh: &BTreeSet<(ZoneId, HostId)>) {
        // If all exits fail the order stays (design page): losses that most hosts share say nothing
        // of any one of them, and fewer hosts would only make an overload worse.
        if self.usual_loss(zone) >= COMMON_LOSS {
            return;
        }
        let mut scored: Vec<(f64, f64)> = Vec::new();
        for (id, host) in &self.fleet {
            let path = self.paths.get(&(zone.clone(), id.clone()));
            let score = path.filter(|p| p.state == Health::In).and_then(|p| p.score);
            if let Some(score) = score.filter(|_| host.entry.readiness == Readiness::Ready) {
                scored.push((score, host.weight));
            }
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = scored.iter().map(|s| s.1).sum();
        let mut held = 0.0;
        let lead = scored.iter().find(|s| {
            held += s.1;
            held >= GROUP_SHARE * total
        });
        let Some(lead) = lead.map(|s| s.0) else { return };
        let aim = self.tightest_aim_ms();
        let since = self.moved_at.get(zone).map_or(f64::MAX, |at| self.now.since(*at));
        let mut moved = false;
        for (key, path) in self.paths.range_mut((zone.clone(), HostId("".into()))..) {
            if key.0 != *zone {
                break;
            }
            if !fresh.contains(key) || path.state != Health::In {
                continue;
            }
            let Some(score) = path.score else { continue };
            let margin = MARGIN_MS.max(MARGIN_SHARE * score).max(AIM_MARGIN * aim);
            let lags = score >= lead + margin && path.step < LOWEST_STEP;
            let leads = score <= lead + margin / 2.0 && path.step > 0;
            path.confirmed = if lags || leads { path.confirmed + 1 } else { 0 };
            if path.confirmed >= CONFIRM && since >= COOLDOWN_S {
                path.step = if lags { path.step + 1 } else { path.step - 1 };
                path.confirmed = 0;
                moved = true;
                let to = 0.5f64.powi(path.step as i32);
                let what = format!("{} from {}: score {score:.0}", key.1 .0, zone.0);
                self.notes.push(format!("{what} against {lead:.0}, weight x {to}"));
            }
        }
        if moved {
            self.moved_at.insert(zone.clone(), self.now);
        }
    }

    // ---- 5. Health ------------------------------------------------------------------------
    /// The fast path: takes out what loses or swallows its requests, zone by zone, and tries it
    /// again after a while.
    fn judge(&mut self) {
        let now = self.now;
        for zone in self.set.zones.clone() {
            let open = |host: &Host| host.entry.readiness == Readiness::Ready;
            let usual = self.usual_loss(&zone);
            let mut staying = 0.0;
            let mut total = 0.0;
            let mut suspects: Vec<HostId> = Vec::new();
            for (id, host) in self.fleet.iter().filter(|(_, host)| open(host)) {
                total += host.weight;
                let path = self.paths.entry((zone.clone(), id.clone())).or_default();
                let lossy = path.bad >= OUT_LOST
                    && path.bad / (path.good + path.bad) >= OUT_SHARE.max(usual + OUT_ABOVE);
                let silent = path.missed >= SILENT_TRIES && path.turns >= SILENT_TURNS && usual < COMMON_LOSS;
                match path.state {
                    Health::In if lossy || silent => suspects.push(id.clone()),
                    Health::In => staying += host.weight,
                    Health::Out { until } if now >= until => {
                        let until = Micros::from_secs(now.secs() + 8.0);
                        path.state = Health::Trial { until };
                        (path.good, path.bad, path.missed, path.turns) = (0.0, 0.0, 0.0, 0.0);
                    }
                    Health::Trial { .. } if path.bad >= 2.0 && path.bad > path.good => {
                        path.stay_s = (2.0 * path.stay_s).min(OUT_LONGEST_S);
                        let until = Micros::from_secs(now.secs() + path.stay_s);
                        path.state = Health::Out { until };
                    }
                    Health::Trial { until } if path.good >= 2.0 || now >= until => {
                        path.state = Health::In;
                        path.step = LOWEST_STEP;
                        (path.score, path.latency, path.loss) = (None, None, 0.0);
                        self.notes.push(format!("{} is back for {}", id.0, zone.0));
                    }
                    _ => {}
                }
            }
            // Panic threshold: if nearly all look bad at once, the observer, its own zone or an
            // overload is the likelier cause; the tables stay as they are.
            if staying < PANIC_SHARE * total {
                continue;
            }
            for id in suspects {
                let path = self.paths.entry((zone.clone(), id.clone())).or_default();
                path.stay_s = OUT_S;
                path.state = Health::Out { until: Micros::from_secs(now.secs() + OUT_S) };
                let (bad, good) = (path.bad, path.good);
                self.notes.push(format!(
                    "{} out for {}: {bad:.0} lost, {good:.0} good, {:.0} missed",
                    id.0, zone.0, path.missed
                ));
                (path.missed, path.turns) = (0.0, 0.0);
            }
        }
    }

    /// The median loss of a zone's hosts: an outlier must stand out against it.
    fn usual_loss(&self, zone: &ZoneId) -> f64 {
        let mine = self.paths.iter().filter(|(key, _)| key.0 == *zone && self.is_ready(&key.1));
        let heard = mine.filter(|(_, p)| p.state == Health::In && p.good + p.bad >= 2.0);
        median(heard.map(|(_, p)| p.bad / (p.good + p.bad))).unwrap_or(0.0)
    }

    fn is_ready(&self, host: &HostId) -> bool {
        self.fleet.get(host).is_some_and(|h| h.entry.readiness == Readiness::Ready)
    }

    // ---- 6. Return ------------------------------------------------------------------------
    /// Share of its capacity that a host surely has by now: it rises at least evenly.
    fn warmth(&self, host: &Host) -> f64 {
        let Some(started) = host.entry.started else { return 1.0 };
        let start = self.set.start_capacity;
        let age = self.now.since(started) / self.set.cold.secs().max(0.001);
        let warmth = (start + (1.0 - start) * age).min(1.0);
        // In eighths, so that a ramp does not cost a message a tick.
        if warmth >= 1.0 {
            1.0
        } else {
            ((warmth * 8.0).floor() / 8.0).max(start.min(0.125))
        }
    }

    // ---- 7. Levels and further tries ------------------------------------------------------
    /// Lets less in while the hosts cannot do it all. Demand is the cores' busy share times the
    /// capacity that was open, over the share let in when it was measured; so a drain or a cold
    /// start shows at once, and a cut is not repeated before it can be seen.
    fn levels(&mut self, loss: f64, latency: f64) {
        let (mut capacity, mut seen, mut used) = (0.0, 0.0, 0.0);
        for (id, host) in self.fleet.iter().filter(|(_, h)| h.entry.readiness == Readiness::Ready) {
            let states = self.set.zones.iter().filter_map(|z| self.paths.get(&(z.clone(), id.clone())));
            if states.clone().count() > 0 && states.clone().all(|p| p.state != Health::In) {
                continue;
            }
            let open = host.weight * self.warmth(host);
            capacity += open;
            if let Some(busy) = host.busy {
                (seen, used) = (seen + open, used + open * busy);
            }
        }
        if latency > 0.0 && (self.unloaded_ms == 0.0 || latency < self.unloaded_ms) {
            self.unloaded_ms = latency;
        }
        let wait = (latency - self.unloaded_ms) / self.tightest_aim_ms();
        let busy = if seen > 0.0 { used / seen } else { 0.0 };
        let load = busy.max(BUSY_AIM + wait - WAIT_AIM);
        self.strained = load >= BUSY_MOST || loss >= COMMON_LOSS;
        let lag = self.set.report_period.secs() + self.set.push_delay.secs() + 1.0;
        while self.let_in.len() > 1 && self.now.since(self.let_in[1].0) >= lag {
            self.let_in.pop_front();
        }
        let was = self.let_in.front().map_or(1.0, |l| l.1);
        // Saturated cores don't tell how much more was asked of them; losses do, roughly.
        let hidden = if load >= BUSY_MOST { 1.0 + loss.min(0.5) } else { 1.0 };
        let demand = load * hidden * capacity / was;
        self.demand += 0.5 * (demand - self.demand);
        let share = BUSY_AIM * capacity / self.demand.max(1e-9);
        let share = if share >= 0.9 { 1.0 } else { (share * 20.0).round().max(1.0) / 20.0 };
        if share != self.admitted {
            let why = format!("loss {loss:.2}, busy {busy:.2}, {latency:.0} ms");
            self.notes.push(format!("lets in {share:.2} of the work: {why}"));
        }
        self.admitted = share;
        self.let_in.push_back((self.now, share));
    }

    fn tightest_aim_ms(&self) -> f64 {
        self.set.classes.iter().map(|c| c.aim.secs() * 1e3).fold(f64::MAX, f64::min)
    }

    /// The share of a class that is let in. What is worth least for its work goes first; a class's
    /// aim stands for the work of a request, which is not told.
    fn share(&self, class: usize) -> f64 {
        let worth = |at: usize| self.set.classes[at].worth / self.set.classes[at].aim.secs();
        let work = |at: usize| {
            let rates = self.proxies.values().filter_map(|p| p.usage.get(&ClassId(at)));
            rates.sum::<f64>() * self.set.classes[at].aim.secs()
        };
        let all = 0..self.set.classes.len();
        let total: f64 = all.clone().map(work).sum();
        let before: f64 = all.filter(|at| worth(*at) > worth(class)).map(work).sum();
        if self.admitted >= 1.0 || total <= 0.0 {
            return 1.0;
        }
        ((self.admitted * total - before) / work(class).max(1e-9)).clamp(LEAST_LEVEL, 1.0)
    }

    /// The level and way of trying again of a class in a zone's table.
    fn level(&self, zone: &ZoneId, class: usize) -> (f64, Retry) {
        // Proof that a try never ran makes a repeat safe for every class; only a class that is
        // safe to repeat may go again after any failure, and not while hosts are strained.
        let idempotent = self.set.classes[class].effect == Effect::Idempotent;
        let retry = if idempotent && !self.strained { Retry::Once } else { Retry::OnProof };
        let share = self.share(class);
        let level = match self.set.admission {
            Admission::Share => (share * 20.0).round() / 20.0,
            Admission::Rate if share < 1.0 => self.cap(zone, ClassId(class), share),
            Admission::Rate => NO_LIMIT,
            Admission::Ignored => 1.0,
        };
        (level, retry)
    }

    /// The rate at each proxy of the zone that lets `share` of the class in.
    fn cap(&self, zone: &ZoneId, class: ClassId, share: f64) -> f64 {
        let proxies = self.proxies.values().filter(|p| p.zone == *zone);
        let mut rates: Vec<f64> = proxies.map(|p| p.usage.get(&class).copied().unwrap_or(0.0)).collect();
        rates.sort_by(f64::total_cmp);
        let mut left = share * rates.iter().sum::<f64>();
        for (at, rate) in rates.iter().enumerate() {
            let even = left / (rates.len() - at) as f64;
            if *rate >= even {
                return (even * 2.0).round().max(1.0) / 2.0;
            }
            left -= rate;
        }
        NO_LIMIT
    }

    // ---- 8. Reconcile ---------------------------------------------------------------------
    fn may_go(group: &Group, zone: &ZoneId, entry: &Entry) -> bool {
        (!group.own_zone || entry.zone == *zone)
            && (group.zones.is_empty() || group.zones.contains(&entry.zone))
            && (group.kinds.is_empty() || group.kinds.contains(&entry.kind))
    }

    /// The table that a zone's proxies should hold for a group of classes.
    fn plan(&self, zone: &ZoneId, group: usize) -> (BTreeMap<HostId, f64>, f64) {
        let group_of = &self.groups[group];
        let local = |entry: &Entry| {
            let near = entry.zone == *zone || self.set.cross_zone_price <= 0.0;
            if near {
                1.0
            } else {
                REMOTE
            }
        };
        let mut lines: BTreeMap<HostId, f64> = BTreeMap::new();
        let mut fallback: BTreeMap<HostId, f64> = BTreeMap::new();
        let mut cold: Vec<(HostId, f64, f64)> = Vec::new();
        let mut full = 0.0;
        for (id, host) in &self.fleet {
            let ready = host.entry.readiness == Readiness::Ready;
            if !ready || !Self::may_go(group_of, zone, &host.entry) {
                continue;
            }
            let base = host.weight * local(&host.entry);
            full += base;
            let warmth = self.warmth(host);
            let path = self.paths.get(&(zone.clone(), id.clone()));
            let step = 0.5f64.powi(path.map_or(0, |p| p.step) as i32);
            let factor = match path.map_or(Health::In, |p| p.state) {
                Health::In => step.min(warmth),
                Health::Trial { .. } => TRIAL.min(warmth),
                Health::Out { .. } => 0.0,
            };
            fallback.insert(id.clone(), base * warmth);
            if factor > 0.0 {
                lines.insert(id.clone(), base * factor);
            }
            if warmth < 1.0 && factor > 0.0 {
                cold.push((id.clone(), base, warmth));
            }
        }
        // Never empty: whatever was judged above, a host that the list shows as ready stays.
        let warm = |id: &HostId| self.warmth(&self.fleet[id]) >= 1.0;
        let warm_line = lines.keys().any(warm);
        if lines.is_empty() || (!warm_line && fallback.keys().any(warm)) {
            return (fallback, full);
        }
        // Few hosts left: what the others no longer carry must not push a cold host over.
        let full = full.max(self.tables.get(&(zone.clone(), group)).map_or(0.0, |t| t.full));
        let rest: f64 = lines.iter().filter(|(id, _)| warm(id)).map(|(_, w)| w).sum();
        for (id, base, warmth) in cold {
            let budget = self.set.overload_factor * warmth * COLD_USE / ASSUMED_LOAD;
            let share = (budget * base / full).min(0.9);
            let most = share / (1.0 - share) * rest;
            if rest > 0.0 && lines[&id] > most {
                lines.insert(id, most);
            }
        }
        (lines, full)
    }

    fn reconcile(&mut self, out: &mut Vec<Action>) {
        let pace = CHANNEL_PACE * self.set.lines_per_s;
        self.queued = (self.queued - pace * self.now.since(self.queued_at)).max(0.0);
        self.queued_at = self.now;
        let mut zones = self.set.zones.clone();
        zones.extend(self.proxies.values().map(|p| p.zone.clone()));
        zones.sort();
        zones.dedup();
        let mut touched: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for zone in &zones {
            for group in 0..self.groups.len() {
                self.update(zone, group, &mut touched, out);
            }
        }
        self.bind(&mut touched, out);
        for (id, lines) in touched {
            self.queued += lines + self.set.message_overhead;
            if let Some(proxy) = self.proxies.get_mut(&id) {
                proxy.sent.push_back(self.now);
                while proxy.sent.len() > self.set.messages_max as usize {
                    proxy.sent.pop_front();
                }
            }
        }
    }

    /// Whether `lines` more to these proxies may go now. Urgent orders may use more of the
    /// channel, so that ordinary ones always leave room for a mass rejoin or a drain.
    fn room(&self, urgency: Urgency, lines: f64, zone: &ZoneId) -> bool {
        let (queue, messages) = match urgency {
            Urgency::Drain => (0.9, 1.0),
            Urgency::Bind => (0.75, 0.9),
            Urgency::Health => (0.5, 0.7),
            Urgency::Ordinary => (0.25, 0.4),
        };
        let most = self.set.messages_max as f64;
        let over = self.set.messages_over.secs();
        let recent = |p: &Proxy| p.sent.iter().filter(|at| self.now.since(**at) <= over).count();
        let mut proxies = self.proxies.values().filter(|p| p.zone == *zone && p.bound);
        let free = most == 0.0 || proxies.all(|p| recent(p) as f64 + 1.0 <= messages * most);
        free && self.queued + lines <= queue * self.set.queue_max
    }

    fn update(
        &mut self,
        zone: &ZoneId,
        group: usize,
        touched: &mut BTreeMap<ProxyId, f64>,
        out: &mut Vec<Action>,
    ) {
        let (plan, full) = self.plan(zone, group);
        let id = TableId(self.tables.len() as u32);
        let key = (zone.clone(), group);
        let new = Table { id, lines: BTreeMap::new(), levels: BTreeMap::new(), full };
        let table = self.tables.entry(key.clone()).or_insert(new).clone();
        let mut changes: Vec<(HostId, f64)> = Vec::new();
        let mut urgency = Urgency::Ordinary;
        for (host, weight) in &plan {
            let ordered = table.lines.get(host).copied().unwrap_or(0.0);
            if (weight / ordered - 1.0).abs() > 0.02 {
                let cold = self.warmth(&self.fleet[host]) < 1.0;
                if ordered > 0.0 && *weight < ordered && cold {
                    urgency = urgency.min(Urgency::Health);
                }
                changes.push((host.clone(), *weight));
            }
        }
        for host in table.lines.keys().filter(|host| !plan.contains_key(host)) {
            let leaves = !self.is_ready(host);
            urgency = urgency.min(if leaves { Urgency::Drain } else { Urgency::Health });
            changes.push((host.clone(), 0.0));
        }
        let mut levels: Vec<(ClassId, (f64, Retry))> = Vec::new();
        for class in 0..self.set.classes.len() {
            let level = self.level(zone, class);
            if self.groups[group].mask >> class & 1 == 1 && table.levels.get(&ClassId(class)) != Some(&level)
            {
                levels.push((ClassId(class), level));
            }
        }
        let mine = |p: &&Proxy| p.bound && p.zone == *zone;
        let users = self.proxies.values().filter(mine).count() as f64;
        let count = (changes.len() + levels.len()) as f64;
        let lines = users * (count + self.set.message_overhead);
        if count == 0.0 || (users > 0.0 && !self.room(urgency, lines, zone)) {
            return;
        }
        let table = self.tables.get_mut(&key).expect("made above");
        table.full = table.full.max(full);
        for (host, weight) in changes {
            out.push(Action::SetLine(table.id, host.clone(), weight));
            match weight > 0.0 {
                true => table.lines.insert(host, weight),
                false => table.lines.remove(&host),
            };
        }
        for (class, level) in levels {
            let mask = ClassMask(1 << class.0);
            out.push(Action::Admit(Some(table.id), mask, level.0, level.1));
            table.levels.insert(class, level);
        }
        for (proxy, _) in self.proxies.iter().filter(|(_, p)| mine(p)) {
            *touched.entry(*proxy).or_default() += count;
        }
    }

    /// Binds proxies that have joined, once, as soon as the channel has room.
    fn bind(&mut self, touched: &mut BTreeMap<ProxyId, f64>, out: &mut Vec<Action>) {
        let waiting: Vec<ProxyId> =
            self.proxies.iter().filter(|(_, p)| !p.bound).map(|(id, _)| *id).collect();
        let mut pending: f64 = touched.values().map(|l| l + self.set.message_overhead).sum();
        for id in waiting {
            let zone = self.proxies[&id].zone.clone();
            let tables: Vec<(usize, Table)> = (0..self.groups.len())
                .filter_map(|g| Some((g, self.tables.get(&(zone.clone(), g))?.clone())))
                .filter(|(_, table)| !table.lines.is_empty())
                .collect();
            let lines: usize = tables.iter().map(|(_, t)| 1 + t.lines.len() + t.levels.len()).sum();
            let cost = lines as f64 + self.set.message_overhead;
            if tables.is_empty() || !self.room(Urgency::Bind, pending + cost, &zone) {
                continue;
            }
            pending += cost;
            for (group, table) in &tables {
                let mask = if self.groups.len() == 1 { 0 } else { self.groups[*group].mask };
                out.push(Action::Bind(id, table.id, ClassMask(mask)));
            }
            *touched.entry(id).or_default() += lines as f64;
            if let Some(proxy) = self.proxies.get_mut(&id) {
                proxy.bound = true;
            }
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
