//! Plays a scenario: one queue of events in virtual time. The decision module is the real one; all else stands in.

use crate::host::{Host, Mood, Says};
use crate::proxy::{Lines, Met, Proxy, Rule};
use crate::rules::{part, Margins};
use crate::scenario::{Fault, Scenario, Struck, Trouble};
use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use wingfold_archive::{direct, Disk, Folder};
use wingfold_capture::mirror::Mirror;
use wingfold_capture::{Head, Limits, Queue, Tap};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A try is given up after this part of its class's deadline; a connection that never comes up, after this time.
const TRY: f64 = 0.7;
const CONNECT: Micros = Micros(500_000);
/// A proxy shuns a host that failed it in a row for so long.
const SHUN: Micros = Micros(5_000_000);
/// Lines of the log that are kept.
const LOG: usize = 20_000;
/// Windows that the worst ten seconds are found in.
pub const WINDOW_S: f64 = 5.0;

/// What became of the requests of a class in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Asked for.
    pub asked: u64,
    /// Turned away by levels.
    pub refused: u64,
    /// Answered within the aim.
    pub good: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered.
    pub lost: u64,
}

impl Served {
    /// Adds another's counts.
    pub fn add(&mut self, other: &Served) {
        self.asked += other.asked;
        self.refused += other.refused;
        self.good += other.good;
        self.late += other.late;
        self.lost += other.lost;
    }
}

/// A run's results.
#[derive(Clone, Debug)]
pub struct Played {
    /// By zone, then class.
    pub served: Vec<Vec<Served>>,
    /// Worth asked for and answered in time, by window.
    pub windows: Vec<(f64, f64)>,
    /// Time of good answers in microseconds, by class.
    pub times: Vec<Histogram<u64>>,
    /// How near each rule came to its limit.
    pub margins: Margins,
    /// Second tries.
    pub retries: u64,
    /// Requests that crossed zones.
    pub crossed: u64,
    /// Messages and lines that directors sent.
    pub messages: u64,
    /// Lines in them.
    pub lines: u64,
    /// Time, director and text of the module's log.
    pub log: Vec<(Micros, usize, String)>,
    /// One number for all tables of each director at the end.
    pub digests: Vec<u64>,
}

impl Played {
    /// Worth answered in time, of the worth asked for.
    pub fn service(&self) -> f64 {
        let (asked, good) = self.windows.iter().fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        good / f64::max(asked, 1e-9)
    }

    /// The same in the worst ten seconds.
    pub fn worst(&self) -> f64 {
        let two = self.windows.windows(2).map(|two| (two[0].0 + two[1].0, two[0].1 + two[1].1));
        two.filter(|two| two.0 > 0.0).map(|two| two.1 / two.0).fold(1.0, f64::min)
    }

    /// One class over all zones.
    pub fn class(&self, class: usize) -> Served {
        let mut all = Served::default();
        self.served.iter().for_each(|zone| all.add(&zone[class]));
        all
    }
}

enum Happens {
    Arrive(usize, u32),
    /// An attempt reaches its host.
    Reach(u64, usize),
    /// A core has done with an attempt, in that life of the host.
    Done(usize, u64, u32),
    Answer(u64, End),
    Report,
    Deliver(usize, u32, Vec<Event>),
    Timer(usize, u32, u64),
    Orders(usize, u32, Vec<Rule>),
    Join(usize),
    Leave(usize, u32),
    Look,
    Chatter(usize),
    Fault(usize, bool),
    /// A part of a fault's hosts: what becomes of them.
    Stage(Vec<usize>, Stage),
    List(usize, u32),
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Good,
    /// Surely never ran.
    Refused,
    Failed,
    TimedOut,
}

#[derive(Clone, Copy)]
enum Stage {
    Drain,
    Stop,
    Start,
}

struct Due(Micros, u64, Happens);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Request {
    proxy: usize,
    class: usize,
    arrived: Micros,
    work_ms: f64,
    tries: u32,
    ran: u32,
    host: usize,
    sent: Micros,
}

struct Controller {
    module: Option<Director>,
    tap: Option<Tap<Box<dyn Queue>>>,
    life: u32,
    started: Micros,
    stalled: bool,
    waiting: Vec<Event>,
    mirror: Mirror,
    snapshots: BTreeMap<TableId, Lines>,
    users: BTreeMap<TableId, BTreeSet<usize>>,
    /// When the channel will have sent all that waits, and when each proxy's last message arrives.
    free: Micros,
    arrives: BTreeMap<usize, Micros>,
    /// Hosts that it was told drain or are gone.
    told: BTreeMap<HostId, Micros>,
    zone: usize,
}

struct World<'a> {
    plan: &'a Scenario,
    seed: u64,
    captures: Option<&'a Path>,
    onlooker: &'a mut dyn Onlooker,
    now: Micros,
    due: BinaryHeap<Reverse<Due>>,
    number: u64,
    arrivals: ChaCha8Rng,
    chance: ChaCha8Rng,
    hosts: Vec<Host>,
    names: BTreeMap<HostId, usize>,
    busy: Vec<Option<f64>>,
    reported: Micros,
    proxies: Vec<Proxy>,
    directors: Vec<Controller>,
    requests: BTreeMap<u64, Request>,
    struck: Vec<Vec<usize>>,
    cut: BTreeSet<usize>,
    burst: f64,
    /// Traffic by zone, and zones whose collector is dead.
    traffic: Vec<f64>,
    mute: BTreeSet<usize>,
    late: Micros,
    silent_list: bool,
    first: Vec<Entry>,
    works: Vec<f64>,
    actions: Vec<Action>,
    played: Played,
}

