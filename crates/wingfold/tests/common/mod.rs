//! Starts the director program with scripted peers, on a loopback address that no other test uses, and
//! connects to the director as proxies, collectors, operators and unidentified clients.
#![allow(dead_code)] // Each test file uses only some of these items.

pub mod messages;

pub use wingfold_test_support::*;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time that a planned restart leaves for the exit after SIGTERM.
pub const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(700);

/// Polls a condition until it holds; panics with its description after `TEST_TIMEOUT`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "condition not met in time: {description}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sets a flag when it is dropped, also by a panic: threads that run until the flag is set would otherwise keep
/// a failed test from ending.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The listening address and the configuration of a director that is not started yet.
pub struct DirectorSetup {
    /// The address for proxies, collectors and operators.
    pub listen: SocketAddr,
    /// The content of the configuration file.
    pub config: Value,
}

impl DirectorSetup {
    /// A director with one peer; `known` is the endpoint list that the director starts with.
    pub fn new(ip: IpAddr, discovery: SocketAddr, known: Value) -> Self {
        let (listen, peer_listen) = (free_address(ip), free_address(ip));
        let (peer, all_peers) = (free_address(ip), free_address(ip));
        let mut config = director_config(listen, discovery, known);
        config["peer_listen"] = json!(peer_listen.to_string());
        config["peers"] = json!([peer_listen.to_string(), peer.to_string()]);
        config["peers_all"] = json!(all_peers.to_string());
        DirectorSetup { listen, config }
    }

    /// Starts the program and waits until a `PING` is answered.
    pub fn start(&self) -> Director {
        let director = self.spawn(&self.config.to_string(), true);
        self.wait_until_ready();
        director
    }

    /// Starts the program with this text as its configuration file.
    pub fn spawn(&self, config_text: &str, read_log: bool) -> Director {
        Director::spawn(self.listen, Some(self.write_config(config_text)), &[], read_log)
    }

    /// Starts the program with this text as its configuration file and with further environment variables,
    /// and waits until a `PING` is answered.
    pub fn start_with_environment(&self, config_text: &str, environment: &[(&str, String)]) -> Director {
        let config = self.write_config(config_text);
        let director = Director::spawn(self.listen, Some(config), environment, true);
        self.wait_until_ready();
        director
    }

    /// Starts the program with a limit on its open file descriptors, and waits until a `PING` is answered.
    pub fn start_with_descriptor_limit(&self, max_descriptors: u32) -> Director {
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            "ulimit -n \"$1\" && exec \"$0\"",
            env!("CARGO_BIN_EXE_wingfold"),
            &max_descriptors.to_string(),
        ]);
        let config = self.write_config(&self.config.to_string());
        let director = Director::run(command, self.listen, Some(config), &[], true);
        self.wait_until_ready();
        director
    }

    /// Waits until the director answers a `PING`.
    pub fn wait_until_ready(&self) {
        wait_until("the director answers a PING", || {
            Client::connect(self.listen).is_some_and(|mut client| client.ping())
        });
    }

    /// Writes a configuration file under a name that no other test uses.
    fn write_config(&self, text: &str) -> PathBuf {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("config-{}-{number}.json", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

/// A running director process; killed when dropped.
pub struct Director {
    /// The address for proxies, collectors and operators.
    pub listen: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    config_path: Option<PathBuf>,
}

impl Director {
    /// Starts the program. Without `read_log` nobody reads its standard error, to which it writes its log.
    pub fn spawn(
        listen: SocketAddr,
        config_path: Option<PathBuf>,
        environment: &[(&str, String)],
        read_log: bool,
    ) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_wingfold"));
        Director::run(command, listen, config_path, environment, read_log)
    }

    /// Runs a command that starts the program.
    fn run(
        mut command: Command,
        listen: SocketAddr,
        config_path: Option<PathBuf>,
        environment: &[(&str, String)],
        read_log: bool,
    ) -> Self {
        command.env_clear().envs(environment.iter().cloned()).stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some(path) = &config_path {
            command.env("GW_CONFIG", path);
        }
        let mut child = command.spawn().unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        if read_log {
            let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
            thread::spawn(move || {
                stderr.lines().map_while(Result::ok).for_each(|line| lines.lock().unwrap().push(line))
            });
        }
        Director { listen, child, log, config_path }
    }

    /// Replaces the configuration file by a new file of the same name with this text.
    pub fn rewrite_config(&self, text: &str) {
        let path = self.config_path.as_ref().expect("the director has no configuration file");
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, text).unwrap();
        std::fs::rename(new_path, path).unwrap();
    }

    /// Moves another file to the path of the configuration file, and returns that path.
    pub fn replace_config(&self, replacement: &std::path::Path) -> PathBuf {
        let path = self.config_path.clone().expect("the director has no configuration file");
        std::fs::rename(replacement, &path).unwrap();
        path
    }

    /// Deletes the configuration file.
    pub fn remove_config(&self) {
        let path = self.config_path.as_ref().expect("the director has no configuration file");
        std::fs::remove_file(path).unwrap();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The log lines read so far. A line arrives through a pipe, so it may show up after the effects of its
    /// event.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().join("\n")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the program exits", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Sends a signal, named without its `SIG`.
    pub fn send_signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.pid());
        assert!(Command::new("sh").args(["-c", &command]).status().unwrap().success());
    }

    /// Opens a connection that has not identified itself.
    pub fn connect(&self) -> Client {
        Client::connect(self.listen).expect("the director refused a connection")
    }

    /// Opens a connection and sends the `SUBSCRIBE` of a proxy.
    pub fn connect_proxy(&self, id: u32, zone: &str) -> Client {
        let mut client = self.connect();
        client.subscribe(id, zone);
        client
    }

    /// Connects a proxy and receives its first update.
    pub fn connect_proxy_with_tables(&self, id: u32, zone: &str) -> Client {
        let mut client = self.connect_proxy(id, zone);
        client.receive_update();
        client
    }

    /// Opens a connection and identifies it as a collector of a zone.
    pub fn connect_collector(&self, zone: &str) -> Client {
        let mut client = self.connect();
        client.send(&messages::collector_hello(zone));
        client
    }

    /// The complete response, head included, to an HTTP request for this path.
    pub fn http_get(&self, path: &str) -> String {
        let mut connection = TcpStream::connect(self.listen).unwrap();
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(connection, "GET {path} HTTP/1.1\r\nhost: d\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        connection.read_to_string(&mut text).unwrap();
        text
    }

    /// The value of a metric on `/metrics`; the name is given without `wingfold_`.
    pub fn metric(&self, name: &str) -> u64 {
        let (text, prefix) = (self.http_get("/metrics"), format!("wingfold_{name} "));
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value.unwrap_or_else(|| panic!("metric {name} is missing in {text}")).parse().unwrap()
    }

    /// The number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count()
    }

    /// The resident memory of the process, in KiB.
    pub fn resident_memory_kib(&self) -> u64 {
        self.memory_kib("VmRSS:")
    }

    /// The most memory that was resident at any time since the process started, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_kib("VmHWM:")
    }

    fn memory_kib(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(path) = &self.config_path {
            let _ = std::fs::remove_file(path);
        }
        if thread::panicking() {
            eprintln!("the director's log:\n{}", self.log());
        }
    }
}

