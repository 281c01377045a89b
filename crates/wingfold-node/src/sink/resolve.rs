//! Resolves the address of a receiver.

use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Resolves a receiver's name on a blocking thread. Only one lookup runs at a time, so that lookups that hang
/// do not take more and more threads.
#[derive(Clone, Debug, Default)]
pub(super) struct Resolver {
    is_looking_up: Arc<AtomicBool>,
}

impl Resolver {
    /// Resolves `address`, which is an IP address or a name, each with a port. Fails if an earlier lookup
    /// still runs.
    pub(super) async fn resolve(&self, address: &str) -> io::Result<SocketAddr> {
        self.resolve_with(address, |name| name.to_socket_addrs().map(|mut found| found.next())).await
    }

    async fn resolve_with(
        &self,
        address: &str,
        look_up: impl FnOnce(String) -> io::Result<Option<SocketAddr>> + Send + 'static,
    ) -> io::Result<SocketAddr> {
        if let Ok(address) = address.parse() {
            return Ok(address);
        }
        if self.is_looking_up.swap(true, Ordering::Relaxed) {
            return Err(io::Error::other("the previous lookup of this name has not ended"));
        }
        let name = address.to_string();
        let is_looking_up = self.is_looking_up.clone();
        let lookup = tokio::task::spawn_blocking(move || {
            let found = look_up(name);
            is_looking_up.store(false, Ordering::Relaxed);
            found
        });
        let found = lookup.await.map_err(io::Error::other)??;
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the name resolves to no address"))
    }
}

#[cfg(test)]
mod tests;
