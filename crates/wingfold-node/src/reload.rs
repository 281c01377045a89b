//! Reloads at SIGHUP: reads the configuration again and hands it to its owners once it is checked. One that is wrong changes
//! nothing: the old one stays in force. Files are read on a blocking thread: one that hangs (a pipe without a writer, a
//! disk that is gone) holds up neither decisions nor the shutdown.

use crate::config::{Config, ConfigError};
use crate::{log, or_never};
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use wingfold_settings::local::{LocalSettings, SinkSettings};

/// What the files say at a SIGHUP.
pub struct LoadedFiles {
    /// The platform's configuration.
    pub config: Result<Config, ConfigError>,
    /// The local settings, or their diagnostics, one per line.
    pub local: Result<LocalSettings, String>,
}

/// Calls `read` on a blocking thread; `None` if it panicked, which the log says.
pub async fn on_blocking_thread<T: Send + 'static>(read: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    tokio::task::spawn_blocking(read).await.ok()
}

/// Reads at each SIGHUP and hands on what has changed.
pub struct Reloader {
    config: watch::Sender<Arc<Config>>,
    sinks: watch::Sender<Arc<SinkSettings>>,
    /// The local settings in force.
    local: LocalSettings,
    /// Bytes that the start reserved for queues of sinks: there are no more.
    reserved_bytes: usize,
    /// Descriptors that the start reserved for sinks: there are no more.
    reserved_descriptors: usize,
}

impl Reloader {
    /// Hands configurations to `config` and the settings of sinks to `sinks`; `local` are the local settings at the start.
    pub fn new(
        config: watch::Sender<Arc<Config>>,
        sinks: watch::Sender<Arc<SinkSettings>>,
        local: LocalSettings,
    ) -> Reloader {
        let reserved_bytes = local.reserved_memory_bytes();
        let reserved_descriptors = local.file_descriptors();
        Reloader { config, sinks, local, reserved_bytes, reserved_descriptors }
    }

    /// Never returns; ends when it is dropped. A signal that comes while files are read leads to a new reading, and the one
    /// under way is abandoned.
    pub async fn run(mut self, mut hangup: Signal, read: impl Fn() -> LoadedFiles + Clone + Send + 'static) {
        let mut reading = None;
        loop {
            tokio::select! {
                signal = hangup.recv() => match signal {
                    Some(()) => reading = Some(Box::pin(on_blocking_thread(read.clone()))),
                    // Without signals the first configuration stays in force.
                    None => std::future::pending().await,
                },
                readings = or_never(reading.as_mut()) => {
                    reading = None;
                    if let Some(readings) = readings {
                        self.apply(readings);
                    }
                }
            }
        }
    }

    fn apply(&mut self, readings: LoadedFiles) {
        match readings.config {
            Ok(config) => self.apply_config(config),
            Err(error) => tracing::error!("reload: {error}; the old configuration goes on"),
        }
        match readings.local {
            Ok(local) => self.apply_local(local),
            Err(faults) => {
                for fault in faults.lines() {
                    tracing::error!("reload: {}; the old own settings go on", log::sanitize(fault));
                }
            }
        }
    }

    /// Hands a checked configuration on, and logs which keys must wait for a restart.
    fn apply_config(&self, new: Config) {
        let waiting = self.config.borrow().changes_that_need_restart(&new);
        for key in &waiting {
            tracing::warn!("reload: key `{key}` has changed, which takes effect at a restart");
        }
        tracing::info!(discovery = %new.discovery, waiting = waiting.len(), "reload: configuration read");
        // The next reading is compared with what is in force, not with what the file said last.
        self.config.send_modify(|current| *current = Arc::new(current.with_reloaded(&new)));
    }

    /// Hands the settings of sinks on; all other local settings wait for a restart.
    fn apply_local(&mut self, new: LocalSettings) {
        if new.reserved_memory_bytes() > self.reserved_bytes
            || new.file_descriptors() > self.reserved_descriptors
        {
            tracing::warn!("reload: sinks need more than was set aside, which takes effect at a restart");
            return;
        }
        for key in self.local.changes_that_need_restart(&new) {
            tracing::warn!("reload: own key `{key}` has changed, which takes effect at a restart");
        }
        let (Some(current), Some(new)) = (&mut self.local.metrics, new.metrics) else { return };
        if current.sinks != new.sinks {
            tracing::info!("reload: sinks have changed");
            current.sinks = new.sinks;
            // Nobody receives them where the start switched the sinks off.
            let _ = self.sinks.send(Arc::new(current.sinks.clone()));
        }
    }
}

/// The next configuration; never, if its sender is gone.
pub async fn next_config(config: &mut watch::Receiver<Arc<Config>>) -> Arc<Config> {
    match config.changed().await {
        Ok(()) => config.borrow_and_update().clone(),
        Err(_) => std::future::pending().await,
    }
}
