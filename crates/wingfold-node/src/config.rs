//! The configuration: `GW_*` and the file `GW_CONFIG` are read, checked and given defaults here and nowhere else.
//! A fault is told once, by the key it is in.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use wingfold_director::interface::Settings;
use wingfold_settings::{Info, Names, Transport};

use crate::list::EndpointListResponse;
use crate::log;

/// Everything a director is told at its start, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where proxies and collectors connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The other directors; `None` where they have no way to reach each other.
    pub peers: Option<Peers>,
    /// The list as last held.
    pub known: Option<EndpointListResponse>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names that messages refer to.
    pub names: Names,
    /// Bounds of the transport.
    pub bounds: Bounds,
}

/// Where datagrams between directors go.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where they arrive.
    pub listen: SocketAddr,
    /// One address for each director, by number.
    pub each: Vec<SocketAddr>,
    /// Reaches every one of them.
    pub all: SocketAddr,
}

/// Bounds of the transport: each derived from the settings or the limits where they speak of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Connections at the listener: the descriptors less those for probes and for what is always open (the log,
    /// the listener, datagrams, the runtime's own, two calls to discovery and those they replace).
    pub connections: usize,
    /// Proxies and collectors that may be here at once, by the settings.
    pub named: usize,
    /// Connections that have not named their client: what the clients leave of the above, no more than a quarter
    /// of it, and a few in any case: a proxy is an unidentified connection until its first message is read.
    pub unidentified: usize,
    /// Time from accepting a connection until it has named its client: the protocol lets one be closed that has
    /// not joined within a second.
    pub naming: Duration,
    /// Connections of one zone's collector: it has one, and a broken one may not be seen to end at once.
    pub collectors_a_zone: usize,
    /// A named connection on which nothing came for so long has ended without a word. A proxy sends its usage
    /// each period, but only where there was some, and one that is cut off for being idle must dial and be bound
    /// again: this is hundreds of periods. Meanwhile a silent one costs a descriptor that is set aside for it.
    pub silence: Duration,
    /// Bytes that may wait for one reader: as much as the protocol lets a client leave unread.
    pub unread: usize,
    /// Bytes of messages that are not short, on all connections together: a quarter of the memory.
    pub long_messages: usize,
    /// Sums and usage that may wait for the module: what the settings let arrive in ten seconds.
    pub reports: usize,
    /// A watch waits this long at discovery: half of the time in which it must ask again, so that a call
    /// which falls silent is found out inside that time.
    pub watch: Duration,
    /// Time for discovery's answer beyond what the call itself waits.
    pub list_answer: Duration,
    /// Bytes of one list, at most: an eighth of the memory.
    pub list_bytes: usize,
    /// Hosts whose addresses and evidence are kept: what an eighth of the memory holds, and 1,024 in any case.
    pub hosts: usize,
    /// Time for a connection to a host that is probed: as long as proxies wait for one. One to discovery may take as long
    /// as its answer: a slow way there must not make the director blind.
    pub connect: Duration,
    /// Time for a probe: a report is stale once requests of the tightest class would have been given up on.
    pub probe: Duration,
    /// Probes under way at once: an eighth of the descriptors.
    pub probes: usize,
    /// All the memory there is, in bytes.
    pub memory: usize,
}

/// What one host takes, in bytes, with its paths and lines: 2.6 to 2.9 KiB measured at three zones (docs/results.md).
const HOST_BYTES: usize = 3 << 10;

/// Which goes first where a variable and a key of the file say the same thing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum First {
    /// The variable: at the start.
    Variable,
    /// The file's key: once the file was replaced, while the variables are those of the start.
    Key,
}

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key is missing or holds what it should not.
    #[error("key `{key}`: {problem}")]
    Key {
        /// The key's path, or the variable's name.
        key: String,
        /// What was found or expected.
        problem: String,
    },
    /// The file cannot be read at all.
    #[error("key `GW_CONFIG`: the file `{path}` cannot be read: {problem}")]
    File {
        /// Where it should be.
        path: String,
        /// Why not.
        problem: std::io::Error,
    },
}

