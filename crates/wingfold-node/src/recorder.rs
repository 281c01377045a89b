//! Starts the capture where it is switched on, and capture_dumper what a capture in memory holds when somebody asks or an invariant
//! fails. The engine only ever puts records into a bounded queue.

use crate::clock::micros;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::RunError;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wingfold_archive::{MemoryStore, SegmentFolder, SegmentStore, WriterConfig, WriterHandle, WriterQueue};
use wingfold_capture::{Head, Recorder, SegmentLimits};
use wingfold_director::interface::Timestamp;
use wingfold_settings::local::{CaptureSettings, CaptureTarget};

/// Time for the capture's end: a planned restart leaves 0.7 s, and this is less than half of it.
const END_TIMEOUT: Duration = Duration::from_millis(300);
/// Least time between two capture_dumper: within it, the second would be much the same.
const DUMP_INTERVAL: Duration = Duration::from_secs(10);
/// Period at which the writer's counters are read.
const COUNTERS_PERIOD: Duration = Duration::from_millis(500);

/// A capture that has been started.
pub struct Recording {
    /// Records the calls of the decision module.
    pub recorder: Recorder<WriterQueue>,
    /// Dumps and ends the capture.
    pub dumper: CaptureDumper,
}

/// Dumps what a capture in memory holds, and ends the capture.
#[derive(Clone, Debug)]
pub struct CaptureDumper {
    handle: WriterHandle,
    /// The director's name.
    name: String,
    /// Where capture_dumper go; `None` for a capture in a folder, or without a place for capture_dumper.
    folder: Option<PathBuf>,
    /// Who knows it may ask for a dump.
    token: Option<String>,
    metrics: Arc<Metrics>,
    last_dump: Arc<Mutex<Option<Instant>>>,
}

/// Starts the writer, which has a thread of its own until [`CaptureDumper::end`], and the task that reads its counters for as
/// long as the runtime lives.
pub fn start(
    capture: CaptureSettings,
    config: &Config,
    now: Timestamp,
    metrics: Arc<Metrics>,
) -> Result<Recording, RunError> {
    let writer_config =
        WriterConfig { head: head(config, now), limits: limits(&capture), queue_bytes: capture.queue_bytes };
    let (store, dump_folder): (Box<dyn SegmentStore>, _) = match &capture.target {
        CaptureTarget::Directory(root) => (Box::new(SegmentFolder::new(root, &config.name)), None),
        CaptureTarget::Memory(bytes) => (Box::new(MemoryStore::new(*bytes)), capture.dump_directory),
    };
    let (queue, handle) = wingfold_archive::spawn(store, writer_config, |line| tracing::warn!("{line}"))?;
    tracing::info!(target = ?capture.target, queue = capture.queue_bytes, "capture: on");
    let dumper = CaptureDumper {
        handle,
        name: config.name.clone(),
        folder: dump_folder,
        token: capture.dump_token,
        metrics,
        last_dump: Arc::default(),
    };
    tokio::spawn(dumper.clone().read_counters());
    Ok(Recording { recorder: Recorder::new(queue), dumper })
}

fn head(config: &Config, now: Timestamp) -> Head {
    Head {
        build: build_id(),
        director: config.name.clone(),
        incarnation: now,
        segment: 0,
        seed: config.seed,
        settings: config.settings.clone(),
        class_names: config.names.classes.clone(),
        ..Head::default()
    }
}

fn limits(capture: &CaptureSettings) -> SegmentLimits {
    SegmentLimits {
        segment_bytes: capture.segment_bytes,
        segment_age: micros(capture.segment_age),
        keep_segments: capture.max_segments,
        keep_bytes: capture.max_bytes,
        flush: micros(capture.flush_interval),
        ..SegmentLimits::default()
    }
}

/// The build as captures name it: the version, and whether debug assertions are compiled in.
pub fn build_id() -> String {
    let checks = if cfg!(debug_assertions) { " debug" } else { "" };
    format!("wingfold {}{checks}", env!("CARGO_PKG_VERSION"))
}

impl CaptureDumper {
    /// Whether capture_dumper may be requested over HTTP.
    pub fn accepts_requests(&self) -> bool {
        self.folder.is_some() && self.token.is_some()
    }

    /// Whether a request with this token may have a dump. The time it takes does not depend on how much of the token is
    /// right.
    pub fn is_authorized(&self, token: &str) -> bool {
        let Some(known) = &self.token else { return false };
        let difference = known.bytes().zip(token.bytes()).fold(0, |difference, (a, b)| difference | (a ^ b));
        known.len() == token.len() && difference == 0
    }

    /// Dumps what led to an invariant that failed.
    pub fn dump_after_invariant(&self) {
        self.dump("an invariant failed");
    }

    /// Dumps what the capture in memory holds. Returns the folder it is being written to; `None` where that is not set up or
    /// was done just now.
    pub fn dump(&self, reason: &str) -> Option<PathBuf> {
        let root = self.folder.as_ref()?;
        if !self.begin_dump() {
            return None;
        }
        let unix_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let folder =
            root.join(format!("{}-{unix_s}", wingfold_archive::folder::director_folder_name(&self.name)));
        let result = self.handle.dump(folder.clone());
        let metrics = self.metrics.clone();
        let to = folder.clone();
        let reason = reason.to_string();
        // Nobody waits for this thread: the writer answers in its own time, or when it has ended.
        tokio::task::spawn_blocking(move || match result.recv() {
            Ok(Ok(segments)) => {
                metrics.capture_dumps_total.increment();
                tracing::info!(segments, to = %to.display(), reason, "capture: written out");
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, to = %to.display(), reason, "capture: not written out");
            }
            Err(_) => tracing::warn!(reason, "capture: its writer has ended"),
        });
        Some(folder)
    }

    /// Records the time of a dump; false if the last one was just now.
    fn begin_dump(&self) -> bool {
        let mut last_dump = self.last_dump.lock().unwrap_or_else(PoisonError::into_inner);
        if last_dump.is_some_and(|at| at.elapsed() < DUMP_INTERVAL) {
            return false;
        }
        *last_dump = Some(Instant::now());
        true
    }

    /// Ends the capture; false if the disk did not take the end in time.
    pub fn end(&self) -> bool {
        self.handle.end(END_TIMEOUT)
    }

    /// Copies the writer's counters into the metrics; never returns.
    async fn read_counters(self) {
        loop {
            tokio::time::sleep(COUNTERS_PERIOD).await;
            let counters = &self.handle.metrics;
            self.metrics.capture_bytes_total.set(counters.written_bytes.load(Ordering::Relaxed));
            self.metrics.capture_held_bytes.set(counters.memory_bytes.load(Ordering::Relaxed) as u64);
            self.metrics.capture_waiting_bytes.set(counters.queued_bytes.load(Ordering::Relaxed) as u64);
            self.metrics.capture_failures_total.set(counters.failures.load(Ordering::Relaxed));
        }
    }
}

#[cfg(test)]
mod tests;
