//! The process of a director: signals, reading the configuration at the start and at reloads, exit codes.

use crate::config::{Config, ConfigError, Precedence};
use crate::error::{RunError, TaskEnd};
use crate::log;
use crate::reload::{self, LoadedFiles, Reloader};
use crate::serve::{serve, StartOptions};
use crate::stage_runs::StageRuns;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use wingfold_settings::local::LocalSettings;

/// Runs the whole program: sets up the log, reads the configuration from `file`, or else from the file that
/// `GW_CONFIG` names, and serves. `read_local` reads the local settings again at SIGHUP.
pub fn main(
    file: Option<PathBuf>,
    local: LocalSettings,
    read_local: impl Fn() -> Result<LocalSettings, String> + Clone + Send + 'static,
) -> ExitCode {
    let keeps_stage_runs = local.metrics.as_ref().is_some_and(|metrics| metrics.keep_causes);
    let stage_runs = keeps_stage_runs.then(StageRuns::default);
    let _log = log::start(&local.log, stage_runs.clone());
    let read_config = move |precedence| Config::from_env(file.as_deref(), precedence);
    match block_on_run(StartOptions { local, stage_runs }, read_config, read_local) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a director on its own single-threaded runtime.
fn block_on_run(
    options: StartOptions,
    read_config: impl Fn(Precedence) -> Result<Config, ConfigError> + Clone + Send + 'static,
    read_local: impl Fn() -> Result<LocalSettings, String> + Clone + Send + 'static,
) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(run(options, read_config, read_local));
    // Blocking threads are not waited for: one that hangs on a disk would delay the exit of the process.
    runtime.shutdown_background();
    result
}

/// Serves as a director until SIGTERM or SIGINT. `read` reads the configuration, now and at each SIGHUP; its
/// argument says whether variables or keys of the file take precedence. `read_local` reads the local settings
/// at each SIGHUP. Both are called on blocking threads, so that a read that hangs delays neither decisions
/// nor the shutdown.
pub async fn run(
    options: StartOptions,
    read: impl Fn(Precedence) -> Result<Config, ConfigError> + Clone + Send + 'static,
    read_local: impl Fn() -> Result<LocalSettings, String> + Clone + Send + 'static,
) -> Result<(), RunError> {
    // Signal handlers are installed first: without a handler, a signal kills the process.
    let hangup = signal(SignalKind::hangup())?;
    let shutdown = shutdown_signal()?;
    tokio::pin!(shutdown);

    let read_at_start = read.clone();
    let config = tokio::select! {
        () = &mut shutdown => return Ok(()),
        config = reload::on_blocking_thread(move || read_at_start(Precedence::Environment)) => config,
    };
    let config = config.ok_or(RunError::TaskEnded(TaskEnd::ReadingConfiguration))??;

    let (config_sender, config) = watch::channel(Arc::new(config));
    let sinks = options.local.metrics.as_ref().map(|metrics| metrics.sinks.clone()).unwrap_or_default();
    let (sinks_sender, sinks) = watch::channel(Arc::new(sinks));
    let reloader = Reloader::new(config_sender, sinks_sender, options.local.clone());
    let read_both = move || LoadedFiles { config: read(Precedence::File), local: read_local() };
    let end = async {
        tokio::select! {
            () = shutdown => {}
            () = reloader.run(hangup, read_both) => {}
        }
    };
    serve(config, options, sinks, end).await
}

/// Installs handlers for SIGTERM and SIGINT, and returns a future that waits for one of the two signals.
fn shutdown_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => tracing::info!("received SIGTERM, shutting down"),
            _ = interrupt.recv() => tracing::info!("received SIGINT, shutting down"),
        }
    })
}
