//! The one scripted discovery of a run: it handles all calls one after another, each for a time that goes
//! with its entries, and rejects those that waited too long. Each director has an address of its own to call
//! it at, so that calls and bytes are counted by director.

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

/// The cost of a call without entries, in entries.
const ENTRIES_PER_CALL: usize = 40;
/// Entries a second, on every step: the directors of the full fleet get complete lists within some five
/// seconds.
const ENTRIES_PER_SECOND: f64 = 260_000.0;
/// A call that has waited longer for its turn is rejected.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Service times below this are not slept but added to the next: timers are no finer.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// The longest wait that a watch may request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

const OK: &str = "200 OK";
const UNAVAILABLE: &str = "503 Service Unavailable";

/// Discovery, shared by its tasks.
#[derive(Clone, Debug)]
pub struct Discovery {
    shared: Arc<Shared>,
    calls: mpsc::UnboundedSender<PendingCall>,
}

/// What the tasks of discovery share.
#[derive(Debug)]
struct Shared {
    list: Mutex<EndpointList>,
    published: Mutex<BTreeMap<u64, Instant>>,
    /// Sends when the list has changed or discovery goes down or comes back.
    changed: watch::Sender<()>,
    down: AtomicBool,
    callers: Vec<CallerStats>,
    /// Times from a change until the answer that tells it was written to a real director.
    real_change_delays: Delays,
    /// Times from a move until the first answer at the new address was written to a real director.
    real_move_delays: Delays,
    real_directors: usize,
}

/// Counts and state of one director's calls.
#[derive(Debug)]
struct CallerStats {
    traffic: Traffic,
    rejected: Counter,
    /// Calls whose connection it closed before the response.
    abandoned: Counter,
    /// The newest version written to it.
    version: AtomicU64,
    /// Its last call was rejected.
    last_was_rejected: AtomicBool,
    /// It has had an answer at a new address.
    has_moved: AtomicBool,
    /// Whether the network between it and discovery is cut.
    cut: watch::Sender<bool>,
}

/// An address at which one director calls.
#[derive(Clone, Copy, Debug)]
struct CallerAddress {
    director: usize,
    moved_at: Option<Instant>,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct PendingCall {
    after: Option<u64>,
    /// The end of its wait for a change.
    wait_until: Instant,
    /// When it joined the queue.
    queued_at: Instant,
    response: oneshot::Sender<Option<EncodedList>>,
}

impl Discovery {
    /// A discovery of this list, and the task that handles its calls.
    pub fn new(
        fleet_size: &FleetSize,
        list: EndpointList,
    ) -> (Discovery, impl std::future::Future<Output = ()>) {
        let (calls, queue) = mpsc::unbounded_channel();
        let caller = |_| CallerStats {
            traffic: Traffic::default(),
            rejected: Counter::default(),
            abandoned: Counter::default(),
            version: AtomicU64::new(0),
            last_was_rejected: AtomicBool::new(false),
            has_moved: AtomicBool::new(false),
            cut: watch::Sender::new(false),
        };
        let shared = Shared {
            list: Mutex::new(list),
            published: Mutex::default(),
            changed: watch::Sender::new(()),
            down: AtomicBool::new(false),
            callers: (0..fleet_size.directors).map(caller).collect(),
            real_change_delays: Delays::default(),
            real_move_delays: Delays::default(),
            real_directors: fleet_size.real_directors,
        };
        let shared = Arc::new(shared);
        let queue = CallQueue::new(shared.clone(), queue);
        (Discovery { shared, calls }, queue.run())
    }

    /// Listens for one director at a free port; returns the address and the task that serves it. `moved_at`
    /// is when the director got this address, if it had another one before.
    pub async fn listen(
        &self,
        at: IpAddr,
        director: usize,
        moved_at: Option<Instant>,
    ) -> io::Result<(SocketAddr, impl std::future::Future<Output = io::Result<()>>)> {
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        Ok((address, self.clone().accept(listener, CallerAddress { director, moved_at })))
    }

    /// Changes hosts in one new version.
    pub fn change(&self, changes: &[HostChange]) -> u64 {
        let version = lock(&self.shared.list).change(changes);
        lock(&self.shared.published).insert(version, Instant::now());
        self.shared.changed.send_replace(());
        version
    }

