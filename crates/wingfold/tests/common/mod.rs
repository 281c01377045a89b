//! Starts the program with scripted peers around it, each on a loopback address that no other test uses, and speaks to
//! it as proxies, collectors and strangers do.
#![allow(dead_code)] // Each test file uses a part of this.

pub mod messages;

pub use wingfold_test_support::*;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Waits until something is so.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "not seen in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A director to be started: its addresses and its configuration.
pub struct DirectorSetup {
    pub listen: SocketAddr,
    pub config: Value,
}

impl DirectorSetup {
    pub fn new(ip: IpAddr, discovery: SocketAddr, known: Value) -> Self {
        let (listen, peer, all) = (free_address(ip), free_address(ip), free_address(ip));
        let other = free_address(ip);
        let mut config = director_config(listen, discovery, known);
        config["peer_listen"] = json!(peer.to_string());
        config["peers"] = json!([peer.to_string(), other.to_string()]);
        config["peers_all"] = json!(all.to_string());
        DirectorSetup { listen, config }
    }

    /// Starts the program and waits until it answers.
    pub fn start(&self) -> Director {
        let director = self.spawn(&self.config.to_string(), true);
        wait_until("the director answers", || {
            Client::connect(self.listen).is_some_and(|mut client| client.ping())
        });
        director
    }

    /// Starts the program with a configuration's text.
    pub fn spawn(&self, text: &str, reads_log: bool) -> Director {
        Director::spawn(self.listen, Some(self.write(text)), &[], reads_log)
    }

    /// Starts the program with variables besides, and waits until it answers.
    pub fn start_with_variables(&self, text: &str, vars: &[(&str, String)]) -> Director {
        let director = Director::spawn(self.listen, Some(self.write(text)), vars, true);
        wait_until("the director answers", || {
            Client::connect(self.listen).is_some_and(|mut client| client.ping())
        });
        director
    }

    /// Starts the program where the system gives it so many descriptors, and waits until it answers.
    pub fn start_with_descriptor_limit(&self, most: u32) -> Director {
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            "ulimit -n \"$1\" && exec \"$0\"",
            env!("CARGO_BIN_EXE_wingfold"),
            &most.to_string(),
        ]);
        let director =
            Director::run(command, self.listen, Some(self.write(&self.config.to_string())), &[], true);
        wait_until("the director answers", || {
            Client::connect(self.listen).is_some_and(|mut client| client.ping())
        });
        director
    }

    fn write(&self, text: &str) -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("config-{}-{number}.json", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

/// The program, running.
pub struct Director {
    pub listen: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    config: Option<PathBuf>,
}

impl Director {
    pub fn spawn(
        listen: SocketAddr,
        config: Option<PathBuf>,
        vars: &[(&str, String)],
        reads_log: bool,
    ) -> Self {
        Director::run(Command::new(env!("CARGO_BIN_EXE_wingfold")), listen, config, vars, reads_log)
    }

    fn run(
        mut command: Command,
        listen: SocketAddr,
        config: Option<PathBuf>,
        vars: &[(&str, String)],
        reads_log: bool,
    ) -> Self {
        command.env_clear().envs(vars.iter().cloned()).stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some(path) = &config {
            command.env("GW_CONFIG", path);
        }
        let mut child = command.spawn().unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        if reads_log {
            let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
            thread::spawn(move || {
                stderr.lines().map_while(Result::ok).for_each(|l| lines.lock().unwrap().push(l))
            });
        }
        Director { listen, child, log, config }
    }

    /// Replaces the configuration's file by another one of the same name.
    pub fn rewrite_config(&self, text: &str) {
        let path = self.config.as_ref().expect("it has a file");
        let new = path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, path).unwrap();
    }

    /// Puts another file in the configuration's place, and says where that is.
    pub fn replace_config(&self, by: &std::path::Path) -> PathBuf {
        let place = self.config.clone().expect("it has a file");
        std::fs::rename(by, &place).unwrap();
        place
    }

    pub fn remove_config(&self) {
        std::fs::remove_file(self.config.as_ref().expect("it has a file")).unwrap();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().join("\n")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the program ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    pub fn send_signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.pid());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Opens a connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.listen).expect("the director takes connections")
    }

    /// A proxy that has joined.
    pub fn connect_proxy(&self, id: u32, zone: &str) -> Client {
        let mut client = self.connect();
        client.subscribe(id, zone);
        client
    }

    /// A proxy that has joined and heard its first orders.
    pub fn connect_proxy_with_tables(&self, id: u32, zone: &str) -> Client {
        let mut client = self.connect_proxy(id, zone);
        client.receive_update();
        client
    }

    /// A collector that has named its zone.
    pub fn connect_collector(&self, zone: &str) -> Client {
        let mut client = self.connect();
        client.send(&messages::collector_hello(zone));
        client
    }

    /// An HTTP page of the director.
    pub fn http_get(&self, page: &str) -> String {
        let mut connection = TcpStream::connect(self.listen).unwrap();
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(connection, "GET {page} HTTP/1.1\r\nhost: d\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        connection.read_to_string(&mut text).unwrap();
        text
    }

    /// A figure of `/metrics`.
    pub fn metric(&self, name: &str) -> u64 {
        let (text, start) = (self.http_get("/metrics"), format!("wingfold_{name} "));
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value.unwrap_or_else(|| panic!("no figure {name} in {text}")).parse().unwrap()
    }

    /// Descriptors that the process holds.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count()
    }

    /// Memory that the process holds, in KiB.
    pub fn resident_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(path) = &self.config {
            let _ = std::fs::remove_file(path);
        }
        if thread::panicking() {
            eprintln!("the director's log:\n{}", self.log());
        }
    }
}

/// What a proxy holds after orders: the table and the level of each class. It refuses what a proxy refuses.
#[derive(Debug, Default, PartialEq)]
pub struct ProxyTables {
    pub entries: BTreeMap<String, BTreeMap<String, f64>>,
    pub levels: BTreeMap<String, (f64, u64)>,
}

impl ProxyTables {
    pub fn apply(&mut self, parts: &[Value]) {
        let words = |value: &Value| -> Vec<String> {
            value.as_array().into_iter().flatten().map(|v| v.as_str().unwrap().to_string()).collect()
        };
        for part in parts {
            let named = words(&part["classes"]);
            let classes = if named.is_empty() { vec!["lookup".into(), "order".into()] } else { named };
            for class in classes {
                let table = self.entries.entry(class.clone()).or_default();
                if part["whole"] == true {
                    table.clear();
                    self.levels.remove(&class);
                }
                for entry in part["lines"].as_array().into_iter().flatten() {
                    let (host, weight) = (entry[0].as_str().unwrap(), entry[1].as_f64().unwrap());
                    assert!(weight >= 0.0);
                    match weight > 0.0 {
                        true => table.insert(host.into(), weight),
                        false => table.remove(host),
                    };
                }
                assert_eq!(part["level"].is_null(), part["retry"].is_null(), "level and retry come together");
                if let Some(level) = part["level"].as_f64() {
                    assert!(level >= 0.0);
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

/// Three hosts in zone a, and a director that remembers them.
pub fn three_host_deployment() -> (Discovery, DirectorSetup) {
    let ip = unique_loopback_ip();
    let hosts = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, Some("{}")).addr, "a"));
    let discovery = Discovery::start(ip, hosts.to_vec());
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    (discovery, setup)
}

/// Runs a command of the program.
pub fn wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// What a command has printed: its output, then its errors.
pub fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}
