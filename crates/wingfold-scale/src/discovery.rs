//! The one scripted discovery of a run: it handles all calls one after another, each for a time that goes with its
//! entries, and refuses those that waited too long. Each director has an address of its own to call it at, so that
//! calls and bytes are counted by director.

use crate::counters::{Counter, Traffic};
use crate::delays::Delays;
use crate::http::Connection;
use crate::list::{Body, HostList, HostState};
use crate::plan::Sizes;
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

/// What a call takes beside its entries, in entries.
const ENTRIES_PER_CALL: usize = 40;
/// Entries a second, on every step: the whole fleet's directors get whole lists of its hosts within some five seconds.
const ENTRIES_PER_SECOND: f64 = 260_000.0;
/// A call that has waited longer for its turn is refused.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Work shorter than this is done at once and made up for later: timers are no finer.
const FINEST: Duration = Duration::from_millis(1);
/// A watch may ask to wait so long.
const LONGEST_WATCH: Duration = Duration::from_secs(60);

const OK: &str = "200 OK";
const UNAVAILABLE: &str = "503 Service Unavailable";

/// Discovery, shared by its tasks.
#[derive(Clone, Debug)]
pub struct Discovery {
    shared: Arc<Shared>,
    calls: mpsc::UnboundedSender<Call>,
}

#[derive(Debug)]
struct Shared {
    list: Mutex<HostList>,
    published: Mutex<BTreeMap<u64, Instant>>,
    /// Sends when the list has changed or discovery goes down or comes back.
    changed: watch::Sender<()>,
    down: AtomicBool,
    callers: Vec<Caller>,
    /// Times from a change until the answer that tells it was written to a real director.
    told_real: Delays,
    /// Times from a move until the first answer at the new address was written to a real director.
    moved_real: Delays,
    real_directors: usize,
}

/// What is known of one director's calls.
#[derive(Debug)]
struct Caller {
    traffic: Traffic,
    refused: Counter,
    /// Calls that it gave up on before their answer.
    given_up: Counter,
    /// The newest version written to it.
    version: AtomicU64,
    /// Its last call was refused.
    last_refused: AtomicBool,
    /// It has had an answer at a new address.
    has_moved: AtomicBool,
    /// Set while nothing passes between it and discovery.
    cut: watch::Sender<bool>,
}

/// An address at which one director calls.
#[derive(Clone, Copy, Debug)]
struct Line {
    director: usize,
    moved: Option<Instant>,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct Call {
    after: Option<u64>,
    /// Until when it may wait for news.
    until: Instant,
    /// Since when it waits for its turn.
    since: Instant,
    answer: oneshot::Sender<Option<Body>>,
}

impl Discovery {
    /// A discovery of this list, and the task that handles its calls.
    pub fn new(sizes: &Sizes, list: HostList) -> (Discovery, impl std::future::Future<Output = ()>) {
        let (calls, queue) = mpsc::unbounded_channel();
        let caller = |_| Caller {
            traffic: Traffic::default(),
            refused: Counter::default(),
            given_up: Counter::default(),
            version: AtomicU64::new(0),
            last_refused: AtomicBool::new(false),
            has_moved: AtomicBool::new(false),
            cut: watch::Sender::new(false),
        };
        let shared = Shared {
            list: Mutex::new(list),
            published: Mutex::default(),
            changed: watch::Sender::new(()),
            down: AtomicBool::new(false),
            callers: (0..sizes.directors).map(caller).collect(),
            told_real: Delays::default(),
            moved_real: Delays::default(),
            real_directors: sizes.real_directors,
        };
        let shared = Arc::new(shared);
        let queue = Queue::new(shared.clone(), queue);
        (Discovery { shared, calls }, queue.run())
    }

    /// Listens for one director at a free port; gives the address, and the task that serves it. `moved` is the time at
    /// which the director was told of this address, if it had another one before.
    pub async fn listen(
        &self,
        at: IpAddr,
        director: usize,
        moved: Option<Instant>,
    ) -> io::Result<(SocketAddr, impl std::future::Future<Output = io::Result<()>>)> {
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        Ok((address, self.clone().accept(listener, Line { director, moved })))
    }

