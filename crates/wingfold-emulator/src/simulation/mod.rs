//! Simulates a scenario in virtual time. The decision module is the real one; all else is emulated.

mod actions;
mod attempts;
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

use crate::attempt::RequestId;
use crate::host::Host;
use crate::proxy::Proxy;
use crate::results::RunResult;
use crate::scenario::Scenario;
use director::DirectorNode;
use event::{EventQueue, SimulationEvent};
use faults::Disruptions;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use requests::Request;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Observes every call of every director.
pub trait Observer {
    /// A director was told of events and has answered with actions.
    fn director_called(
        &mut self,
        director: usize,
        now: Timestamp,
        events: &[Event],
        actions: &[Action],
        module: &Director,
    );
}

/// Observes nothing.
impl Observer for () {
    fn director_called(&mut self, _: usize, _: Timestamp, _: &[Event], _: &[Action], _: &Director) {}
}

/// Simulates a scenario with a seed; where a folder is named, each director's calls are captured below it.
pub fn simulate(scenario: &Scenario, seed: u64, captures: Option<&Path>) -> io::Result<RunResult> {
    simulate_observed(scenario, seed, captures, &mut ())
}

/// The same with an observer.
pub fn simulate_observed(
    scenario: &Scenario,
    seed: u64,
    captures: Option<&Path>,
    observer: &mut dyn Observer,
) -> io::Result<RunResult> {
    Simulation::new(scenario, seed, captures, observer).run()
}

/// The state of a simulation.
struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    captures: Option<&'a Path>,
    observer: &'a mut dyn Observer,
    now: Timestamp,
    events: EventQueue,
    /// Draws the arrivals of requests.
    arrival_rng: ChaCha8Rng,
    /// Draws all else.
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    host_index: BTreeMap<HostId, usize>,
    /// The list of hosts that directors start from.
    initial_list: Vec<Endpoint>,
    /// The busy share that each host last reported.
    utilization: Vec<Option<f64>>,
    last_report: Timestamp,
    proxies: Vec<Proxy>,
    directors: Vec<DirectorNode>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that were admitted so far.
    admitted: u64,
    /// The mean work of a request, by class.
    mean_work_ms: Vec<f64>,
    /// The hosts that each fault affects.
    fault_targets: Vec<Vec<usize>>,
    disruptions: Disruptions,
    /// Kept from call to call for its memory.
    actions: Vec<Action>,
    result: RunResult,
}

impl Simulation<'_> {
    fn run(mut self) -> io::Result<RunResult> {
        self.start()?;
        while let Some((at, event)) = self.events.pop() {
            if at.0 > self.scenario.duration.0 {
                break;
            }
            self.now = at;
            self.handle(event)?;
        }
        for director in &mut self.directors {
            director.end_capture()?;
        }
        self.result.digests = self.directors.iter().map(DirectorNode::digest).collect();
        Ok(self.result)
    }

    fn schedule_at(&mut self, at: Timestamp, event: SimulationEvent) {
        self.events.push(at, event);
    }

    fn schedule_after(&mut self, delay: Micros, event: SimulationEvent) {
        self.schedule_at(Timestamp(self.now.0 + delay.0), event);
    }

    /// Draws a time from a range; draws nothing where the range is empty.
    fn random_time(&mut self, least: Micros, most: Micros) -> Micros {
        if most > least {
            Micros(self.rng.random_range(least.0..=most.0))
        } else {
            least
        }
    }

    fn handle(&mut self, event: SimulationEvent) -> io::Result<()> {
        match event {
            SimulationEvent::RequestArrives { proxy, epoch } => self.request_arrives(proxy, epoch),
            SimulationEvent::AttemptReachesHost { attempt, host } => self.attempt_reaches(attempt, host),
            SimulationEvent::AttemptFinishes { attempt, host, incarnation } => {
                self.attempt_finishes(attempt, host, incarnation);
            }
            SimulationEvent::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            SimulationEvent::ReportsDue => self.send_reports(),
            SimulationEvent::DirectorReceives { director, incarnation, events } => {
                self.deliver_to(director, incarnation, events)?;
            }
            SimulationEvent::TimerFires { director, incarnation, token } => {
                self.deliver_to(director, incarnation, vec![Event::TimerFired(token)])?;
            }
            SimulationEvent::ListFetched { director, incarnation } => {
                let list = self.list_event();
                self.deliver_to(director, incarnation, vec![list])?;
            }
            SimulationEvent::PeerMessageDue { director } => self.send_random_peer_message(director),
            SimulationEvent::RulesReachProxy { proxy, stream, rules } => {
                self.rules_reach(proxy, stream, rules);
            }
            SimulationEvent::ProxyConnects { proxy } => self.connect(proxy),
            SimulationEvent::StreamBreaks { proxy, stream } => self.stream_breaks(proxy, stream),
            SimulationEvent::CheckDue => self.check_routes(),
            SimulationEvent::FaultChanges { fault, active } => self.change_fault(fault, active)?,
            SimulationEvent::HostsChange { hosts, transition } => self.change_hosts(&hosts, transition),
        }
        Ok(())
    }
}
