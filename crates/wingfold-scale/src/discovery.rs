//! The scripted discovery of a run. It handles all requests one after another, each with a service time
//! proportional to the entries of the response, and rejects requests that have waited too long in its queue.
//! It listens at a separate address for each director, so that requests and bytes are counted by director.

use crate::counters::{Counter, Traffic};
use crate::delays::Delays;
use crate::endpoint_list::{EncodedList, EndpointList, HostChange};
use crate::http::Connection;
use crate::plan::FleetSize;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Service time of a response without entries, expressed as a number of entries.
const OVERHEAD_ENTRIES_PER_REQUEST: usize = 40;
/// Entries that discovery handles per second, on every step of the ladder. At this rate all directors of the
/// full fleet get the complete list within about five seconds.
const ENTRIES_PER_SECOND: f64 = 260_000.0;
/// A request that has waited longer in the queue is rejected. The time that a watch is parked does not count.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Resolution of timers. Shorter service times accumulate until the sum exceeds this resolution.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// The longest wait that a watch may request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

const OK: &str = "200 OK";
const UNAVAILABLE: &str = "503 Service Unavailable";

/// A handle to the scripted discovery; clones share its state.
#[derive(Clone, Debug)]
pub struct Discovery {
    shared: Arc<Shared>,
    requests: mpsc::UnboundedSender<PendingRequest>,
}

/// The state that all tasks of discovery share.
#[derive(Debug)]
struct Shared {
    list: Mutex<EndpointList>,
    /// When each version after the first was published.
    published: Mutex<BTreeMap<u64, Instant>>,
    /// Notifies the request queue when the list has changed, or when discovery goes down or becomes available
    /// again.
    changed: watch::Sender<()>,
    down: AtomicBool,
    /// The state of each director, by its number.
    directors: Vec<DirectorState>,
    /// Delays from a change until a response with the change was written to a real director.
    real_change_delays: Delays,
    /// Delays from a move until the first response at the new address was written to a real director.
    real_move_delays: Delays,
    real_directors: usize,
}

/// Counters and state of the requests of one director.
#[derive(Debug)]
struct DirectorState {
    traffic: Traffic,
    rejected: Counter,
    /// Requests whose connection the director closed before the response.
    abandoned: Counter,
    /// The version in the last response written to the director; 0 for none since its start.
    written_version: AtomicU64,
    /// Whether the director's last answered request was rejected.
    last_was_rejected: AtomicBool,
    /// Whether a response at a new address was written to the director.
    has_moved: AtomicBool,
    /// Whether the network between the director and discovery is cut.
    cut: watch::Sender<bool>,
}

/// A listener of discovery, to which one director connects.
#[derive(Clone, Copy, Debug)]
struct ListenerInfo {
    director: usize,
    /// When the director was given this address; `None` for its first address.
    moved_at: Option<Instant>,
}

/// A request that has not been answered.
#[derive(Debug)]
struct PendingRequest {
    /// The version that the director holds; `None` requests the complete list.
    after: Option<u64>,
    /// When the watch ends if the list does not change.
    wait_until: Instant,
    /// When the request joined the queue, or left the parked watches for it.
    queued_at: Instant,
    /// Receives the response, or `None` if the request is rejected.
    response: oneshot::Sender<Option<EncodedList>>,
}

impl Discovery {
    /// Creates a discovery with this list, and the task that handles its requests.
    pub fn new(
        fleet_size: &FleetSize,
        list: EndpointList,
    ) -> (Discovery, impl std::future::Future<Output = ()>) {
        let (requests, queue) = mpsc::unbounded_channel();
        let new_state = |_| DirectorState {
            traffic: Traffic::default(),
            rejected: Counter::default(),
            abandoned: Counter::default(),
            written_version: AtomicU64::new(0),
            last_was_rejected: AtomicBool::new(false),
            has_moved: AtomicBool::new(false),
            cut: watch::Sender::new(false),
        };
        let shared = Shared {
            list: Mutex::new(list),
            published: Mutex::default(),
            changed: watch::Sender::new(()),
            down: AtomicBool::new(false),
            directors: (0..fleet_size.directors).map(new_state).collect(),
            real_change_delays: Delays::default(),
            real_move_delays: Delays::default(),
            real_directors: fleet_size.real_directors,
        };
        let shared = Arc::new(shared);
        let queue = RequestQueue::new(shared.clone(), queue);
        (Discovery { shared, requests }, queue.run())
    }

