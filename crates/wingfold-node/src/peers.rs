//! Datagrams between directors, where the settings allow them.

use crate::config::PeerAddresses;
use crate::inbox::{InboundEvent, InboundSender};
use crate::invariant;
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::Event;

/// Limit of the protocol on the bytes of a datagram.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Sends messages to other directors and receives messages from them; each datagram holds one message.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    peers: PeerAddresses,
    metrics: Arc<Metrics>,
}

impl PeerSocket {
    /// Creates a peer socket from a UDP socket that is bound to the configured address.
    pub fn new(socket: UdpSocket, peers: PeerAddresses, metrics: Arc<Metrics>) -> PeerSocket {
        PeerSocket { socket, peers, metrics }
    }

    /// Sends a message to one director, or to all of them if `to` is `None`. A message that the socket cannot
    /// accept at once is lost, as any datagram can be.
    pub fn send(&self, to: Option<u32>, message: &[u8]) {
        let fits = message.len() <= MAX_DATAGRAM_BYTES;
        invariant!(
            self.metrics,
            fits,
            "a peer message has {} bytes, the limit is {MAX_DATAGRAM_BYTES}",
            message.len()
        );
        let Some(address) = self.address_of(to) else { return };
        if !fits {
            return;
        }
        match self.socket.try_send_to(message, address) {
            Ok(_) => self.metrics.datagrams_out_total.increment(),
            Err(error) => tracing::debug!(to = %address, %error, "peer message lost"),
        }
    }

    fn address_of(&self, director: Option<u32>) -> Option<SocketAddr> {
        match director {
            None => Some(self.peers.broadcast),
            Some(number) => self.peers.by_index.get(number as usize).copied(),
        }
    }

    /// Delivers the messages that arrive. The future never completes; it ends when it is dropped.
    pub async fn receive(&self, inbox: InboundSender) {
        // One byte more than the limit, so that a longer datagram is recognized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error reports that a datagram sent earlier was not received.
                tokio::task::yield_now().await;
                continue;
            };
            match self.sender_of(from) {
                Some(sender) if length <= MAX_DATAGRAM_BYTES => {
                    self.metrics.datagrams_in_total.increment();
                    let message = buffer[..length].to_vec();
                    inbox.send(InboundEvent::Required(Event::PeerMessage { from: sender, message }));
                }
                _ => self.metrics.datagrams_bad_total.increment(),
            }
        }
    }

    fn sender_of(&self, address: SocketAddr) -> Option<u32> {
        let number = self.peers.by_index.iter().position(|peer| *peer == address)?;
        Some(number as u32)
    }
}

#[cfg(test)]
mod tests;
