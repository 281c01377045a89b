//! Stand-ins for a small deployment, with the standard library alone: discovery, hosts, proxies, collectors and
//! the channel of each director. The directors are the project's own program, started by the `run` command of
//! `deploy/balancer.toml`. Everything listens on 127.0.0.1 at free ports.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Obj(map) = self { map.get(key) } else { None }
    }
    pub fn str(&self) -> Option<&str> {
        if let Json::Str(s) = self { Some(s) } else { None }
    }
    pub fn num(&self) -> Option<f64> {
        if let Json::Num(n) = self { Some(*n) } else { None }
    }
    pub fn arr(&self) -> &[Json] {
        if let Json::Arr(a) = self { a } else { &[] }
    }
    pub fn bool(&self) -> bool {
        matches!(self, Json::Bool(true))
    }
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }
}

fn skip_space(t: &[u8], at: &mut usize) {
    while *at < t.len() && t[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_string(t: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *t.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let e = *t.get(*at)?;
                *at += 1;
                out.push(match e {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
            }
            other => out.push(other),
        }
    }
}

fn parse_value(t: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(t, at);
    match *t.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(t, at);
                match *t.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_string(t, at)?;
                        skip_space(t, at);
                        *at += 1; // the colon
                        map.insert(key, parse_value(t, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(t, at);
                match *t.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(t, at)?),
                }
            }
        }
        b'"' => parse_string(t, at).map(Json::Str),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < t.len() && matches!(t[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            std::str::from_utf8(&t[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

// ---------------------------------------------------------------- random numbers

#[derive(Clone)]
pub struct Rng(pub u64);
impl Rng {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---------------------------------------------------------------- the record

pub struct Record {
    file: Mutex<File>,
    t0: Instant,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("record.txt cannot be written");
        Arc::new(Record { file: Mutex::new(file), t0: Instant::now(), broken: Mutex::new(Vec::new()) })
    }
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text)
    }
    pub fn line_at(&self, at: Instant, text: &str) {
        let t = at.saturating_duration_since(self.t0).as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{t:>7} {text}");
    }
    pub fn broken(&self, text: &str) {
        let mut broken = self.broken.lock().unwrap();
        self.line(&format!("BROKEN {text}"));
        broken.push(text.to_string());
    }
    pub fn count_broken(&self) -> usize {
        self.broken.lock().unwrap().len()
    }
    pub fn first_broken(&self) -> Option<String> {
        self.broken.lock().unwrap().first().cloned()
    }
}

// ---------------------------------------------------------------- settings

/// What the settings of a deployment hold here, in milliseconds; the names are those of the wire page.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub pushed: bool,
    pub admit: &'static str,
    pub bare: u64,
    pub counted_over: u64,
    pub egress_per_s: f64,
    pub ejects: u32,
    pub eject_ms: u64,
    pub overhead: f64,
    pub pending_max: f64,
    pub period: u64,
    pub heard_late: u64,
    pub proxies: usize,
    pub push_delay: u64,
    pub transit_max: u64,
    pub reports_per_s: f64,
    pub retry_default: u32,
    pub update_cap: u32,
    pub selects_by: &'static str,
    pub conn_idle: u64,
    pub probing: bool,
    pub peers: bool,
    pub report_how: &'static str,
    pub ask_within: u64,
    pub cold: u64,
    pub drain_grace: u64,
    pub gone_is_advice: bool,
    pub overload_factor: f64,
    pub overload_for: u64,
    pub start_capacity: f64,
    pub cross_zone: f64,
    pub directors: usize,
    pub weights: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
    /// Of the proxies together.
    pub requests_per_s: f64,
    pub service_ms: u64,
    /// Between noticing a broken stream and dialling again.
    pub redial: (u64, u64),
}

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    pub goal: u64,
    pub deadline: u64,
    pub gain: f64,
    pub repeat: &'static str,
    pub group: &'static str,
    pub window: u64,
    pub late_value: f64,
    pub write: bool,
    pub home_only: bool,
}

impl Site {
    pub fn settings(&self, me: usize) -> String {
        let quoted = |names: &[&str]| names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",");
        let classes: Vec<String> = self.classes.iter().map(|c| format!(
            "{{\"name\":\"{}\",\"goal_time\":{},\"deadline\":{},\"gain\":{:?},\"group\":\"{}\",\"late_value\":{:?},\"repeat\":\"{}\",\"window\":{}}}",
            c.name, c.goal * 1000, c.deadline * 1000, c.gain, c.group, c.late_value, c.repeat, c.window * 1000)).collect();
        let writes: Vec<String> = self.classes.iter().map(|c| c.write.to_string()).collect();
        let home: Vec<String> = self.classes.iter().map(|c| c.home_only.to_string()).collect();
        let ask = if self.ask_within > 0 { format!("\"ask_within\":{},", self.ask_within * 1000) } else { String::new() };
        let advice = if self.gone_is_advice { "\"gone_is_advice\":true," } else { "" };
        format!(
            "{{\"charges\":{{\"cross_zone\":{:?},\"connection\":0.02,\"discovery\":0.0,\"handshake\":0.02,\"late_fail\":0.08,\"moves\":0.0,\"peer\":0.0,\"probe\":0.02,\"waste\":0.03}},\
            \"classes\":[{}],\"counted_by\":\"request\",\"dcs\":[{}],\"discovery\":\"{}\",\
            \"family_info\":{{\"admit\":\"{}\",\"bare\":{},\"bootstrap\":8,\"class_writes\":[{}],\"counted_over\":{},\"egress_per_s\":{:?},\"ejects\":{},\"first_wait\":1.2,\"home_only\":[{}],\"lease\":2500000,\"line_fee\":0.04,\"local_first\":false,\"min_conn_cap\":54.0,\"overhead\":{:?},\"park\":300000,\"pending_max\":{:?},\"period\":{},\"proxy_count\":{},\"push_delay\":{},\"reports_per_s\":{:?},\"retry_default\":{},\"selects_by\":\"{}\",\"shards\":0,\"shift_fee\":0.01,\"sole_owner\":false,\"transit_max\":{},\"update_cap\":{},\"warm_keys\":true,\"write_life\":1520000}},\
            \"flavors\":[\"single\",\"dual\"],\"goal\":{{\"tail\":0.2,\"tail_miss\":0.1,\"whole\":0.5,\"worst_class\":0.1,\"worst_tenant\":0.0,\"worst_window\":0.2}},\
            \"me\":{},\"policy_limits\":{{\"conn_idle\":{},\"connect_timeout\":250000,\"cpu_us_per_s\":400000,\"peers\":{},\"probing\":{},\"streams_per_conn\":100}},\
            \"replicas_of_me\":{},\"report\":{{\"fields\":[\"cpu_share\",\"pending\"],\"how\":\"{}\"}},\
            \"rules\":{{{}{}\"cold\":{},\"drain_grace\":{},\"overload_factor\":{:?},\"overload_for\":{},\"start_capacity\":{:?}}},\
            \"service_type\":\"control\",\"tick\":4000,\"weights\":\"{}\",\"zone\":\"{}\"}}",
            self.cross_zone, classes.join(","), quoted(&self.zones), if self.pushed { "pushed" } else { "on_request" },
            self.admit, self.bare * 1000, writes.join(","), self.counted_over * 1000, self.egress_per_s, self.ejects, home.join(","),
            self.overhead, self.pending_max, self.period * 1000, self.proxies, self.push_delay * 1000, self.reports_per_s,
            self.retry_default, self.selects_by, self.transit_max * 1000, self.update_cap, me, self.conn_idle * 1000, self.peers, self.probing,
            self.directors, self.report_how, ask, advice, self.cold * 1000, self.drain_grace * 1000, self.overload_factor,
            self.overload_for * 1000, self.start_capacity, self.weights, self.zones[me % self.zones.len()])
    }

    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: &'static str,
    pub cell: usize,
    pub state: &'static str,
    pub weight: f64,
    pub started_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":{},\"state\":\"{}\",\"weight\":{:?},\"started_ms\":{}}}",
            self.id, self.addr, self.zone, self.kind, self.cell, self.state, self.weight, self.started_ms
        )
    }
}

