//! A discovery service with a scripted endpoint list and scripted faults.

use crate::http::{query_number, read_request_target, write_response};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often discovery checks, while a watch waits for a change, whether the caller has closed the
/// connection.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The version of a malformed list: far above the number of changes that any test makes, so that the metric
/// `list_version` shows whether a director applied the list.
const MALFORMED_LIST_VERSION: u64 = 1_000_000;

/// Returns an entry of the endpoint list: an active host with weight 1.
pub fn endpoint(id: &str, addr: SocketAddr, zone: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": zone, "kind": "box", "cell": 1, "state": "active",
        "weight": 1.0, "started_ms": 0})
}

/// How discovery responds to requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryBehaviour {
    /// With the list or the changes that were requested.
    Normal,
    /// With status 503.
    Unavailable,
    /// With status 200 and a malformed list, whose second entry has no zone.
    MalformedList,
    /// Not at all: requests are read and nothing is written.
    Unresponsive,
    /// With the beginning of a response, after which the connection is closed.
    TruncatedResponse,
    /// With a complete list of version 1 in which all hosts are active.
    StaleList,
    /// With a complete list without entries.
    EmptyList,
}

/// An entry and the version of the list in which the entry was changed last.
struct VersionedEntry {
    version: u64,
    entry: Value,
}

struct State {
    version: u64,
    entries: BTreeMap<String, VersionedEntry>,
    requests: Vec<String>,
    /// Number of open connections. While a watch waits, the end of its connection is
    /// noticed within [`CLOSED_CHECK_INTERVAL`].
    open_connections: usize,
    behaviour: DiscoveryBehaviour,
    /// Maximum number of bytes in each write of a response.
    chunk_bytes: usize,
}

impl State {
    /// The entries changed after version `after`; without `after` the complete list, which omits hosts in
    /// state `left`.
    fn list_after(&self, after: Option<u64>) -> Value {
        let newer = self.entries.values().filter(|entry| after.is_none_or(|after| entry.version > after));
        let is_omitted = |entry: &Value| after.is_none() && entry["state"] == "left";
        let servers: Vec<&Value> = newer.map(|entry| &entry.entry).filter(|e| !is_omitted(e)).collect();
        json!({"version": self.version, "full": after.is_none(), "servers": servers})
    }

    /// A complete list of version 1 with every entry ever listed, each in state `active`.
    fn stale_list(&self) -> Value {
        let as_active = |entry: &VersionedEntry| {
            let mut entry = entry.entry.clone();
            entry["state"] = json!("active");
            entry
        };
        let servers: Vec<Value> = self.entries.values().map(as_active).collect();
        json!({"version": 1, "full": true, "servers": servers})
    }

    /// The response to a request for the changes after version `after`, or for the complete list.
    fn response(&self, after: Option<u64>) -> Response {
        let list = self.list_after(after);
        match self.behaviour {
            DiscoveryBehaviour::Normal => Response::List { status: "200 OK", list },
            DiscoveryBehaviour::Unavailable => Response::List { status: "503 Service Unavailable", list },
            DiscoveryBehaviour::MalformedList => {
                Response::List { status: "200 OK", list: malformed_list(list) }
            }
            DiscoveryBehaviour::Unresponsive => Response::Missing,
            DiscoveryBehaviour::TruncatedResponse => Response::Truncated,
            DiscoveryBehaviour::StaleList => Response::List { status: "200 OK", list: self.stale_list() },
            DiscoveryBehaviour::EmptyList => {
                let list = json!({"version": self.version, "full": true, "servers": []});
                Response::List { status: "200 OK", list }
            }
        }
    }
}

