//! Messages between directors; some are lost on the way.

use super::event::SimulationEvent;
use super::Simulation;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use wingfold_director::interface::*;

/// The longest made-up message, in bytes.
const MAX_RANDOM_BYTES: u32 = 32;
/// The shortest time between two made-up messages, in seconds.
const MIN_INTERVAL_S: f64 = 1e-3;

impl Simulation<'_> {
    /// A director sends its peers a made-up message, and will send another.
    pub(super) fn send_random_peer_message(&mut self, from: usize) {
        let rate = self.scenario.peers.messages_per_s;
        let wait = Exp::new(rate).expect("the rate is above 0").sample(&mut self.rng);
        let next = Micros::from_secs(wait.max(MIN_INTERVAL_S));
        self.schedule_after(next, SimulationEvent::PeerMessageDue { director: from });
        let length = self.rng.random_range(1..=MAX_RANDOM_BYTES);
        let message: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
        self.send_peer_message(from, None, &message);
    }

    /// Sends a message to one peer, or to all.
    pub(super) fn send_peer_message(&mut self, from: usize, to: Option<u32>, message: &[u8]) {
        for peer in (0..self.directors.len()).filter(|peer| *peer != from) {
            let (from_zone, to_zone) = (self.directors[from].zone, self.directors[peer].zone);
            let lost = self.rng.random::<f64>() < self.scenario.peers.loss;
            let addressed = to.is_none_or(|to| to as usize == peer);
            if lost || !addressed || self.partitioned(from_zone, to_zone) {
                continue;
            }
            let latency = self.latency(from_zone, to_zone);
            self.send_to_director(
                latency,
                peer,
                vec![Event::PeerMessage { from: from as u32, message: message.to_vec() }],
            );
        }
    }
}