/// The state of a proxy after updates. Panics at an update that a proxy would refuse.
#[derive(Debug, Default, PartialEq)]
pub struct ProxyTables {
    /// The table of each class: the weight of each host.
    pub entries: BTreeMap<String, BTreeMap<String, f64>>,
    /// The admission level of each class and the code of its retry policy.
    pub levels: BTreeMap<String, (f64, u64)>,
}

impl ProxyTables {
    /// Applies the parts of an update. A part that names no class applies to all classes.
    pub fn apply(&mut self, parts: &[Value]) {
        let strings = |value: &Value| -> Vec<String> {
            value.as_array().into_iter().flatten().map(|v| v.as_str().unwrap().to_string()).collect()
        };
        for part in parts {
            let named = strings(&part["classes"]);
            let classes = if named.is_empty() { vec!["lookup".into(), "order".into()] } else { named };
            for class in classes {
                let table = self.entries.entry(class.clone()).or_default();
                if part["whole"] == true {
                    table.clear();
                    self.levels.remove(&class);
                }
                for entry in part["lines"].as_array().into_iter().flatten() {
                    let (host, weight) = (entry[0].as_str().unwrap(), entry[1].as_f64().unwrap());
                    assert!(weight >= 0.0, "negative weight: {part}");
                    match weight > 0.0 {
                        true => table.insert(host.into(), weight),
                        false => table.remove(host),
                    };
                }
                assert_eq!(
                    part["level"].is_null(),
                    part["retry"].is_null(),
                    "level without retry, or retry without level: {part}"
                );
                if let Some(level) = part["level"].as_f64() {
                    assert!(level >= 0.0, "negative level: {part}");
                    self.levels.insert(class, (level, part["retry"].as_u64().unwrap()));
                }
            }
        }
    }

    /// The hosts of a class's table.
    pub fn hosts(&self, class: &str) -> Vec<&str> {
        self.entries.get(class).into_iter().flatten().map(|entry| entry.0.as_str()).collect()
    }
}

/// Three hosts in zone a, and a director that starts with their endpoint list.
pub fn three_host_deployment() -> (Discovery, DirectorSetup) {
    let ip = unique_loopback_ip();
    let hosts = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, Some("{}")).addr, "a"));
    let discovery = Discovery::start(ip, hosts.to_vec());
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    (discovery, setup)
}

/// Runs the program with these arguments until it exits.
pub fn run_wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// The standard output of a command, followed by its standard error.
pub fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}
