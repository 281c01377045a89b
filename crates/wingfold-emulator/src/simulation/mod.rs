//! Simulates a scenario in virtual time with the real decision module; the rest of the site is emulated.

mod actions;
mod attempts;
mod checks;
mod delay;
mod director;
mod discovery;
mod event;
mod faults;
mod lifecycle;
mod load_reports;
mod network;
mod peers;
mod push;
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
use rand_chacha::ChaCha8Rng;
use requests::Request;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Observes every call of every director's decision module.
pub trait Observer {
    /// Called after the decision module of a director has handled `events` and returned `actions`.
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

/// Simulates a scenario with a seed. If `capture_root` is given, each director's calls are captured in that
/// directory. Fails only if a capture cannot be written.
pub fn simulate(scenario: &Scenario, seed: u64, capture_root: Option<&Path>) -> io::Result<RunResult> {
    simulate_observed(scenario, seed, capture_root, &mut ())
}

/// Simulates a scenario as [`simulate`] does, and reports every call of a decision module to `observer`.
pub fn simulate_observed(
    scenario: &Scenario,
    seed: u64,
    capture_root: Option<&Path>,
    observer: &mut dyn Observer,
) -> io::Result<RunResult> {
    Simulation::new(scenario, seed, capture_root, observer).run()
}

/// The state of a simulation.
struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    capture_root: Option<&'a Path>,
    observer: &'a mut dyn Observer,
    now: Timestamp,
    events: EventQueue,
    /// Draws the arrivals of requests with their classes and work. Has its own stream, so that these do not
    /// depend on the actions of the directors.
    arrival_rng: ChaCha8Rng,
    /// Draws all other random numbers after the site has been drawn.
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    /// The index of each host by its name.
    host_index: BTreeMap<HostId, usize>,
    /// The endpoint list that directors start from.
    initial_endpoints: Vec<Endpoint>,
    /// The utilization that each host last reported.
    utilization: Vec<Option<f64>>,
    last_report_at: Timestamp,
    proxies: Vec<Proxy>,
    directors: Vec<DirectorNode>,
    requests: BTreeMap<RequestId, Request>,
    admitted_requests: u64,
    /// The mean work of a request, by class.
    mean_work_ms: Vec<f64>,
    /// The hosts that each fault affects.
    fault_targets: Vec<Vec<usize>>,
    disruptions: Disruptions,
    /// Buffer for the actions of a call. Empty between calls; kept to reuse its allocation.
    actions: Vec<Action>,
    result: RunResult,
}

impl Simulation<'_> {
    fn run(mut self) -> io::Result<RunResult> {
        self.start()?;
        while let Some(scheduled) = self.events.pop() {
            if scheduled.at.0 > self.scenario.duration.0 {
                break;
            }
            self.now = scheduled.at;
            self.handle(scheduled.event)?;
        }
        for director in &mut self.directors {
            director.finish_capture()?;
        }
        self.result.digests = self.directors.iter().map(DirectorNode::digest).collect();
        Ok(self.result)
    }

    fn schedule_at(&mut self, at: Timestamp, event: SimulationEvent) {
        self.events.push(at, event);
    }

    fn schedule_after(&mut self, delay: Micros, event: SimulationEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: SimulationEvent) -> io::Result<()> {
        match event {
            SimulationEvent::RequestArrives { proxy, epoch } => self.request_arrives(proxy, epoch),
            SimulationEvent::AttemptReachesHost { attempt, host } => self.attempt_reaches_host(attempt, host),
            SimulationEvent::AttemptFinishes { attempt, host, incarnation } => {
                self.attempt_finishes(attempt, host, incarnation);
            }
            SimulationEvent::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            SimulationEvent::LoadReportsDue => self.send_load_reports(),
            SimulationEvent::DirectorReceives { director, incarnation, events } => {
                self.deliver_to_incarnation(director, incarnation, events)?;
            }
            SimulationEvent::TimerFires { director, incarnation, token } => {
                self.deliver_to_incarnation(director, incarnation, vec![Event::TimerFired(token)])?;
            }
            SimulationEvent::EndpointListFetched { director, incarnation } => {
                let endpoint_list = self.complete_endpoint_list();
                self.deliver_to_incarnation(director, incarnation, vec![endpoint_list])?;
            }
            SimulationEvent::PeerMessageDue { director } => self.send_random_peer_message(director),
            SimulationEvent::RoutesReachProxy { proxy, stream, routes } => {
                self.apply_routes(proxy, stream, routes);
            }
            SimulationEvent::ProxyConnects { proxy } => self.connect(proxy),
            SimulationEvent::StreamBreaks { proxy, stream } => self.break_stream(proxy, stream),
            SimulationEvent::RouteCheckDue => self.check_routes(),
            SimulationEvent::FaultBeginsOrEnds { fault, active } => self.begin_or_end_fault(fault, active)?,
            SimulationEvent::HostTransitionsDue { hosts, transition } => {
                self.apply_host_transitions(&hosts, transition);
            }
        }
        Ok(())
    }
}
