//! A small deployment around one director: discovery, hosts, collectors, proxies, and the channel that the
//! director's messages pass. It checks the rules as the pages state them. All addresses are on loopback.
#![allow(dead_code)]
use crate::json::{parse, Json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const STOP: i32 = 19;
pub const CONTINUE: i32 = 18;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const HUP: i32 = 1;
/// What the sockets page adds to the time limits.
pub const SLACK_S: f64 = 0.3;

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub goal_ms: u64,
    pub deadline_ms: u64,
    pub repeat: &'static str,
    pub gain: f64,
    pub home_only: bool,
    /// Requests a second at each proxy.
    pub per_s: f64,
}

#[derive(Clone)]
pub struct Setup {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub proxies: usize,
    /// How many zones the proxies of this director stand in.
    pub proxy_zones: usize,
    pub directors: u32,
    pub discovery: &'static str,
    pub admit: &'static str,
    pub lines_per_s: f64,
    pub overhead: f64,
    pub pending_max: f64,
    pub push_delay_s: f64,
    pub transit_max_s: f64,
    pub update_cap: usize,
    pub counted_over_s: f64,
    pub drain_grace_s: f64,
    pub bare_s: f64,
    pub cold_s: f64,
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub overload_for_s: f64,
    pub period_s: f64,
    pub ask_within_s: f64,
    pub standing: usize,
    pub conn_idle_s: f64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub mean_ms: f64,
    /// Seconds between the two pieces in which the network delivers the first message of a stream.
    pub piece_gap_s: f64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum HostStatus {
    Active,
    Leaving,
    Left,
}

#[derive(Clone)]
pub struct Host {
    pub zone: String,
    pub status: HostStatus,
    pub started_ms: u64,
    changed: u64,
    /// When the director was told that the host is not ready.
    pub told: Option<f64>,
    /// When the director was told that the host is ready.
    pub ready_told: Option<f64>,
    pub serves: bool,
}

#[derive(Default)]
struct Update {
    classes: Vec<String>,
    whole: bool,
    lines: Vec<(String, f64)>,
    out: Vec<String>,
    back: Vec<String>,
    ticket: Option<u64>,
}

struct Sent {
    proxy: usize,
    stream: u64,
    lines: f64,
    arrived: f64,
    parts: Vec<Update>,
}

pub struct Proxy {
    pub zone: String,
    pub joined: Option<f64>,
    stream_number: u64,
    stream: Option<TcpStream>,
    pub tables: Vec<BTreeMap<String, f64>>,
    shut_out: BTreeSet<String>,
    due: VecDeque<(f64, Sent)>,
    last_effect: f64,
    /// No dial before this time.
    pub dial_at: f64,
    credit: Vec<f64>,
    bare_since: Vec<Option<f64>>,
    ordered: bool,
    pub messages: Vec<f64>,
    pub joins: usize,
    pub dials: usize,
    /// Since when the director has not taken the streams of this proxy.
    pub untaken_since: Option<f64>,
}

#[derive(Default)]
struct Counts {
    count: u64,
    fail: u64,
}

pub struct Violation {
    pub first: f64,
    pub last: f64,
    pub count: u64,
}

pub struct State {
    pub setup: Setup,
    started: Instant,
    pub version: u64,
    pub hosts: BTreeMap<String, Host>,
    pub proxies: Vec<Proxy>,
    channel: VecDeque<Sent>,
    channel_free: f64,
    pub channel_most: f64,
    loads: BTreeMap<(String, String), Counts>,
    rates: BTreeMap<(usize, usize), u64>,
    pub util: BTreeMap<String, f64>,
    random: u64,
    pub violations: BTreeMap<(String, usize, String), Violation>,
    pub judged_from: f64,
    pub log: Vec<(f64, String)>,
    pub requests: u64,
    requests_by_host: BTreeMap<String, u64>,
    /// Notes of the case for the end of the record.
    pub summary: Vec<String>,
    /// The director ended because the platform has killed it.
    pub killed_for: Option<String>,
    pub ended: bool,
    pub logs_calls: bool,
    pub logs_messages: bool,
    pub discovery_calls: u64,
    /// When the network between discovery and the director is silent: from, until.
    pub silence: Option<(f64, f64)>,
    /// When the last waiting call of a watch began.
    pub watch_began: f64,
    /// Changes in lost answers, and when they count as told.
    lost_answers: Vec<(f64, Vec<String>)>,
    /// Longest time that a joined proxy kept a host after the director was told that it is not ready.
    pub longest_kept: f64,
    /// Longest time from a proxy's joining to its first order.
    pub longest_first: f64,
    /// Most messages to one proxy within the span of the limit, over all its streams.
    pub most_messages: usize,
    all_messages: Vec<Vec<f64>>,
}

pub struct World {
    pub state: Mutex<State>,
    pub changed: Condvar,
    pub director: SocketAddr,
    pub child: Mutex<Option<Child>>,
    pub discovery: Mutex<SocketAddr>,
    pub folder: String,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl State {
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn note(&mut self, text: String) {
        let now = self.now();
        self.log.push((now, text));
    }
    pub fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }
    /// Adds a host, or changes its state, under a new version of the list.
    pub fn set_hosts(&mut self, changes: &[(String, &str, HostStatus, u64)]) {
        self.version += 1;
        let version = self.version;
        for (id, zone, status, started_ms) in changes {
            let was = self.hosts.get(id).cloned();
            let keeps_told = was.as_ref().is_some_and(|host| host.status != HostStatus::Active);
            let told = was.as_ref().and_then(|host| host.told).filter(|_| keeps_told);
            let told = told.filter(|_| *status != HostStatus::Active);
            let same_ready = was.as_ref().is_some_and(|host| {
                host.status == HostStatus::Active && *status == HostStatus::Active && host.started_ms == *started_ms
            });
            let ready_told = was.as_ref().and_then(|host| host.ready_told).filter(|_| same_ready);
            let serves = was.as_ref().is_none_or(|host| host.serves);
            self.hosts.insert(
                id.clone(),
                Host {
                    zone: zone.to_string(),
                    status: *status,
                    started_ms: *started_ms,
                    changed: version,
                    told,
                    ready_told,
                    serves,
                },
            );
            self.note(format!("list version {version}: {id} in {zone} is {status:?}"));
        }
    }
    pub fn set_status(&mut self, ids: &[String], status: HostStatus) {
        let changes: Vec<(String, String, u64)> = ids
            .iter()
            .filter_map(|id| self.hosts.get(id).map(|host| (id.clone(), host.zone.clone(), host.started_ms)))
            .collect();
        let changes: Vec<(String, &str, HostStatus, u64)> =
            changes.iter().map(|(id, zone, started)| (id.clone(), zone.as_str(), status, *started)).collect();
        self.set_hosts(&changes);
    }
    fn list_body(&self, after: Option<u64>) -> (String, Vec<String>) {
        let mut named = Vec::new();
        let mut entries = Vec::new();
        for (id, host) in &self.hosts {
            let skipped = match after {
                None => host.status == HostStatus::Left,
                Some(after) => host.changed <= after,
            };
            named.push((id.clone(), skipped));
            if skipped {
                continue;
            }
            let status = match host.status {
                HostStatus::Active => "active",
                HostStatus::Leaving => "leaving",
                HostStatus::Left => "left",
            };
            entries.push(format!(
                "{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:9\",\"zone\":\"{}\",\"kind\":\"m1\",\"cell\":1,\"state\":\"{status}\",\"weight\":1.0,\"started_ms\":{}}}",
                host.zone, host.started_ms
            ));
        }
        let told = named
            .into_iter()
            .filter(|(id, skipped)| !skipped || (after.is_none() && self.hosts[id].status == HostStatus::Left))
            .map(|(id, _)| id)
            .collect();
        let body = format!(
            "{{\"version\":{},\"full\":{},\"servers\":[{}]}}",
            self.version,
            after.is_none(),
            entries.join(",")
        );
        (body, told)
    }
    fn record_told(&mut self, ids: &[String]) {
        let now = self.now();
        for id in ids {
            if let Some(host) = self.hosts.get_mut(id) {
                if host.status == HostStatus::Active {
                    host.ready_told.get_or_insert(now);
                } else {
                    host.told.get_or_insert(now);
                }
            }
        }
    }
    fn violate(&mut self, rule: &str, proxy: usize, what: &str) {
        let now = self.now();
        let key = (rule.to_string(), proxy, what.to_string());
        let violation = self.violations.entry(key).or_insert(Violation { first: now, last: now, count: 0 });
        violation.last = now;
        violation.count += 1;
        let is_first = violation.count == 1;
        if is_first {
            self.note(format!("BROKEN {rule}: proxy {proxy}, {what}"));
        }
    }
    /// Moves messages through the channel, applies those that are due, and returns the marks to answer.
    fn advance(&mut self) -> Vec<(usize, u64, f64, TcpStream)> {
        let now = self.now();
        let rate = self.setup.lines_per_s;
        while let Some(front) = self.channel.front() {
            let proxy = &self.proxies[front.proxy];
            // What waits for a stream that has broken is dropped.
            if proxy.joined.is_none() || proxy.stream_number != front.stream {
                self.channel.pop_front();
                continue;
            }
            let finish = self.channel_free.max(front.arrived) + front.lines / rate;
            if finish > now {
                break;
            }
            self.channel_free = finish;
            let Some(sent) = self.channel.pop_front() else { break };
            let (mean, most) = (self.setup.push_delay_s, self.setup.transit_max_s);
            let delay = (2.0 * mean * self.random()).min(most);
            let proxy = &mut self.proxies[sent.proxy];
            let effect = (finish + delay).max(proxy.last_effect);
            proxy.last_effect = effect;
            proxy.due.push_back((effect, sent));
        }
        let mut answers = Vec::new();
        let names: Vec<&str> = self.setup.classes.iter().map(|class| class.name).collect();
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            while proxy.due.front().is_some_and(|(effect, _)| *effect <= now) {
                let Some((effect, sent)) = proxy.due.pop_front() else { break };
                if proxy.joined.is_none() || proxy.stream_number != sent.stream {
                    continue;
                }
                proxy.ordered = true;
                proxy.untaken_since = None;
                if proxy.messages.len() == 1 {
                    self.longest_first = self.longest_first.max(now - proxy.joined.unwrap_or(now));
                }
                for part in sent.parts {
                    for (class, table) in proxy.tables.iter_mut().enumerate() {
                        if !part.classes.is_empty() && !part.classes.iter().any(|name| name == names[class]) {
                            continue;
                        }
                        if part.whole {
                            table.clear();
                        }
                        for (host, weight) in &part.lines {
                            if *weight > 0.0 {
                                table.insert(host.clone(), *weight);
                            } else {
                                table.remove(host);
                            }
                        }
                    }
                    proxy.shut_out.extend(part.out.iter().cloned());
                    part.back.iter().for_each(|host| {
                        proxy.shut_out.remove(host);
                    });
                    if let (Some(ticket), Some(Ok(stream))) =
                        (part.ticket, proxy.stream.as_ref().map(TcpStream::try_clone))
                    {
                        answers.push((number, ticket, (effect - sent.arrived) * 1e3, stream));
                    }
                }
            }
        }
        answers
    }
    pub fn queued_lines(&self) -> f64 {
        self.channel
            .iter()
            .filter(|sent| {
                let proxy = &self.proxies[sent.proxy];
                proxy.joined.is_some() && proxy.stream_number == sent.stream
            })
            .map(|sent| sent.lines)
            .sum()
    }
    /// Sends the requests of a step at all proxies by their tables, and judges the rules.
    fn serve(&mut self, step: f64) {
        let now = self.now();
        let due: Vec<Vec<String>> =
            self.lost_answers.iter().filter(|(at, _)| *at <= now).map(|(_, ids)| ids.clone()).collect();
        self.lost_answers.retain(|(at, _)| *at > now);
        due.iter().for_each(|ids| self.record_told(ids));
        let classes = self.setup.classes.clone();
        let (grace, bare) = (self.setup.drain_grace_s + SLACK_S, self.setup.bare_s + SLACK_S);
        let cold_ms = (self.setup.cold_s * 1e3) as u64;
        let wall = unix_ms();
        for number in 0..self.proxies.len() {
            if let Some(joined) = self.proxies[number].joined {
                for (id, host) in &self.hosts {
                    let Some(told) = host.told.filter(|_| host.status != HostStatus::Active) else { continue };
                    if self.proxies[number].tables.iter().any(|table| table.contains_key(id)) {
                        self.longest_kept = self.longest_kept.max(now - told.max(joined));
                    }
                }
            }
            for (class, kind) in classes.iter().enumerate() {
                let zone = self.proxies[number].zone.clone();
                let joined = self.proxies[number].joined;
                let usable: Vec<(String, f64)> = {
                    let proxy = &self.proxies[number];
                    proxy.tables[class]
                        .iter()
                        .filter(|(host, _)| !proxy.shut_out.contains(*host))
                        .map(|(host, weight)| (host.clone(), *weight))
                        .collect()
                };
                let open_since = self
                    .hosts
                    .values()
                    .filter(|host| host.status == HostStatus::Active && (!kind.home_only || host.zone == zone))
                    .filter(|host| host.started_ms == 0 || wall >= host.started_ms + cold_ms)
                    .filter_map(|host| {
                        let warm_at = if host.started_ms == 0 {
                            0.0
                        } else {
                            now - (wall - host.started_ms - cold_ms) as f64 / 1e3
                        };
                        host.ready_told.map(|told| told.max(warm_at))
                    })
                    .fold(f64::MAX, f64::min);
                let is_bare = usable.is_empty() && joined.is_some() && open_since <= now;
                let since = &mut self.proxies[number].bare_since[class];
                if is_bare {
                    let began = *since.get_or_insert(now);
                    let began = began.max(joined.unwrap_or(now)).max(self.judged_from);
                    if now - began > bare {
                        self.violate("Nobody left without a server", number, kind.name);
                    }
                } else {
                    *since = None;
                }
                self.proxies[number].credit[class] += kind.per_s * step;
                while self.proxies[number].credit[class] >= 1.0 {
                    self.proxies[number].credit[class] -= 1.0;
                    *self.rates.entry((number, class)).or_default() += 1;
                    let total: f64 = usable.iter().map(|(_, weight)| weight).sum();
                    let mut draw = self.random() * total;
                    let Some((host, _)) = usable.iter().find(|(_, weight)| {
                        draw -= weight;
                        draw <= 0.0
                    }) else {
                        continue;
                    };
                    self.requests += 1;
                    *self.requests_by_host.entry(host.clone()).or_default() += 1;
                    let Some(known) = self.hosts.get(host).cloned() else { continue };
                    let fails = known.status == HostStatus::Left || !known.serves;
                    if joined.is_some() {
                        let counts = self.loads.entry((zone.clone(), host.clone())).or_default();
                        counts.count += 1;
                        counts.fail += u64::from(fails);
                    }
                    if let (Some(told), Some(joined)) = (known.told, joined) {
                        if known.status != HostStatus::Active {
                            let limit = told.max(joined).max(self.judged_from) + grace;
                            if now > limit {
                                self.violate("Safe drain", number, host);
                            }
                        }
                    }
                }
            }
        }
    }
}

