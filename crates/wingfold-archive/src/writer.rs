//! The writer: a thread of its own that takes what the tap leaves in a bounded queue, and does what the scribe says.
//! A disk that stands still holds up this thread and nobody else: the queue fills, and the tap lets go of calls.

use crate::disk::{reason, Disk};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wingfold_capture::model::Head;
use wingfold_capture::scribe::{Do, Item, Limits, Scribe};
use wingfold_capture::tap::Queue;

/// What an item costs besides its bytes.
const OVERHEAD: usize = 96;
/// A folder that cannot be opened (another director's, say) is tried again so often.
const AGAIN: Duration = Duration::from_secs(5);

/// What is to be recorded, and how.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whose capture it is.
    pub head: Head,
    /// When segments end and how many are kept.
    pub limits: Limits,
    /// Bytes that may wait for the writer.
    pub queue: usize,
}

/// What the writer tells of itself, for figures.
#[derive(Debug, Default)]
pub struct Told {
    /// Bytes that wait for it.
    pub waiting: AtomicUsize,
    /// Bytes written.
    pub written: AtomicU64,
    /// Segments begun.
    pub segments: AtomicU64,
    /// Times that the disk failed.
    pub failures: AtomicU64,
    /// Bytes held in memory, where there is no disk.
    pub held: AtomicUsize,
    wants: AtomicBool,
    checkpoints: AtomicUsize,
}

enum Message {
    Item(Item),
    Dump(PathBuf, Sender<io::Result<usize>>),
    /// The director ends.
    End,
}

/// The tap's end of the queue.
#[derive(Clone, Debug)]
pub struct Mailbox {
    to: Sender<Message>,
    told: Arc<Told>,
    most: usize,
}

impl Queue for Mailbox {
    fn room(&self, bytes: usize) -> bool {
        self.told.waiting.load(Ordering::Relaxed) + bytes + OVERHEAD <= self.most
    }

    fn put(&mut self, item: Item) -> bool {
        if !self.room(item.len()) {
            return false;
        }
        self.told.waiting.fetch_add(item.len() + OVERHEAD, Ordering::Relaxed);
        if matches!(item, Item::Checkpoint { .. }) {
            self.told.checkpoints.fetch_add(1, Ordering::Relaxed);
        }
        self.to.send(Message::Item(item)).is_ok()
    }

    fn wants_checkpoint(&self) -> bool {
        self.told.wants.load(Ordering::Relaxed) && self.told.checkpoints.load(Ordering::Relaxed) == 0
    }
}

/// The owner's end.
#[derive(Clone, Debug)]
pub struct Handle {
    to: Sender<Message>,
    /// What the writer tells.
    pub told: Arc<Told>,
    ended: Arc<std::sync::Mutex<Option<Receiver<()>>>>,
}

impl Handle {
    /// Asks for what is held in memory to be written into a folder; the answer comes when that is done.
    pub fn dump(&self, to: PathBuf) -> Receiver<io::Result<usize>> {
        let (answer, answers) = channel();
        let _ = self.to.send(Message::Dump(to, answer));
        answers
    }

    /// Ends the capture well, if the disk lets it within this time.
    pub fn end(&self, within: Duration) -> bool {
        let _ = self.to.send(Message::End);
        let ended = self.ended.lock().ok().and_then(|mut ended| ended.take());
        ended.is_some_and(|ended| matches!(ended.recv_timeout(within), Err(RecvTimeoutError::Disconnected)))
    }
}

/// Starts a writer; `log` is told what an operator should know.
pub fn start(
    disk: Box<dyn Disk>,
    plan: Plan,
    log: impl Fn(String) + Send + 'static,
) -> io::Result<(Mailbox, Handle)> {
    let (to, from) = channel();
    let (alive, ended) = channel::<()>();
    let told = Arc::new(Told::default());
    let mailbox = Mailbox { to: to.clone(), told: told.clone(), most: plan.queue };
    let handle = Handle { to, told: told.clone(), ended: Arc::new(std::sync::Mutex::new(Some(ended))) };
    thread::Builder::new().name("capture".into()).spawn(move || {
        // Dropped at the end, whichever way that comes.
        let _alive = alive;
        Writer { disk, told, plan, log, work: Vec::new() }.run(&from);
    })?;
    Ok((mailbox, handle))
}

struct Writer<L> {
    disk: Box<dyn Disk>,
    told: Arc<Told>,
    plan: Plan,
    log: L,
    work: Vec<Do>,
}

