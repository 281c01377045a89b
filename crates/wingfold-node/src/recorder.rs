//! Starts the capture where it is switched on, and writes out what a capture in memory holds when somebody asks or an
//! invariant fails. The engine only ever leaves something in a bounded queue.

use crate::config::Config;
use crate::metrics::Metrics;
use crate::RunError;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wingfold_archive::{MemoryStore, SegmentFolder, SegmentStore, WriterConfig, WriterHandle, WriterQueue};
use wingfold_capture::{Head, Recorder, SegmentLimits};
use wingfold_director::interface::{Micros, Timestamp};
use wingfold_settings::own::{Capture, Target};

/// A planned restart leaves 0.7 s: the capture has less than half of it to end well.
const END: Duration = Duration::from_millis(300);
/// What is written out again within this time would be much the same.
const APART: Duration = Duration::from_secs(10);
/// How often the writer's own figures are read.
const LOOK: Duration = Duration::from_millis(500);

/// Writes out what a capture in memory holds.
#[derive(Clone, Debug)]
pub struct Dumps {
    handle: WriterHandle,
    name: String,
    folder: Option<PathBuf>,
    token: Option<String>,
    metrics: Arc<Metrics>,
    last: Arc<Mutex<Option<Instant>>>,
}

/// Starts the writer.
pub fn start(
    capture: Capture,
    config: &Config,
    now: Timestamp,
    metrics: Arc<Metrics>,
) -> Result<(Recorder<WriterQueue>, Dumps), RunError> {
    let head = Head {
        build: build(),
        director: config.name.clone(),
        incarnation: now,
        segment: 0,
        seed: config.seed,
        settings: config.settings.clone(),
        class_names: config.names.classes.clone(),
        ..Head::default()
    };
    let micros = |time: Duration| Micros(time.as_micros() as u64);
    let limits = SegmentLimits {
        segment_bytes: capture.segment_bytes,
        segment_age: micros(capture.segment_age),
        keep_segments: capture.keep,
        keep_bytes: capture.keep_bytes,
        flush: micros(capture.flush),
        ..SegmentLimits::default()
    };
    let (disk, folder): (Box<dyn SegmentStore>, _) = match &capture.target {
        Target::Folder(root) => (Box::new(SegmentFolder::new(root, &config.name)), None),
        Target::Memory(bytes) => (Box::new(MemoryStore::new(*bytes)), capture.dump),
    };
    let plan = WriterConfig { head, limits, queue_bytes: capture.queue };
    let (mailbox, handle) = wingfold_archive::spawn(disk, plan, |line| tracing::warn!("{line}"))?;
    tracing::info!(target = ?capture.target, queue = capture.queue, "capture: on");
    let (name, last) = (config.name.clone(), Arc::default());
    let dumps = Dumps { handle, name, folder, token: capture.token, metrics, last };
    tokio::spawn(dumps.clone().metrics());
    Ok((Recorder::new(mailbox), dumps))
}

/// The build as captures name it: the version, and whether checks are in it.
pub fn build() -> String {
    let checks = if cfg!(debug_assertions) { " debug" } else { "" };
    format!("wingfold {}{checks}", env!("CARGO_PKG_VERSION"))
}

impl Dumps {
    /// Whether anybody may ask for it.
    pub fn asked(&self) -> bool {
        self.folder.is_some() && self.token.is_some()
    }

    /// Whether this is the token; told without telling how much of it was right.
    pub fn admits(&self, token: &str) -> bool {
        let Some(known) = &self.token else { return false };
        let differs = known.bytes().zip(token.bytes()).fold(0, |differs, (a, b)| differs | (a ^ b));
        known.len() == token.len() && differs == 0
    }

    /// An invariant has failed: what led to it is written out.
    pub fn invariant(&self) {
        self.write("an invariant failed");
    }

    /// Has the ring written out; gives the folder, or `None` where that is not set up or was done just now.
    pub fn write(&self, why: &str) -> Option<PathBuf> {
        let root = self.folder.as_ref()?;
        {
            let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
            if last.is_some_and(|last| last.elapsed() < APART) {
                return None;
            }
            *last = Some(Instant::now());
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let folder = root.join(format!("{}-{unix}", wingfold_archive::folder::folder_name(&self.name)));
        let answer = self.handle.dump(folder.clone());
        let (metrics, to, why) = (self.metrics.clone(), folder.clone(), why.to_string());
        // The writer answers in its own time; whoever asked does not wait for it.
        tokio::task::spawn_blocking(move || match answer.recv() {
            Ok(Ok(segments)) => {
                metrics.capture_dumps_total.one();
                tracing::info!(segments, to = %to.display(), why, "capture: written out");
            }
            Ok(Err(error)) => tracing::warn!(%error, to = %to.display(), why, "capture: not written out"),
            Err(_) => tracing::warn!(why, "capture: its writer has ended"),
        });
        Some(folder)
    }

    /// Ends the capture; false if the disk did not let it in time.
    pub fn end(&self) -> bool {
        self.handle.end(END)
    }

    /// Books the writer's figures for good.
    async fn metrics(self) {
        loop {
            tokio::time::sleep(LOOK).await;
            let told = &self.handle.metrics;
            self.metrics.capture_bytes_total.set(told.written_bytes.load(Ordering::Relaxed));
            self.metrics.capture_held_bytes.set(told.memory_bytes.load(Ordering::Relaxed) as u64);
            self.metrics.capture_waiting_bytes.set(told.queued_bytes.load(Ordering::Relaxed) as u64);
            self.metrics.capture_failures_total.set(told.failures.load(Ordering::Relaxed));
        }
    }
}

#[cfg(test)]
mod tests;
