//! Streams between proxies and directors: how they open and break.

use super::event::Happens;
use super::World;
use rand::Rng;
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn join(&mut self, proxy: usize) {
        let zone = self.proxies[proxy].zone;
        let open = |at: &usize| {
            let director = &self.directors[*at];
            director.module.is_some() && !director.stalled && !self.parted(zone, director.zone)
        };
        let mut open: Vec<usize> = (0..self.directors.len()).filter(open).collect();
        if self.plan.settings.local_first {
            let near: Vec<usize> =
                open.iter().copied().filter(|at| self.directors[*at].zone == zone).collect();
            open = if near.is_empty() { open } else { near };
        }
        if open.is_empty() {
            let again = self.between(Micros(300_000), Micros(1_500_000));
            self.after(again, Happens::Join(proxy));
            return;
        }
        let at = open[self.chance.random_range(0..open.len())];
        let joined = &mut self.proxies[proxy];
        (joined.director, joined.connected_at) = (Some(at), self.now);
        joined.stream += 1;
        let event = Event::Joined(ProxyId(proxy as u32), self.plan.settings.zones[zone].clone(), joined.rate);
        let incarnation = self.directors[at].incarnation;
        self.after(Micros(3000), Happens::Deliver(at, incarnation, vec![event]));
    }

    /// Its stream breaks: its director notices sooner or later, and it dials again.
    pub(super) fn leave(&mut self, proxy: usize) {
        let Some(at) = self.proxies[proxy].director.take() else { return };
        self.proxies[proxy].stream += 1;
        let id = ProxyId(proxy as u32);
        let director = &mut self.directors[at];
        director.users.values_mut().for_each(|users| users.retain(|user| *user != proxy));
        director.mirror.bound.retain(|(of, _), _| *of != id);
        director.arrives.remove(&proxy);
        let incarnation = director.incarnation;
        let noticed = self.between(Micros(10_000), Micros(200_000));
        let again = self.between(Micros(300_000), Micros(1_500_000));
        self.after(noticed, Happens::Deliver(at, incarnation, vec![Event::Left(id)]));
        self.after(again, Happens::Join(proxy));
    }
}