    /// Makes discovery unavailable, or available again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.send_replace(());
    }

    /// Cuts the network between discovery and a director, or restores it.
    pub fn set_cut(&self, director: usize, cut: bool) {
        self.shared.callers[director].cut.send_replace(cut);
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

    /// Returns the newest version written to a director.
    pub fn written_version(&self, director: usize) -> u64 {
        self.shared.callers[director].version.load(Ordering::Relaxed)
    }

    /// Returns the calls and bytes of one director.
    pub fn traffic(&self, director: usize) -> &Traffic {
        &self.shared.callers[director].traffic
    }

    /// Returns how many calls of one director were rejected.
    pub fn rejected(&self, director: usize) -> u64 {
        self.shared.callers[director].rejected.get()
    }

    /// Returns how many calls one director abandoned before their response.
    pub fn abandoned(&self, director: usize) -> u64 {
        self.shared.callers[director].abandoned.get()
    }

    /// Returns whether the last call of a director was rejected.
    pub fn was_rejected(&self, director: usize) -> bool {
        self.shared.callers[director].last_was_rejected.load(Ordering::Relaxed)
    }

    /// Times from a change until it was written to a real director.
    pub fn real_change_delays(&self) -> &Delays {
        &self.shared.real_change_delays
    }

    /// Times from a move until the first answer at the new address was written to a real director.
    pub fn real_move_delays(&self) -> &Delays {
        &self.shared.real_move_delays
    }

    /// Resets the version that a director holds to none, after its restart.
    pub fn reset_delivered_version(&self, director: usize) {
        self.shared.callers[director].version.store(0, Ordering::Relaxed);
    }

    /// Accepts connections at one address.
    async fn accept(self, listener: TcpListener, address: CallerAddress) -> io::Result<()> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    serving.spawn(self.clone().serve(Connection::new(stream), address));
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }

    /// Serves one connection until it ends; one that breaks concerns its director alone.
    async fn serve(self, mut connection: Connection, address: CallerAddress) {
        let mut cut = self.shared.callers[address.director].cut.subscribe();
        loop {
            let served = tokio::select! {
                served = self.serve_next_call(&mut connection, address) => served,
                _ = cut.wait_for(|cut| *cut) => break,
            };
            if !matches!(served, Ok(true)) {
                return;
            }
        }
        // Nothing passes while it is cut off; then the connection is reset, if it is still there.
        tokio::select! {
            _ = cut.wait_for(|cut| !*cut) => {}
            () = connection.discard_until_closed() => {}
        }
        connection.reset();
    }

    /// Serves the next call; false at the end of the connection.
    async fn serve_next_call(&self, connection: &mut Connection, address: CallerAddress) -> io::Result<bool> {
        let Some(request) = connection.read_request().await? else { return Ok(false) };
        let caller = &self.shared.callers[address.director];
        caller.traffic.messages.increment();
        caller.traffic.bytes_in.add(request.bytes);
        let (response, responded) = oneshot::channel();
        let (now, wait) =
            (Instant::now(), Duration::from_millis(request.query_number("wait_ms").unwrap_or(0)));
        let wait_until = now + wait.min(MAX_WATCH_WAIT);
        let _ = self.calls.send(PendingCall {
            after: request.query_number("after"),
            wait_until,
            queued_at: now,
            response,
        });
        let body = tokio::select! {
            // A response is neither written nor recorded if the caller has closed the connection.
            biased;
            () = connection.wait_until_closed() => {
                caller.abandoned.increment();
                return Ok(false);
            }
            body = responded => body.ok().flatten(),
        };
        let written = match &body {
            Some(body) => connection.write_response(OK, &body.text).await?,
            None => connection.write_response(UNAVAILABLE, "").await?,
        };
        caller.traffic.bytes_out.add(written);
        caller.last_was_rejected.store(body.is_none(), Ordering::Relaxed);
        match body {
            Some(body) => self.record_delivery(address, body.version),
            None => caller.rejected.increment(),
        }
        Ok(true)
    }

