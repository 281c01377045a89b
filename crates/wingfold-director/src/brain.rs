//! Every decision of a wingfold director. What goes in and out is defined in `interface.rs`.
//!
//! Ordinary tables follow the Best Exit Selection Design (docs/design.md): each zone of proxies is an owner
//! that scores every host by heard latency and loss; the leading group keeps its listed weight and laggards
//! halve, step by step. All else answers cases that the design leaves open.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- 1. Constants ----------------------------------------------------------------------------------------
/// Score of one percent of loss, in ms; smallest margin in ms, and its share of the score (design page).
const LOSS_MS: f64 = 100.0;
const MARGIN_MS: f64 = 20.0;
const MARGIN_SHARE: f64 = 0.15;
/// Times well inside the tightest aim earn alike: this share of it counts as margin too.
const AIM_MARGIN: f64 = 0.1;
/// Rounds in a row that confirm a move, shortest round and owner's cooldown in seconds (design page).
const CONFIRM: u32 = 3;
const ROUND_S: f64 = 2.0;
const COOLDOWN_S: f64 = 8.0;
/// A laggard halves down to a quarter (design page).
const LOWEST_STEP: u32 = 2;
/// Fresh tries that make a figure; a zone's own tries weigh against all zones' mean as if that had PRIOR.
const ENOUGH: f64 = 6.0;
const PRIOR: f64 = 6.0;
/// The group must hold this share of the listed weight: one server cannot carry a zone.
const GROUP_SHARE: f64 = 0.5;
/// Half-life of the evidence of the fast path; it must span a round of sums.
const HALF_LIFE_S: f64 = 2.0;
/// Losses in a row that take a host out, and the chance, at the loss usual in its zone, under which a longer
/// row counts: a host that still answers is the ranking's affair, and what all hosts lose is overload.
const OUT_LOST: f64 = 3.0;
const OUT_CHANCE: f64 = 1e-3;
/// Median loss from which the fleet as a whole is in trouble: then no host is a laggard.
const COMMON_LOSS: f64 = 0.1;
/// Tries expected of a host without a line that count as silence (chance leaves 1 in 1000), if the other
/// hosts have each been heard of this often meanwhile: lines may wait their turn.
const SILENT_TRIES: f64 = 7.0;
const SILENT_TURNS: f64 = 3.0;
/// First stay outside, doubling up to the longest; then a trial of at most this long at this weight.
const OUT_S: f64 = 4.0;
const OUT_LONGEST_S: f64 = 16.0;
const TRIAL_S: f64 = 8.0;
const TRIAL: f64 = 0.125;
/// Panic threshold: hosts are not taken out when less of the listed weight than this would stay.
const PANIC_SHARE: f64 = 0.2;
/// Weight of hosts in other zones where crossing has a price, at least; it doubles for a zone whose own hosts
/// would get this multiple of their part of the work: below that it would follow noise.
const REMOTE: f64 = 0.25;
const BALANCE: f64 = 1.5;
/// Use of a cold host's budget, and the fleet's load that is assumed where it is not known.
const COLD_USE: f64 = 0.5;
const ASSUMED_LOAD: f64 = 0.75;
/// Share of the usual weight that warm hosts must hold for cold ones to wait.
const WARM_ENOUGH: f64 = 0.2;
/// Busy share of the cores that levels aim at, and where they count as full; the wait of an answer, as a
/// share of the tightest aim, that goes with the former; least of a class that is always let in.
const BUSY_AIM: f64 = 0.65;
const BUSY_MOST: f64 = 0.92;
const WAIT_AIM: f64 = 0.2;
const LEAST_LEVEL: f64 = 0.05;
/// Least of all work that is let in: queues that still drain must not read as ever more demand.
const LEAST_ADMITTED: f64 = 0.3;
/// A level that lets everything in where levels are rates.
const NO_LIMIT: f64 = 1e6;
/// The channel is taken to run at this share of its usual pace: slow days are not announced.
const CHANNEL_PACE: f64 = 0.5;
/// Time between two looks at the levels and, where probes tell the load, between two probes of a host.
const LEVEL_S: f64 = 1.0;
/// How urgent an order is: the part of the channel's queue, and of the messages to a proxy, that it may use,
/// so that ordinary ones always leave room for a mass rejoin or a drain.
const DRAIN: (f64, f64) = (0.9, 1.0);
const BIND: (f64, f64) = (0.75, 0.9);
const HEALTH: (f64, f64) = (0.5, 0.7);
const ORDINARY: (f64, f64) = (0.25, 0.4);
/// Longest time between two looks at the state.
const TICK_S: f64 = 0.25;

