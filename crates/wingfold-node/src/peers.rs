//! Relays datagrams between directors, where the settings allow them.

use crate::config::Peers;
use crate::inbox::{InboundEvent, InboundSender};
use crate::invariant;
use crate::metrics::Metrics;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::Event;

/// A longer datagram is none of the protocol's.
pub const LARGEST: usize = 256;

/// Sends and receives datagrams.
#[derive(Debug)]
pub struct Post {
    socket: UdpSocket,
    peers: Peers,
    metrics: Arc<Metrics>,
}

impl Post {
    /// Over the socket bound to the address that the configuration names.
    pub fn new(socket: UdpSocket, peers: Peers, metrics: Arc<Metrics>) -> Post {
        Post { socket, peers, metrics }
    }

    /// Sends to one director, or to all. A datagram that cannot go now is lost, as others are.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let fits = bytes.len() <= LARGEST;
        invariant!(self.metrics, fits, "a datagram of {} bytes was ordered", bytes.len());
        let to = match to {
            None => Some(self.peers.all),
            Some(number) => self.peers.each.get(number as usize).copied(),
        };
        if let (Some(to), true) = (to, fits) {
            match self.socket.try_send_to(bytes, to) {
                Ok(_) => self.metrics.datagrams_out_total.one(),
                Err(error) => tracing::debug!(%to, %error, "datagram lost"),
            }
        }
    }

    /// Hands on what arrives, for good.
    pub async fn receive(&self, inbox: InboundSender) {
        // One byte more than allowed, to see a longer one as such.
        let mut bytes = [0; LARGEST + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // An error here is one of an earlier datagram that found nobody.
                tokio::task::yield_now().await;
                continue;
            };
            match self.peers.each.iter().position(|peer| *peer == from) {
                Some(number) if length <= LARGEST => {
                    self.metrics.datagrams_in_total.one();
                    inbox.send(InboundEvent::Required(Event::PeerMessage {
                        from: number as u32,
                        message: bytes[..length].to_vec(),
                    }));
                }
                _ => self.metrics.datagrams_bad_total.one(),
            }
        }
    }
}

#[cfg(test)]
mod tests;
