//! Reloads at SIGHUP: reads the configuration and the local settings again and, if they are valid, passes
//! them to the tasks that use them. If one of them is invalid, its previous version stays in force. Files are
//! read on a blocking thread, so that a read that hangs (a pipe without a writer, a disk that is gone) delays
//! neither decisions nor the shutdown.

use crate::config::{Config, ConfigError};
use crate::{log, or_never};
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use wingfold_settings::local::{LocalSettings, SinkSettings};

/// The configuration and the local settings as read at a SIGHUP.
pub struct LoadedFiles {
    /// The platform's configuration.
    pub config: Result<Config, ConfigError>,
    /// The local settings, or their diagnostics, one per line.
    pub local: Result<LocalSettings, String>,
}

/// Calls `read` on a blocking thread; returns `None` if it panicked, which the panic hook logs.
pub async fn on_blocking_thread<T: Send + 'static>(read: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    tokio::task::spawn_blocking(read).await.ok()
}

/// Reads the files at each SIGHUP and publishes what has changed.
pub struct Reloader {
    config: watch::Sender<Arc<Config>>,
    sinks: watch::Sender<Arc<SinkSettings>>,
    /// The local settings in force.
    local: LocalSettings,
    /// Memory reserved at the start for the capture and the sinks, in bytes; a reload cannot raise it.
    reserved_bytes: usize,
    /// File descriptors reserved at the start for the capture and the metrics; a reload cannot raise them.
    reserved_descriptors: usize,
}

impl Reloader {
    /// Creates a reloader that sends configurations to `config` and the settings of sinks to `sinks`. `local`
    /// are the local settings in force.
    pub fn new(
        config: watch::Sender<Arc<Config>>,
        sinks: watch::Sender<Arc<SinkSettings>>,
        local: LocalSettings,
    ) -> Reloader {
        let reserved_bytes = local.reserved_memory_bytes();
        let reserved_descriptors = local.file_descriptors();
        Reloader { config, sinks, local, reserved_bytes, reserved_descriptors }
    }

    /// Reloads at each signal of `hangup`; never returns, and stops when the future is dropped. A signal that
    /// arrives while files are read starts another read, and the result of the earlier one is ignored.
    pub async fn run(mut self, mut hangup: Signal, read: impl Fn() -> LoadedFiles + Clone + Send + 'static) {
        let mut pending_read = None;
        loop {
            tokio::select! {
                signal = hangup.recv() => match signal {
                    Some(()) => pending_read = Some(Box::pin(on_blocking_thread(read.clone()))),
                    // No more signals can arrive: the current configuration stays in force.
                    None => std::future::pending().await,
                },
                files = or_never(pending_read.as_mut()) => {
                    pending_read = None;
                    if let Some(files) = files {
                        self.apply(files);
                    }
                }
            }
        }
    }

    fn apply(&mut self, files: LoadedFiles) {
        match files.config {
            Ok(config) => self.apply_config(config),
            Err(error) => tracing::error!("reload: {error}; the previous configuration stays in force"),
        }
        match files.local {
            Ok(local) => self.apply_local(local),
            Err(faults) => {
                for fault in faults.lines() {
                    tracing::error!(
                        "reload: {}; the previous local settings stay in force",
                        log::sanitize(fault)
                    );
                }
            }
        }
    }

    /// Publishes a checked configuration, and logs which changed keys take effect only at a restart.
    fn apply_config(&self, new: Config) {
        let waiting = self.config.borrow().changes_that_need_restart(&new);
        for key in &waiting {
            tracing::warn!("reload: key `{key}` has changed; the change takes effect only at a restart");
        }
        tracing::info!(discovery = %new.discovery, waiting = waiting.len(), "reload: configuration applied");
        // The next reload is compared with the values in force, not with those of the file read last.
        self.config.send_modify(|current| *current = Arc::new(current.with_reloaded(&new)));
    }

    /// Publishes the settings of sinks; all other local settings take effect only at a restart.
    fn apply_local(&mut self, new: LocalSettings) {
        if new.reserved_memory_bytes() > self.reserved_bytes
            || new.file_descriptors() > self.reserved_descriptors
        {
            tracing::warn!(
                "reload: local settings need more memory or descriptors than were reserved at the start; \
                 they take effect only at a restart"
            );
            return;
        }
        for key in self.local.changes_that_need_restart(&new) {
            tracing::warn!(
                "reload: local key `{key}` has changed; the change takes effect only at a restart"
            );
        }
        let (Some(current), Some(new)) = (&mut self.local.metrics, new.metrics) else { return };
        if current.sinks != new.sinks {
            tracing::info!("reload: settings of sinks applied");
            current.sinks = new.sinks;
            // Sending fails if there is no dispatcher, because sinks were switched off at the start.
            let _ = self.sinks.send(Arc::new(current.sinks.clone()));
        }
    }
}

/// Waits for the next configuration; waits forever if its sender is gone.
pub async fn next_config(config: &mut watch::Receiver<Arc<Config>>) -> Arc<Config> {
    match config.changed().await {
        Ok(()) => config.borrow_and_update().clone(),
        Err(_) => std::future::pending().await,
    }
}