/// What a director has been told of a host, and when discovery had written it.
#[derive(Clone, Debug)]
pub struct Told {
    pub state: &'static str,
    pub zone: String,
    pub started_ms: u64,
    pub at: Instant,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    told: HashMap<(usize, String), Told>,
    down: bool,
}

pub struct Discovery {
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    record: Arc<Record>,
    closed: Mutex<BTreeSet<SocketAddr>>,
    /// How long a whole list takes to be written, in pieces; all at once if there is none.
    pieces: Mutex<Option<Duration>>,
    open: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl Discovery {
    pub fn new(record: Arc<Record>) -> Arc<Discovery> {
        Arc::new(Discovery {
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
            closed: Mutex::default(),
            pieces: Mutex::default(),
            open: Mutex::default(),
        })
    }

    /// Changes entries; all get one new version of the list.
    pub fn change(&self, entries: Vec<Entry>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for entry in entries {
            self.record.line(&format!("discovery lists {} {} version {version}", entry.id, entry.state));
            state.entries.insert(entry.id.clone(), (version, entry));
        }
        self.changed.notify_all();
    }

    pub fn set_state(&self, ids: &[&str], host_state: &'static str) {
        let entries: Vec<Entry> = {
            let state = self.state.lock().unwrap();
            ids.iter().filter_map(|id| state.entries.get(*id)).map(|e| Entry { state: host_state, ..e.1.clone() }).collect()
        };
        self.change(entries);
    }

    pub fn entry(&self, id: &str) -> Entry {
        self.state.lock().unwrap().entries[id].1.clone()
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.record.line(if down { "discovery down" } else { "discovery up" });
        self.changed.notify_all();
    }

    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.version, true, state.entries.values().map(|e| &e.1).filter(|e| e.state != "left"))
    }

    pub fn set_pieces(&self, duration: Option<Duration>) {
        *self.pieces.lock().unwrap() = duration;
        self.record.line(&format!("whole lists are written in pieces: {duration:?}"));
    }

    pub fn told(&self, director: usize, host: &str) -> Option<Told> {
        self.state.lock().unwrap().told.get(&(director, host.to_string())).cloned()
    }

    /// Whether a director has been told of a ready host, open to a proxy, that is no longer cold.
    pub fn has_warm_host(&self, director: usize, zone: Option<&str>, cold_ms: u64) -> bool {
        let now = unix_ms();
        self.state.lock().unwrap().told.iter().any(|((d, _), told)| {
            *d == director
                && told.state == "active"
                && zone.is_none_or(|zone| zone == told.zone)
                && told.started_ms + cold_ms <= now
        })
    }

    /// A director was started with this list as its last one.
    pub fn tell_known(&self, director: usize) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.told.retain(|(d, _), _| *d != director);
        let entries: Vec<Entry> =
            state.entries.values().map(|e| e.1.clone()).filter(|e| e.state != "left").collect();
        for e in entries {
            let told = Told { state: e.state, zone: e.zone.clone(), started_ms: e.started_ms, at: now };
            state.told.insert((director, e.id), told);
        }
    }

    /// A director was started again with an earlier list as its last one.
    pub fn forget_told(&self, director: usize, known: &str) {
        let Some(list) = Json::parse(known.as_bytes()) else { return };
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.told.retain(|(d, _), _| *d != director);
        for entry in list.get("servers").map_or(&[][..], Json::arr) {
            let text = |key: &str| entry.get(key).and_then(Json::str).unwrap_or("").to_string();
            let started_ms = entry.get("started_ms").and_then(Json::num).unwrap_or(0.0) as u64;
            let host_state = if text("state") == "active" { "active" } else { "leaving" };
            let told = Told { state: host_state, zone: text("zone"), started_ms, at: now };
            state.told.insert((director, text("id")), told);
        }
    }

    /// Listens for one director; the address can be closed to it later.
    pub fn listen(self: &Arc<Self>, director: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.closed.lock().unwrap().contains(&addr) {
                    return;
                }
                let this = this.clone();
                this.open.lock().unwrap().push((addr, stream.try_clone().unwrap()));
                thread::spawn(move || this.serve(stream, director));
            }
        });
        addr
    }

    /// An address accepts no new connection from now on, and its open ones are closed after 1.5 s.
    pub fn close(self: &Arc<Self>, addr: SocketAddr) {
        self.closed.lock().unwrap().insert(addr);
        let _ = TcpStream::connect(addr);
        let this = self.clone();
        thread::spawn(move || {
            thread::sleep(ms(1500));
            this.open.lock().unwrap().retain(|(at, stream)| {
                if *at == addr {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                *at != addr
            });
        });
    }

    fn serve(&self, stream: TcpStream, director: usize) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(target) = read_request(&mut reader) {
            let asked_at = Instant::now();
            self.record.line(&format!("discovery asked by director {director}: {target}"));
            let after = query(&target, "after");
            let wait = query(&target, "wait_ms").unwrap_or(0).min(60_000);
            let deadline = Instant::now() + ms(wait);
            let mut state = self.state.lock().unwrap();
            while let Some(after) = after {
                let left = deadline.saturating_duration_since(Instant::now());
                if state.down || state.version > after || left.is_zero() {
                    break;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            if state.down {
                drop(state);
                let _ = writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
                self.record.line(&format!("discovery answered director {director}: 503"));
                continue;
            }
            let full = after.is_none();
            let shown: Vec<Entry> = state
                .entries
                .values()
                .filter(|(v, e)| if full { e.state != "left" } else { *v > after.unwrap() })
                .map(|(_, e)| e.clone())
                .collect();
            let version = state.version;
            let body = list_json(version, full, shown.iter());
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let pieces = if full { *self.pieces.lock().unwrap() } else { None };
            // What is still on its way counts as told 6 s after the call (protocol page, Figures).
            let latest = asked_at + ms(6000);
            if pieces.is_some() {
                self.mark_told(director, full, &shown, latest);
            }
            let written = match pieces {
                None => writer.write_all(answer.as_bytes()).is_ok(),
                Some(duration) => {
                    let parts = answer.as_bytes().chunks(answer.len().div_ceil(10));
                    parts.into_iter().all(|part| {
                        let written = writer.write_all(part).is_ok();
                        thread::sleep(duration / 10);
                        written
                    })
                }
            };
            let how = if written { "written" } else { "cut off by the director" };
            self.record.line(&format!(
                "discovery's answer to director {director}, version {version}, {} ms after the call: {how}",
                asked_at.elapsed().as_millis()
            ));
            if !written {
                return;
            }
            self.mark_told(director, full, &shown, Instant::now().min(latest));
        }
    }

    fn mark_told(&self, director: usize, full: bool, shown: &[Entry], at: Instant) {
        {
            let now = at;
            let mut state = self.state.lock().unwrap();
            if full {
                let names: BTreeSet<&str> = shown.iter().map(|e| e.id.as_str()).collect();
                for ((d, id), told) in state.told.iter_mut() {
                    if *d == director && !names.contains(id.as_str()) && told.state != "left" {
                        told.state = "left";
                        told.at = now;
                    }
                }
            }
            for e in shown {
                let key = (director, e.id.clone());
                let same = state.told.get(&key).is_some_and(|t| {
                    let out = |s: &str| s != "active";
                    (t.state == e.state || (out(t.state) && out(e.state))) && t.started_ms == e.started_ms
                });
                if !same {
                    let told = Told { state: e.state, zone: e.zone.clone(), started_ms: e.started_ms, at: now };
                    state.told.insert(key, told);
                    self.record.line_at(now, &format!("told director {director}: {} {}", e.id, e.state));
                }
            }
        }
    }
}

fn list_json<'a>(version: u64, full: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let servers: Vec<String> = entries.map(Entry::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut header = String::new();
    loop {
        header.clear();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        if header.trim().is_empty() {
            break;
        }
    }
    first.split_whitespace().nth(1).map(str::to_string)
}