/// The file as it stands.
#[derive(Debug, Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<EndpointListResponse>,
    settings: Info,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    /// The least that scored deployments give.
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

impl Config {
    /// Reads the process's environment and the file that it names by its path, as both stand now; `file` goes before
    /// the one that `GW_CONFIG` names.
    pub fn from_env(file: Option<&Path>, first: First) -> Result<Config, ConfigError> {
        let path = match file {
            Some(path) => path.display().to_string(),
            None => {
                std::env::var("GW_CONFIG").map_err(|_| wrong("GW_CONFIG", "not set: it names the file"))?
            }
        };
        let text = std::fs::read_to_string(&path)
            .map_err(|problem| ConfigError::File { path: path.clone(), problem })?;
        Config::read(&text, first, |key| std::env::var(key).ok())
    }

    /// Reads the file's text; `var` gives the variables.
    pub fn read(
        text: &str,
        first: First,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file: File =
            wingfold_settings::read(text).map_err(|e| wrong(&e.path, &log::plain(&e.problem)))?;
        let (settings, names, transport) =
            (file.settings.settings(), file.settings.names(), file.settings.transport());
        check(&settings, &names)?;
        let either = |variable: &'static str, name: &'static str, value: Option<String>| {
            let (var, key) = (var(variable).map(|v| (variable, v)), value.map(|value| (name, value)));
            let told = if first == First::Key { key.or(var) } else { var.or(key) };
            told.ok_or_else(|| wrong(variable, &format!("not set, nor is `{name}` in the file")))
        };
        let (_, name) = either("GW_NAME", "name", file.name)?;
        let (key, listen) = either("GW_LISTEN", "listen", file.listen)?;
        let listen = address(key, &listen)?;
        let (key, discovery) = either("GW_DISCOVERY", "discovery", file.discovery)?;
        let discovery = address(key, &discovery)?;
        let seed = match &file.seed {
            None => 0,
            Some(text) => u64::from_str_radix(text, 16).map_err(|_| {
                wrong("seed", &format!("`{text}` is not a number of up to 16 hexadecimal digits"))
            })?,
        };
        let peers = match transport.peers && !file.peers.is_empty() {
            false => None,
            true => {
                let need = |key: &'static str, value: &Option<String>| match value {
                    Some(value) => address(key, value),
                    None => Err(wrong(key, "missing, though `peers` is given and the settings allow peers")),
                };
                let each = file.peers.iter().enumerate();
                let each = each.map(|(at, peer)| address(&format!("peers[{at}]"), peer));
                Some(Peers {
                    listen: need("peer_listen", &file.peer_listen)?,
                    each: each.collect::<Result<_, _>>()?,
                    all: need("peers_all", &file.peers_all)?,
                })
            }
        };
        let bounds = Bounds::derive(&settings, &transport, &file.limits);
        let known = file.known;
        Ok(Config { name, listen, discovery, seed, peers, known, settings, names, bounds })
    }

    /// The keys that differ in `new` and take effect at a restart only. The seed and the list remembered are for
    /// the start alone.
    pub fn needs_restart(&self, new: &Config) -> Vec<&'static str> {
        let settings = self.settings != new.settings || self.names != new.names;
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("peers", self.peers != new.peers),
            ("settings", settings),
            ("limits", !settings && self.bounds != new.bounds),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// This configuration with all of `new` that takes effect at once.
    pub fn with(&self, new: &Config) -> Config {
        Config { discovery: new.discovery, known: None, ..self.clone() }
    }
}