    /// Listens for one director on a free port of this IP address; returns the address and the task that
    /// serves its connections. `moved_at` is the time of the move, or `None` if this is the director's first
    /// address.
    pub async fn listen(
        &self,
        ip: IpAddr,
        director: usize,
        moved_at: Option<Instant>,
    ) -> io::Result<(SocketAddr, impl std::future::Future<Output = io::Result<()>>)> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        Ok((address, self.clone().accept(listener, ListenerInfo { director, moved_at })))
    }

    /// Publishes changes of hosts as one new version of the list, and returns that version.
    pub fn change(&self, changes: &[HostChange]) -> u64 {
        let version = lock(&self.shared.list).change(changes);
        lock(&self.shared.published).insert(version, Instant::now());
        self.shared.changed.send_replace(());
        version
    }

    /// Makes discovery unavailable, so that it rejects every request, or available again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.send_replace(());
    }

    /// Cuts the network between discovery and a director, or restores the network.
    pub fn set_cut(&self, director: usize, cut: bool) {
        self.shared.directors[director].cut.send_replace(cut);
    }

    /// Returns the current version of the list.
    pub fn version(&self) -> u64 {
        lock(&self.shared.list).version()
    }

    /// Returns when the versions after `after` and up to `up_to` were published.
    pub fn publication_times(&self, after: u64, up_to: u64) -> Vec<Instant> {
        let published = lock(&self.shared.published);
        published
            .range(after + 1..)
            .take_while(|(version, _)| **version <= up_to)
            .map(|(_, at)| *at)
            .collect()
    }

    /// Returns the version in the last response written to a director since its start; 0 for none.
    pub fn written_version(&self, director: usize) -> u64 {
        self.shared.directors[director].written_version.load(Ordering::Relaxed)
    }

    /// Returns the counters of one director's requests and bytes.
    pub fn traffic(&self, director: usize) -> &Traffic {
        &self.shared.directors[director].traffic
    }

    /// Returns how many requests of one director were rejected.
    pub fn rejected(&self, director: usize) -> u64 {
        self.shared.directors[director].rejected.get()
    }

    /// Returns for how many requests one director closed the connection before the response.
    pub fn abandoned(&self, director: usize) -> u64 {
        self.shared.directors[director].abandoned.get()
    }

    /// Returns whether the last answered request of a director was rejected.
    pub fn was_rejected(&self, director: usize) -> bool {
        self.shared.directors[director].last_was_rejected.load(Ordering::Relaxed)
    }

    /// Returns the delays from a change until a response with the change was written to a real director.
    pub fn real_change_delays(&self) -> &Delays {
        &self.shared.real_change_delays
    }

    /// Returns the delays from a move until the first response at the new address was written to a real
    /// director.
    pub fn real_move_delays(&self) -> &Delays {
        &self.shared.real_move_delays
    }

    /// Resets the version written to a director to none, for its restart.
    pub fn reset_written_version(&self, director: usize) {
        self.shared.directors[director].written_version.store(0, Ordering::Relaxed);
    }

    /// Accepts and serves the connections of one listener.
    async fn accept(self, listener: TcpListener, info: ListenerInfo) -> io::Result<()> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    serving.spawn(self.clone().serve(Connection::new(stream), info));
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }

    /// Serves one connection until its end. An error of the connection affects only its director, so it is
    /// ignored.
    async fn serve(self, mut connection: Connection, info: ListenerInfo) {
        let mut cut = self.shared.directors[info.director].cut.subscribe();
        loop {
            let served = tokio::select! {
                served = self.serve_next_request(&mut connection, info) => served,
                _ = cut.wait_for(|cut| *cut) => break,
            };
            if !matches!(served, Ok(true)) {
                return;
            }
        }
        // While the network is cut, nothing is sent. When it is restored, the connection is reset, unless the
        // director has closed it before.
        tokio::select! {
            _ = cut.wait_for(|cut| !*cut) => {}
            () = connection.discard_until_closed() => {}
        }
        connection.reset();
    }

    /// Serves the next request; returns false at the end of the connection.
    async fn serve_next_request(&self, connection: &mut Connection, info: ListenerInfo) -> io::Result<bool> {
        let Some(request) = connection.read_request().await? else { return Ok(false) };
        let state = &self.shared.directors[info.director];
        state.traffic.messages.increment();
        state.traffic.bytes_in.add(request.bytes);
        let (response, response_receiver) = oneshot::channel();
        let (now, wait) =
            (Instant::now(), Duration::from_millis(request.query_number("wait_ms").unwrap_or(0)));
        let wait_until = now + wait.min(MAX_WATCH_WAIT);
        let _ = self.requests.send(PendingRequest {
            after: request.query_number("after"),
            wait_until,
            queued_at: now,
            response,
        });
        let body = tokio::select! {
            // The closed connection is checked first: a response to a director that has closed the connection
            // must be neither written nor recorded.
            biased;
            () = connection.wait_until_closed() => {
                state.abandoned.increment();
                return Ok(false);
            }
            body = response_receiver => body.ok().flatten(),
        };
        let written = match &body {
            Some(body) => connection.write_response(OK, &body.text).await?,
            None => connection.write_response(UNAVAILABLE, "").await?,
        };
        state.traffic.bytes_out.add(written);
        state.last_was_rejected.store(body.is_none(), Ordering::Relaxed);
        match body {
            Some(body) => self.record_delivery(info, body.version),
            None => state.rejected.increment(),
        }
        Ok(true)
    }

    /// Records that a version was written to a director.
    fn record_delivery(&self, info: ListenerInfo, version: u64) {
        let state = &self.shared.directors[info.director];
        let before = state.written_version.swap(version, Ordering::Relaxed);
        if info.director >= self.shared.real_directors {
            return;
        }
        let first_move = info.moved_at.filter(|_| !state.has_moved.swap(true, Ordering::Relaxed));
        if let Some(moved_at) = first_move {
            self.shared.real_move_delays.record(moved_at.elapsed());
        }
        if before > 0 {
            for published_at in self.publication_times(before, version) {
                self.shared.real_change_delays.record(published_at.elapsed());
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The queue of requests, which are handled one after another.
struct RequestQueue {
    shared: Arc<Shared>,
    arriving: mpsc::UnboundedReceiver<PendingRequest>,
    changed: watch::Receiver<()>,
    /// Requests to be handled, in order.
    ready: VecDeque<PendingRequest>,
    /// Watches that wait for a change, ordered by the end of their wait and then by their arrival.
    parked: BTreeMap<(Instant, u64), PendingRequest>,
    next_parked_number: u64,
    /// The end of the service times of all requests handled so far.
    busy_until: Instant,
}

impl RequestQueue {
    fn new(shared: Arc<Shared>, arriving: mpsc::UnboundedReceiver<PendingRequest>) -> RequestQueue {
        RequestQueue {
            changed: shared.changed.subscribe(),
            shared,
            arriving,
            ready: VecDeque::new(),
            parked: BTreeMap::new(),
            next_parked_number: 0,
            busy_until: Instant::now(),
        }
    }

    /// Handles requests until all handles to discovery are dropped.
    async fn run(mut self) {
        loop {
            self.drain_arrivals();
            if let Some(request) = self.ready.pop_front() {
                self.handle(request).await;
                continue;
            }
            let due = self.parked.first_key_value().map(|((until, _), _)| *until);
            tokio::select! {
                request = self.arriving.recv() => match request {
                    Some(request) => self.ready.push_back(request),
                    None => return,
                },
                _ = self.changed.changed() => self.wake_parked(None),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.wake_parked(due),
            }
        }
    }

    /// Takes in the requests and notifications that arrived while a request was handled.
    fn drain_arrivals(&mut self) {
        while let Ok(request) = self.arriving.try_recv() {
            self.ready.push_back(request);
        }
        if self.changed.has_changed().unwrap_or(false) {
            self.changed.mark_unchanged();
            self.wake_parked(None);
        }
    }

    /// Moves parked watches to the requests to be handled: the watches whose wait ends at `due` or before, or
    /// all of them if there is no `due`.
    fn wake_parked(&mut self, due: Option<Instant>) {
        let now = Instant::now();
        let woken = match due {
            None => std::mem::take(&mut self.parked),
            Some(due) => {
                let later = self.parked.split_off(&(due, u64::MAX));
                std::mem::replace(&mut self.parked, later)
            }
        };
        self.ready.extend(woken.into_values().map(|request| PendingRequest { queued_at: now, ..request }));
    }

    /// Handles one request: rejects or answers it, or parks it if it is a watch without a change so far. A
    /// request whose director has closed the connection is dropped.
    async fn handle(&mut self, request: PendingRequest) {
        if request.response.is_closed() {
            return;
        }
        let now = Instant::now();
        let waited_too_long = now.duration_since(request.queued_at) > MAX_QUEUE_WAIT;
        if waited_too_long || self.shared.down.load(Ordering::Relaxed) {
            let _ = request.response.send(None);
            return;
        }
        let should_wait = now < request.wait_until && !lock(&self.shared.list).is_newer_than(request.after);
        if should_wait && request.after.is_some() {
            self.next_parked_number += 1;
            self.parked.insert((request.wait_until, self.next_parked_number), request);
            return;
        }
        let body = lock(&self.shared.list).response(request.after);
        self.spend_service_time(body.entries).await;
        let _ = request.response.send(Some(body));
    }

    /// Waits for the service time of a response with this number of entries.
    async fn spend_service_time(&mut self, entries: usize) {
        let service_time =
            Duration::from_secs_f64((OVERHEAD_ENTRIES_PER_REQUEST + entries) as f64 / ENTRIES_PER_SECOND);
        self.busy_until = self.busy_until.max(Instant::now()) + service_time;
        if self.busy_until.duration_since(Instant::now()) > TIMER_RESOLUTION {
            sleep_until(self.busy_until).await;
        }
    }
}