fn query(target: &str, key: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

// ---------------------------------------------------------------- hosts

/// A host: answers requests and load reports at its address while it is up.
pub struct Host {
    pub id: String,
    pub addr: SocketAddr,
    up: Arc<AtomicBool>,
    listening: Arc<AtomicBool>,
    record: Arc<Record>,
    service: Duration,
    pub runs: Arc<AtomicU64>,
}

impl Host {
    pub fn start(id: &str, service: Duration, record: Arc<Record>) -> Arc<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let host = Arc::new(Host {
            id: id.to_string(),
            addr,
            up: Arc::new(AtomicBool::new(true)),
            listening: Arc::new(AtomicBool::new(false)),
            record,
            service,
            runs: Arc::default(),
        });
        host.clone().listen(listener);
        host
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        self.listening.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            while self.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let host = self.clone();
                        thread::spawn(move || host.serve(stream));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
            drop(listener);
            self.listening.store(false, Ordering::SeqCst);
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(ms(10_000)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(target) = read_request(&mut reader) {
            if !self.up.load(Ordering::SeqCst) {
                return;
            }
            let mut body = String::new();
            if target.starts_with("/status/load") {
                body = "{\"util\":0.45,\"queue\":0,\"inflight\":2,\"latency_ms\":150.0}".into();
            } else if let Some(request) = target.strip_prefix("/run/") {
                self.runs.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("run {request} at {}", self.id));
                thread::sleep(self.service);
                if !self.up.load(Ordering::SeqCst) {
                    return;
                }
            }
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The process ends: new connections are refused.
    pub fn die(&self) {
        self.record.line(&format!("host {} ends", self.id));
        self.up.store(false, Ordering::SeqCst);
    }

    pub fn restart(self: &Arc<Self>) {
        while self.listening.load(Ordering::SeqCst) {
            thread::sleep(ms(2));
        }
        let listener = TcpListener::bind(self.addr).expect("the host's address is taken");
        self.up.store(true, Ordering::SeqCst);
        self.record.line(&format!("host {} starts again", self.id));
        self.clone().listen(listener);
    }
}

// ---------------------------------------------------------------- directors

pub struct Director {
    pub index: usize,
    pub listen: SocketAddr,
    pub discovery: Mutex<SocketAddr>,
    pub config: PathBuf,
    pub child: Mutex<Option<Child>>,
    pub answered_at: Mutex<Instant>,
    root: PathBuf,
    tmp: PathBuf,
    record: Arc<Record>,
}

pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Director {
    pub fn new(index: usize, discovery: SocketAddr, root: PathBuf, tmp: PathBuf, record: Arc<Record>) -> Director {
        let config = tmp.join(format!("config-{index}.json"));
        Director {
            index,
            listen: free_addr(),
            discovery: Mutex::new(discovery),
            config,
            child: Mutex::new(None),
            answered_at: Mutex::new(Instant::now()),
            root,
            tmp,
            record,
        }
    }

    pub fn write_config(&self, site: &Site, discovery: SocketAddr, known: &str) {
        let seed = std::env::var("SEED").unwrap_or_else(|_| "8c1f30d27a5be964".into());
        let text = format!(
            "{{\"name\":\"n{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
            self.index, self.listen, discovery, site.memory_mb, site.sockets, site.settings(self.index)
        );
        let new = self.config.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.config).unwrap();
    }

    /// Starts the program by the `run` command of the deploy file and waits for its PONG.
    pub fn start(&self) -> bool {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("no deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).expect("no run command");
        let run = run.trim_end().trim_end_matches('"');
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.tmp.join(format!("director-{}.log", self.index)))
            .unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run)
            .current_dir(&self.root)
            .env("GW_CONFIG", &self.config)
            .env("GW_NAME", format!("n{}", self.index))
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", self.discovery.lock().unwrap().to_string())
            .env("TMPDIR", &self.tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // A director never outlives the test, however that ends.
        unsafe { command.pre_exec(|| { prctl(1, SIGKILL as u64, 0, 0, 0); Ok(()) }) };
        let child = command.spawn().expect("the run command cannot be started");
        self.record.line(&format!("director {} started, process {}", self.index, child.id()));
        *self.child.lock().unwrap() = Some(child);
        let deadline = Instant::now() + ms(30_000);
        while Instant::now() < deadline {
            if let Ok(mut s) = TcpStream::connect(self.listen) {
                let _ = s.set_read_timeout(Some(ms(1000)));
                if s.write_all(&frame("{\"type\":\"PING\"}")).is_ok() && read_frame(&mut s).is_some() {
                    *self.answered_at.lock().unwrap() = Instant::now();
                    self.record.line(&format!("director {} is ready", self.index));
                    return true;
                }
            }
            thread::sleep(ms(20));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            self.record.line(&format!("signal {signal} to director {}", self.index));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the program has ended by itself.
    pub fn has_ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        match child.as_mut()?.try_wait() {
            Ok(Some(status)) => Some(status.to_string()),
            _ => None,
        }
    }

    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn frame(text: &str) -> Vec<u8> {
    let mut out = (text.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(text.as_bytes());
    out
}

pub fn read_frame(stream: &mut impl Read) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > 1 << 20 {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

// ---------------------------------------------------------------- proxies

/// The channel of a director: messages leave it one after another.
#[derive(Default)]
pub struct Channel {
    free_at: Option<Instant>,
    /// When each waiting message has left, and its lines.
    waiting: VecDeque<(Instant, f64)>,
    pub most: f64,
}

#[derive(Default)]
pub struct ProxyState {
    pub tables: Vec<BTreeMap<String, f64>>,
    pub out: BTreeSet<String>,
    pub levels: Vec<f64>,
    pub retry: Vec<u32>,
    pub joined_at: Option<Instant>,
    pub director: usize,
    pub messages: VecDeque<Instant>,
    fails: HashMap<String, u32>,
    avoid: HashMap<String, Instant>,
    bare_since: Vec<Option<Instant>>,
    counts: HashMap<usize, u64>,
    reported_bare: bool,
    tokens: Vec<(f64, Option<Instant>)>,
    over_cap: bool,
}

pub struct Proxy {
    pub id: usize,
    pub zone: &'static str,
    pub rps: f64,
    pub state: Mutex<ProxyState>,
    pub stream: Mutex<Option<TcpStream>>,
    pub generation: AtomicU64,
}

#[derive(Default, Clone, Copy)]
struct Sum {
    count: u64,
    fail: u64,
    ms: f64,
}

pub struct World {
    pub site: Site,
    pub record: Arc<Record>,
    pub discovery: Arc<Discovery>,
    pub directors: Vec<Arc<Director>>,
    pub channels: Vec<Mutex<Channel>>,
    pub proxies: Vec<Arc<Proxy>>,
    pub hosts: Mutex<BTreeMap<String, Arc<Host>>>,
    sums: Mutex<BTreeMap<(usize, &'static str, String), Sum>>,
    requests: AtomicU64,
    pub answered: AtomicU64,
    pub failed: AtomicU64,
    pub refused: AtomicU64,
    pub late_sends: Mutex<BTreeMap<(String, usize), (u64, u128)>>,
    pub stop: AtomicBool,
    pub root: PathBuf,
    pub tmp: PathBuf,
}

impl World {
    pub fn new(site: Site, case: &str) -> Arc<World> {
        // A fault of the test itself is no broken rule; the directors end with this process.
        std::panic::set_hook(Box::new(|info| {
            eprintln!("the test has failed: {info}");
            std::process::exit(2);
        }));
        let exe = std::env::current_exe().unwrap();
        // review/target/NAME
        let root = exe.ancestors().nth(3).unwrap().to_path_buf();
        let folder = root.join("review").join(case);
        std::fs::create_dir_all(&folder).expect("the folder of the case cannot be made");
        let record = Record::new(&folder.join("record.txt").display().to_string());
        let tmp = std::env::temp_dir().join(format!("wingfold-review-{}-{}", case.replace('/', "-"), std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let discovery = Discovery::new(record.clone());
        let directors: Vec<Arc<Director>> = (0..site.directors)
            .map(|i| {
                let addr = discovery.listen(i);
                Arc::new(Director::new(i, addr, root.clone(), tmp.clone(), record.clone()))
            })
            .collect();
        let mut rng = Rng(0x9E37_79B9_7F4A_7C15);
        let raw: Vec<f64> = (0..site.proxies).map(|_| 0.5 + 2.0 * rng.next()).collect();
        let total: f64 = raw.iter().sum();
        let proxies = (0..site.proxies)
            .map(|id| {
                let classes = site.classes.len();
                let state = ProxyState {
                    tables: vec![BTreeMap::new(); classes],
                    levels: vec![1e9; classes],
                    retry: vec![site.retry_default; classes],
                    bare_since: vec![None; classes],
                    tokens: vec![(1.0, None); classes],
                    director: id % site.directors,
                    ..ProxyState::default()
                };
                Arc::new(Proxy {
                    id,
                    zone: site.zones[id % site.zones.len()],
                    rps: site.requests_per_s * raw[id] / total,
                    state: Mutex::new(state),
                    stream: Mutex::new(None),
                    generation: AtomicU64::new(0),
                })
            })
            .collect();
        Arc::new(World {
            channels: directors.iter().map(|_| Mutex::default()).collect(),
            site,
            record,
            discovery,
            directors,
            proxies,
            hosts: Mutex::default(),
            sums: Mutex::default(),
            requests: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            late_sends: Mutex::default(),
            stop: AtomicBool::new(false),
            root,
            tmp,
        })
    }

    pub fn add_host(&self, id: &str) -> SocketAddr {
        let host = Host::start(id, ms(self.site.service_ms), self.record.clone());
        let addr = host.addr;
        self.hosts.lock().unwrap().insert(id.to_string(), host);
        addr
    }

    pub fn host(&self, id: &str) -> Arc<Host> {
        self.hosts.lock().unwrap()[id].clone()
    }

    /// Gives each proxy a table of listed hosts of its zone, as at its start.
    pub fn standing_tables(&self, most: usize) {
        let mut rng = Rng(77);
        for proxy in &self.proxies {
            let mut ids: Vec<String> = {
                let state = self.discovery.state.lock().unwrap();
                let all = state.entries.values().map(|e| &e.1).filter(|e| e.state == "active");
                let own: Vec<String> = all.clone().filter(|e| e.zone == proxy.zone).map(|e| e.id.clone()).collect();
                if own.len() >= 3 { own } else { all.map(|e| e.id.clone()).collect() }
            };
            while ids.len() > most {
                let at = (rng.next() * ids.len() as f64) as usize;
                ids.remove(at);
            }
            let mut state = proxy.state.lock().unwrap();
            for table in &mut state.tables {
                *table = ids.iter().map(|id| (id.clone(), 1.0)).collect();
            }
        }
    }

    pub fn start_directors(&self) {
        for director in &self.directors {
            director.write_config(&self.site, *director.discovery.lock().unwrap(), &self.discovery.known());
            self.discovery.tell_known(director.index);
            if !director.start() {
                self.could_not_run("a director did not become ready");
            }
        }
    }

    pub fn could_not_run(&self, why: &str) -> ! {
        self.record.line(&format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.end_all();
        std::process::exit(2);
    }

    pub fn end_all(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for director in &self.directors {
            director.end();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.tmp);
        } else {
            println!("logs: {}", self.tmp.display());
        }
    }

    /// Ends a director by a signal and starts it again, with the list as it last held it. From the main thread only:
    /// a director ends with the thread that started it.
    pub fn restart_with(&self, index: usize, signal: i32, known: &str) {
        let director = &self.directors[index];
        director.signal(signal);
        thread::sleep(ms(700));
        director.end();
        director.write_config(&self.site, *director.discovery.lock().unwrap(), known);
        self.discovery.forget_told(index, known);
        if !director.start() {
            self.record.broken(&format!("director {index} is not ready within 30 s"));
        }
    }

    /// Moves discovery for one director to a new address, by a new configuration and SIGHUP; the old address
    /// accepts nothing any more and closes its connections after 1.5 s.
    pub fn move_discovery(&self, index: usize) {
        let director = &self.directors[index];
        let new = self.discovery.listen(index);
        let old = std::mem::replace(&mut *director.discovery.lock().unwrap(), new);
        director.write_config(&self.site, new, &self.discovery.known());
        director.signal(SIGHUP);
        self.discovery.close(old);
    }

    /// Starts the streams, collectors, traffic and checks.
    pub fn start_traffic(self: &Arc<Self>) {
        for proxy in self.proxies.clone() {
            let world = self.clone();
            let p = proxy.clone();
            thread::spawn(move || world.keep_stream(&p));
            let world = self.clone();
            thread::spawn(move || world.send_requests(&proxy));
        }
        for director in self.directors.clone() {
            for zone in self.site.zones.clone() {
                let world = self.clone();
                let director = director.clone();
                thread::spawn(move || world.collect(&director, zone));
            }
        }
        let world = self.clone();
        thread::spawn(move || world.check_bare());
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Keeps the stream of a proxy open: dials again after a break, another director if need be.
    fn keep_stream(self: &Arc<Self>, proxy: &Arc<Proxy>) {
        let mut new = true;
        let mut rng = Rng((proxy.id as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let redial = |rng: &mut Rng| {
            let (least, most) = self.site.redial;
            ms(least + ((most - least) as f64 * rng.next()) as u64)
        };
        while !self.is_stopped() {
            let index = proxy.state.lock().unwrap().director;
            let director = &self.directors[index];
            if let Ok(mut stream) = TcpStream::connect(director.listen) {
                let _ = stream.set_nodelay(true);
                let hello = format!(
                    "{{\"type\":\"SUBSCRIBE\",\"id\":{},\"site\":\"{}\",\"rps\":{:?},\"new\":{new}}}",
                    proxy.id, proxy.zone, (proxy.rps * 10.0).round() / 10.0
                );
                if stream.write_all(&frame(&hello)).is_ok() {
                    let now = Instant::now();
                    {
                        let mut state = proxy.state.lock().unwrap();
                        state.joined_at = Some(now);
                        state.messages.clear();
                        state.bare_since.iter_mut().for_each(|s| *s = None);
                    }
                    self.record.line(&format!("proxy {} joins director {index}", proxy.id));
                    let generation = proxy.generation.fetch_add(1, Ordering::SeqCst) + 1;
                    *proxy.stream.lock().unwrap() = stream.try_clone().ok();
                    new = false;
                    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Instant, Vec<Json>)>();
                    let world = self.clone();
                    let p = proxy.clone();
                    let applier = thread::spawn(move || {
                        for (arrived, apply_at, parts) in receiver {
                            let now = Instant::now();
                            if apply_at > now {
                                thread::sleep(apply_at - now);
                            }
                            if p.generation.load(Ordering::SeqCst) != generation {
                                return;
                            }
                            world.apply(&p, arrived, &parts);
                        }
                    });
                    self.read_stream(proxy, index, &mut stream, sender);
                    {
                        let mut state = proxy.state.lock().unwrap();
                        state.joined_at = None;
                    }
                    proxy.generation.fetch_add(1, Ordering::SeqCst);
                    *proxy.stream.lock().unwrap() = None;
                    self.record.line(&format!("stream of proxy {} ended", proxy.id));
                    let _ = applier.join();
                }
                thread::sleep(redial(&mut rng));
                continue;
            }
            // This director refuses connections: the next one.
            proxy.state.lock().unwrap().director = (index + 1) % self.directors.len();
            thread::sleep(ms(20));
        }
    }

    /// Breaks the stream of a proxy, as a reset connection does.
    pub fn break_stream(&self, proxy: usize) {
        if let Some(stream) = self.proxies[proxy].stream.lock().unwrap().as_ref() {
            self.record.line(&format!("stream of proxy {proxy} is broken"));
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn read_stream(
        &self,
        proxy: &Proxy,
        index: usize,
        stream: &mut TcpStream,
        sender: std::sync::mpsc::Sender<(Instant, Instant, Vec<Json>)>,
    ) {
        let mut parts: Vec<Json> = Vec::new();
        let mut rng = Rng(proxy.id as u64 * 7919 + 13);
        let mut last_apply = Instant::now();
        while let Some(body) = read_frame(stream) {
            let Some(part) = Json::parse(&body) else { return };
            if part.get("type").and_then(Json::str) != Some("CONFIG") {
                continue;
            }
            let more = part.get("more").is_some_and(Json::bool);
            parts.push(part);
            if more {
                continue;
            }
            let now = Instant::now();
            let lines: f64 = parts.iter().map(part_lines).sum::<f64>() + self.site.overhead;
            let left_at = {
                let mut channel = self.channels[index].lock().unwrap();
                while channel.waiting.front().is_some_and(|(at, _)| *at <= now) {
                    channel.waiting.pop_front();
                }
                let start = channel.free_at.map_or(now, |at| at.max(now));
                let left_at = start + Duration::from_secs_f64(lines / self.site.egress_per_s);
                channel.free_at = Some(left_at);
                channel.waiting.push_back((left_at, lines));
                let waiting: f64 = channel.waiting.iter().map(|(_, l)| l).sum();
                channel.most = channel.most.max(waiting);
                if waiting > self.site.pending_max {
                    self.record.broken(&format!(
                        "channel of director {index} holds {waiting} lines, {} are allowed",
                        self.site.pending_max
                    ));
                }
                left_at
            };
            // Around the mean of the settings, in order.
            let transit = ms(self.site.push_delay).mul_f64(0.8 + 0.4 * rng.next());
            let apply_at = (left_at + transit).max(last_apply);
            last_apply = apply_at;
            {
                let mut state = proxy.state.lock().unwrap();
                state.messages.push_back(now);
                let window = ms(self.site.counted_over);
                while state.messages.front().is_some_and(|at| now - *at > window) {
                    state.messages.pop_front();
                }
                let count = state.messages.len();
                self.record.line(&format!(
                    "message to proxy {} of {lines} lines, {count} in the window: {}",
                    proxy.id,
                    summary(&parts)
                ));
                if self.site.update_cap > 0 && count > self.site.update_cap as usize && !state.over_cap {
                    state.over_cap = true;
                    self.record.broken(&format!(
                        "proxy {} got {count} messages within {} ms, {} are allowed",
                        proxy.id, self.site.counted_over, self.site.update_cap
                    ));
                }
            }
            let _ = sender.send((now, apply_at, std::mem::take(&mut parts)));
        }
    }

    fn apply(&self, proxy: &Proxy, arrived: Instant, parts: &[Json]) {
        let mut state = proxy.state.lock().unwrap();
        let mut tickets = Vec::new();
        for part in parts {
            let classes: Vec<usize> = match part.get("classes") {
                Some(names) => {
                    names.arr().iter().filter_map(|n| self.site.class_index(n.str().unwrap_or(""))).collect()
                }
                None => (0..self.site.classes.len()).collect(),
            };
            let whole = part.get("whole").is_some_and(Json::bool);
            for class in &classes {
                if whole {
                    state.tables[*class].clear();
                    state.levels[*class] = 1e9;
                    state.retry[*class] = self.site.retry_default;
                }
                for line in part.get("lines").map_or(&[][..], Json::arr) {
                    let host = line.arr()[0].str().unwrap().to_string();
                    let weight = line.arr()[1].num().unwrap();
                    if weight > 0.0 {
                        state.tables[*class].insert(host, weight);
                    } else {
                        state.tables[*class].remove(&host);
                    }
                }
                if let Some(level) = part.get("level").and_then(Json::num) {
                    state.levels[*class] = level;
                    state.retry[*class] = part.get("retry").and_then(Json::num).unwrap_or(0.0) as u32;
                }
            }
            for host in part.get("out").map_or(&[][..], Json::arr) {
                state.out.insert(host.str().unwrap().to_string());
            }
            for host in part.get("back").map_or(&[][..], Json::arr) {
                state.out.remove(host.str().unwrap());
            }
            if let Some(ticket) = part.get("ticket").and_then(Json::num) {
                tickets.push(ticket as u64);
            }
        }
        drop(state);
        let took = arrived.elapsed().as_secs_f64() * 1e3;
        if let Some(stream) = proxy.stream.lock().unwrap().as_mut() {
            for ticket in tickets {
                let ack = format!("{{\"type\":\"ACK\",\"id\":{},\"seq\":{ticket},\"ms\":{took:.1}}}", proxy.id);
                let _ = stream.write_all(&frame(&ack));
            }
        }
    }

    fn send_requests(self: &Arc<Self>, proxy: &Arc<Proxy>) {
        let mut rng = Rng(proxy.id as u64 * 104_729 + 7);
        let mut next_rate = Instant::now() + ms(self.site.period);
        while !self.is_stopped() {
            let pause = -(1.0 - rng.next()).ln() / proxy.rps;
            thread::sleep(Duration::from_secs_f64(pause.min(2.0)));
            let mut pick = rng.next();
            let mut class = 0;
            for (index, c) in self.site.classes.iter().enumerate() {
                class = index;
                if pick < c.share {
                    break;
                }
                pick -= c.share;
            }
            *proxy.state.lock().unwrap().counts.entry(class).or_default() += 1;
            if Instant::now() >= next_rate {
                next_rate += ms(self.site.period);
                self.send_usage(proxy);
            }
            let request = self.requests.fetch_add(1, Ordering::SeqCst);
            let world = self.clone();
            let p = proxy.clone();
            let seed = (rng.next() * 1e15) as u64 + 1;
            thread::spawn(move || world.request(&p, class, request, seed));
        }
    }

    fn send_usage(&self, proxy: &Proxy) {
        let counts = std::mem::take(&mut proxy.state.lock().unwrap().counts);
        if let Some(stream) = proxy.stream.lock().unwrap().as_mut() {
            for (class, count) in counts {
                let text = format!(
                    "{{\"type\":\"RATE\",\"id\":{},\"lane\":\"{}\",\"count\":{count},\"fail\":0,\"over\":{:?}}}",
                    proxy.id, self.site.classes[class].name, self.site.period as f64
                );
                let _ = stream.write_all(&frame(&text));
            }
        }
    }

    /// One request: picks a line by weight, and tries once more after proof that the first try never ran, if
    /// the director has ordered it.
    fn request(&self, proxy: &Proxy, class: usize, request: u64, seed: u64) {
        let mut rng = Rng(seed);
        rng.next();
        let mut tried: Option<String> = None;
        loop {
            let now = Instant::now();
            let picked = {
                let mut state = proxy.state.lock().unwrap();
                if tried.is_none() && !admits(&mut state, self.site.admit, class, now, &mut rng) {
                    None
                } else {
                    pick_line(&state, class, tried.as_deref(), now, &mut rng)
                        .map(|h| (h, state.director, state.joined_at, state.retry[class]))
                }
            };
            let Some((host, director, joined_at, retry)) = picked else {
                self.refused.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("request {request} of {} refused at proxy {}", self.site.classes[class].name, proxy.id));
                return;
            };
            self.check_drain(proxy, director, joined_at, &host, now);
            self.record.line_at(now, &format!(
                "request {request} of {} sent by proxy {} to {host}", self.site.classes[class].name, proxy.id));
            let addr = self.hosts.lock().unwrap().get(&host).map(|h| h.addr);
            let outcome = addr.map_or(Attempt::NeverRan, |addr| attempt(addr, request, ms(self.site.classes[class].deadline)));
            let took = now.elapsed().as_secs_f64() * 1e3;
            {
                let mut sums = self.sums.lock().unwrap();
                let sum = sums.entry((director, proxy.zone, host.clone())).or_default();
                sum.count += 1;
                match outcome {
                    Attempt::Answered => sum.ms += took,
                    _ => sum.fail += 1,
                }
            }
            {
                let mut state = proxy.state.lock().unwrap();
                if outcome == Attempt::Answered {
                    state.fails.remove(&host);
                } else {
                    let fails = state.fails.entry(host.clone()).or_default();
                    *fails += 1;
                    if self.site.ejects > 0 && *fails >= self.site.ejects {
                        *fails = 0;
                        state.avoid.insert(host.clone(), now + ms(self.site.eject_ms));
                    }
                }
            }
            match outcome {
                Attempt::Answered => {
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!("request {request} answered by {host}"));
                    return;
                }
                Attempt::NeverRan if retry >= 1 && tried.is_none() => tried = Some(host),
                _ => {
                    self.failed.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!("request {request} failed at {host}"));
                    return;
                }
            }
        }
    }

    /// The rule on drains, with the 300 ms of the protocol page.
    fn check_drain(&self, proxy: &Proxy, director: usize, joined_at: Option<Instant>, host: &str, now: Instant) {
        let Some(joined_at) = joined_at else { return };
        let Some(told) = self.discovery.told(director, host) else { return };
        if told.state == "active" || (self.site.gone_is_advice && told.state == "left") {
            return;
        }
        let answered_at = *self.directors[director].answered_at.lock().unwrap();
        let start = told.at.max(joined_at).max(answered_at + ms(1000));
        let limit = start + ms(self.site.drain_grace) + ms(300);
        if now > limit {
            let late = (now - limit).as_millis();
            let mut late_sends = self.late_sends.lock().unwrap();
            let entry = late_sends.entry((host.to_string(), proxy.id)).or_default();
            entry.0 += 1;
            entry.1 = entry.1.max(late);
            if entry.0 == 1 {
                self.record.broken(&format!(
                    "proxy {} sends to {host}, {} ms after director {director} was told that it is {}; {} ms are allowed",
                    proxy.id, (now - start).as_millis(), told.state, self.site.drain_grace + 300
                ));
            }
        }
    }

    /// The rule that no joined proxy is left without a line, with the 300 ms of the protocol page.
    fn check_bare(&self) {
        while !self.is_stopped() {
            thread::sleep(ms(50));
            let now = Instant::now();
            for proxy in &self.proxies {
                let mut state = proxy.state.lock().unwrap();
                let director = state.director;
                let answered_at = *self.directors[director].answered_at.lock().unwrap();
                for class in 0..self.site.classes.len() {
                    let zone = self.site.classes[class].home_only.then_some(proxy.zone);
                    let lacks = state.joined_at.is_some()
                        && now > answered_at + ms(1000)
                        && !state.tables[class].keys().any(|h| !state.out.contains(h))
                        && self.discovery.has_warm_host(director, zone, self.site.cold);
                    if !lacks {
                        state.bare_since[class] = None;
                        continue;
                    }
                    let since = *state.bare_since[class].get_or_insert(now);
                    if now - since > ms(self.site.bare + 300) && !state.reported_bare {
                        state.reported_bare = true;
                        self.record.broken(&format!(
                            "proxy {} has had no line for {} for {} ms, though a warm host is listed",
                            proxy.id, self.site.classes[class].name, (now - since).as_millis()
                        ));
                    }
                }
            }
        }
    }

    /// The collector of a zone: sums of each period, late.
    fn collect(&self, director: &Director, zone: &'static str) {
        while !self.is_stopped() {
            if let Ok(mut stream) = TcpStream::connect(director.listen) {
                let _ = stream.write_all(&frame(&format!("{{\"type\":\"SOURCE\",\"site\":\"{zone}\"}}")));
                while !self.is_stopped() {
                    thread::sleep(ms(self.site.period));
                    let mine: Vec<(String, Sum)> = {
                        let mut sums = self.sums.lock().unwrap();
                        let keys: Vec<_> = sums
                            .keys()
                            .filter(|(d, z, _)| *d == director.index && *z == zone)
                            .cloned()
                            .collect();
                        keys.into_iter().map(|k| { let s = sums.remove(&k).unwrap(); (k.2, s) }).collect()
                    };
                    thread::sleep(ms(self.site.heard_late));
                    let mut failed = false;
                    for (host, sum) in mine {
                        let good = sum.count - sum.fail;
                        let mean = if good > 0 { sum.ms / good as f64 } else { 0.0 };
                        let util = if good > 0 && self.site.report_how == "piggyback" {
                            ",\"util\":{\"util\":0.45,\"queue\":0}"
                        } else {
                            ""
                        };
                        let text = format!(
                            "{{\"type\":\"LOAD\",\"site\":\"{zone}\",\"target\":\"{host}\",\"count\":{},\"fail\":{},\"mean\":{mean:.1},\"over\":{:?}{util}}}",
                            sum.count, sum.fail, self.site.period as f64
                        );
                        failed |= stream.write_all(&frame(&text)).is_err();
                    }
                    if failed {
                        break;
                    }
                }
            }
            thread::sleep(ms(200));
        }
    }

    /// Ends the run and the program: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    pub fn finish(&self) -> ! {
        for director in &self.directors {
            if let Some(status) = director.has_ended() {
                self.record.broken(&format!("director {} ended by itself: {status}", director.index));
            }
        }
        let late: Vec<String> = self
            .late_sends
            .lock()
            .unwrap()
            .iter()
            .map(|((host, proxy), (count, most))| format!("{host} by proxy {proxy}: {count} late sends, the latest {most} ms past the limit"))
            .collect();
        for line in &late {
            self.record.line(line);
        }
        let most: Vec<f64> = self.channels.iter().map(|c| c.lock().unwrap().most).collect();
        let totals = format!(
            "requests {}, answered {}, failed {}, refused {}, most lines waiting in a channel {:?}",
            self.requests.load(Ordering::SeqCst),
            self.answered.load(Ordering::SeqCst),
            self.failed.load(Ordering::SeqCst),
            self.refused.load(Ordering::SeqCst),
            most
        );
        self.record.line(&totals);
        println!("{totals}");
        let broken = self.record.count_broken();
        if let Some(first) = self.record.first_broken() {
            println!("broken {broken} times, first: {first}");
        }
        self.end_all();
        if self.requests.load(Ordering::SeqCst) == 0 || self.answered.load(Ordering::SeqCst) == 0 {
            println!("no request was answered");
            std::process::exit(if broken > 0 { 1 } else { 2 });
        }
        std::process::exit(if broken > 0 { 1 } else { 0 });
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Attempt {
    Answered,
    /// Proof that it never ran: the connection was refused.
    NeverRan,
    MayHaveRun,
}

fn attempt(addr: SocketAddr, request: u64, limit: Duration) -> Attempt {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(250)) else { return Attempt::NeverRan };
    let _ = stream.set_read_timeout(Some(limit));
    let text = format!("GET /run/{request} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    if stream.write_all(text.as_bytes()).is_err() {
        return Attempt::MayHaveRun;
    }
    let mut answer = [0; 12];
    match stream.read_exact(&mut answer) {
        Ok(()) if answer.ends_with(b"200") => Attempt::Answered,
        _ => Attempt::MayHaveRun,
    }
}

fn admits(state: &mut ProxyState, admit: &str, class: usize, now: Instant, rng: &mut Rng) -> bool {
    let level = state.levels[class];
    match admit {
        "share" => level >= 1.0 || rng.next() < level,
        "rate" => {
            let (tokens, at) = state.tokens[class];
            let passed = at.map_or(0.0, |at| (now - at).as_secs_f64());
            let tokens = (tokens + passed * level).min(level.max(1.0));
            let admitted = tokens >= 1.0;
            state.tokens[class] = (if admitted { tokens - 1.0 } else { tokens }, Some(now));
            admitted
        }
        _ => true,
    }
}

fn pick_line(state: &ProxyState, class: usize, not: Option<&str>, now: Instant, rng: &mut Rng) -> Option<String> {
    let usable: Vec<(&String, f64)> = state.tables[class]
        .iter()
        .filter(|(h, _)| !state.out.contains(*h) && Some(h.as_str()) != not)
        .map(|(h, w)| (h, *w))
        .collect();
    let unshunned: Vec<(&String, f64)> =
        usable.iter().filter(|(h, _)| state.avoid.get(*h).is_none_or(|until| *until <= now)).copied().collect();
    let lines = if unshunned.is_empty() { usable } else { unshunned };
    let total: f64 = lines.iter().map(|(_, w)| w).sum();
    let mut at = rng.next() * total;
    for (host, weight) in &lines {
        if at < *weight {
            return Some(host.to_string());
        }
        at -= weight;
    }
    lines.last().map(|(h, _)| h.to_string())
}

fn part_lines(part: &Json) -> f64 {
    let len = |key: &str| part.get(key).map_or(0, |v| v.arr().len());
    let whole = part.get("whole").is_some_and(Json::bool) as usize;
    let level = part.get("level").is_some() as usize;
    let ticket = part.get("ticket").is_some() as usize;
    (len("lines") + len("out") + len("back") + whole + level + ticket) as f64
}

fn summary(parts: &[Json]) -> String {
    let mut out = String::new();
    for part in parts {
        if part.get("whole").is_some_and(Json::bool) {
            out.push_str("whole ");
        }
        for line in part.get("lines").map_or(&[][..], Json::arr) {
            let weight = line.arr()[1].num().unwrap_or(-1.0);
            out.push_str(&format!("{}={weight:.3} ", line.arr()[0].str().unwrap_or("?")));
        }
        if let Some(level) = part.get("level").and_then(Json::num) {
            out.push_str(&format!("level {level:.2} retry {} ", part.get("retry").and_then(Json::num).unwrap_or(-1.0)));
        }
        for key in ["out", "back"] {
            for host in part.get(key).map_or(&[][..], Json::arr) {
                out.push_str(&format!("{key} {} ", host.str().unwrap_or("?")));
            }
        }
        if let Some(ticket) = part.get("ticket").and_then(Json::num) {
            out.push_str(&format!("ticket {ticket} "));
        }
    }
    out
}

// ---------------------------------------------------------------- deployments

/// Coastline Callworks (`kit/sites/coastline-scripts.toml`), first size, with figures inside its ranges.
pub fn coastline(proxies: usize, requests_per_s: f64) -> Site {
    let class = |name, share, goal, deadline, gain, repeat, window, write| Class {
        name, share, goal, deadline, gain, repeat, group: "cell", window, late_value: 0.2, write, home_only: false,
    };
    Site {
        zones: vec!["burnaby", "abbotsford", "nanaimo", "squamish"],
        classes: vec![
            class("script-fetch", 0.48, 1500, 4000, 1.0, "idempotent", 5000, false),
            class("outcome-save", 0.40, 1000, 3000, 5.0, "deduplicated", 3000, true),
            class("booking-send", 0.12, 800, 2500, 3.0, "at_most_once", 5000, true),
        ],
        pushed: true,
        admit: "share",
        bare: 3500,
        counted_over: 10_000,
        egress_per_s: 8500.0,
        ejects: 3,
        eject_ms: 4000,
        overhead: 3.0,
        pending_max: 8500.0,
        period: 1000,
        heard_late: 700,
        proxies,
        push_delay: 430,
        transit_max: 1075,
        reports_per_s: 1000.0,
        retry_default: 0,
        update_cap: 12,
        selects_by: "weighted",
        conn_idle: 15_000,
        probing: true,
        peers: false,
        report_how: "piggyback",
        ask_within: 0,
        cold: 18_000,
        drain_grace: 2000,
        gone_is_advice: false,
        overload_factor: 2.5,
        overload_for: 2000,
        start_capacity: 0.17,
        cross_zone: 0.06,
        directors: 2,
        weights: "nominal",
        memory_mb: 192,
        sockets: 1024,
        requests_per_s,
        service_ms: 60,
        redial: (130, 2300),
    }
}

/// Carronbank Inspection (`kit/sites/central-belt.toml`), with figures inside its ranges.
pub fn central_belt(proxies: usize, requests_per_s: f64) -> Site {
    Site {
        zones: vec!["livingston", "hillington", "south-gyle"],
        classes: vec![
            Class {
                name: "score", share: 0.75, goal: 1000, deadline: 3000, gain: 1.0, repeat: "idempotent", group: "all",
                window: 5000, late_value: 0.1, write: false, home_only: false,
            },
            Class {
                name: "verdict", share: 0.25, goal: 600, deadline: 1500, gain: 5.0, repeat: "deduplicated", group: "cell",
                window: 3000, late_value: 0.1, write: true, home_only: false,
            },
        ],
        pushed: false,
        admit: "rate",
        bare: 3500,
        counted_over: 10_000,
        egress_per_s: 2400.0,
        ejects: 8,
        eject_ms: 5000,
        overhead: 4.0,
        pending_max: 4800.0,
        period: 2000,
        heard_late: 700,
        proxies,
        push_delay: 300,
        transit_max: 750,
        reports_per_s: 200.0,
        update_cap: 0,
        selects_by: "round",
        report_how: "pull",
        ask_within: 10_000,
        overload_factor: 4.0,
        overload_for: 3000,
        start_capacity: 0.24,
        cross_zone: 0.04,
        weights: "rough",
        service_ms: 60,
        redial: (120, 2400),
        ..coastline(proxies, requests_per_s)
    }
}

/// The Nile Delta farm game (`kit/sites/delta-farm-game.toml`), with figures inside its ranges.
pub fn delta_farm(proxies: usize, requests_per_s: f64) -> Site {
    let class = |name, share, goal, deadline, gain, repeat| Class {
        name, share, goal, deadline, gain, repeat, group: "all", window: 5000, late_value: 0.1, write: false, home_only: false,
    };
    Site {
        zones: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
        classes: vec![
            class("view-plot", 0.46, 750, 2000, 3.0, "idempotent"),
            class("save-plot", 0.45, 1000, 2500, 3.0, "idempotent"),
            class("sell-harvest", 0.09, 750, 2500, 9.0, "at_most_once"),
        ],
        pushed: false,
        admit: "silent",
        egress_per_s: 12_000.0,
        pending_max: 12_000.0,
        period: 500,
        push_delay: 225,
        transit_max: 560,
        reports_per_s: 100.0,
        retry_default: 1,
        update_cap: 0,
        probing: false,
        ask_within: 10_000,
        cold: 14_000,
        drain_grace: 3000,
        overload_factor: 4.0,
        overload_for: 3000,
        start_capacity: 0.18,
        directors: 1,
        weights: "silent",
        redial: (600, 2400),
        ..coastline(proxies, requests_per_s)
    }
}