impl<L: Fn(String)> Writer<L> {
    fn run(mut self, from: &Receiver<Message>) {
        let Some(mut scribe) = self.open(from) else { return };
        loop {
            self.told.wants.store(scribe.wants_checkpoint(), Ordering::Relaxed);
            let pause = Duration::from_micros(self.plan.limits.flush.0);
            match from.recv_timeout(pause) {
                Ok(Message::Item(item)) => {
                    self.taken(&item);
                    scribe.take(item, &mut self.work);
                }
                Ok(Message::Dump(to, answer)) => {
                    scribe.rest(&mut self.work);
                    self.carry_out(&mut scribe);
                    drop(answer.send(self.disk.dump(&to)));
                }
                Err(RecvTimeoutError::Timeout) => scribe.rest(&mut self.work),
                Ok(Message::End) | Err(RecvTimeoutError::Disconnected) => {
                    scribe.end(&mut self.work);
                    self.carry_out(&mut scribe);
                    return;
                }
            }
            self.carry_out(&mut scribe);
        }
    }

    fn taken(&self, item: &Item) {
        self.told.waiting.fetch_sub(item.len() + OVERHEAD, Ordering::Relaxed);
        if matches!(item, Item::Checkpoint { .. }) {
            self.told.checkpoints.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Gets the disk ready; until then everything that comes is let go of, and a later checkpoint begins.
    fn open(&mut self, from: &Receiver<Message>) -> Option<Scribe> {
        let mut said = String::new();
        loop {
            match self.disk.open() {
                Ok(kept) => return Some(Scribe::new(self.plan.head.clone(), self.plan.limits.clone(), kept)),
                Err(error) => {
                    self.told.failures.fetch_add(1, Ordering::Relaxed);
                    if error.to_string() != said {
                        (self.log)(format!(
                            "capture: cannot begin: {error}; tried again every {} s",
                            AGAIN.as_secs()
                        ));
                    }
                    said = error.to_string();
                }
            }
            let again = std::time::Instant::now() + AGAIN;
            loop {
                let left = again.saturating_duration_since(std::time::Instant::now());
                match from.recv_timeout(left) {
                    Ok(Message::Item(item)) => self.taken(&item),
                    Ok(Message::Dump(_, answer)) => {
                        drop(answer.send(Err(io::Error::other("the capture has not begun"))));
                    }
                    Err(RecvTimeoutError::Timeout) => break,
                    Ok(Message::End) | Err(RecvTimeoutError::Disconnected) => return None,
                }
            }
        }
    }

    /// Carries out what is asked for, up to the first failure.
    fn carry_out(&mut self, scribe: &mut Scribe) {
        let work = std::mem::take(&mut self.work);
        for what in &work {
            if let Err(error) = self.disk.carry_out(what) {
                let reason = reason(&error);
                (self.log)(format!(
                    "capture: {reason} ({error}); the director goes on, the capture has a gap"
                ));
                scribe.failed(reason);
                self.told.failures.fetch_add(1, Ordering::Relaxed);
                break;
            }
            let count = match what {
                Do::Create(_) => (&self.told.segments, 1),
                Do::Append(bytes, _) => (&self.told.written, bytes.len() as u64),
                _ => continue,
            };
            count.0.fetch_add(count.1, Ordering::Relaxed);
        }
        self.told.held.store(self.disk.held(), Ordering::Relaxed);
        self.work = work;
        self.work.clear();
    }
}

/// A queue that writes at once, for hosts of the module that may wait: the simulator's adapter and the emulator.
#[derive(Debug)]
pub struct Direct<D: Disk> {
    disk: D,
    scribe: Scribe,
    work: Vec<Do>,
    trouble: Option<io::Error>,
}

/// Begins a capture that is written at once.
pub fn direct<D: Disk>(mut disk: D, head: Head, limits: Limits) -> io::Result<Direct<D>> {
    let kept = disk.open()?;
    Ok(Direct { disk, scribe: Scribe::new(head, limits, kept), work: Vec::new(), trouble: None })
}

impl<D: Disk> Direct<D> {
    fn carry_out(&mut self) {
        for what in self.work.drain(..) {
            if let Err(error) = self.disk.carry_out(&what) {
                self.scribe.failed(reason(&error));
                self.trouble.get_or_insert(error);
                break;
            }
        }
        self.work.clear();
    }
}

impl<D: Disk> Queue for Direct<D> {
    fn room(&self, _: usize) -> bool {
        true
    }

    fn put(&mut self, item: Item) -> bool {
        self.scribe.take(item, &mut self.work);
        self.carry_out();
        true
    }

    fn wants_checkpoint(&self) -> bool {
        self.scribe.wants_checkpoint()
    }

    fn end(&mut self) -> io::Result<()> {
        self.scribe.end(&mut self.work);
        self.carry_out();
        self.trouble.take().map_or(Ok(()), Err)
    }
}
