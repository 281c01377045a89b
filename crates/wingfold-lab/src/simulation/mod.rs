//! Plays a scenario: one queue of events in virtual time. The decision module is the real one; all else stands in.

mod actions;
mod checks;
mod director;
mod discovery;
mod event;
mod faults;
mod network;
mod peers;
mod reports;
mod requests;
mod setup;
mod streams;

use crate::host::Host;
use crate::proxy::Proxy;
use crate::results::Played;
use crate::scenario::Scenario;
use director::Controller;
use discovery::entry;
use event::{Due, Happens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use requests::Request;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::path::Path;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Looks on at every call of every director.
pub trait Onlooker {
    /// A director was told this and has answered.
    fn called(
        &mut self,
        director: usize,
        now: Micros,
        events: &[Event],
        actions: &[Action],
        module: &Director,
    );
}

impl Onlooker for () {
    fn called(&mut self, _: usize, _: Micros, _: &[Event], _: &[Action], _: &Director) {}
}

/// Plays a scenario with a seed; where a folder is named, each director's calls are captured below it.
pub fn play(plan: &Scenario, seed: u64, captures: Option<&Path>) -> io::Result<Played> {
    play_before(plan, seed, captures, &mut ())
}

/// The same before an onlooker.
pub fn play_before(
    plan: &Scenario,
    seed: u64,
    captures: Option<&Path>,
    onlooker: &mut dyn Onlooker,
) -> io::Result<Played> {
    let mut world = World::new(plan, seed, captures, onlooker);
    world.begin()?;
    while let Some(Reverse(Due(at, _, what))) = world.due.pop() {
        if at > plan.length {
            break;
        }
        world.now = at;
        world.happen(what)?;
    }
    for director in &mut world.directors {
        if let Some(tap) = &mut director.tap {
            tap.queue().end()?;
        }
    }
    world.played.digests =
        world.directors.iter().map(|d| d.module.as_ref().map_or(0, Director::digest)).collect();
    Ok(world.played)
}

struct World<'a> {
    plan: &'a Scenario,
    seed: u64,
    captures: Option<&'a Path>,
    onlooker: &'a mut dyn Onlooker,
    now: Micros,
    due: BinaryHeap<Reverse<Due>>,
    number: u64,
    arrivals: ChaCha8Rng,
    chance: ChaCha8Rng,
    hosts: Vec<Host>,
    names: BTreeMap<HostId, usize>,
    busy: Vec<Option<f64>>,
    reported: Micros,
    proxies: Vec<Proxy>,
    directors: Vec<Controller>,
    requests: BTreeMap<u64, Request>,
    struck: Vec<Vec<usize>>,
    cut: BTreeSet<usize>,
    burst: f64,
    /// Traffic by zone, and zones whose collector is dead.
    traffic: Vec<f64>,
    mute: BTreeSet<usize>,
    late: Micros,
    silent_list: bool,
    first: Vec<Entry>,
    works: Vec<f64>,
    actions: Vec<Action>,
    played: Played,
}

impl World<'_> {
    fn at(&mut self, at: Micros, what: Happens) {
        self.number += 1;
        self.due.push(Reverse(Due(at, self.number, what)));
    }

    fn after(&mut self, time: Micros, what: Happens) {
        self.at(Micros(self.now.0 + time.0), what);
    }

    fn between(&mut self, least: Micros, most: Micros) -> Micros {
        Micros(if most > least { self.chance.random_range(least.0..=most.0) } else { least.0 })
    }

    fn happen(&mut self, what: Happens) -> io::Result<()> {
        match what {
            Happens::Arrive(proxy, epoch) => {
                if self.proxies[proxy].arrival_epoch == epoch {
                    self.arrive(proxy);
                }
            }
            Happens::Reach(attempt, host) => self.reach(attempt, host),
            Happens::Done(host, attempt, incarnation) => self.done(host, attempt, incarnation),
            Happens::Answer(attempt, end) => self.answer(attempt, end),
            Happens::Report => self.report(),
            Happens::Deliver(at, incarnation, events) => {
                if self.directors[at].incarnation == incarnation {
                    self.tell(at, events)?;
                }
            }
            Happens::Timer(at, incarnation, token) => {
                if self.directors[at].incarnation == incarnation {
                    self.tell(at, vec![Event::Timer(token)])?;
                }
            }
            Happens::Orders(proxy, stream, rules) => {
                if self.proxies[proxy].stream == stream {
                    self.proxies[proxy].rules = rules;
                }
            }
            Happens::Join(proxy) => self.join(proxy),
            Happens::Leave(proxy, stream) => {
                if self.proxies[proxy].stream == stream {
                    self.leave(proxy);
                }
            }
            Happens::Look => {
                self.look();
                self.after(Micros(250_000), Happens::Look);
            }
            Happens::Chatter(at) => self.chatter(at),
            Happens::Fault(at, begins) => self.fault(at, begins)?,
            Happens::Stage(hosts, stage) => hosts.into_iter().for_each(|host| self.stage(host, stage)),
            Happens::List(at, incarnation) => {
                if self.directors[at].incarnation == incarnation {
                    let event = match self.silent_list {
                        true => Event::ListFailed,
                        false => Event::List(
                            ListKind::Whole,
                            self.hosts.iter().map(|host| entry(host, self.plan)).collect(),
                        ),
                    };
                    self.tell(at, vec![event])?;
                }
            }
        }
        Ok(())
    }
}
