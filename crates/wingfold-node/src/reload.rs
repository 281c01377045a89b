//! Reads the configuration anew on SIGHUP and hands it to its owners, once it is checked. One that is wrong changes
//! nothing: the old one goes on.

use crate::config::{Config, ConfigError};
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Follows the signal for good; `read` gives the configuration as it stands now.
pub async fn run(
    mut asked: Signal,
    to: watch::Sender<Arc<Config>>,
    read: impl Fn() -> Result<Config, ConfigError>,
) {
    while asked.recv().await.is_some() {
        match read() {
            Err(error) => tracing::error!("reload: {error}; the old configuration goes on"),
            Ok(new) => apply(new, &to),
        }
    }
    // Without signals the first configuration stays in force.
    std::future::pending().await
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