    /// Records that a version was written to a director.
    fn record_delivery(&self, address: CallerAddress, version: u64) {
        let caller = &self.shared.callers[address.director];
        let before = caller.version.swap(version, Ordering::Relaxed);
        if address.director >= self.shared.real_directors {
            return;
        }
        if let Some(moved_at) = address.moved_at.filter(|_| !caller.has_moved.swap(true, Ordering::Relaxed)) {
            self.shared.real_move_delays.record(moved_at.elapsed());
        }
        if before > 0 {
            for published_at in self.publication_times(before, version) {
                self.shared.real_change_delays.record(published_at.elapsed());
            }
        }
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The queue of calls, handled one after another.
struct CallQueue {
    shared: Arc<Shared>,
    arriving: mpsc::UnboundedReceiver<PendingCall>,
    changed: watch::Receiver<()>,
    /// Calls to be handled, in order.
    ready: VecDeque<PendingCall>,
    /// Watches that wait for a change, by the end of their wait.
    parked: BTreeMap<(Instant, u64), PendingCall>,
    next_parked_number: u64,
    /// When the work done so far ends.
    busy_until: Instant,
}

impl CallQueue {
    fn new(shared: Arc<Shared>, arriving: mpsc::UnboundedReceiver<PendingCall>) -> CallQueue {
        CallQueue {
            changed: shared.changed.subscribe(),
            shared,
            arriving,
            ready: VecDeque::new(),
            parked: BTreeMap::new(),
            next_parked_number: 0,
            busy_until: Instant::now(),
        }
    }

    /// Handles calls until discovery is dropped.
    async fn run(mut self) {
        loop {
            self.drain_arrivals();
            if let Some(call) = self.ready.pop_front() {
                self.handle(call).await;
                continue;
            }
            let due = self.parked.first_key_value().map(|((until, _), _)| *until);
            tokio::select! {
                call = self.arriving.recv() => match call {
                    Some(call) => self.ready.push_back(call),
                    None => return,
                },
                _ = self.changed.changed() => self.wake_parked(None),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.wake_parked(due),
            }
        }
    }

    /// Accepts, without waiting, what has arrived while a call was handled.
    fn drain_arrivals(&mut self) {
        while let Ok(call) = self.arriving.try_recv() {
            self.ready.push_back(call);
        }
        if self.changed.has_changed().unwrap_or(false) {
            self.changed.mark_unchanged();
            self.wake_parked(None);
        }
    }

    /// Moves parked calls to the ready ones: all of them, or those whose wait is over.
    fn wake_parked(&mut self, due: Option<Instant>) {
        let now = Instant::now();
        let waiting = match due {
            None => std::mem::take(&mut self.parked),
            Some(due) => {
                let later = self.parked.split_off(&(due, u64::MAX));
                std::mem::replace(&mut self.parked, later)
            }
        };
        self.ready.extend(waiting.into_values().map(|call| PendingCall { queued_at: now, ..call }));
    }

    /// Handles one call: rejects it, parks it or responds.
    async fn handle(&mut self, call: PendingCall) {
        if call.response.is_closed() {
            return;
        }
        let now = Instant::now();
        let late = now.duration_since(call.queued_at) > MAX_QUEUE_WAIT;
        if late || self.shared.down.load(Ordering::Relaxed) {
            let _ = call.response.send(None);
            return;
        }
        let waits = now < call.wait_until && !lock(&self.shared.list).is_newer_than(call.after);
        if waits && call.after.is_some() {
            self.next_parked_number += 1;
            self.parked.insert((call.wait_until, self.next_parked_number), call);
            return;
        }
        let body = lock(&self.shared.list).response(call.after);
        self.spend_service_time(body.entries).await;
        let _ = call.response.send(Some(body));
    }

    /// Spends the service time of a response with this many entries.
    async fn spend_service_time(&mut self, entries: usize) {
        let takes = Duration::from_secs_f64((ENTRIES_PER_CALL + entries) as f64 / ENTRIES_PER_SECOND);
        self.busy_until = self.busy_until.max(Instant::now()) + takes;
        if self.busy_until.duration_since(Instant::now()) > TIMER_RESOLUTION {
            sleep_until(self.busy_until).await;
        }
    }
}