    /// Changes hosts in one new version.
    pub fn change(&self, changes: &[(usize, HostState, u64)]) -> u64 {
        let version = lock(&self.shared.list).change(changes);
        lock(&self.shared.published).insert(version, Instant::now());
        self.shared.changed.send_replace(());
        version
    }

    /// Goes down, or comes back.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.send_replace(());
    }

    /// Cuts a director off, or lets it through again.
    pub fn set_cut(&self, director: usize, cut: bool) {
        self.shared.callers[director].cut.send_replace(cut);
    }

    /// The version of the list as it stands.
    pub fn version(&self) -> u64 {
        lock(&self.shared.list).version()
    }

    /// When the versions after one and up to another were published.
    pub fn published(&self, after: u64, up_to: u64) -> Vec<Instant> {
        let published = lock(&self.shared.published);
        published
            .range(after + 1..)
            .take_while(|(version, _)| **version <= up_to)
            .map(|(_, at)| *at)
            .collect()
    }

    /// The newest version written to a director.
    pub fn written_version(&self, director: usize) -> u64 {
        self.shared.callers[director].version.load(Ordering::Relaxed)
    }

    /// Calls and bytes of one director.
    pub fn traffic(&self, director: usize) -> &Traffic {
        &self.shared.callers[director].traffic
    }

    /// Calls of one director that were refused.
    pub fn refused(&self, director: usize) -> u64 {
        self.shared.callers[director].refused.get()
    }

    /// Calls that one director gave up on before their answer.
    pub fn given_up(&self, director: usize) -> u64 {
        self.shared.callers[director].given_up.get()
    }

    /// Whether the last call of a director was refused.
    pub fn was_refused(&self, director: usize) -> bool {
        self.shared.callers[director].last_refused.load(Ordering::Relaxed)
    }

    /// Times from a change until it was written to a real director.
    pub fn told_real(&self) -> &Delays {
        &self.shared.told_real
    }

    /// Times from a move until the first answer at the new address was written to a real director.
    pub fn moved_real(&self) -> &Delays {
        &self.shared.moved_real
    }

    /// Forgets what a director was told: it has started anew.
    pub fn forget(&self, director: usize) {
        self.shared.callers[director].version.store(0, Ordering::Relaxed);
    }