impl World {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
    pub fn now(&self) -> f64 {
        self.lock().now()
    }
    pub fn note(&self, text: &str) {
        self.lock().note(text.to_string());
    }
    pub fn wait_until(&self, at: f64) {
        loop {
            let left = at - self.now();
            if left <= 0.0 {
                return;
            }
            thread::sleep(Duration::from_secs_f64(left.min(0.05)));
        }
    }
    pub fn update_list(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }
    /// Breaks the streams of proxies; they dial again after the time that `redial` gives for each.
    pub fn reset_streams(&self, numbers: &[usize], redial: impl Fn(usize, f64) -> f64) {
        let mut state = self.lock();
        let now = state.now();
        for number in numbers {
            let draw = state.random();
            let proxy = &mut state.proxies[*number];
            proxy.dial_at = now + redial(*number, draw);
            let after = proxy.dial_at - now;
            if let Some(stream) = proxy.stream.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            proxy.joined = None;
            proxy.untaken_since = None;
            proxy.due.clear();
            if numbers.len() <= 8 {
                state.note(format!("stream of proxy {number} is reset; it dials again after {after:.2} s"));
            }
        }
        if numbers.len() > 8 {
            state.note(format!("streams of {} proxies are reset", numbers.len()));
        }
    }
    pub fn signal_director(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) {
            // The shell of the deploy file's command has replaced itself by the program.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    /// The process of the director.
    pub fn process(&self) -> Option<u32> {
        self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).as_ref().map(Child::id)
    }
    pub fn settings(&self) -> String {
        settings(&self.lock().setup)
    }
    pub fn known(&self) -> String {
        self.lock().list_body(None).0
    }
    pub fn start_director(&self, known: &str) -> std::io::Result<()> {
        let (memory, sockets, settings) = {
            let state = self.lock();
            (state.setup.memory_mb, state.setup.sockets, settings(&state.setup))
        };
        let discovery = *self.discovery.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let known = if known.is_empty() { String::new() } else { format!("\"known\":{known},") };
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":{sockets}}},{known}\"settings\":{settings}}}",
            self.director,
            unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15)
        );
        let path = format!("{}/config.json", self.folder);
        std::fs::write(&path, config)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(format!("{}/director.log", self.folder))?;
        let run = std::env::var("RUN").unwrap_or("exec target/release/wingfold".into());
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&run)
            .env("GW_CONFIG", &path)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", self.director.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        std::fs::write(format!("{}/director.pid", self.folder), child.id().to_string())?;
        self.note(&format!("director started: {run}"));
        *self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(child);
        Ok(())
    }
    /// Waits until the director answers a `PING`.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..300 {
            if let Ok(mut stream) = TcpStream::connect(self.director) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut head = [0; 4];
                if send_frame(&mut stream, "{\"type\":\"PING\"}").is_ok() && stream.read_exact(&mut head).is_ok() {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
    pub fn end_director(&self) {
        let mut child = self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(mut child) = child.take() {
            unsafe { kill(child.id() as i32, CONTINUE) };
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn director_runs(&self) -> bool {
        let mut child = self.child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

fn settings(setup: &Setup) -> String {
    let us = |seconds: f64| (seconds * 1e6) as u64;
    let join = |items: Vec<String>| items.join(",");
    let classes = join(
        setup
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"goal_time\":{},\"deadline\":{},\"repeat\":\"{}\",\"gain\":{},\"late_value\":0.1,\"group\":\"all\",\"window\":3000000}}",
                    class.name,
                    class.goal_ms * 1000,
                    class.deadline_ms * 1000,
                    class.repeat,
                    class.gain
                )
            })
            .collect(),
    );
    let home = join(setup.classes.iter().map(|class| class.home_only.to_string()).collect());
    let zones = join(setup.zones.iter().map(|zone| format!("\"{zone}\"")).collect());
    format!(
        "{{\"me\":0,\"replicas_of_me\":{},\"dcs\":[{zones}],\"zone\":\"{}\",\"discovery\":\"{}\",\"service_type\":\"control\",\"classes\":[{classes}],\
        \"flavors\":[\"m1\"],\"weights\":\"silent\",\"tick\":2000,\
        \"family_info\":{{\"admit\":\"{}\",\"bare\":{},\"bootstrap\":{},\"counted_over\":{},\"egress_per_s\":{:.1},\"ejects\":3,\"first_wait\":1.0,\"home_only\":[{home}],\
        \"lease\":2500000,\"line_fee\":0.04,\"local_first\":false,\"min_conn_cap\":54.0,\"overhead\":{:.1},\"pending_max\":{:.1},\"period\":{},\"proxy_count\":{},\
        \"push_delay\":{},\"reports_per_s\":1000.0,\"retry_default\":0,\"selects_by\":\"weighted\",\"shards\":0,\"sole_owner\":false,\"transit_max\":{},\"update_cap\":{},\"warm_keys\":true}},\
        \"policy_limits\":{{\"conn_idle\":{},\"connect_timeout\":250000,\"cpu_us_per_s\":250000,\"peers\":false,\"probing\":false,\"streams_per_conn\":100}},\
        \"report\":{{\"fields\":[\"util\",\"queue\"],\"how\":\"piggyback\"}},\
        \"charges\":{{\"cross_zone\":0.06}},\
        \"rules\":{{\"ask_within\":{},\"cold\":{},\"drain_grace\":{},\"overload_factor\":{},\"overload_for\":{},\"start_capacity\":{}}}}}",
        setup.directors,
        setup.zones[0],
        setup.discovery,
        setup.admit,
        us(setup.bare_s),
        setup.standing,
        us(setup.counted_over_s),
        setup.lines_per_s,
        setup.overhead,
        setup.pending_max,
        us(setup.period_s),
        setup.proxies,
        us(setup.push_delay_s),
        us(setup.transit_max_s),
        setup.update_cap,
        us(setup.conn_idle_s),
        us(setup.ask_within_s),
        us(setup.cold_s),
        us(setup.drain_grace_s),
        setup.overload_factor,
        us(setup.overload_for_s),
        setup.start_capacity,
    )
}

pub fn send_frame(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text.bytes());
    stream.write_all(&bytes)
}

fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Starts discovery on a free port. Every connection has a thread.
pub fn start_discovery(world: &Arc<World>, listener: TcpListener) {
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || serve_discovery(&world, stream));
        }
    });
}

fn serve_discovery(world: &World, mut stream: TcpStream) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let opened = world.now();
    loop {
        let mut path = None;
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            if line.starts_with("GET ") {
                path = line.split(' ').nth(1).map(str::to_string);
            }
            if line == "\r\n" {
                break;
            }
        }
        let path = path.unwrap_or_default();
        let query = |key: &str| {
            path.split(['?', '&']).find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (after, wait) = (query("after"), query("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = world.lock();
        state.discovery_calls += 1;
        let began = state.now();
        if wait > 0 {
            state.watch_began = began;
        }
        if state.logs_calls {
            state.note(format!("call to discovery: after {after:?}, wait {wait} ms"));
        }
        while after.is_some_and(|after| state.version <= after) && Instant::now() < deadline && !state.ended {
            let left = deadline.saturating_duration_since(Instant::now());
            state = world.changed.wait_timeout(state, left).unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        if state.ended {
            return;
        }
        let (body, told) = state.list_body(after);
        // A connection that was open in the silence, or was opened in it, never comes up again.
        let now = state.now();
        if state.silence.is_some_and(|(from, until)| now >= from && opened < until) {
            let told_at = began + if wait > 0 { wait as f64 / 1e3 + 2.0 } else { 6.0 };
            state.note(format!("an answer of discovery is lost; what it holds counts as told at {told_at:.3}"));
            state.lost_answers.push((told_at, told));
            while !state.ended {
                state = world
                    .changed
                    .wait_timeout(state, Duration::from_millis(200))
                    .unwrap_or_else(|poisoned| poisoned.into_inner())
                    .0;
            }
            return;
        }
        drop(state);
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        world.lock().record_told(&told);
    }
}

fn run_collector(world: &World, zone: &str) {
    let period = world.lock().setup.period_s;
    let mean_ms = world.lock().setup.mean_ms;
    let mut stream: Option<TcpStream> = None;
    loop {
        thread::sleep(Duration::from_secs_f64(period));
        let mut messages = Vec::new();
        {
            let mut state = world.lock();
            if state.ended {
                return;
            }
            let hosts: Vec<String> = state.hosts.keys().cloned().collect();
            for host in hosts {
                let util = state.util.get(&host).or(state.util.get("*")).copied().unwrap_or(0.5);
                let Some(counts) = state.loads.remove(&(zone.to_string(), host.clone())) else { continue };
                messages.push(format!(
                    "{{\"type\":\"LOAD\",\"site\":\"{zone}\",\"target\":\"{host}\",\"count\":{},\"fail\":{},\"mean\":{mean_ms},\"over\":{},\"util\":{{\"util\":{util},\"queue\":0}}}}",
                    counts.count,
                    counts.fail,
                    period * 1e3
                ));
            }
            let names: Vec<&str> = state.setup.classes.iter().map(|class| class.name).collect();
            let numbers: Vec<usize> =
                (0..state.proxies.len()).filter(|number| state.proxies[*number].zone == zone).collect();
            for number in numbers {
                for (class, name) in names.iter().enumerate() {
                    let count = state.rates.remove(&(number, class)).unwrap_or(0);
                    if count > 0 && state.proxies[number].joined.is_some() {
                        messages.push(format!(
                            "{{\"type\":\"RATE\",\"id\":{number},\"lane\":\"{name}\",\"count\":{count},\"fail\":0,\"over\":{}}}",
                            period * 1e3
                        ));
                    }
                }
            }
        }
        if stream.is_none() {
            stream = TcpStream::connect(world.director).ok();
            if let Some(stream) = &mut stream {
                let _ = send_frame(stream, &format!("{{\"type\":\"SOURCE\",\"site\":\"{zone}\"}}"));
            }
        }
        let failed = stream.as_mut().is_some_and(|stream| messages.iter().any(|text| send_frame(stream, text).is_err()));
        if failed {
            stream = None;
        }
    }
}

fn run_proxy(world: &World, number: usize) {
    loop {
        thread::sleep(Duration::from_millis(5));
        {
            let state = world.lock();
            if state.ended {
                return;
            }
            if state.now() < state.proxies[number].dial_at {
                continue;
            }
        }
        let Ok(mut stream) = TcpStream::connect(world.director) else {
            let mut state = world.lock();
            let again = state.now() + 0.12 + 0.5 * state.random();
            state.proxies[number].dial_at = again;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (hello, gap, dialled) = {
            let state = world.lock();
            let per_s: f64 = state.setup.classes.iter().map(|class| class.per_s).sum();
            let proxy = &state.proxies[number];
            let hello = format!(
                "{{\"type\":\"SUBSCRIBE\",\"id\":{number},\"site\":\"{}\",\"rps\":{per_s},\"new\":{}}}",
                proxy.zone, !proxy.ordered
            );
            (hello, state.setup.piece_gap_s, state.now())
        };
        let mut bytes = (hello.len() as u32).to_be_bytes().to_vec();
        bytes.extend(hello.bytes());
        let first = if gap > 0.0 { bytes.len() / 2 } else { bytes.len() };
        let mut sent = stream.write_all(&bytes[..first]);
        if gap > 0.0 && sent.is_ok() {
            thread::sleep(Duration::from_secs_f64(gap));
            sent = stream.write_all(&bytes[first..]);
        }
        let stream_number = {
            let mut state = world.lock();
            let now = state.now();
            let again = now + 0.12 + 0.3 * state.random();
            let proxy = &mut state.proxies[number];
            proxy.dials += 1;
            // A stream that the director does not take does not count as left.
            let joined = proxy.untaken_since.unwrap_or(dialled);
            if sent.is_err() {
                proxy.untaken_since = Some(joined);
                proxy.joined = Some(joined);
                proxy.dial_at = again;
                continue;
            }
            proxy.stream_number += 1;
            proxy.joins += 1;
            proxy.joined = Some(joined);
            proxy.messages.clear();
            proxy.last_effect = now;
            proxy.stream = stream.try_clone().ok();
            let stream_number = proxy.stream_number;
            if state.logs_messages {
                state.note(format!("proxy {number} has dialled and sent SUBSCRIBE"));
            }
            stream_number
        };
        let mut parts = Vec::new();
        let mut lines = 0.0;
        while let Ok(body) = read_frame(&mut stream) {
            let Some(message) = parse(&body) else { break };
            if message.get("type").and_then(Json::text) != Some("CONFIG") {
                continue;
            }
            lines += add_part(&message, &mut parts);
            if message.get("more").is_some_and(Json::is_true) {
                continue;
            }
            let mut state = world.lock();
            let arrived = state.now();
            let lines = std::mem::take(&mut lines) + state.setup.overhead;
            let parts = std::mem::take(&mut parts);
            if state.proxies[number].stream_number == stream_number && state.proxies[number].joined.is_some() {
                state.proxies[number].messages.push(arrived);
                state.all_messages[number].push(arrived);
                let over = state.setup.counted_over_s;
                let recent = state.all_messages[number].iter().filter(|at| arrived - **at <= over).count();
                state.most_messages = state.most_messages.max(recent);
                let (cap, over) = (state.setup.update_cap, state.setup.counted_over_s);
                let recent = state.proxies[number].messages.iter().filter(|at| arrived - **at <= over).count();
                if cap > 0 && recent > cap {
                    state.violate("A short queue", number, "messages to one proxy");
                }
                if state.logs_messages {
                    let removed: Vec<String> = parts
                        .iter()
                        .flat_map(|part: &Update| &part.lines)
                        .filter(|line| line.1 == 0.0)
                        .map(|line| line.0.clone())
                        .collect();
                    let whole = if parts.iter().any(|part: &Update| part.whole) { ", a whole table" } else { "" };
                    state.note(format!("order for proxy {number}: {lines:.0} lines{whole}, takes out {removed:?}"));
                }
                state.channel.push_back(Sent { proxy: number, stream: stream_number, lines, arrived, parts });
                let queued = state.queued_lines();
                state.channel_most = state.channel_most.max(queued);
                if queued > state.setup.pending_max {
                    state.violate("A short queue", 0, "lines in the channel");
                }
            }
        }
        let mut state = world.lock();
        let now = state.now();
        let draw = state.random();
        let proxy = &mut state.proxies[number];
        if proxy.stream_number == stream_number {
            if let Some(joined) = proxy.joined {
                // The director has ended the stream, or has not taken it.
                let taken = !proxy.messages.is_empty();
                let since = if taken { now } else { joined };
                proxy.untaken_since = Some(since);
                proxy.joined = Some(since);
                proxy.dial_at = now + 0.13 + 0.5 * draw;
                proxy.due.clear();
                if state.logs_messages {
                    state.note(format!("the director has ended the stream of proxy {number}, taken before: {taken}"));
                }
            }
            state.proxies[number].stream = None;
        }
    }
}

/// Reads one part of an update and returns its lines.
fn add_part(message: &Json, parts: &mut Vec<Update>) -> f64 {
    let texts = |key: &str| -> Vec<String> {
        let items = message.get(key).map(Json::list).unwrap_or_default();
        items.iter().filter_map(|item| item.text().map(str::to_string)).collect()
    };
    let lines: Vec<(String, f64)> = message
        .get("lines")
        .map(Json::list)
        .unwrap_or_default()
        .iter()
        .filter_map(|line| Some((line.list().first()?.text()?.to_string(), line.list().get(1)?.number()?)))
        .collect();
    let update = Update {
        classes: texts("classes"),
        whole: message.get("whole").is_some_and(Json::is_true),
        lines,
        out: texts("out"),
        back: texts("back"),
        ticket: message.get("ticket").and_then(Json::number).map(|number| number as u64),
    };
    let count = update.lines.len()
        + update.out.len()
        + update.back.len()
        + usize::from(update.whole)
        + usize::from(update.ticket.is_some())
        + usize::from(message.get("level").is_some());
    parts.push(update);
    count as f64
}

/// Builds the world: `hosts` are listed as ready and long started. The director is not started yet.
pub fn build(setup: Setup, hosts: &[(String, &'static str)], folder: &str, seed: u64) -> std::io::Result<Arc<World>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let discovery = listener.local_addr()?;
    let director = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let classes = setup.classes.len();
    let mut state = State {
        started: Instant::now(),
        version: 1,
        hosts: BTreeMap::new(),
        proxies: Vec::new(),
        channel: VecDeque::new(),
        channel_free: 0.0,
        channel_most: 0.0,
        loads: BTreeMap::new(),
        rates: BTreeMap::new(),
        util: BTreeMap::new(),
        random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        violations: BTreeMap::new(),
        judged_from: 0.0,
        log: Vec::new(),
        requests: 0,
        requests_by_host: BTreeMap::new(),
        summary: Vec::new(),
        killed_for: None,
        ended: false,
        logs_calls: false,
        logs_messages: false,
        discovery_calls: 0,
        silence: None,
        watch_began: 0.0,
        lost_answers: Vec::new(),
        longest_kept: 0.0,
        longest_first: 0.0,
        most_messages: 0,
        all_messages: vec![Vec::new(); setup.proxies],
        setup,
    };
    for (id, zone) in hosts {
        let host = Host {
            zone: zone.to_string(),
            status: HostStatus::Active,
            started_ms: 0,
            changed: 1,
            told: None,
            ready_told: None,
            serves: true,
        };
        state.hosts.insert(id.clone(), host);
    }
    for number in 0..state.setup.proxies {
        let zone = state.setup.zones[number % state.setup.proxy_zones].to_string();
        let mut own: Vec<String> = state.hosts.iter().filter(|(_, host)| host.zone == zone).map(|(id, _)| id.clone()).collect();
        if own.len() < 3 {
            own = state.hosts.keys().cloned().collect();
        }
        let mut standing = BTreeMap::new();
        while standing.len() < state.setup.standing.min(own.len()) {
            let pick = (state.random() * own.len() as f64) as usize % own.len();
            standing.insert(own[pick].clone(), 1.0);
        }
        let tables = (0..classes)
            .map(|class| {
                let is_open = |host: &String| !state.setup.classes[class].home_only || state.hosts[host].zone == zone;
                standing.clone().into_iter().filter(|(host, _)| is_open(host)).collect()
            })
            .collect();
        let credit = (0..classes).map(|_| state.random()).collect();
        state.proxies.push(Proxy {
            zone,
            joined: None,
            stream_number: 0,
            stream: None,
            tables,
            shut_out: BTreeSet::new(),
            due: VecDeque::new(),
            last_effect: 0.0,
            dial_at: f64::MAX,
            credit,
            bare_since: vec![None; classes],
            ordered: false,
            messages: Vec::new(),
            joins: 0,
            dials: 0,
            untaken_since: None,
        });
    }
    let world = Arc::new(World {
        state: Mutex::new(state),
        changed: Condvar::new(),
        director,
        child: Mutex::new(None),
        discovery: Mutex::new(discovery),
        folder: folder.to_string(),
    });
    start_discovery(&world, listener);
    Ok(world)
}

/// Starts collectors, proxies and the clock of the world. Proxies dial within `spread` seconds.
pub fn start_clients(world: &Arc<World>, spread: f64) {
    let (zones, proxies) = {
        let mut state = world.lock();
        let now = state.now();
        for number in 0..state.proxies.len() {
            state.proxies[number].dial_at = now + spread * state.random();
        }
        state.judged_from = now + 1.0;
        (state.setup.zones.clone(), state.proxies.len())
    };
    for zone in zones {
        let world = world.clone();
        thread::spawn(move || run_collector(&world, zone));
    }
    for number in 0..proxies {
        let world = world.clone();
        let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || run_proxy(&world, number));
    }
    let world = world.clone();
    thread::spawn(move || {
        let mut last = world.now();
        let mut judged = last;
        loop {
            thread::sleep(Duration::from_millis(4));
            let mut state = world.lock();
            if state.ended {
                return;
            }
            let answers = state.advance();
            let now = state.now();
            if now - judged > 0.02 {
                state.serve(now - judged);
                judged = now;
            }
            drop(state);
            for (number, ticket, ms, mut stream) in answers {
                let _ = send_frame(&mut stream, &format!("{{\"type\":\"ACK\",\"id\":{number},\"seq\":{ticket},\"ms\":{ms:.1}}}"));
            }
            last = last.max(now);
        }
    });
}

/// Ends the run: writes the record and returns the exit code.
pub fn finish(world: &World, rules: &[&str]) -> i32 {
    let ran = world.director_runs();
    world.end_director();
    let mut state = world.lock();
    state.ended = true;
    let mut text = String::new();
    for (at, line) in &state.log {
        text += &format!("{at:8.3} {line}\n");
    }
    text += &format!(
        "requests sent by the proxies: {}, calls to discovery: {}, most lines in the channel: {:.0} of {:.0}\n",
        state.requests, state.discovery_calls, state.channel_most, state.setup.pending_max
    );
    let by_host: Vec<String> = state.requests_by_host.iter().map(|(host, count)| format!("{host} {count}")).collect();
    text += &format!("requests that ran, by host: {}\n", by_host.join(", "));
    text += &format!(
        "longest time that a host was kept after the notice: {:.2} s; from joining to the first order: {:.2} s; most messages to one proxy in {} s: {}\n",
        state.longest_kept, state.longest_first, state.setup.counted_over_s, state.most_messages
    );
    let joins: Vec<String> = state.proxies.iter().map(|proxy| proxy.joins.to_string()).collect();
    text += &format!("streams by proxy: {}\n", joins.join(" "));
    let mut broken = 0;
    for ((rule, proxy, what), violation) in &state.violations {
        text += &format!(
            "rule '{rule}' broken at proxy {proxy} ({what}) from {:.2} s to {:.2} s, {} times\n",
            violation.first, violation.last, violation.count
        );
        broken += u32::from(rules.contains(&rule.as_str()));
    }
    for line in &state.summary {
        text += &format!("{line}\n");
    }
    if !ran {
        let why = state.killed_for.clone().unwrap_or("it had ended by itself".into());
        text += &format!("the director was not running at the end: {why}\n");
        broken += 1;
    }
    let verdict = if broken > 0 { "broken" } else { "held" };
    text += &format!("verdict: the rule was {verdict} ({broken} breaks)\n");
    let path = std::env::var("RECORD").unwrap_or(format!("{}/record.txt", world.folder));
    let _ = std::fs::write(path, &text);
    println!("verdict: the rule was {verdict} ({broken} breaks)");
    world.changed.notify_all();
    i32::from(broken > 0)
}

/// Whether the script asks for the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or_else(unix_ms)
}

/// The settings of a small site with a limit on messages to one proxy, within the ranges of its pages.
pub fn coastline(proxies: usize) -> Setup {
    Setup {
        zones: vec!["burnaby", "abbotsford", "nanaimo", "squamish"],
        classes: vec![
            Class { name: "script-fetch", goal_ms: 1500, deadline_ms: 4000, repeat: "idempotent", gain: 1.0, home_only: false, per_s: 4.0 },
            Class { name: "outcome-save", goal_ms: 1000, deadline_ms: 3000, repeat: "deduplicated", gain: 5.0, home_only: false, per_s: 3.0 },
            Class { name: "booking-send", goal_ms: 800, deadline_ms: 2500, repeat: "at_most_once", gain: 3.0, home_only: false, per_s: 1.0 },
        ],
        proxies,
        proxy_zones: 4,
        directors: 2,
        discovery: "pushed",
        admit: "share",
        lines_per_s: 8000.0,
        overhead: 3.0,
        pending_max: 8000.0,
        push_delay_s: 0.3,
        transit_max_s: 0.75,
        update_cap: 12,
        counted_over_s: 10.0,
        drain_grace_s: 3.0,
        bare_s: 3.0,
        cold_s: 18.0,
        start_capacity: 0.17,
        overload_factor: 2.5,
        overload_for_s: 2.0,
        period_s: 1.0,
        ask_within_s: 10.0,
        standing: 8,
        conn_idle_s: 15.0,
        memory_mb: 192,
        sockets: 1024,
        mean_ms: 220.0,
        piece_gap_s: 0.0,
    }
}

/// The settings of a small site without a limit on messages, within the ranges of its pages.
pub fn central_belt(proxies: usize) -> Setup {
    Setup {
        zones: vec!["livingston", "hillington", "south-gyle"],
        classes: vec![
            Class { name: "score", goal_ms: 1000, deadline_ms: 3000, repeat: "idempotent", gain: 1.0, home_only: false, per_s: 6.0 },
            Class { name: "verdict", goal_ms: 600, deadline_ms: 1500, repeat: "deduplicated", gain: 5.0, home_only: false, per_s: 2.0 },
        ],
        proxy_zones: 3,
        discovery: "on_request",
        admit: "rate",
        lines_per_s: 3000.0,
        overhead: 4.0,
        pending_max: 6000.0,
        push_delay_s: 0.442,
        transit_max_s: 1.105,
        update_cap: 0,
        drain_grace_s: 3.4,
        bare_s: 3.5,
        start_capacity: 0.24,
        overload_factor: 4.0,
        overload_for_s: 3.0,
        period_s: 2.0,
        standing: 5,
        mean_ms: 160.0,
        ..coastline(proxies)
    }
}