impl Bounds {
    fn derive(settings: &Settings, transport: &Transport, limits: &Limits) -> Bounds {
        let micros = |time: wingfold_director::interface::Micros| Duration::from_micros(time.0);
        let collectors_a_zone = 4;
        let named = settings.proxies as usize + collectors_a_zone * settings.zones.len();
        let probes = (limits.sockets / 8).max(1);
        let (always_open, least) = (24, 16);
        // With too few for all proxies it serves those that come first.
        let connections = limits.sockets.saturating_sub(probes + always_open).max(least);
        let unidentified = connections.saturating_sub(named).min(connections / 4).max(least);
        // Where the settings name no such time, ten seconds stand for it.
        let ask_within = match settings.poll_within.0 {
            0 => Duration::from_secs(10),
            _ => micros(settings.poll_within),
        };
        let aim =
            settings.classes.iter().map(|class| class.latency_objective).min().map_or(ask_within, micros);
        Bounds {
            connections,
            named,
            unidentified,
            naming: Duration::from_secs(1),
            collectors_a_zone,
            silence: (micros(settings.report_period) * 300).max(Duration::from_secs(600)),
            unread: 128 << 10,
            long_messages: limits.memory_mb.max(8) << 18,
            reports: (settings.max_report_lines_per_s * 10.0).clamp(1e3, 1e5) as usize,
            watch: ask_within / 2,
            list_answer: Duration::from_secs(2).min(ask_within / 4),
            list_bytes: limits.memory_mb.max(8) << 17,
            hosts: ((limits.memory_mb << 17) / HOST_BYTES).max(1024),
            connect: transport.connect_timeout.unwrap_or(Duration::from_secs(1)),
            probe: aim,
            probes,
            memory: limits.memory_mb << 20,
        }
    }

    /// The same where something else takes so many bytes and descriptors of the limits.
    pub fn less(&self, bytes: usize, descriptors: usize) -> Result<Bounds, ConfigError> {
        if bytes > self.memory / 2 {
            let (needs, has) = (bytes >> 20, self.memory >> 20);
            return Err(wrong(
                "capture",
                &format!("its memory and queue take {needs} MB of {has}; half at most may go"),
            ));
        }
        let left = |of: usize| (of as f64 * (1.0 - bytes as f64 / self.memory.max(1) as f64)) as usize;
        let least = self.unidentified.min(self.connections);
        Ok(Bounds {
            connections: self.connections.saturating_sub(descriptors).max(least),
            long_messages: left(self.long_messages),
            list_bytes: left(self.list_bytes),
            ..self.clone()
        })
    }
}

/// What types alone do not say of the settings.
fn check(settings: &Settings, names: &Names) -> Result<(), ConfigError> {
    let fault = |key: &str, problem: &str| Err(wrong(&format!("settings.{key}"), problem));
    let positive = |value: f64| value.is_finite() && value > 0.0;
    if settings.classes.is_empty() || settings.classes.len() > 64 {
        return fault("classes", "1 to 64 classes are expected");
    }
    if (0..names.classes.len()).any(|at| names.classes[..at].contains(&names.classes[at])) {
        return fault("classes", "two classes have the same name");
    }
    if settings.zones.is_empty() {
        return fault("dcs", "at least one zone is expected");
    }
    if settings.directors == 0 || settings.director_index >= settings.directors {
        return fault("me", "a number below `replicas_of_me` is expected");
    }
    let figures = [
        ("family_info.egress_per_s", settings.send_rate_lines_per_s),
        ("family_info.pending_max", settings.max_queued_lines),
        ("family_info.reports_per_s", settings.max_report_lines_per_s),
        ("rules.overload_factor", settings.overload_factor),
    ];
    match figures.into_iter().find(|(_, value)| !positive(*value)) {
        Some((key, _)) => fault(key, "a number above 0 is expected"),
        None => Ok(()),
    }
}

fn wrong(key: &str, problem: &str) -> ConfigError {
    ConfigError::Key { key: key.into(), problem: problem.into() }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| wrong(key, &format!("`{text}` is not an address with a port, like 10.0.0.4:8443")))
}
