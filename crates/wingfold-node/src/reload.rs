//! Reads the configuration anew on SIGHUP and hands it to its owners, once it is checked. One that is wrong changes
//! nothing: the old one goes on.

use crate::config::{Config, ConfigError};
use crate::log;
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use wingfold_settings::own::{Own, Sinks};

/// Follows the signal for good; `read` gives the configuration as it stands now.
pub async fn run(
    mut asked: Signal,
    to: watch::Sender<Arc<Config>>,
    read: impl Fn() -> Result<Config, ConfigError>,
    (mut own, sinks): (Own, watch::Sender<Arc<Sinks>>),
    read_own: impl Fn() -> Result<Own, String>,
) {
    let (memory, descriptors) = (own.memory(), own.descriptors());
    while asked.recv().await.is_some() {
        match read() {
            Err(error) => tracing::error!("reload: {error}; the old configuration goes on"),
            Ok(new) => apply(new, &to),
        }
        match read_own() {
            Err(faults) => {
                for fault in faults.lines() {
                    tracing::error!("reload: {}; the old own settings go on", log::plain(fault));
                }
            }
            // What the start set aside for queues and connections is all there is.
            Ok(new) if new.memory() > memory || new.descriptors() > descriptors => {
                tracing::warn!("reload: receivers of figures need more than was set aside, which takes effect at a restart");
            }
            Ok(new) => apply_own(&mut own, new, &sinks),
        }
    }
    // Without signals the first configuration stays in force.
    std::future::pending().await
}

/// Hands receivers of figures on; all else of the own settings waits for a restart.
fn apply_own(own: &mut Own, new: Own, to: &watch::Sender<Arc<Sinks>>) {
    for key in own.needs_restart(&new) {
        tracing::warn!("reload: own key `{key}` has changed, which takes effect at a restart");
    }
    let (Some(held), Some(new)) = (&mut own.figures, new.figures) else { return };
    if held.sinks != new.sinks {
        tracing::info!("reload: receivers of figures have changed");
        held.sinks = new.sinks;
        let _ = to.send(Arc::new(held.sinks.clone()));
    }
}

/// Hands a checked configuration on, and says what of it must wait for a restart.
fn apply(new: Config, to: &watch::Sender<Arc<Config>>) {
    let waits = to.borrow().needs_restart(&new);
    for key in &waits {
        tracing::warn!("reload: key `{key}` has changed, which takes effect at a restart");
    }
    tracing::info!(discovery = %new.discovery, waiting = waits.len(), "reload: configuration read");
    // What waits is compared with what is in force, not with what the file said last.
    to.send_modify(|current| *current = Arc::new(current.with(&new)));
}

/// The next configuration; never, if there is nobody to hand one on.
pub async fn changed(config: &mut watch::Receiver<Arc<Config>>) -> Arc<Config> {
    match config.changed().await {
        Ok(()) => config.borrow_and_update().clone(),
        Err(_) => std::future::pending().await,
    }
}