    async fn accept(self, listener: TcpListener, line: Line) -> io::Result<()> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    serving.spawn(self.clone().serve(Connection::new(stream), line));
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }

    /// Serves one connection until it ends; one that breaks concerns its director alone.
    async fn serve(self, mut connection: Connection, line: Line) {
        let mut cut = self.shared.callers[line.director].cut.subscribe();
        loop {
            let served = tokio::select! {
                served = self.serve_next(&mut connection, line) => served,
                _ = cut.wait_for(|cut| *cut) => break,
            };
            if !matches!(served, Ok(true)) {
                return;
            }
        }
        // Nothing passes while it is cut off; then the connection is reset, if it is still there.
        tokio::select! {
            _ = cut.wait_for(|cut| !*cut) => {}
            () = connection.drained() => {}
        }
        connection.reset();
    }

    /// Serves the next call; false at the end of the connection.
    async fn serve_next(&self, connection: &mut Connection, line: Line) -> io::Result<bool> {
        let Some(request) = connection.request().await? else { return Ok(false) };
        let caller = &self.shared.callers[line.director];
        caller.traffic.messages.one();
        caller.traffic.bytes_in.add(request.bytes);
        let (answer, answered) = oneshot::channel();
        let (now, wait) = (Instant::now(), Duration::from_millis(request.number("wait_ms").unwrap_or(0)));
        let until = now + wait.min(LONGEST_WATCH);
        let _ = self.calls.send(Call { after: request.number("after"), until, since: now, answer });
        let body = tokio::select! {
            // An answer to one who has gone is not written, nor booked as told.
            biased;
            () = connection.closed() => {
                caller.given_up.one();
                return Ok(false);
            }
            body = answered => body.ok().flatten(),
        };
        let written = match &body {
            Some(body) => connection.answer(OK, &body.text).await?,
            None => connection.answer(UNAVAILABLE, "").await?,
        };
        caller.traffic.bytes_out.add(written);
        caller.last_refused.store(body.is_none(), Ordering::Relaxed);
        match body {
            Some(body) => self.book(line, body.version),
            None => caller.refused.one(),
        }
        Ok(true)
    }

    /// Books that a version was written to a director.
    fn book(&self, line: Line, version: u64) {
        let caller = &self.shared.callers[line.director];
        let before = caller.version.swap(version, Ordering::Relaxed);
        if line.director >= self.shared.real_directors {
            return;
        }
        if let Some(moved) = line.moved.filter(|_| !caller.has_moved.swap(true, Ordering::Relaxed)) {
            self.shared.moved_real.record(moved.elapsed());
        }
        if before > 0 {
            let at = self.published(before, version);
            at.iter().for_each(|at| self.shared.told_real.record(at.elapsed()));
        }
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The calls that wait, and the one service that handles them.
struct Queue {
    shared: Arc<Shared>,
    arriving: mpsc::UnboundedReceiver<Call>,
    changed: watch::Receiver<()>,
    /// Those whose turn comes, in order.
    ready: VecDeque<Call>,
    /// Those that wait for news, by the time they may wait until.
    parked: BTreeMap<(Instant, u64), Call>,
    numbered: u64,
    /// When the work done so far ends.
    busy_until: Instant,
}

impl Queue {
    fn new(shared: Arc<Shared>, arriving: mpsc::UnboundedReceiver<Call>) -> Queue {
        Queue {
            changed: shared.changed.subscribe(),
            shared,
            arriving,
            ready: VecDeque::new(),
            parked: BTreeMap::new(),
            numbered: 0,
            busy_until: Instant::now(),
        }
    }

    async fn run(mut self) {
        loop {
            self.take_what_arrived();
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
                _ = self.changed.changed() => self.wake(None),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.wake(due),
            }
        }
    }

    /// Takes in, without waiting, whatever has come while a call was handled.
    fn take_what_arrived(&mut self) {
        while let Ok(call) = self.arriving.try_recv() {
            self.ready.push_back(call);
        }
        if self.changed.has_changed().unwrap_or(false) {
            self.changed.mark_unchanged();
            self.wake(None);
        }
    }

    /// Calls that waited for news get their turn: all of them, or those whose time is up.
    fn wake(&mut self, due: Option<Instant>) {
        let now = Instant::now();
        let waiting = match due {
            None => std::mem::take(&mut self.parked),
            Some(due) => {
                let later = self.parked.split_off(&(due, u64::MAX));
                std::mem::replace(&mut self.parked, later)
            }
        };
        self.ready.extend(waiting.into_values().map(|call| Call { since: now, ..call }));
    }

    async fn handle(&mut self, call: Call) {
        if call.answer.is_closed() {
            return;
        }
        let now = Instant::now();
        let late = now.duration_since(call.since) > LONGEST_WAIT;
        if late || self.shared.down.load(Ordering::Relaxed) {
            let _ = call.answer.send(None);
            return;
        }
        let waits = now < call.until && !lock(&self.shared.list).is_newer_than(call.after);
        if waits && call.after.is_some() {
            self.numbered += 1;
            self.parked.insert((call.until, self.numbered), call);
            return;
        }
        let body = lock(&self.shared.list).answer(call.after);
        self.work(body.entries).await;
        let _ = call.answer.send(Some(body));
    }

    /// Takes the time that an answer of so many entries takes.
    async fn work(&mut self, entries: usize) {
        let takes = Duration::from_secs_f64((ENTRIES_PER_CALL + entries) as f64 / ENTRIES_PER_SECOND);
        self.busy_until = self.busy_until.max(Instant::now()) + takes;
        if self.busy_until.duration_since(Instant::now()) > FINEST {
            sleep_until(self.busy_until).await;
        }
    }
}
