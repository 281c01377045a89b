//! The configuration. Only this module reads the variables `GW_*` and the file that `GW_CONFIG` names, checks
//! their values and fills in defaults. Each error names the key or variable that is wrong.

mod bounds;

pub use bounds::Bounds;

use bounds::ProcessLimits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use wingfold_director::interface::Settings;
use wingfold_settings::{PlatformSettings, ReportNames};

use crate::list::EndpointListResponse;
use crate::log;

/// Largest number of classes that the settings may have.
const MAX_CLASSES: usize = 64;

/// The checked configuration of a director, except for its local settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// The director's name, which stays the same across restarts.
    pub name: String,
    /// Address that proxies, collectors and HTTP clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of random numbers; each start gets a new one.
    pub seed: u64,
    /// Addresses of the directors; `None` if the directors do not exchange messages.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list that the previous run cached.
    pub cached_list: Option<EndpointListResponse>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// Names of classes and of the fields of load reports, which messages use.
    pub names: ReportNames,
    /// Bounds of the transport.
    pub bounds: Bounds,
}

/// Addresses of the datagrams that directors exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    /// Address on which this director receives datagrams.
    pub listen: SocketAddr,
    /// The address of each director, at the director's index.
    pub by_index: Vec<SocketAddr>,
    /// The address that reaches all directors.
    pub broadcast: SocketAddr,
}

/// Which value is used if both a variable and a key of the file give it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Precedence {
    /// That of the variable: at the start.
    Environment,
    /// That of the file: at a reload, when the file may be new and the variables are still those of the
    /// start.
    File,
}

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key is missing or has a wrong value.
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
        /// The path of the file.
        path: String,
        /// Why reading failed.
        problem: std::io::Error,
    },
}

/// The configuration file as written, before its values are checked.
#[derive(Debug, Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: ProcessLimits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<EndpointListResponse>,
    settings: PlatformSettings,
}

/// A value with its source, which error messages name.
struct SourcedValue {
    /// The key of the file, or the name of the variable.
    source: &'static str,
    value: String,
}

impl SourcedValue {
    fn address(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(self.source, &self.value)
    }
}

/// Reads values that either a variable or a key of the file may give.
struct Sources<Var> {
    precedence: Precedence,
    variable: Var,
}

impl<Var: Fn(&str) -> Option<String>> Sources<Var> {
    fn read(
        &self,
        variable: &'static str,
        key: &'static str,
        in_file: Option<String>,
    ) -> Result<SourcedValue, ConfigError> {
        let from_variable = (self.variable)(variable).map(|value| SourcedValue { source: variable, value });
        let from_file = in_file.map(|value| SourcedValue { source: key, value });
        let found = match self.precedence {
            Precedence::File => from_file.or(from_variable),
            Precedence::Environment => from_variable.or(from_file),
        };
        found.ok_or_else(|| key_error(variable, &format!("not set, nor is `{key}` in the file")))
    }
}

impl Config {
    /// Reads the environment of the process and the configuration file, which is `file` or else the one that
    /// `GW_CONFIG` names.
    pub fn from_env(file: Option<&Path>, precedence: Precedence) -> Result<Config, ConfigError> {
        let path = match file {
            Some(path) => path.display().to_string(),
            None => std::env::var("GW_CONFIG").map_err(|_| {
                key_error("GW_CONFIG", "not set; the path of the configuration file is expected")
            })?,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(problem) => return Err(ConfigError::File { path, problem }),
        };
        Config::read(&text, precedence, |key| std::env::var(key).ok())
    }