// ---- State -----------------------------------------------------------------------------------------------
#[derive(Clone, Debug)]
struct Host {
    entry: Entry,
    /// Listed weight that tables use; follows the list only on a real change.
    weight: f64,
    /// Busy share of its cores, as last reported, and when.
    busy: Option<(f64, Micros)>,
}

impl Host {
    fn ready(&self) -> bool {
        self.entry.readiness == Readiness::Ready
    }
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
    /// The last round had enough news for a figure.
    fresh: bool,
    /// Halvings in force, and rounds in a row that speak for the next move.
    step: u32,
    confirmed: u32,
    /// Evidence of the fast path: fading counts, and losses since the last line with a good answer.
    good: f64,
    bad: f64,
    streak: f64,
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
    Out(Micros),
    Trial(Micros),
}

/// An owner: what it knows of the hosts, its tables by group, and when its ranking last moved.
#[derive(Clone, Debug, Default)]
struct Zone {
    paths: BTreeMap<HostId, Path>,
    tables: Vec<Table>,
    /// Part of its weight that a host of another zone lacks here.
    bias: f64,
    moved_at: Option<Micros>,
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

/// Classes that may go to the same hosts share a table per zone.
#[derive(Clone, Debug)]
struct Group {
    sample: Class,
    mask: u64,
}

impl Group {
    fn may_go(&self, zone: &ZoneId, entry: &Entry) -> bool {
        let class = &self.sample;
        (!class.own_zone || entry.zone == *zone)
            && (class.zones.is_empty() || class.zones.contains(&entry.zone))
            && (class.kinds.is_empty() || class.kinds.contains(&entry.kind))
    }
}

#[derive(Clone, Debug)]
struct Proxy {
    zone: ZoneId,
    bound: bool,
    /// When messages went to it, within the span that is limited.
    sent: VecDeque<Micros>,
    /// Requests a second by class, smoothed.
    usage: BTreeMap<ClassId, f64>,
}

/// One director's decisions.
#[derive(Clone, Debug, Default)]
pub struct Director {
    set: Settings,
    random: u64,
    now: Micros,
    next_tick: Micros,
    next_round: Micros,
    next_level: Micros,
    fleet: BTreeMap<HostId, Host>,
    zones: BTreeMap<ZoneId, Zone>,
    proxies: BTreeMap<ProxyId, Proxy>,
    groups: Vec<Group>,
    /// Share of the work that is let in, and what it was when the present figures were measured.
    admitted: f64,
    let_in: VecDeque<(Micros, f64)>,
    /// Median loss and latency of the hosts in the last round.
    loss: f64,
    latency: Option<f64>,
    /// The lowest median latency of a round so far: what an answer takes without waiting.
    unloaded_ms: Option<f64>,
    /// All work that is asked for, in units of listed weight.
    demand: f64,
    /// Lines ordered now by proxy, and lines that wait in the channel, as modelled.
    touched: BTreeMap<ProxyId, f64>,
    queued: f64,
    queued_at: Micros,
    /// The list: asked for and not failed since, when to ask next, failures in a row.
    watching: bool,
    ask_at: Micros,
    failures: u32,
    notes: Vec<String>,
}

impl Director {
    /// A director that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (at, class) in settings.classes.iter().enumerate() {
            let limits = |c: &Class| (c.own_zone, c.zones.clone(), c.kinds.clone());
            match groups.iter_mut().find(|g| limits(&g.sample) == limits(class)) {
                Some(group) => group.mask |= 1 << at,
                None => groups.push(Group { sample: class.clone(), mask: 1 << at }),
            }
        }
        let unserved = "slices are not supported: no orders are given".to_string();
        let notes = Vec::from_iter((settings.slices > 0).then_some(unserved));
        let zones = settings.zones.clone();
        let start = Director { random: seed | 1, admitted: 1.0, ..Director::default() };
        let mut director = Director { set: settings, groups, notes, ..start };
        zones.iter().for_each(|zone| director.know(zone));
        director
    }

    /// Takes in events that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        events.iter().for_each(|event| self.take(event));
        if self.set.slices == 0 {
            self.ask(out);
            let mut zones = std::mem::take(&mut self.zones);
            zones.iter_mut().for_each(|(name, zone)| self.judge(name, zone));
            if self.now >= self.next_round {
                self.round(&mut zones);
                self.localize(&mut zones);
                self.next_round = self.after(ROUND_S.max(self.set.report_period.secs()));
            }
            if self.now >= self.next_level {
                self.levels(&zones);
                // Load is asked for only where it is told in no other way.
                let asks = self.set.probing && self.set.load_reports == LoadReports::WithProbes;
                let ready = self.fleet.iter().filter(|(_, h)| asks && h.ready());
                out.extend(ready.map(|(id, _)| Action::Probe(id.clone())));
                self.next_level = self.after(LEVEL_S);
            }
            self.reconcile(&mut zones, out);
            self.zones = zones;
        }
        out.extend(self.notes.drain(..).map(Action::Log));
        if self.now >= self.next_tick {
            self.next_tick = self.after(TICK_S);
            out.push(Action::Timer(self.next_tick, 0));
        }
    }

    fn after(&self, secs: f64) -> Micros {
        Micros(self.now.0 + Micros::from_secs(secs).0)
    }

    // ---- 2. Fleet view -----------------------------------------------------------------------------------
    fn take(&mut self, event: &Event) {
        match event {
            Event::List(kind, entries) => self.list(*kind, entries),
            Event::ListFailed => {
                // A failed call or a broken subscription: ask again, less often each time, but inside the
                // time after which the director counts as told anyway. Directors spread by their seeds.
                self.failures += 1;
                self.random = self.random.wrapping_mul(0x5851_F42D_4C95_7F2D) + 1;
                let spread = 0.75 + 0.5 * (self.random >> 11) as f64 / (1u64 << 53) as f64;
                let longest = (self.set.ask_within.secs() / 2.0).max(1.0);
                let wait = spread * (0.25 * 2f64.powi(self.failures.min(10) as i32)).min(longest);
                (self.watching, self.ask_at) = (false, self.after(wait));
                self.notes.push(format!("list call failed, asking again in {wait:.1} s"));
            }
            Event::Joined(id, zone, _) => {
                self.know(zone);
                let (sent, usage) = (VecDeque::new(), BTreeMap::new());
                self.proxies.insert(*id, Proxy { zone: zone.clone(), bound: false, sent, usage });
            }
            Event::Left(proxy) => drop(self.proxies.remove(proxy)),
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

    /// Makes an owner of a zone, with a table for each group of classes.
    fn know(&mut self, zone: &ZoneId) {
        let first = (self.zones.len() * self.groups.len()) as u32;
        let ids = (0..self.groups.len() as u32).map(|at| TableId(first + at));
        let tables = || ids.map(|id| Table { id, ..Table::default() }).collect();
        self.zones.entry(zone.clone()).or_insert_with(|| Zone { tables: tables(), ..Zone::default() });
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind != ListKind::Remembered {
            self.failures = 0;
        }
        if kind != ListKind::Changes {
            let named: BTreeSet<&HostId> = entries.iter().map(|e| &e.host).collect();
            let dropped = self.fleet.iter_mut().filter(|(id, _)| !named.contains(id));
            dropped.for_each(|(_, host)| host.entry.readiness = Readiness::Gone);
        }
        let first = self.fleet.is_empty();
        for entry in entries {
            let known = self.fleet.get(&entry.host);
            let (id, listed) = (&entry.host, if entry.weight > 0.0 { entry.weight } else { 1.0 });
            let kept = known.map(|k| k.weight).filter(|k| (k / listed - 1.0).abs() < 0.25);
            let same = known.map_or(first, |k| k.ready() && k.entry.started == entry.started);
            let busy = known.and_then(|k| k.busy);
            let host = Host { entry: entry.clone(), weight: kept.unwrap_or(listed), busy };
            if !host.ready() {
                self.notes.push(format!("{} is {:?}", id.0, entry.readiness));
            } else if !same {
                // A new process shares nothing with the old one: what was heard of that is void. Slow
                // start keeps it reduced; a quarter on top would starve a rolling deploy.
                self.zones.values_mut().for_each(|zone| zone.paths.retain(|known, _| known != id));
                self.notes.push(format!("{} has started", id.0));
            }
            self.fleet.insert(id.clone(), host);
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.watching && self.now >= self.ask_at {
            self.watching = true;
            // Where changes are pushed, the remembered list may still be old: ask for it once.
            out.push(if self.set.list_on_request { Action::Watch(true) } else { Action::FetchList });
        }
    }

    // ---- 3. Evidence -------------------------------------------------------------------------------------
    fn heard(&mut self, zone: &ZoneId, host: &HostId, sums: Sums, mean: Micros) {
        let (tries, lost) = (sums.total as f64, sums.lost.min(sums.total) as f64);
        let Some(zone) = self.zones.get_mut(zone) else { return };
        if !self.fleet.contains_key(host) || sums.total == 0 {
            return;
        }
        // Silence is measured against what the other hosts of the zone reported: sums that are late for all,
        // or wait their turn, are silence of none.
        let lines = &zone.tables[0].lines;
        let all: f64 = lines.values().sum();
        for (other, weight) in lines.iter().filter(|(other, _)| *other != host) {
            let path = zone.paths.entry(other.clone()).or_default();
            path.missed += tries * weight / all;
            path.turns += 1.0 / lines.len() as f64;
        }
        let path = zone.paths.entry(host.clone()).or_default();
        path.sum.tries += tries;
        path.sum.lost += lost;
        path.sum.ms += (tries - lost) * mean.0 as f64 / 1e3;
        (path.missed, path.turns) = (0.0, 0.0);
        let fade = 0.5f64.powf(self.now.since(path.faded_at) / HALF_LIFE_S);
        path.good = path.good * fade + tries - lost;
        path.bad = path.bad * fade + lost;
        path.streak = if lost == tries { path.streak + lost } else { 0.0 };
        path.faded_at = self.now;
    }

    fn loaded(&mut self, host: &HostId, load: &Load) {
        if let (Some(host), Some(busy)) = (self.fleet.get_mut(host), load.busy) {
            host.busy = Some((host.busy.map_or(busy, |(known, _)| (known + busy) / 2.0), self.now));
        }
    }

    fn tightest_aim_ms(&self) -> f64 {
        self.set.classes.iter().map(|c| c.aim.secs() * 1e3).fold(f64::MAX, f64::min)
    }

    // ---- 4. Ranking: the design --------------------------------------------------------------------------
    fn round(&mut self, zones: &mut BTreeMap<ZoneId, Zone>) {
        let mut whole: BTreeMap<HostId, Tally> = BTreeMap::new();
        for (id, Path { sum, .. }) in zones.values().flat_map(|zone| &zone.paths) {
            let all = whole.entry(id.clone()).or_default();
            *all = Tally { tries: all.tries + sum.tries, lost: all.lost + sum.lost, ms: all.ms + sum.ms };
        }
        let heard = || whole.values().filter(|t| t.tries >= 3.0);
        let loss = median(heard().map(|t| t.lost / t.tries));
        let latency = median(heard().filter(|t| t.tries > t.lost).map(|t| t.ms / (t.tries - t.lost)));
        for (name, zone) in zones.iter_mut() {
            for (id, path) in &mut zone.paths {
                let (all, own) = (whole[id], path.sum);
                // A seldom-heard host must not confirm noise: too few tries make no figure, and a zone that
                // heard little of its own leans on what the other zones heard.
                path.fresh = all.tries >= ENOUGH;
                if !path.fresh {
                    continue;
                }
                let loss = (own.lost + PRIOR * all.lost / all.tries) / (own.tries + PRIOR);
                path.loss += 0.5 * (loss - path.loss);
                if all.tries > all.lost {
                    let mean = all.ms / (all.tries - all.lost);
                    let latency = (own.ms + PRIOR * mean) / (own.tries - own.lost + PRIOR);
                    path.latency = Some(path.latency.map_or(latency, |known| (known + latency) / 2.0));
                }
                path.score = path.latency.map(|ms| ms + LOSS_MS * 100.0 * path.loss);
                path.sum = Tally::default();
            }
            self.rank(name, zone);
        }
        (self.loss, self.latency) = (loss.unwrap_or(0.0), latency);
    }

    /// Moves hosts of one owner in and out of its leading group.
    fn rank(&mut self, name: &ZoneId, zone: &mut Zone) {
        // If all exits fail the order stays (design page): losses that most hosts share say nothing of one
        // of them, and fewer hosts would only make an overload worse.
        if self.usual_loss(zone) >= COMMON_LOSS {
            return;
        }
        let mut scored: Vec<(f64, f64)> = Vec::new();
        for (id, host) in self.fleet.iter().filter(|(_, h)| h.ready()) {
            let path = zone.paths.get(id).filter(|p| p.state == Health::In);
            scored.extend(path.and_then(|p| Some((p.score?, host.weight))));
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = GROUP_SHARE * scored.iter().map(|s| s.1).sum::<f64>();
        let lead = scored.iter().find(|s| {
            left -= s.1;
            left <= 0.0
        });
        let Some(lead) = lead.map(|s| s.0) else { return };
        let cooled = zone.moved_at.is_none_or(|at| self.now.since(at) >= COOLDOWN_S);
        let aim = self.tightest_aim_ms();
        for (id, path) in zone.paths.iter_mut().filter(|(_, p)| p.fresh && p.state == Health::In) {
            let Some(score) = path.score else { continue };
            let margin = MARGIN_MS.max(MARGIN_SHARE * score).max(AIM_MARGIN * aim);
            let lags = score >= lead + margin && path.step < LOWEST_STEP;
            let leads = score <= lead + margin / 2.0 && path.step > 0;
            path.confirmed = if lags || leads { path.confirmed + 1 } else { 0 };
            if path.confirmed >= CONFIRM && cooled {
                path.step = if lags { path.step + 1 } else { path.step - 1 };
                path.confirmed = 0;
                zone.moved_at = Some(self.now);
                let what = format!("{} from {}: score {score:.0} against {lead:.0}", id.0, name.0);
                self.notes.push(format!("{what}, weight / {}", 1 << path.step));
            }
        }
    }

    /// Locality, where crossing zones has a price: hosts of other zones keep as little of their weight as
    /// leaves no zone's hosts far more than their part of the work; a busy or thinned-out zone spreads out.
    fn localize(&self, zones: &mut BTreeMap<ZoneId, Zone>) {
        let (mut parts, mut work, mut room) = (BTreeMap::new(), 0.0, 0.0);
        for (name, zone) in zones.iter().filter(|_| self.set.cross_zone_price > 0.0) {
            let mine = self.proxies.values().filter(|p| p.zone == *name);
            let demand: f64 = mine.flat_map(|p| p.usage.values()).sum();
            let taken = |id| zone.paths.get(id).is_none_or(|p| p.state == Health::In);
            let own = self.fleet.iter().filter(|(id, h)| h.ready() && h.entry.zone == *name && taken(id));
            let capacity: f64 = own.map(|(_, h)| h.weight * self.warmth(h)).sum();
            (work, room) = (work + demand, room + capacity);
            parts.insert(name.clone(), (demand, capacity, REMOTE));
        }
        loop {
            // Work for a unit of capacity at home; hosts elsewhere get the remote part of it.
            let home = |p: &(f64, f64, f64)| p.0 / work / (p.1 / room * (1.0 - p.2) + p.2);
            let away: f64 = parts.values().map(|p| p.2 * home(p)).sum();
            let load = |p: &(f64, f64, f64)| (1.0 - p.2) * home(p) + away;
            let hot = parts.values_mut().filter(|p| p.2 < 1.0 && load(p) > BALANCE);
            let Some(hottest) = hot.max_by(|a, b| load(a).total_cmp(&load(b))) else { break };
            hottest.2 *= 2.0;
        }
        zones.iter_mut().for_each(|(name, zone)| zone.bias = parts.get(name).map_or(0.0, |p| 1.0 - p.2));
    }

    // ---- 5. Health ---------------------------------------------------------------------------------------
    /// The fast path: takes out what loses or swallows its requests, zone by zone (a zone that is cut off
    /// must not withdraw a host for all), and tries it again after a while.
    fn judge(&mut self, name: &ZoneId, zone: &mut Zone) {
        let usual = self.usual_loss(zone);
        for (id, _) in self.fleet.iter().filter(|(_, host)| host.ready()) {
            let path = zone.paths.entry(id.clone()).or_default();
            let lossy = path.streak >= OUT_LOST && usual.powf(path.streak) < OUT_CHANCE;
            let silent = path.missed >= SILENT_TRIES && path.turns >= SILENT_TURNS && usual < COMMON_LOSS;
            match path.state {
                Health::In if lossy || silent => {
                    let why = format!("{:.0} lost in a row, {:.0} missed", path.streak, path.missed);
                    self.notes.push(format!("{} out for {}: {why}", id.0, name.0));
                    (path.stay_s, path.state) = (OUT_S, Health::Out(self.after(OUT_S)));
                }
                Health::Out(until) if self.now >= until => {
                    let (state, stay_s) = (Health::Trial(self.after(TRIAL_S)), path.stay_s);
                    *path = Path { state, stay_s, ..Path::default() };
                }
                Health::Trial(_) if path.streak >= 2.0 => {
                    path.stay_s = (2.0 * path.stay_s).min(OUT_LONGEST_S);
                    path.state = Health::Out(self.after(path.stay_s));
                }
                Health::Trial(until) if path.good >= 2.0 || self.now >= until => {
                    *path = Path { step: LOWEST_STEP, ..Path::default() };
                    self.notes.push(format!("{} is back for {}", id.0, name.0));
                }
                _ => {}
            }
        }
    }

    /// The median loss of those of a zone's hosts that answer: an outlier must stand out against it. 1
    /// where next to none answers (panic threshold): the observer, its zone or an overload is likelier then.
    fn usual_loss(&self, zone: &Zone) -> f64 {
        let (mut staying, mut total, mut losses) = (0.0, 0.0, Vec::new());
        for (id, host) in self.fleet.iter().filter(|(_, h)| h.ready()) {
            total += host.weight;
            let path = zone.paths.get(id);
            if path.is_none_or(|p| p.state == Health::In && p.streak < OUT_LOST) {
                staying += host.weight;
                let heard = path.filter(|p| p.good + p.bad >= 2.0);
                losses.extend(heard.map(|p| p.bad / (p.good + p.bad)));
            }
        }
        if staying < PANIC_SHARE * total {
            1.0
        } else {
            median(losses.into_iter()).unwrap_or(0.0)
        }
    }

    // ---- 6. Return ---------------------------------------------------------------------------------------
    /// Time since a host's start, in cold times: under 1 it may still be cold, whatever its ramp says.
    fn age(&self, host: &Host) -> f64 {
        host.entry.started.map_or(f64::MAX, |at| self.now.since(at) / self.set.cold.secs().max(1e-3))
    }

    /// Slow start: the share of its capacity that a host surely has by now: it rises at least evenly. In
    /// eighths, so that a ramp does not cost a message a tick.
    fn warmth(&self, host: &Host) -> f64 {
        let surely = self.set.start_capacity + (1.0 - self.set.start_capacity) * self.age(host);
        (surely.min(1.0) * 8.0).floor().max(1.0) / 8.0
    }

    // ---- 7. Levels and further tries ---------------------------------------------------------------------
    /// Lets less in while the hosts cannot do it all. Demand is the cores' busy share (or the wait that goes
    /// with it) times the capacity that is open, over the share let in when it was measured; so a drain or a
    /// cold start shows at once, and a cut is not repeated before it can be seen.
    fn levels(&mut self, zones: &BTreeMap<ZoneId, Zone>) {
        let (loss, mut capacity, mut seen, mut used) = (self.loss, 0.0, 0.0, 0.0);
        let taken = |id| zones.values().any(|z| z.paths.get(id).is_some_and(|p| p.state == Health::In));
        for (_, host) in self.fleet.iter().filter(|(id, h)| h.ready() && taken(id)) {
            let open = host.weight * self.warmth(host);
            capacity += open;
            // A host that gets nothing reports nothing: its last word must not hold a level down.
            let fresh = |at: Micros| self.now.since(at) <= 2.0 * ROUND_S.max(self.set.report_period.secs());
            if let Some((busy, _)) = host.busy.filter(|b| fresh(b.1)) {
                (seen, used) = (seen + open, used + open * busy);
            }
        }
        let Some(latency) = self.latency.filter(|_| capacity > 0.0) else { return };
        let unloaded = *self.unloaded_ms.insert(self.unloaded_ms.map_or(latency, |known| known.min(latency)));
        let (busy, wait) = (used / f64::max(seen, 1e-9), (latency - unloaded) / self.tightest_aim_ms());
        let load = busy.max(BUSY_AIM + wait - WAIT_AIM);
        let lag = self.set.report_period.secs() + self.set.push_delay.secs() + 1.0;
        while self.let_in.len() > 1 && self.now.since(self.let_in[1].0) >= lag {
            self.let_in.pop_front();
        }
        let was = self.let_in.front().map_or(1.0, |l| l.1);
        // Saturated cores don't tell how much more was asked of them; losses do, roughly.
        let hidden = if load >= BUSY_MOST { 1.0 + loss.min(0.5) } else { 1.0 };
        self.demand += 0.5 * (load * hidden * capacity / was - self.demand);
        let share = BUSY_AIM * capacity / self.demand.max(1e-9);
        let share = if share >= 0.9 { 1.0 } else { ((share * 20.0).round() / 20.0).max(LEAST_ADMITTED) };
        if share != self.admitted {
            let why = format!("loss {loss:.2}, busy {busy:.2}, {latency:.0} ms");
            self.notes.push(format!("lets in {share:.2} of the work: {why}"));
        }
        self.admitted = share;
        self.let_in.push_back((self.now, share));
    }

    /// The share of a class that is let in. What is worth least for its work goes first; a class's aim stands
    /// for the work of a request, which is not told.
    fn share(&self, class: usize) -> f64 {
        let worth = |at: usize| self.set.classes[at].worth / self.set.classes[at].aim.secs();
        let rates = |at: usize| self.proxies.values().filter_map(move |p| p.usage.get(&ClassId(at)));
        let work = |at: usize| rates(at).sum::<f64>() * self.set.classes[at].aim.secs();
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
        // Proof that a try never ran makes a repeat safe for every class, whatever its effect. After any
        // other failure none is ordered, not even where it would be safe: the second try comes after the aim
        // has passed, and doubles the work just when hosts are short of it.
        let share = self.share(class);
        let level = match self.set.admission {
            Admission::Share => (share * 20.0).round() / 20.0,
            Admission::Rate if share < 1.0 => self.cap(zone, ClassId(class), share),
            Admission::Rate => NO_LIMIT,
            Admission::Ignored => 1.0,
        };
        (level, Retry::OnProof)
    }

    /// The rate at each proxy of the zone that lets `share` of the class in.
    fn cap(&self, zone: &ZoneId, class: ClassId, share: f64) -> f64 {
        let mine = self.proxies.values().filter(|p| p.zone == *zone);
        let mut rates: Vec<f64> = mine.map(|p| p.usage.get(&class).copied().unwrap_or(0.0)).collect();
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

    // ---- 8. Reconcile ------------------------------------------------------------------------------------
    /// The lines that a zone's proxies should hold for a group of classes, and the scale of a usual day.
    fn plan(&self, name: &ZoneId, zone: &Zone, group: usize) -> (BTreeMap<HostId, f64>, f64) {
        let (mut lines, mut listed) = (BTreeMap::new(), BTreeMap::new());
        let (mut cold, mut full, mut warm) = (Vec::new(), 0.0, 0.0);
        let open = |h: &Host| h.ready() && self.groups[group].may_go(name, &h.entry);
        for (id, host) in self.fleet.iter().filter(|(_, h)| open(h)) {
            let base = host.weight * if host.entry.zone == *name { 1.0 } else { 1.0 - zone.bias };
            let warmth = self.warmth(host);
            let path = zone.paths.get(id);
            let factor = match path.map_or(Health::In, |p| p.state) {
                Health::In => 0.5f64.powi(path.map_or(0, |p| p.step) as i32),
                Health::Trial(_) => TRIAL,
                Health::Out(_) => 0.0,
            };
            full += base;
            listed.insert(id.clone(), base * warmth);
            if factor > 0.0 {
                lines.insert(id.clone(), base * factor.min(warmth));
            }
            if self.age(host) < 1.0 {
                cold.push((id.clone(), base, warmth));
            } else {
                warm += base;
            }
        }
        // Never empty: whatever was judged above, a warm host that the list shows as ready stays.
        let is_warm = |id: &HostId| self.age(&self.fleet[id]) >= 1.0;
        if !lines.keys().any(is_warm) && (lines.is_empty() || warm > 0.0) {
            lines = listed;
        }
        let full = full.max(zone.tables[group].full);
        let rest: f64 = lines.iter().filter(|(id, _)| is_warm(id)).map(|(_, w)| w).sum();
        // Cold hosts wait while losses are common: proxies then avoid most other lines by their own
        // count of failures, and whatever the weights say, all of it would fall on the newcomer. Warm hosts
        // count by listed weight here: in a long strain the tables keep little of it.
        let common = || self.usual_loss(zone) >= COMMON_LOSS;
        let waits = !cold.is_empty() && warm >= WARM_ENOUGH * full && common();
        for (id, base, warmth) in cold.into_iter().filter(|_| rest > 0.0) {
            // Few hosts left: what the others no longer carry must not push a cold host over.
            let budget = self.set.overload_factor * warmth * COLD_USE / ASSUMED_LOAD;
            let share = (budget * base / full).min(0.9);
            let most = share / (1.0 - share) * rest;
            match lines.get(&id).copied() {
                Some(_) if waits => drop(lines.remove(&id)),
                Some(weight) if weight > most => drop(lines.insert(id, most)),
                _ => {}
            }
        }
        (lines, full)
    }

    fn reconcile(&mut self, zones: &mut BTreeMap<ZoneId, Zone>, out: &mut Vec<Action>) {
        let pace = CHANNEL_PACE * self.set.lines_per_s;
        self.queued = (self.queued - pace * self.now.since(self.queued_at)).max(0.0);
        self.queued_at = self.now;
        for (name, zone) in zones.iter_mut() {
            for group in 0..self.groups.len() {
                self.update(name, zone, group, out);
            }
        }
        self.bind(zones, out);
        for (id, lines) in std::mem::take(&mut self.touched) {
            self.queued += lines + self.set.message_overhead;
            let Some(proxy) = self.proxies.get_mut(&id) else { continue };
            proxy.sent.push_back(self.now);
            proxy.sent.drain(..proxy.sent.len().saturating_sub(self.set.messages_max as usize));
        }
    }

    /// Whether `lines` more to a zone's proxies may go now.
    fn room(&self, (queue, messages): (f64, f64), lines: f64, zone: &ZoneId) -> bool {
        let most = messages * self.set.messages_max as f64;
        let recent = |at: &&Micros| self.now.since(**at) <= self.set.messages_over.secs();
        let free = |p: &Proxy| most == 0.0 || p.sent.iter().filter(recent).count() as f64 + 1.0 <= most;
        self.proxies.values().filter(|p| p.zone == *zone && p.bound).all(free)
            && self.queued + lines <= queue * self.set.queue_max
    }

    /// Sends a table's differences, if the most urgent of them may go now.
    fn update(&mut self, name: &ZoneId, zone: &mut Zone, group: usize, out: &mut Vec<Action>) {
        let (plan, full) = self.plan(name, zone, group);
        let table = &mut zone.tables[group];
        table.full = full;
        let mut urgency = ORDINARY;
        let mut changes: Vec<(HostId, f64)> = Vec::new();
        for (id, weight) in &plan {
            let ordered = table.lines.get(id).copied().unwrap_or(0.0);
            if (weight / ordered - 1.0).abs() > 0.02 {
                // A cold host must lose its old share at once: its budget runs from its start.
                if ordered > *weight && self.age(&self.fleet[id]) < 1.0 {
                    urgency = HEALTH;
                }
                changes.push((id.clone(), *weight));
            }
        }
        for id in table.lines.keys().filter(|id| !plan.contains_key(id)) {
            let why = if self.fleet[id].ready() { HEALTH } else { DRAIN };
            urgency = if why > urgency { why } else { urgency };
            changes.push((id.clone(), 0.0));
        }
        let own = (0..self.set.classes.len()).filter(|at| self.groups[group].mask >> at & 1 == 1);
        let mut levels: Vec<(ClassId, (f64, Retry))> =
            own.map(|at| (ClassId(at), self.level(name, at))).collect();
        levels.retain(|(class, level)| table.levels.get(class) != Some(level));
        let users: Vec<ProxyId> =
            self.proxies.iter().filter(|(_, p)| p.bound && p.zone == *name).map(|(id, _)| *id).collect();
        let count = (changes.len() + levels.len()) as f64;
        let lines = users.len() as f64 * (count + self.set.message_overhead);
        if count == 0.0 || (lines > 0.0 && !self.room(urgency, lines, name)) {
            return;
        }
        for (id, weight) in changes {
            out.push(Action::SetLine(table.id, id.clone(), weight));
            match weight > 0.0 {
                true => table.lines.insert(id, weight),
                false => table.lines.remove(&id),
            };
        }
        for (class, level) in levels {
            out.push(Action::Admit(Some(table.id), ClassMask(1 << class.0), level.0, level.1));
            table.levels.insert(class, level);
        }
        users.iter().for_each(|id| *self.touched.entry(*id).or_default() += count);
    }

    /// Binds proxies that have joined, once, as soon as the channel has room.
    fn bind(&mut self, zones: &BTreeMap<ZoneId, Zone>, out: &mut Vec<Action>) {
        let mut pending: f64 = self.touched.values().map(|lines| lines + self.set.message_overhead).sum();
        let waiting = self.proxies.iter().filter(|(_, p)| !p.bound);
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            let name = self.proxies[&id].zone.clone();
            let filled = || zones[&name].tables.iter().enumerate().filter(|(_, t)| !t.lines.is_empty());
            let lines: usize = filled().map(|(_, t)| 1 + t.lines.len() + t.levels.len()).sum();
            let cost = lines as f64 + self.set.message_overhead;
            if lines == 0 || !self.room(BIND, pending + cost, &name) {
                continue;
            }
            pending += cost;
            for (group, table) in filled() {
                let mask = if self.groups.len() == 1 { 0 } else { self.groups[group].mask };
                out.push(Action::Bind(id, table.id, ClassMask(mask)));
            }
            *self.touched.entry(id).or_default() += lines as f64;
            self.proxies.entry(id).and_modify(|p| p.bound = true);
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