/// Looks on at every call of every director.
pub trait Onlooker {
    /// A director was told this and has answered.
    fn called(
        &mut self,
        director: usize,
        now: Micros,
        events: &[Event],
        actions: &[Action],
        module: &Director,
    );
}

impl Onlooker for () {
    fn called(&mut self, _: usize, _: Micros, _: &[Event], _: &[Action], _: &Director) {}
}

/// Plays a scenario with a seed; where a folder is named, each director's calls are captured below it.
pub fn play(plan: &Scenario, seed: u64, captures: Option<&Path>) -> io::Result<Played> {
    play_before(plan, seed, captures, &mut ())
}

/// The same before an onlooker.
pub fn play_before(
    plan: &Scenario,
    seed: u64,
    captures: Option<&Path>,
    onlooker: &mut dyn Onlooker,
) -> io::Result<Played> {
    let mut world = World::new(plan, seed, captures, onlooker);
    world.begin()?;
    while let Some(Reverse(Due(at, _, what))) = world.due.pop() {
        if at > plan.length {
            break;
        }
        world.now = at;
        world.happen(what)?;
    }
    for director in &mut world.directors {
        if let Some(tap) = &mut director.tap {
            tap.queue().end()?;
        }
    }
    world.played.digests =
        world.directors.iter().map(|d| d.module.as_ref().map_or(0, Director::digest)).collect();
    Ok(world.played)
}

impl<'a> World<'a> {
    fn new(
        plan: &'a Scenario,
        seed: u64,
        captures: Option<&'a Path>,
        onlooker: &'a mut dyn Onlooker,
    ) -> Self {
        let stream = |number: u64| {
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            chance.set_stream(number);
            chance
        };
        let mut draw = stream(1);
        let zones = plan.settings.zones.len();
        let mut hosts = Vec::new();
        for kind in &plan.kinds {
            for at in 0..kind.count {
                let speed = draw.random_range(kind.speed.0..=kind.speed.1);
                let id = HostId(Arc::from(format!("{}-{at}", kind.name).as_str()));
                hosts.push(Host::new(id, &kind.name, (hosts.len()) % zones, kind.cores, speed));
            }
        }
        let works =
            plan.loads.iter().map(|load| draw.random_range(load.work_ms.0..=load.work_ms.1)).collect();
        let classes = plan.loads.len();
        let count = plan.settings.proxies as usize;
        let sizes: Vec<f64> =
            (0..count).map(|_| 10f64.powf(plan.unequal * (draw.random::<f64>() - 0.5))).collect();
        let all: f64 = sizes.iter().sum();
        let mut proxies = Vec::new();
        for (at, size) in sizes.iter().enumerate() {
            let zone = at % zones;
            let mut near: Vec<usize> = (0..hosts.len()).filter(|host| hosts[*host].zone == zone).collect();
            near.shuffle(&mut draw);
            let lines = near.into_iter().take(8).map(|host| (host, 1.0)).collect();
            proxies.push(Proxy::new(zone, plan.rate * size / all, Arc::new(lines), classes));
        }
        let struck = plan.faults.iter().map(|fault| strike(fault, &hosts, plan, &mut draw)).collect();
        let names = hosts.iter().enumerate().map(|(at, host)| (host.id.clone(), at)).collect();
        let windows = (plan.length.secs() / WINDOW_S).ceil() as usize;
        let times = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are sound");
        World {
            busy: vec![None; hosts.len()],
            first: hosts.iter().map(|host| entry(host, plan)).collect(),
            plan,
            seed,
            captures,
            onlooker,
            now: Micros(0),
            due: BinaryHeap::new(),
            number: 0,
            arrivals: stream(2),
            chance: stream(3),
            hosts,
            names,
            reported: Micros(0),
            proxies,
            directors: Vec::new(),
            requests: BTreeMap::new(),
            struck,
            cut: BTreeSet::new(),
            burst: 1.0,
            traffic: vec![1.0; zones],
            mute: BTreeSet::new(),
            late: Micros(0),
            silent_list: false,
            works,
            actions: Vec::new(),
            played: Played {
                served: vec![vec![Served::default(); classes]; zones],
                windows: vec![(0.0, 0.0); windows.max(1)],
                times: (0..classes).map(|_| times()).collect(),
                margins: Margins::default(),
                retries: 0,
                crossed: 0,
                messages: 0,
                lines: 0,
                log: Vec::new(),
                digests: Vec::new(),
            },
        }
    }

    fn at(&mut self, at: Micros, what: Happens) {
        self.number += 1;
        self.due.push(Reverse(Due(at, self.number, what)));
    }

    fn after(&mut self, time: Micros, what: Happens) {
        self.at(Micros(self.now.0 + time.0), what);
    }

    fn between(&mut self, least: Micros, most: Micros) -> Micros {
        Micros(if most > least { self.chance.random_range(least.0..=most.0) } else { least.0 })
    }

    fn begin(&mut self) -> io::Result<()> {
        for at in 0..self.plan.settings.directors as usize {
            let zone = at % self.plan.settings.zones.len();
            self.directors.push(Controller {
                module: None,
                tap: None,
                life: 0,
                started: Micros(0),
                stalled: false,
                waiting: Vec::new(),
                mirror: Mirror::default(),
                snapshots: BTreeMap::new(),
                users: BTreeMap::new(),
                free: Micros(0),
                arrives: BTreeMap::new(),
                told: BTreeMap::new(),
                zone,
            });
            self.start_director(at)?;
            if self.plan.peers.0 > 0.0 && self.plan.settings.directors > 1 {
                self.at(Micros(1000 + at as u64), Happens::Chatter(at));
            }
        }
        for proxy in 0..self.proxies.len() {
            let join = self.between(Micros(20_000), Micros(500_000));
            self.at(join, Happens::Join(proxy));
            self.next_arrival(proxy);
        }
        for (at, fault) in self.plan.faults.iter().enumerate() {
            self.at(fault.at.0, Happens::Fault(at, true));
            self.at(fault.at.1, Happens::Fault(at, false));
        }
        self.at(self.plan.settings.report_period, Happens::Report);
        self.at(Micros(250_000), Happens::Look);
        Ok(())
    }