    /// Reads the text of a configuration file; `variable` looks up the value of an environment variable.
    pub fn read(
        text: &str,
        precedence: Precedence,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file: ConfigFile = wingfold_settings::parse_json(text)
            .map_err(|error| key_error(&error.path, &log::sanitize(&error.problem)))?;
        let settings = file.settings.director_settings();
        let names = file.settings.report_names();
        let transport = file.settings.transport();
        check_settings(&settings, &names)?;
        let sources = Sources { precedence, variable };
        let name = sources.read("GW_NAME", "name", file.name)?.value;
        let listen = sources.read("GW_LISTEN", "listen", file.listen)?.address()?;
        let discovery = sources.read("GW_DISCOVERY", "discovery", file.discovery)?.address()?;
        let seed = read_seed(file.seed.as_deref())?;
        let peers = if transport.peers_allowed && !file.peers.is_empty() {
            Some(PeerAddresses::read(&file.peers, file.peer_listen.as_deref(), file.peers_all.as_deref())?)
        } else {
            None
        };
        let bounds = Bounds::derive(&settings, &transport, &file.limits);
        Ok(Config { name, listen, discovery, seed, peers, cached_list: file.known, settings, names, bounds })
    }

    /// The keys whose values differ in `new` and take effect only at a restart. The seed and the cached list
    /// are not among them: they are used only at a start.
    pub fn changes_that_need_restart(&self, new: &Config) -> Vec<&'static str> {
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

    /// This configuration with those values of `new` that take effect without a restart.
    pub fn with_reloaded(&self, new: &Config) -> Config {
        Config { discovery: new.discovery, cached_list: None, ..self.clone() }
    }
}

impl PeerAddresses {
    fn read(each: &[String], listen: Option<&str>, all: Option<&str>) -> Result<PeerAddresses, ConfigError> {
        let listen = required_address("peer_listen", listen)?;
        let mut addresses = Vec::with_capacity(each.len());
        for (index, peer) in each.iter().enumerate() {
            addresses.push(parse_address(&format!("peers[{index}]"), peer)?);
        }
        let broadcast = required_address("peers_all", all)?;
        Ok(PeerAddresses { listen, by_index: addresses, broadcast })
    }
}

fn required_address(key: &str, value: Option<&str>) -> Result<SocketAddr, ConfigError> {
    match value {
        Some(value) => parse_address(key, value),
        None => Err(key_error(key, "missing, though `peers` is given and the settings allow peers")),
    }
}

fn read_seed(seed: Option<&str>) -> Result<u64, ConfigError> {
    let Some(seed) = seed else { return Ok(0) };
    u64::from_str_radix(seed, 16)
        .map_err(|_| key_error("seed", &format!("`{seed}` is not a number of up to 16 hexadecimal digits")))
}

/// Checks the constraints on the settings that their types do not express.
fn check_settings(settings: &Settings, names: &ReportNames) -> Result<(), ConfigError> {
    let fault = |key: &str, problem: &str| Err(key_error(&format!("settings.{key}"), problem));
    if settings.classes.is_empty() || settings.classes.len() > MAX_CLASSES {
        return fault("classes", "1 to 64 classes are expected");
    }
    if has_duplicates(&names.classes) {
        return fault("classes", "two classes have the same name");
    }
    if settings.zones.is_empty() {
        return fault("dcs", "at least one zone is expected");
    }
    if settings.directors == 0 || settings.director_index >= settings.directors {
        return fault("me", "a number below `replicas_of_me` is expected");
    }
    let positive_settings = [
        ("family_info.egress_per_s", settings.send_rate_lines_per_s),
        ("family_info.pending_max", settings.max_queued_lines),
        ("family_info.reports_per_s", settings.max_report_lines_per_s),
        ("rules.overload_factor", settings.overload_factor),
    ];
    for (key, value) in positive_settings {
        if !value.is_finite() || value <= 0.0 {
            return fault(key, "a number above 0 is expected");
        }
    }
    Ok(())
}

fn has_duplicates(names: &[String]) -> bool {
    (0..names.len()).any(|index| names[..index].contains(&names[index]))
}

fn key_error(key: &str, problem: &str) -> ConfigError {
    ConfigError::Key { key: key.into(), problem: problem.into() }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| key_error(key, &format!("`{text}` is not an address with a port, like 10.0.0.4:8443")))
}