/// The response to a request.
enum Response {
    List { status: &'static str, list: Value },
    Missing,
    Truncated,
}

/// A list of a newer version with one valid entry and one without a zone.
fn malformed_list(mut list: Value) -> Value {
    list["version"] = json!(MALFORMED_LIST_VERSION);
    let valid = endpoint("s-unlisted", "127.0.0.1:1".parse().unwrap(), "a");
    list["servers"] = json!([valid, {"id": "s-incomplete", "addr": "127.0.0.1:1"}]);
    list
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A discovery service with a scripted endpoint list.
#[derive(Clone)]
pub struct Discovery {
    /// The listening address.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Starts a service that lists `entries`, at a free port of this address.
    pub fn start(ip: IpAddr, entries: Vec<Value>) -> Self {
        Discovery::start_at(SocketAddr::new(ip, 0), entries)
    }

    /// Starts a service that lists `entries`, at this address.
    pub fn start_at(addr: SocketAddr, entries: Vec<Value>) -> Self {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let state = State {
            version: 0,
            entries: BTreeMap::new(),
            requests: Vec::new(),
            open_connections: 0,
            behaviour: DiscoveryBehaviour::Normal,
            chunk_bytes: usize::MAX,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let discovery = Discovery { addr, shared };
        entries.into_iter().for_each(|entry| discovery.upsert(entry));
        let service = discovery.clone();
        thread::spawn(move || service.accept(listener));
        discovery
    }

    /// Adds or replaces an entry; the list gets its next version.
    pub fn upsert(&self, entry: Value) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.entries.insert(entry["id"].as_str().unwrap().into(), VersionedEntry { version, entry });
        self.shared.changed.notify_all();
    }

    /// Changes the state of a host (`active`, `leaving` or `left`); the list gets its next version.
    pub fn set_host_state(&self, id: &str, host_state: &str) {
        let mut entry = self.lock().entries[id].entry.clone();
        entry["state"] = json!(host_state);
        self.upsert(entry);
    }

    /// Changes how requests are answered, those of waiting watches included.
    pub fn set_behaviour(&self, behaviour: DiscoveryBehaviour) {
        self.lock().behaviour = behaviour;
        self.shared.changed.notify_all();
    }

    /// Limits each write of a response to this many bytes from now on.
    pub fn set_chunk_bytes(&self, bytes: usize) {
        self.lock().chunk_bytes = bytes;
    }

    /// Returns the targets of all requests so far.
    pub fn requests(&self) -> Vec<String> {
        self.lock().requests.clone()
    }

    /// Returns the number of connections that callers hold open.
    pub fn open_connections(&self) -> usize {
        self.lock().open_connections
    }

    /// Returns the current list, hosts in state `left` included, in the form of the configuration key
    /// `known`.
    pub fn known_list(&self) -> Value {
        let state = self.lock();
        let servers: Vec<&Value> = state.entries.values().map(|entry| &entry.entry).collect();
        json!({"version": state.version, "full": true, "servers": servers})
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    /// Accepts connections, each on a thread of its own.
    fn accept(self, listener: TcpListener) {
        for connection in listener.incoming().flatten() {
            let service = self.clone();
            thread::spawn(move || {
                service.lock().open_connections += 1;
                service.serve(connection);
                service.lock().open_connections -= 1;
            });
        }
    }

    /// Answers the requests of one connection until the connection ends.
    fn serve(&self, connection: TcpStream) {
        let mut reader = BufReader::new(connection.try_clone().unwrap());
        let mut writer = connection;
        while let Some(target) = read_request_target(&mut reader) {
            let after = query_number(&target, "after");
            let wait = Duration::from_millis(query_number(&target, "wait_ms").unwrap_or(0));
            let mut state = self.lock();
            state.requests.push(target);
            let Some(state) = self.wait_for_change(state, after, wait, &writer) else { return };
            let (response, chunk_bytes) = (state.response(after), state.chunk_bytes);
            drop(state);
            let written = match response {
                Response::List { status, list } => {
                    write_response(&mut writer, status, &list.to_string(), chunk_bytes)
                }
                Response::Missing => continue,
                Response::Truncated => {
                    let _ = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n{\"version\":");
                    return;
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Waits for a version newer than `after`, for `wait` at most; `None` once the caller has closed the
    /// connection.
    fn wait_for_change<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        after: Option<u64>,
        wait: Duration,
        connection: &TcpStream,
    ) -> Option<MutexGuard<'a, State>> {
        let deadline = Instant::now() + wait;
        while state.behaviour == DiscoveryBehaviour::Normal
            && after.is_some_and(|after| after >= state.version)
            && Instant::now() < deadline
        {
            let timeout = CLOSED_CHECK_INTERVAL.min(deadline - Instant::now());
            state = self.shared.changed.wait_timeout(state, timeout).unwrap().0;
            if is_closed(connection) {
                return None;
            }
        }
        Some(state)
    }
}

/// Returns whether the remote end has closed the connection; also true while unread bytes wait.
fn is_closed(connection: &TcpStream) -> bool {
    connection.set_nonblocking(true).unwrap();
    let closed = !matches!(connection.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    connection.set_nonblocking(false).unwrap();
    closed
}
