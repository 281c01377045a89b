//! Messages between directors, a share of which is lost.

use super::event::SimulationEvent;
use super::Simulation;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use wingfold_director::interface::*;

/// The length of the longest random message, in bytes.
const MAX_RANDOM_BYTES: u32 = 32;
/// The shortest time between two random messages of a director.
const MIN_INTERVAL_S: f64 = 1e-3;

impl Simulation<'_> {
    /// Sends a random message from a director to its peers and schedules the next one.
    pub(super) fn send_random_peer_message(&mut self, from: usize) {
        let rate_per_s = self.scenario.peers.messages_per_s;
        let interval_s = Exp::new(rate_per_s).expect("the rate is above 0").sample(&mut self.rng);
        let interval = Micros::from_secs(interval_s.max(MIN_INTERVAL_S));
        self.schedule_after(interval, SimulationEvent::PeerMessageDue { director: from });
        let length = self.rng.random_range(1..=MAX_RANDOM_BYTES);
        let message: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
        self.send_peer_message(from, None, &message);
    }

    /// Sends a message to one peer, or to all peers if `to` is `None`.
    pub(super) fn send_peer_message(&mut self, from: usize, to: Option<u32>, message: &[u8]) {
        let from_zone = self.directors[from].zone;
        for peer in 0..self.directors.len() {
            if peer == from {
                continue;
            }
            let to_zone = self.directors[peer].zone;
            // Drawn for every peer, even if the message is not addressed to the peer.
            let is_lost = self.rng.random::<f64>() < self.scenario.peers.loss_ratio;
            let is_addressed = to.is_none_or(|to| to as usize == peer);
            if is_lost || !is_addressed || self.is_partitioned(from_zone, to_zone) {
                continue;
            }
            let latency = self.latency(from_zone, to_zone);
            let event = Event::PeerMessage { from: from as u32, message: message.to_vec() };
            self.send_to_director(latency, peer, vec![event]);
        }
    }
}
