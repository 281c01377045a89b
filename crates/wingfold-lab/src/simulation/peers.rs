//! Messages between directors; some are lost on the way.

use super::event::Happens;
use super::World;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn chatter(&mut self, from: usize) {
        let wait = Exp::new(self.plan.peers.0).expect("the rate is above 0").sample(&mut self.chance);
        self.after(Micros::from_secs(wait.max(1e-3)), Happens::Chatter(from));
        let length = self.chance.random_range(1..=32);
        let word: Vec<u8> = (0..length).map(|_| self.chance.random()).collect();
        self.word(from, None, word);
    }

    pub(super) fn word(&mut self, from: usize, to: Option<u32>, word: Vec<u8>) {
        for at in (0..self.directors.len()).filter(|at| *at != from) {
            let (one, other) = (self.directors[from].zone, self.directors[at].zone);
            let lost = self.chance.random::<f64>() < self.plan.peers.1;
            if to.is_some_and(|to| to as usize != at) || lost || self.parted(one, other) {
                continue;
            }
            let (way, incarnation) = (self.way(one, other), self.directors[at].incarnation);
            self.after(way, Happens::Deliver(at, incarnation, vec![Event::Peer(from as u32, word.clone())]));
        }
    }
}