    fn start_director(&mut self, at: usize) -> io::Result<()> {
        let settings = Settings { me: at as u32, ..self.plan.settings.clone() };
        let life = self.directors[at].life + 1;
        let seed = self.seed ^ (at as u64) << 32 ^ u64::from(life) << 48;
        let tap = match self.captures {
            None => None,
            Some(root) => {
                let name = format!("director-{at}");
                let head = Head {
                    build: format!("wingfold {}", env!("CARGO_PKG_VERSION")),
                    name: name.clone(),
                    run: self.now,
                    segment: 0,
                    seed,
                    settings: settings.clone(),
                    classes: self.plan.loads.iter().map(|load| load.name.clone()).collect(),
                };
                let mut folder = Folder::new(root, &name);
                folder.open()?;
                let queue: Box<dyn Queue> = Box::new(direct(folder, head, Limits::default())?);
                Some(Tap::new(queue))
            }
        };
        let director = &mut self.directors[at];
        director.module = Some(Director::new(settings, seed));
        (director.tap, director.life, director.started) = (tap, life, self.now);
        (director.mirror, director.free) = (Mirror::default(), self.now);
        director.snapshots.clear();
        director.users.clear();
        director.told.clear();
        director.waiting.clear();
        director.arrives.clear();
        let known = Event::List(ListKind::Remembered, self.first.clone());
        self.tell(at, vec![known])
    }

    fn next_arrival(&mut self, proxy: usize) {
        let zone = self.proxies[proxy].zone;
        let rate = (self.proxies[proxy].rate * self.burst * self.traffic[zone]).max(1e-6);
        let wait = Exp::new(rate).expect("the rate is above 0").sample(&mut self.arrivals);
        let asks = self.proxies[proxy].asks;
        self.after(Micros::from_secs(wait), Happens::Arrive(proxy, asks));
    }

    fn happen(&mut self, what: Happens) -> io::Result<()> {
        match what {
            Happens::Arrive(proxy, asks) => {
                if self.proxies[proxy].asks == asks {
                    self.arrive(proxy);
                }
            }
            Happens::Reach(attempt, host) => self.reach(attempt, host),
            Happens::Done(host, attempt, life) => self.done(host, attempt, life),
            Happens::Answer(attempt, end) => self.answer(attempt, end),
            Happens::Report => self.report(),
            Happens::Deliver(at, life, events) => {
                if self.directors[at].life == life {
                    self.tell(at, events)?;
                }
            }
            Happens::Timer(at, life, token) => {
                if self.directors[at].life == life {
                    self.tell(at, vec![Event::Timer(token)])?;
                }
            }
            Happens::Orders(proxy, stream, rules) => {
                if self.proxies[proxy].stream == stream {
                    self.proxies[proxy].rules = rules;
                }
            }
            Happens::Join(proxy) => self.join(proxy),
            Happens::Leave(proxy, stream) => {
                if self.proxies[proxy].stream == stream {
                    self.leave(proxy);
                }
            }
            Happens::Look => {
                self.look();
                self.after(Micros(250_000), Happens::Look);
            }
            Happens::Chatter(at) => self.chatter(at),
            Happens::Fault(at, begins) => self.fault(at, begins)?,
            Happens::Stage(hosts, stage) => hosts.into_iter().for_each(|host| self.stage(host, stage)),
            Happens::List(at, life) => {
                if self.directors[at].life == life {
                    let event = match self.silent_list {
                        true => Event::ListFailed,
                        false => Event::List(
                            ListKind::Whole,
                            self.hosts.iter().map(|host| entry(host, self.plan)).collect(),
                        ),
                    };
                    self.tell(at, vec![event])?;
                }
            }
        }
        Ok(())
    }

    // ---- requests ----

    fn window(&mut self, arrived: Micros) -> &mut (f64, f64) {
        let at = ((arrived.secs() / WINDOW_S) as usize).min(self.played.windows.len() - 1);
        &mut self.played.windows[at]
    }

    fn arrive(&mut self, proxy: usize) {
        self.next_arrival(proxy);
        let all: f64 = self.plan.loads.iter().map(|load| load.share).sum();
        let mut left = self.arrivals.random::<f64>() * all;
        let class = self.plan.loads.iter().position(|load| {
            left -= load.share;
            left <= 0.0
        });
        let class = class.unwrap_or(self.plan.loads.len() - 1);
        let spread = LogNormal::new(-0.045, 0.3).expect("this spread is sound");
        let work_ms = self.works[class] * spread.sample(&mut self.arrivals);
        let (now, zone) = (self.now, self.proxies[proxy].zone);
        self.played.served[zone][class].asked += 1;
        self.window(now).0 += self.plan.loads[class].class.worth;
        self.proxies[proxy].usage[class].0 += 1;
        let rates = self.plan.settings.admission == Admission::Rate;
        let obeys = self.plan.settings.admission != Admission::Ignored;
        if obeys && !self.proxies[proxy].admits(now, class, rates, &mut self.chance) {
            self.played.served[zone][class].refused += 1;
            return;
        }
        self.number += 1;
        let id = self.number * 4;
        let request =
            Request { proxy, class, arrived: now, work_ms, tries: 0, ran: 0, host: usize::MAX, sent: now };
        self.requests.insert(id, request);
        self.send(id);
    }

