//! Starts the capture if it is enabled, and dumps a capture in memory when an operator requests it or an
//! invariant fails. The engine only puts records into a bounded queue; a writer thread does the rest.

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

/// Time for ending the capture: less than half of the 0.7 s that a planned restart allows.
const END_TIMEOUT: Duration = Duration::from_millis(300);
/// Least time between two dumps: within it, a second dump would hold nearly the same calls.
const DUMP_INTERVAL: Duration = Duration::from_secs(10);
/// Period at which the counters of the capture's writer are copied into the metrics.
const COUNTERS_PERIOD: Duration = Duration::from_millis(500);

/// A running capture.
pub struct Recording {
    /// Records the calls of the decision module.
    pub recorder: Recorder<WriterQueue>,
    /// Dumps and ends the capture.
    pub dumper: CaptureDumper,
}

/// Dumps a capture in memory to a folder, and ends a capture of any kind.
#[derive(Clone, Debug)]
pub struct CaptureDumper {
    handle: WriterHandle,
    /// The director's name.
    name: String,
    /// The folder for dumps; `None` if the capture is written to a folder anyway, or if no folder is
    /// configured.
    folder: Option<PathBuf>,
    /// The token that authorizes requests for a dump.
    token: Option<String>,
    metrics: Arc<Metrics>,
    last_dump: Arc<Mutex<Option<Instant>>>,
}

/// Starts the writer, which has its own thread until [`CaptureDumper::end`], and the task that copies its
/// counters into the metrics, which runs as long as the runtime.
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
    tracing::info!(target = ?capture.target, queue = capture.queue_bytes, "capture: started");
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
        flush_interval: micros(capture.flush_interval),
        ..SegmentLimits::default()
    }
}

/// The build as recorded in captures: the version, and whether debug assertions are compiled in.
pub fn build_id() -> String {
    let checks = if cfg!(debug_assertions) { " debug" } else { "" };
    format!("wingfold {}{checks}", env!("CARGO_PKG_VERSION"))
}

impl CaptureDumper {
    /// Whether dumps may be requested over HTTP: a folder and a token are configured.
    pub fn accepts_requests(&self) -> bool {
        self.folder.is_some() && self.token.is_some()
    }

    /// Whether a request with this token may start a dump. The comparison takes the same time however many
    /// characters of the token are right.
    pub fn is_authorized(&self, token: &str) -> bool {
        let Some(known) = &self.token else { return false };
        let difference = known.bytes().zip(token.bytes()).fold(0, |difference, (a, b)| difference | (a ^ b));
        known.len() == token.len() && difference == 0
    }

    /// Dumps the capture after an invariant failed.
    pub fn dump_after_invariant(&self) {
        self.dump("an invariant failed");
    }

    /// Starts a dump of the capture in memory and returns the folder that it is written to. Returns `None` if
    /// no folder is configured or the last dump was within [`DUMP_INTERVAL`].
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
        // Nothing awaits this blocking task. It ends when the writer has written the dump or has stopped.
        tokio::task::spawn_blocking(move || match result.recv() {
            Ok(Ok(segments)) => {
                metrics.capture_dumps_total.increment();
                tracing::info!(segments, to = %to.display(), reason, "capture: dump written");
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, to = %to.display(), reason, "capture: dump failed");
            }
            Err(_) => tracing::warn!(reason, "capture: dump failed, because the writer has stopped"),
        });
        Some(folder)
    }

    /// Records the time of a dump; returns false if the last one was within [`DUMP_INTERVAL`].
    fn begin_dump(&self) -> bool {
        let mut last_dump = self.last_dump.lock().unwrap_or_else(PoisonError::into_inner);
        if last_dump.is_some_and(|at| at.elapsed() < DUMP_INTERVAL) {
            return false;
        }
        *last_dump = Some(Instant::now());
        true
    }

    /// Ends the capture; returns false if its end could not be written within [`END_TIMEOUT`].
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
