//! Faults of a scenario: whom each strikes, and what it does when it begins and ends.

use super::discovery::entry;
use super::event::{Happens, Stage};
use super::World;
use crate::host::{Host, HostState};
use crate::scenario::{Fault, Scenario, Struck, Trouble};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::io;
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn stage(&mut self, host: usize, stage: Stage) {
        match stage {
            Stage::Drain => self.hosts[host].listed = Readiness::Draining,
            Stage::Stop => {
                self.hosts[host].stop(self.now, HostState::Down);
                self.hosts[host].listed = Readiness::Gone;
            }
            Stage::Start => self.hosts[host].restart(self.now),
        }
        self.announce(host);
    }

    fn zone(&self, name: &str) -> usize {
        let zone = self.plan.settings.zones.iter().position(|known| *known.0 == *name);
        zone.expect("the scenario was checked")
    }

    pub(super) fn fault(&mut self, number: usize, begins: bool) -> io::Result<()> {
        let (plan, hosts) = (self.plan, self.struck[number].clone());
        let fault = &plan.faults[number];
        let now = self.now;
        match &fault.trouble {
            Trouble::Crash | Trouble::Vanish | Trouble::Hang => {
                for host in hosts {
                    let state = match fault.trouble {
                        Trouble::Crash => HostState::Down,
                        Trouble::Vanish => HostState::Unreachable,
                        _ => HostState::Hung,
                    };
                    match begins {
                        false => self.stage(host, Stage::Start),
                        true => {
                            self.hosts[host].stop(now, state);
                            // The list only sees that a process is gone; of a machine that vanished, much later.
                            if state == HostState::Down {
                                self.hosts[host].listed = Readiness::Gone;
                                self.announce(host);
                            }
                        }
                    }
                }
            }
            Trouble::Slow(times) => {
                hosts.iter().for_each(|h| self.hosts[*h].slowdown = if begins { *times } else { 1.0 })
            }
            Trouble::Neighbour(part) => {
                hosts.iter().for_each(|h| self.hosts[*h].stolen_share = if begins { *part } else { 0.0 })
            }
            Trouble::Errors(part) => {
                hosts.iter().for_each(|h| self.hosts[*h].error_share = if begins { *part } else { 0.0 })
            }
            Trouble::Drain(by) => match begins {
                true => {
                    let by = Micros(by.as_micros() as u64);
                    hosts.iter().for_each(|host| self.stage(*host, Stage::Drain));
                    self.after(by, Happens::Stage(hosts, Stage::Stop));
                }
                false => hosts.iter().for_each(|host| self.stage(*host, Stage::Start)),
            },
            Trouble::Deploy(at_a_time) if begins => {
                let batch = ((hosts.len() as f64 * at_a_time).ceil() as usize).max(1);
                let batches = hosts.len().div_ceil(batch).max(1) as u64;
                let each = fault.at.1 .0.saturating_sub(now.0) / batches;
                for (number, batch) in hosts.chunks(batch).enumerate() {
                    let begin = Micros(now.0 + each * number as u64);
                    for (part, stage) in [(0, Stage::Drain), (6, Stage::Stop), (9, Stage::Start)] {
                        let at = Micros(begin.0 + each * part / 10);
                        self.at(at, Happens::Stage(batch.to_vec(), stage));
                    }
                }
            }
            Trouble::Deploy(_) => {}
            Trouble::Cut(zone) => {
                let zone = self.zone(zone);
                if begins {
                    self.cut.insert(zone)
                } else {
                    self.cut.remove(&zone)
                };
                for proxy in 0..self.proxies.len() {
                    let Some(at) = self.proxies[proxy].director else { continue };
                    if self.parted(self.proxies[proxy].zone, self.directors[at].zone) {
                        // Nothing is said: it is noticed by silence.
                        let noticed = self.between(Micros(500_000), Micros(2_800_000));
                        let stream = self.proxies[proxy].stream;
                        self.after(noticed, Happens::Leave(proxy, stream));
                    }
                }
            }
            Trouble::CollectorDead(zone) => {
                let zone = self.zone(zone);
                if begins {
                    self.mute.insert(zone)
                } else {
                    self.mute.remove(&zone)
                };
            }
            Trouble::Traffic(zone, times) => {
                let zone = self.zone(zone);
                self.traffic[zone] = if begins { *times } else { 1.0 };
                // Those that wait for their next request at the old rate ask anew.
                for proxy in
                    (0..self.proxies.len()).filter(|at| self.proxies[*at].zone == zone).collect::<Vec<_>>()
                {
                    self.proxies[proxy].arrival_epoch += 1;
                    self.next_arrival(proxy);
                }
            }
            Trouble::Burst(times) => self.burst = if begins { *times } else { 1.0 },
            Trouble::LateReports(by) => {
                self.late = if begins { Micros(by.as_micros() as u64) } else { Micros(0) };
            }
            Trouble::WrongList => {
                for host in hosts {
                    let mut told = entry(&self.hosts[host], plan);
                    if begins {
                        told.readiness = Readiness::Gone;
                    }
                    self.spread(told);
                }
            }
            Trouble::DiscoveryDown => {
                self.silent_list = begins;
                for at in 0..self.directors.len() {
                    let incarnation = self.directors[at].incarnation;
                    if begins {
                        self.after(Micros(5000), Happens::Deliver(at, incarnation, vec![Event::ListFailed]));
                    }
                }
            }
            Trouble::DirectorDown(at) => {
                let at = *at;
                match begins {
                    true => {
                        if let Some(tap) = &mut self.directors[at].tap {
                            tap.queue().end()?;
                        }
                        (self.directors[at].module, self.directors[at].tap) = (None, None);
                        self.directors[at].incarnation += 1;
                        for proxy in 0..self.proxies.len() {
                            if self.proxies[proxy].director == Some(at) {
                                self.leave(proxy);
                            }
                        }
                    }
                    false => self.start_director(at)?,
                }
            }
            Trouble::DirectorStall(at) => {
                self.directors[*at].stalled = begins;
                if !begins {
                    let events = std::mem::take(&mut self.directors[*at].waiting);
                    self.tell(*at, events)?;
                }
            }
            Trouble::StreamsBreak if begins => (0..self.proxies.len()).for_each(|proxy| self.leave(proxy)),
            Trouble::StreamsBreak => {}
        }
        Ok(())
    }
}

/// The hosts that a fault strikes.
pub(super) fn strike(fault: &Fault, hosts: &[Host], plan: &Scenario, draw: &mut ChaCha8Rng) -> Vec<usize> {
    let all = 0..hosts.len();
    match &fault.struck {
        Struck::Part(part) => {
            let mut drawn: Vec<usize> = all.collect();
            drawn.shuffle(draw);
            drawn.truncate(((hosts.len() as f64 * part).round() as usize).max(1));
            drawn
        }
        Struck::Named(names) => {
            all.filter(|at| names.iter().any(|name| **name == *hosts[*at].id.0)).collect()
        }
        Struck::Zone(zone) => all.filter(|at| *plan.settings.zones[hosts[*at].zone].0 == **zone).collect(),
        Struck::Kind(kind) => all.filter(|at| hosts[*at].kind == *kind).collect(),
    }
}