    /// Sends a request's next attempt.
    fn send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (proxy, class, not) = (request.proxy, request.class, request.host);
        let not = (not != usize::MAX).then_some(not);
        let Some(host) = self.proxies[proxy].pick(self.now, class, not, &mut self.chance) else {
            self.settle(id, false);
            return;
        };
        (request.host, request.sent) = (host, self.now);
        request.tries += 1;
        let attempt = id + u64::from(request.tries.min(3));
        let (from, to) = (self.proxies[proxy].zone, self.hosts[host].zone);
        self.played.crossed += u64::from(from != to);
        self.check_drain(proxy, host);
        let give_up = Micros::from_secs(self.plan.loads[class].class.deadline.secs() * TRY);
        self.after(give_up, Happens::Answer(attempt, End::TimedOut));
        if self.parted(from, to) {
            self.after(CONNECT, Happens::Answer(attempt, End::Refused));
        } else {
            let way = self.way(from, to);
            self.after(way, Happens::Reach(attempt, host));
        }
    }

    fn way(&mut self, from: usize, to: usize) -> Micros {
        let usual = if from == to { self.plan.near } else { self.plan.far };
        self.between(usual, Micros(usual.0 * 3 / 2))
    }

    fn parted(&self, from: usize, to: usize) -> bool {
        from != to && (self.cut.contains(&from) || self.cut.contains(&to))
    }

    fn warmth(&self, host: usize) -> f64 {
        self.hosts[host].warmth(self.now, self.plan.settings.cold, self.plan.settings.start_capacity)
    }

    fn reach(&mut self, attempt: u64, host: usize) {
        let warmth = self.warmth(host);
        let Some(request) = self.requests.get_mut(&(attempt & !3)) else { return };
        let (now, work, set) = (self.now, request.work_ms, &self.plan.settings);
        if warmth < 1.0 && self.hosts[host].mood == Mood::Up {
            let stands = self.hosts[host].bring(now, work, warmth, set.overload_factor, set.overload_for);
            self.played.margins.cold = self.played.margins.cold.max(stands);
            if stands > 1.0 {
                // It falls over and stays down.
                self.hosts[host].stop(now, Mood::Dead);
                self.hosts[host].listed = Readiness::Gone;
                self.announce(host);
            }
        }
        match self.hosts[host].take(now, attempt, work, warmth) {
            Says::Begun(done) => self.run(attempt, host, done),
            Says::Waits | Says::Nothing => {}
            Says::Refused => {
                let back = self.way(0, 0);
                self.after(back, Happens::Answer(attempt, End::Refused));
            }
        }
    }

    fn run(&mut self, attempt: u64, host: usize, done: Micros) {
        if let Some(request) = self.requests.get_mut(&(attempt & !3)) {
            request.ran += 1;
            let once = self.plan.loads[request.class].class.effect == Effect::AtMostOnce;
            self.played.margins.twice += u64::from(once && request.ran > 1);
        }
        let life = self.hosts[host].life;
        self.at(done, Happens::Done(host, attempt, life));
    }

    fn done(&mut self, host: usize, attempt: u64, life: u32) {
        if self.hosts[host].life != life {
            return;
        }
        let warmth = self.warmth(host);
        if let Some((next, done)) = self.hosts[host].next(self.now, warmth) {
            self.run(next, host, done);
        }
        let Some(request) = self.requests.get(&(attempt & !3)) else { return };
        let (from, to) = (self.proxies[request.proxy].zone, self.hosts[host].zone);
        if self.parted(from, to) {
            return;
        }
        let error = self.hosts[host].errors > 0.0 && self.chance.random::<f64>() < self.hosts[host].errors;
        let back = self.way(from, to);
        self.after(back, Happens::Answer(attempt, if error { End::Failed } else { End::Good }));
    }

    fn answer(&mut self, attempt: u64, end: End) {
        let id = attempt & !3;
        let Some(request) = self.requests.get(&id) else { return };
        // An answer to an attempt that was given up on, or a time-out of one that was answered.
        if u64::from(request.tries.min(3)) != attempt & 3 {
            return;
        }
        let (proxy, class, host, tries) = (request.proxy, request.class, request.host, request.tries);
        let took = self.now.since(request.sent) * 1e3;
        let good = (end == End::Good).then_some(took);
        self.proxies[proxy].count(self.now, host, good, self.plan.settings.ejects, SHUN);
        if end == End::Good {
            self.settle(id, true);
            return;
        }
        let again = match self.proxies[proxy].rules[class].retry {
            Retry::Never => false,
            Retry::OnProof => end == End::Refused && tries < 2,
            Retry::Once => tries < 2,
            Retry::Twice => tries < 3,
        };
        if again {
            self.played.retries += 1;
            self.send(id);
        } else {
            self.settle(id, false);
        }
    }

    fn settle(&mut self, id: u64, good: bool) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.plan.loads[request.class].class;
        let (took, aim, worth) = (self.now.since(request.arrived), class.aim.secs(), class.worth);
        let zone = self.proxies[request.proxy].zone;
        let in_time = good && took <= aim;
        if in_time {
            self.window(request.arrived).1 += worth;
        }
        if good {
            self.played.times[request.class].saturating_record((took * 1e6) as u64);
        } else {
            self.proxies[request.proxy].usage[request.class].1 += 1;
        }
        let served = &mut self.played.served[zone][request.class];
        match (in_time, good) {
            (true, _) => served.good += 1,
            (_, true) => served.late += 1,
            _ => served.lost += 1,
        }
    }

    // ---- what directors hear ----

    fn report(&mut self) {
        let period = self.plan.settings.report_period;
        self.after(period, Happens::Report);
        let since = std::mem::replace(&mut self.reported, self.now);
        for (host, busy) in self.hosts.iter_mut().zip(&mut self.busy) {
            if host.mood == Mood::Up {
                *busy = Some(host.report(self.now, since));
            }
        }
        for director in 0..self.directors.len() {
            for zone in 0..self.plan.settings.zones.len() {
                let mut events = self.sums(director, zone, period);
                if self.mute.contains(&zone) {
                    events.retain(|event| !matches!(event, Event::Heard(..)));
                }
                if events.is_empty() || self.parted(zone, self.directors[director].zone) {
                    continue;
                }
                // Reports travel one by one: some overtake others.
                let (mut usual, mut later) = (Vec::new(), Vec::new());
                for event in events {
                    let late = self.chance.random::<f64>() < self.plan.disorder;
                    if late {
                        later.push(event)
                    } else {
                        usual.push(event)
                    }
                }
                later.shuffle(&mut self.chance);
                let life = self.directors[director].life;
                let base = Micros(self.plan.late.0 + self.late.0);
                let first = self.between(base, Micros(base.0 + self.plan.late.0));
                let second = self.between(first, Micros(first.0 + period.0 * 3 / 2));
                self.after(first, Happens::Deliver(director, life, usual));
                if !later.is_empty() {
                    self.after(second, Happens::Deliver(director, life, later));
                }
            }
        }
    }

    fn sums(&mut self, director: usize, zone: usize, over: Micros) -> Vec<Event> {
        let name = self.plan.settings.zones[zone].clone();
        let (mut met, mut events): (BTreeMap<usize, Met>, _) = (BTreeMap::new(), Vec::new());
        let told = self.plan.settings.load_reports != LoadReports::Never;
        for (at, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.zone != zone || proxy.director != Some(director) {
                continue;
            }
            for (host, one) in std::mem::take(&mut proxy.met) {
                let all = met.entry(host).or_default();
                all.tries += one.tries;
                all.lost += one.lost;
                all.ms += one.ms;
            }
            for (class, usage) in proxy.usage.iter_mut().enumerate() {
                let (total, lost) = std::mem::take(usage);
                if total > 0 {
                    let sums = Sums { total, lost, over };
                    events.push(Event::Usage(ProxyId(at as u32), ClassId(class), sums));
                }
            }
        }
        events.extend(met.into_iter().map(|(host, met)| {
            let sums = Sums { total: met.tries, lost: met.lost, over };
            let mean = met.ms / (met.tries - met.lost).max(1) as f64;
            let load = Load { busy: self.busy[host].filter(|_| told), ..Load::default() };
            Event::Heard(name.clone(), self.hosts[host].id.clone(), sums, Micros((mean * 1e3) as u64), load)
        }));
        events
    }

    fn announce(&mut self, host: usize) {
        if self.silent_list {
            return;
        }
        let told = entry(&self.hosts[host], self.plan);
        self.spread(told);
    }

    /// Tells every director a change of the list, each in its own time.
    fn spread(&mut self, told: Entry) {
        for director in 0..self.directors.len() {
            let lag = self.between(self.plan.lag, Micros(self.plan.lag.0 * 2));
            let life = self.directors[director].life;
            let events = vec![Event::List(ListKind::Changes, vec![told.clone()])];
            self.after(lag, Happens::Deliver(director, life, events));
        }
    }

    fn chatter(&mut self, from: usize) {
        let wait = Exp::new(self.plan.peers.0).expect("the rate is above 0").sample(&mut self.chance);
        self.after(Micros::from_secs(wait.max(1e-3)), Happens::Chatter(from));
        let length = self.chance.random_range(1..=32);
        let word: Vec<u8> = (0..length).map(|_| self.chance.random()).collect();
        self.word(from, None, word);
    }

    fn word(&mut self, from: usize, to: Option<u32>, word: Vec<u8>) {
        for at in (0..self.directors.len()).filter(|at| *at != from) {
            let (one, other) = (self.directors[from].zone, self.directors[at].zone);
            let lost = self.chance.random::<f64>() < self.plan.peers.1;
            if to.is_some_and(|to| to as usize != at) || lost || self.parted(one, other) {
                continue;
            }
            let (way, life) = (self.way(one, other), self.directors[at].life);
            self.after(way, Happens::Deliver(at, life, vec![Event::Peer(from as u32, word.clone())]));
        }
    }

    // ---- what directors order ----

    fn tell(&mut self, at: usize, events: Vec<Event>) -> io::Result<()> {
        let (now, advice) = (self.now, self.plan.settings.gone_is_advice);
        let director = &mut self.directors[at];
        if director.stalled {
            director.waiting.extend(events);
            return Ok(());
        }
        let Some(module) = &mut director.module else { return Ok(()) };
        for event in &events {
            let Event::List(kind, entries) = event else { continue };
            for entry in entries.iter().filter(|_| *kind != ListKind::Remembered) {
                match entry.readiness {
                    Readiness::Ready => drop(director.told.remove(&entry.host)),
                    Readiness::Gone if advice => {}
                    _ => drop(director.told.entry(entry.host.clone()).or_insert(now)),
                }
            }
        }
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        if let Some(tap) = &mut director.tap {
            tap.before(now, module);
        }
        module.handle(now, &events, &mut actions);
        if let Some(tap) = &mut director.tap {
            tap.after(now, &events, &actions, module.digest());
        }
        self.onlooker.called(at, now, &events, &actions, module);
        self.carry_out(at, &actions);
        self.actions = actions;
        Ok(())
    }

    fn carry_out(&mut self, at: usize, actions: &[Action]) {
        let joined: Vec<usize> =
            (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].director == Some(at)).collect();
        let director = &mut self.directors[at];
        let changed = director.mirror.apply(actions);
        let mut cost: BTreeMap<usize, usize> = BTreeMap::new();
        let (mut words, mut later) = (Vec::new(), Vec::new());
        for action in actions {
            let users = |table: &TableId| director.users.get(table).into_iter().flatten().copied();
            match action {
                Action::SetLine(table, ..) | Action::ClearTable(table) | Action::Admit(Some(table), ..) => {
                    users(table).for_each(|proxy| *cost.entry(proxy).or_default() += 1);
                }
                Action::Bind(proxy, table, _) => {
                    let proxy = proxy.0 as usize;
                    let lines =
                        director.mirror.tables.get(table).map_or(0, |t| t.lines.len() + t.levels.len());
                    *cost.entry(proxy).or_default() += 1 + lines;
                    let mine = director.mirror.bound.iter().filter(|((of, _), _)| of.0 as usize == proxy);
                    let mine: Vec<TableId> = mine.map(|(_, table)| *table).collect();
                    director.users.values_mut().for_each(|users| users.retain(|user| *user != proxy));
                    for table in mine {
                        director.users.entry(table).or_default().insert(proxy);
                    }
                }
                Action::Admit(None, ..) | Action::Withdraw(..) | Action::Mark(true, _) => {
                    joined.iter().for_each(|proxy| *cost.entry(*proxy).or_default() += 1);
                }
                Action::Watch(true) | Action::FetchList => later.push((Micros(self.now.0 + 30_000), None)),
                Action::Timer(when, token) => later.push((*when, Some(*token))),
                Action::Tell(to, word) => words.push((*to, word.clone())),
                Action::Log(text) if self.played.log.len() < LOG => {
                    self.played.log.push((self.now, at, text.clone()));
                }
                _ => {}
            }
        }
        for table in changed {
            let lines = director.mirror.tables.get(&table).map(|table| &table.lines);
            let lines = lines
                .into_iter()
                .flatten()
                .filter(|(host, _)| !director.mirror.withdrawn.get(*host).is_some_and(|out| *out));
            let lines: Vec<(usize, f64)> =
                lines.filter_map(|(host, weight)| Some((*self.names.get(host)?, *weight))).collect();
            director.snapshots.insert(table, Arc::new(lines));
        }
        let life = director.life;
        for (when, token) in later {
            match token {
                Some(token) => self.at(when, Happens::Timer(at, life, token)),
                None => self.at(when, Happens::List(at, life)),
            }
        }
        cost.retain(|proxy, _| self.proxies[*proxy].director == Some(at));
        let marks = actions.iter().filter_map(|action| match action {
            Action::Mark(_, number) => Some(*number),
            _ => None,
        });
        let marks: Vec<u64> = marks.collect();
        for (proxy, lines) in cost {
            let arrives = self.message(at, proxy, lines + marks.len());
            let took = Micros(arrives.0 - self.now.0);
            let answers = marks.iter().map(|mark| Event::Applied(ProxyId(proxy as u32), *mark, took));
            let answers: Vec<Event> = answers.collect();
            if !answers.is_empty() {
                self.at(Micros(arrives.0 + 2_000), Happens::Deliver(at, life, answers));
            }
        }
        words.into_iter().for_each(|(to, word)| self.word(at, to, word));
    }

    /// Sends a proxy all that it goes by now, as one message of so many lines; gives when that arrives.
    fn message(&mut self, at: usize, proxy: usize, lines: usize) -> Micros {
        let set = &self.plan.settings;
        let mean = set.push_delay.secs().max(1e-6);
        let delay = Exp::new(1.0 / mean).expect("the mean is above 0").sample(&mut self.chance);
        let director = &mut self.directors[at];
        let cost = lines as f64 + set.message_overhead;
        director.free = Micros(director.free.max(self.now).0 + (cost / set.lines_per_s * 1e6) as u64);
        let waiting = director.free.since(self.now) * set.lines_per_s;
        self.played.margins.queue = self.played.margins.queue.max(waiting / set.queue_max);
        self.played.messages += 1;
        self.played.lines += lines as u64;
        let delay = Micros::from_secs(delay.min(set.push_delay_max.secs()));
        let last = director.arrives.entry(proxy).or_default();
        *last = Micros(director.free.0 + delay.0).max(*last);
        let arrives = *last;
        let id = ProxyId(proxy as u32);
        let known = &self.proxies[proxy];
        let rule = |class: usize| {
            let mut bound = director.mirror.bound.range((id, 0)..=(id, u64::MAX));
            let table =
                bound.find(|((_, mask), _)| *mask == 0 || mask >> class & 1 == 1).map(|(_, table)| table);
            let Some(table) = table else { return known.rules[class].clone() };
            let levels = director.mirror.tables.get(table).map(|table| &table.levels);
            let level = levels.into_iter().flatten().find(|(mask, _)| **mask >> class & 1 == 1);
            let lines = director.snapshots.get(table).cloned().unwrap_or_default();
            Rule { lines, level: level.map_or(1.0, |level| *level.1), retry: known.rules[class].retry }
        };
        let rules = (0..self.plan.loads.len()).map(rule).collect();
        let stream = known.stream;
        self.at(arrives, Happens::Orders(proxy, stream, rules));
        arrives
    }

    // ---- streams ----

    fn join(&mut self, proxy: usize) {
        let zone = self.proxies[proxy].zone;
        let open = |at: &usize| {
            let director = &self.directors[*at];
            director.module.is_some() && !director.stalled && !self.parted(zone, director.zone)
        };
        let mut open: Vec<usize> = (0..self.directors.len()).filter(open).collect();
        if self.plan.settings.local_first {
            let near: Vec<usize> =
                open.iter().copied().filter(|at| self.directors[*at].zone == zone).collect();
            open = if near.is_empty() { open } else { near };
        }
        if open.is_empty() {
            let again = self.between(Micros(300_000), Micros(1_500_000));
            self.after(again, Happens::Join(proxy));
            return;
        }
        let at = open[self.chance.random_range(0..open.len())];
        let joined = &mut self.proxies[proxy];
        (joined.director, joined.joined_at) = (Some(at), self.now);
        joined.stream += 1;
        let event = Event::Joined(ProxyId(proxy as u32), self.plan.settings.zones[zone].clone(), joined.rate);
        let life = self.directors[at].life;
        self.after(Micros(3000), Happens::Deliver(at, life, vec![event]));
    }

    /// Its stream breaks: its director notices sooner or later, and it dials again.
    fn leave(&mut self, proxy: usize) {
        let Some(at) = self.proxies[proxy].director.take() else { return };
        self.proxies[proxy].stream += 1;
        let id = ProxyId(proxy as u32);
        let director = &mut self.directors[at];
        director.users.values_mut().for_each(|users| users.retain(|user| *user != proxy));
        director.mirror.bound.retain(|(of, _), _| *of != id);
        director.arrives.remove(&proxy);
        let life = director.life;
        let noticed = self.between(Micros(10_000), Micros(200_000));
        let again = self.between(Micros(300_000), Micros(1_500_000));
        self.after(noticed, Happens::Deliver(at, life, vec![Event::Left(id)]));
        self.after(again, Happens::Join(proxy));
    }

    // ---- rules ----

    fn check_drain(&mut self, proxy: usize, host: usize) {
        let known = &self.proxies[proxy];
        let Some(director) = known.director.map(|at| &self.directors[at]) else { return };
        let Some(told) = director.told.get(&self.hosts[host].id) else { return };
        let since = (*told).max(known.joined_at).max(Micros(director.started.0 + 1_000_000));
        let late = part(self.now.since(since), self.plan.settings.drain_grace);
        self.played.margins.drain = self.played.margins.drain.max(late);
    }

    fn look(&mut self) {
        let set = &self.plan.settings;
        for proxy in &mut self.proxies {
            let director = proxy.director.map(|at| &self.directors[at]);
            for (class, load) in self.plan.loads.iter().enumerate() {
                let may = |host: &Host| {
                    let zone = &set.zones[host.zone];
                    (load.class.zones.is_empty() || load.class.zones.contains(zone))
                        && (load.class.kinds.is_empty() || load.class.kinds.contains(&host.kind))
                        && (!load.class.own_zone || host.zone == proxy.zone)
                };
                let shown = |host: &Host| {
                    let told = director.is_some_and(|director| director.told.contains_key(&host.id));
                    let warm = host.started.is_none_or(|at| self.now.since(at) > set.cold.secs());
                    host.mood == Mood::Up && host.listed == Readiness::Ready && !told && warm && may(host)
                };
                let has = proxy.rules[class].lines.iter().any(|(_, weight)| *weight > 0.0);
                let owed = director.is_some() && !has && self.hosts.iter().any(shown);
                let since = &mut proxy.bare[class];
                *since = owed.then(|| since.unwrap_or(self.now));
                let long = since.map_or(0.0, |since| self.now.since(since));
                self.played.margins.bare = self.played.margins.bare.max(part(long, set.bare));
            }
        }
    }

    // ---- troubles ----

    fn stage(&mut self, host: usize, stage: Stage) {
        match stage {
            Stage::Drain => self.hosts[host].listed = Readiness::Draining,
            Stage::Stop => {
                self.hosts[host].stop(self.now, Mood::Dead);
                self.hosts[host].listed = Readiness::Gone;
            }
            Stage::Start => self.hosts[host].start(self.now),
        }
        self.announce(host);
    }

    fn zone(&self, name: &str) -> usize {
        let zone = self.plan.settings.zones.iter().position(|known| *known.0 == *name);
        zone.expect("the scenario was checked")
    }

    fn fault(&mut self, number: usize, begins: bool) -> io::Result<()> {
        let (plan, hosts) = (self.plan, self.struck[number].clone());
        let fault = &plan.faults[number];
        let now = self.now;
        match &fault.trouble {
            Trouble::Crash | Trouble::Vanish | Trouble::Hang => {
                for host in hosts {
                    let mood = match fault.trouble {
                        Trouble::Crash => Mood::Dead,
                        Trouble::Vanish => Mood::Silent,
                        _ => Mood::Hung,
                    };
                    match begins {
                        false => self.stage(host, Stage::Start),
                        true => {
                            self.hosts[host].stop(now, mood);
                            // The list only sees that a process is gone; of a machine that vanished, much later.
                            if mood == Mood::Dead {
                                self.hosts[host].listed = Readiness::Gone;
                                self.announce(host);
                            }
                        }
                    }
                }
            }
            Trouble::Slow(times) => {
                hosts.iter().for_each(|h| self.hosts[*h].slower = if begins { *times } else { 1.0 })
            }
            Trouble::Neighbour(part) => {
                hosts.iter().for_each(|h| self.hosts[*h].taken = if begins { *part } else { 0.0 })
            }
            Trouble::Errors(part) => {
                hosts.iter().for_each(|h| self.hosts[*h].errors = if begins { *part } else { 0.0 })
            }
            Trouble::Drain(by) => match begins {
                true => {
                    let by = Micros(by.as_micros() as u64);
                    hosts.iter().for_each(|host| self.stage(*host, Stage::Drain));
                    self.after(by, Happens::Stage(hosts, Stage::Stop));
                }
                false => hosts.iter().for_each(|host| self.stage(*host, Stage::Start)),
            },
            Trouble::Deploy(at_a_time) if begins => {
                let batch = ((hosts.len() as f64 * at_a_time).ceil() as usize).max(1);
                let batches = hosts.len().div_ceil(batch).max(1) as u64;
                let each = fault.at.1 .0.saturating_sub(now.0) / batches;
                for (number, batch) in hosts.chunks(batch).enumerate() {
                    let begin = Micros(now.0 + each * number as u64);
                    for (part, stage) in [(0, Stage::Drain), (6, Stage::Stop), (9, Stage::Start)] {
                        let at = Micros(begin.0 + each * part / 10);
                        self.at(at, Happens::Stage(batch.to_vec(), stage));
                    }
                }
            }
            Trouble::Deploy(_) => {}
            Trouble::Cut(zone) => {
                let zone = self.zone(zone);
                if begins {
                    self.cut.insert(zone)
                } else {
                    self.cut.remove(&zone)
                };
                for proxy in 0..self.proxies.len() {
                    let Some(at) = self.proxies[proxy].director else { continue };
                    if self.parted(self.proxies[proxy].zone, self.directors[at].zone) {
                        // Nothing is said: it is noticed by silence.
                        let noticed = self.between(Micros(500_000), Micros(2_800_000));
                        let stream = self.proxies[proxy].stream;
                        self.after(noticed, Happens::Leave(proxy, stream));
                    }
                }
            }
            Trouble::CollectorDead(zone) => {
                let zone = self.zone(zone);
                if begins {
                    self.mute.insert(zone)
                } else {
                    self.mute.remove(&zone)
                };
            }
            Trouble::Traffic(zone, times) => {
                let zone = self.zone(zone);
                self.traffic[zone] = if begins { *times } else { 1.0 };
                // Those that wait for their next request at the old rate ask anew.
                for proxy in
                    (0..self.proxies.len()).filter(|at| self.proxies[*at].zone == zone).collect::<Vec<_>>()
                {
                    self.proxies[proxy].asks += 1;
                    self.next_arrival(proxy);
                }
            }
            Trouble::Burst(times) => self.burst = if begins { *times } else { 1.0 },
            Trouble::LateReports(by) => {
                self.late = if begins { Micros(by.as_micros() as u64) } else { Micros(0) };
            }
            Trouble::WrongList => {
                for host in hosts {
                    let mut told = entry(&self.hosts[host], plan);
                    if begins {
                        told.readiness = Readiness::Gone;
                    }
                    self.spread(told);
                }
            }
            Trouble::DiscoveryDown => {
                self.silent_list = begins;
                for at in 0..self.directors.len() {
                    let life = self.directors[at].life;
                    if begins {
                        self.after(Micros(5000), Happens::Deliver(at, life, vec![Event::ListFailed]));
                    }
                }
            }
            Trouble::DirectorDown(at) => {
                let at = *at;
                match begins {
                    true => {
                        if let Some(tap) = &mut self.directors[at].tap {
                            tap.queue().end()?;
                        }
                        (self.directors[at].module, self.directors[at].tap) = (None, None);
                        self.directors[at].life += 1;
                        for proxy in 0..self.proxies.len() {
                            if self.proxies[proxy].director == Some(at) {
                                self.leave(proxy);
                            }
                        }
                    }
                    false => self.start_director(at)?,
                }
            }
            Trouble::DirectorStall(at) => {
                self.directors[*at].stalled = begins;
                if !begins {
                    let events = std::mem::take(&mut self.directors[*at].waiting);
                    self.tell(*at, events)?;
                }
            }
            Trouble::StreamsBreak if begins => (0..self.proxies.len()).for_each(|proxy| self.leave(proxy)),
            Trouble::StreamsBreak => {}
        }
        Ok(())
    }
}

fn entry(host: &Host, plan: &Scenario) -> Entry {
    Entry {
        host: host.id.clone(),
        kind: host.kind.clone(),
        zone: plan.settings.zones[host.zone].clone(),
        readiness: host.listed,
        weight: host.cores as f64,
        started: host.started,
    }
}

/// The hosts that a fault strikes.
fn strike(fault: &Fault, hosts: &[Host], plan: &Scenario, draw: &mut ChaCha8Rng) -> Vec<usize> {
    let all = 0..hosts.len();
    match &fault.struck {
        Struck::Part(part) => {
            let mut drawn: Vec<usize> = all.collect();
            drawn.shuffle(draw);
            drawn.truncate(((hosts.len() as f64 * part).round() as usize).max(1));
            drawn
        }
        Struck::Named(names) => {
            all.filter(|at| names.iter().any(|name| **name == *hosts[*at].id.0)).collect()
        }
        Struck::Zone(zone) => all.filter(|at| *plan.settings.zones[hosts[*at].zone].0 == **zone).collect(),
        Struck::Kind(kind) => all.filter(|at| hosts[*at].kind == *kind).collect(),
    }
}

/// A time as scenarios write it.
pub fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}
