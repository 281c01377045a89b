//! A tier of directors in simulated time. The network between them loses, duplicates and delays datagrams,
//! and can cut paths in one direction.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use wingfold_director::interface::*;
use wingfold_director::Director;
use wingfold_gossip::authentication::Rejections;
use wingfold_gossip::gossip::OutgoingDatagram;
use wingfold_gossip::membership::MemberState;
use wingfold_gossip::{Gossip, GossipConfig, GossipOutput};

/// Interval at which the simulated time advances, in microseconds.
const TICK_US: u64 = 100_000;

/// A datagram in transit. The order of the fields makes datagrams arrive by time, then in the order of
/// sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at_us: u64,
    number: u64,
    to: u16,
    bytes: Vec<u8>,
}

/// The running directors of a tier, and the network between them.
struct Network {
    now_us: u64,
    rng: ChaCha8Rng,
    /// Share of datagrams that are lost.
    loss_ratio: f64,
    /// Share of datagrams that arrive twice.
    duplication_ratio: f64,
    /// Shortest and longest delay of a datagram.
    delay_us: (u64, u64),
    /// Senders and receivers of paths that lose all datagrams.
    cut_paths: BTreeSet<(u16, u16)>,
    nodes: BTreeMap<u16, (Gossip, Director)>,
    in_flight: BinaryHeap<std::cmp::Reverse<InFlight>>,
    /// Number of the last datagram put in transit.
    last_number: u64,
    /// All advice given since the start of each director.
    advice: BTreeMap<u16, Vec<PeerAdvice>>,
    sent_bytes: u64,
    sent_datagrams: u64,
    largest_datagram: usize,
    /// The first 200 datagrams sent, and their receivers, for replay.
    early_datagrams: Vec<(u16, Vec<u8>)>,
    /// Keys of directors that are started from now on.
    keys: Vec<Vec<u8>>,
    member_count: u16,
}

fn settings(index: u32, directors: u32) -> Settings {
    let class = Class {
        latency_objective: Micros(1_000_000),
        deadline: Micros(3_000_000),
        priority_weight: 1.0,
        repeat_safety: RepeatSafety::Idempotent,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    };
    Settings {
        director_index: index,
        directors,
        zones: vec![ZoneId("a".into()), ZoneId("b".into())],
        classes: vec![class],
        proxies: 20,
        send_rate_lines_per_s: 1e4,
        max_queued_lines: 1e4,
        report_period: Micros(1_000_000),
        warm_up: Micros(14_000_000),
        initial_capacity_ratio: 0.2,
        overload_factor: 4.0,
        overload_duration: Micros(3_000_000),
        drain_grace: Micros(3_000_000),
        poll_within: Micros(10_000_000),
        ..Settings::default()
    }
}

fn host(number: u32) -> HostId {
    HostId(format!("10.0.0.{number}:8443").into())
}

/// A director with ten hosts in two zones, and a proxy in zone a.
fn director(index: u32, count: u32, now_us: u64) -> Director {
    let mut director = Director::new(settings(index, count), 1);
    let endpoint = |number: u32| Endpoint {
        host: host(number),
        machine_type: "box".into(),
        zone: ZoneId(if number.is_multiple_of(2) { "a" } else { "b" }.into()),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: None,
    };
    let events = [
        Event::EndpointList { kind: EndpointListKind::Complete, endpoints: (0..10).map(endpoint).collect() },
        Event::ProxyConnected { proxy: ProxyId(index), zone: ZoneId("a".into()), requests_per_s: 20.0 },
    ];
    director.handle(Timestamp(now_us), &events, &mut Vec::new());
    director
}

impl Network {
    /// A tier in which all directors have just started, with incarnation 1.
    fn new(member_count: u16, seed: u64) -> Network {
        let mut network = Network {
            now_us: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_ratio: 0.0,
            duplication_ratio: 0.0,
            delay_us: (1_000, 20_000),
            cut_paths: BTreeSet::new(),
            nodes: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            last_number: 0,
            advice: BTreeMap::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
            largest_datagram: 0,
            early_datagrams: Vec::new(),
            keys: Vec::new(),
            member_count,
        };
        (0..member_count).for_each(|id| network.start(id, 1));
        network
    }

    /// Starts or restarts a director without any state.
    fn start(&mut self, id: u16, incarnation: u32) {
        let keys = self.keys.clone();
        let config = GossipConfig {
            own_id: id,
            member_count: self.member_count,
            incarnation,
            seed: u64::from(id) * 7 + u64::from(incarnation),
            tier_hash: 5,
            keys,
        };
        let gossip = Gossip::new(config, Timestamp(self.now_us));
        let director = director(u32::from(id), u32::from(self.member_count), self.now_us);
        self.advice.remove(&id);
        self.nodes.insert(id, (gossip, director));
    }

    /// Puts the datagrams of a director in transit, as far as they are not lost.
    fn send(&mut self, from: u16, output: GossipOutput) {
        for OutgoingDatagram { to, bytes } in output.datagrams {
            self.sent_bytes += bytes.len() as u64;
            self.sent_datagrams += 1;
            self.largest_datagram = self.largest_datagram.max(bytes.len());
            if self.early_datagrams.len() < 200 {
                self.early_datagrams.push((to, bytes.clone()));
            }
            if self.cut_paths.contains(&(from, to)) || self.rng.random::<f64>() < self.loss_ratio {
                continue;
            }
            let copies = if self.rng.random::<f64>() < self.duplication_ratio { 2 } else { 1 };
            for _ in 0..copies {
                self.last_number += 1;
                let arrives_at_us = self.now_us + self.rng.random_range(self.delay_us.0..=self.delay_us.1);
                let datagram = InFlight { arrives_at_us, number: self.last_number, to, bytes: bytes.clone() };
                self.in_flight.push(std::cmp::Reverse(datagram));
            }
        }
    }

    /// Advances the time. Every second each director gets load reports on its hosts; `failing` holds, by
    /// director, the hosts that fail every attempt.
    fn run(&mut self, duration_s: f64, failing: &BTreeMap<u16, Vec<u32>>) {
        let end_us = self.now_us + (duration_s * 1e6) as u64;
        while self.now_us < end_us {
            self.now_us += TICK_US;
            while self.in_flight.peek().is_some_and(|next| next.0.arrives_at_us <= self.now_us) {
                let Some(std::cmp::Reverse(InFlight { to, bytes, .. })) = self.in_flight.pop() else { break };
                let mut output = GossipOutput::default();
                if let Some((gossip, _)) = self.nodes.get_mut(&to) {
                    gossip.handle_datagram(Timestamp(self.now_us), &bytes, &mut output);
                }
                self.send(to, output);
            }
            let ids: Vec<u16> = self.nodes.keys().copied().collect();
            for id in ids {
                let mut output = GossipOutput::default();
                let now = Timestamp(self.now_us);
                let Some((gossip, director)) = self.nodes.get_mut(&id) else { continue };
                if self.now_us.is_multiple_of(1_000_000) {
                    let failing_hosts = failing.get(&id).cloned().unwrap_or_default();
                    let reports = (0..10).map(|number| load_report(number, failing_hosts.contains(&number)));
                    director.handle(now, &reports.collect::<Vec<_>>(), &mut Vec::new());
                } else {
                    director.handle(now, &[Event::TimerFired(0)], &mut Vec::new());
                }
                gossip.tick(now, director, &mut output);
                let advice = gossip.advice(now, director);
                self.advice.entry(id).or_default().extend(advice);
                self.send(id, output);
            }
        }
    }

    /// The state of a member as an observer knows it.
    fn state_seen_by(&self, observer: u16, member: u16) -> MemberState {
        self.nodes[&observer].0.membership().state(member)
    }

    /// Whether all other running directors know the member in this state.
    fn all_consider(&self, member: u16, state: MemberState) -> bool {
        let mut observers = self.nodes.keys().filter(|observer| **observer != member);
        observers.all(|observer| self.state_seen_by(*observer, member) == state)
    }

    fn all_consider_all_alive(&self) -> bool {
        self.nodes.keys().all(|member| self.all_consider(*member, MemberState::Alive))
    }

    /// Whether all running directors know all of each other's entries.
    fn has_converged(&self) -> bool {
        let known_by = |id: &u16| self.nodes[id].0.entries().known_versions().collect::<BTreeMap<_, _>>();
        self.nodes.keys().all(|observer| {
            let known = known_by(observer);
            self.nodes.keys().all(|owner| {
                let own = known_by(owner).get(owner).copied();
                own.is_none_or(|own| own.version == 0 || known.get(owner) == Some(&own))
            })
        })
    }
}

/// A report of zone a on eight attempts at a host.
fn load_report(number: u32, all_fail: bool) -> Event {
    let total = 8;
    let failed = if all_fail { total } else { 0 };
    Event::LoadReport {
        zone: ZoneId("a".into()),
        host: host(number),
        attempts: AttemptCounts { total, failed, period: Micros(1_000_000) },
        mean_latency: Micros(90_000),
        load: HostLoad::default(),
    }
}

/// Input of [`Network::run`] for a time in which no host fails.
fn no_failures() -> BTreeMap<u16, Vec<u32>> {
    BTreeMap::new()
}

#[test]
fn dead_member_is_detected_by_all_under_loss() {
    for (loss, within_s) in [(0.0, 12.0), (0.1, 15.0), (0.3, 25.0), (0.6, 90.0)] {
        for seed in 0..3 {
            let mut network = Network::new(6, seed);
            (network.loss_ratio, network.duplication_ratio) = (loss, 0.1);
            network.run(if loss > 0.5 { 40.0 } else { 15.0 }, &no_failures());
            // At higher loss some member is suspect at almost any time, until it refutes this.
            if loss < 0.2 {
                assert!(network.all_consider_all_alive(), "loss {loss}, seed {seed}");
            }
            network.nodes.remove(&3);
            network.run(within_s, &no_failures());
            let suspects_3 = |observer: &u16| network.state_seen_by(*observer, 3) >= MemberState::Suspect;
            assert!(network.nodes.keys().all(suspects_3), "loss {loss}, seed {seed}");
            network.loss_ratio = 0.0;
            network.run(30.0, &no_failures());
            assert!(network.all_consider(3, MemberState::Dead), "loss {loss}, seed {seed}");
            let running: Vec<u16> = network.nodes.keys().copied().collect();
            for id in running {
                assert!(
                    network.all_consider(id, MemberState::Alive),
                    "running member {id} is not considered alive by all, loss {loss}, seed {seed}"
                );
            }
            assert!(network.largest_datagram <= 256);
        }
    }
}

#[test]
fn one_way_path_cut_makes_no_member_dead() {
    let mut network = Network::new(5, 4);
    network.run(10.0, &no_failures());
    // Datagrams from 0 to 1 are lost; all other paths work.
    network.cut_paths.insert((0, 1));
    for _ in 0..40 {
        network.run(1.0, &no_failures());
        assert_ne!(network.state_seen_by(0, 1), MemberState::Dead, "indirect pings do not reach 1");
        assert_ne!(network.state_seen_by(1, 0), MemberState::Dead);
    }
}

#[test]
fn healed_partition_rejoins_and_exchanges_entries() {
    for seed in 0..3 {
        let mut network = Network::new(4, seed);
        network.run(8.0, &no_failures());
        for (first, second) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            network.cut_paths.extend([(first, second), (second, first)]);
        }
        // Different hosts fail for the two sides of the partition.
        let failing = BTreeMap::from([(0, vec![1]), (1, vec![1]), (2, vec![4]), (3, vec![4])]);
        network.run(60.0, &failing);
        assert_eq!(
            (network.state_seen_by(0, 2), network.state_seen_by(3, 1)),
            (MemberState::Dead, MemberState::Dead)
        );
        network.cut_paths.clear();
        network.run(30.0, &failing);
        assert!(network.all_consider_all_alive(), "seed {seed}");
        assert!(network.has_converged(), "seed {seed}");
        let is_advised_ejected = |director: u16, number: u32| {
            network.advice[&director].iter().any(|advice| advice.host == host(number) && advice.ejected)
        };
        assert!(
            is_advised_ejected(0, 4) && is_advised_ejected(2, 1),
            "seed {seed}: entries of the other side are missing"
        );
    }
}

#[test]
fn restarts_raise_incarnation_and_old_datagrams_revive_no_member() {
    let mut network = Network::new(3, 1);
    network.run(8.0, &BTreeMap::from([(2, vec![4])]));
    let old_datagrams = network.early_datagrams.clone();
    // Member 2 restarts twice within a second; before the second restart its clock went back.
    network.start(2, 5);
    network.run(0.4, &no_failures());
    network.start(2, 3);
    network.run(12.0, &BTreeMap::from([(2, vec![6])]));
    assert!(network.all_consider_all_alive() && network.has_converged());
    let incarnation = network.nodes[&2].0.membership().incarnation();
    assert!(incarnation > 5, "incarnation {incarnation} is not higher than that before the restart");
    network.nodes.remove(&2);
    network.run(25.0, &no_failures());
    assert!(network.all_consider(2, MemberState::Dead));
    for (to, bytes) in old_datagrams {
        if let Some((gossip, _)) = network.nodes.get_mut(&to) {
            gossip.handle_datagram(Timestamp(network.now_us), &bytes, &mut GossipOutput::default());
        }
    }
    assert!(network.all_consider(2, MemberState::Dead), "datagrams of an old incarnation revived the member");
}

#[test]
fn graceful_shutdown_is_known_to_all_within_300_ms() {
    let mut network = Network::new(4, 2);
    network.run(8.0, &no_failures());
    let mut output = GossipOutput::default();
    let now = Timestamp(network.now_us);
    network.nodes.get_mut(&1).unwrap().0.leave(now, &mut output);
    network.send(1, output);
    network.nodes.remove(&1);
    network.run(0.3, &no_failures());
    assert!(network.all_consider(1, MemberState::Left));
    network.start(1, 2);
    network.run(8.0, &no_failures());
    assert!(network.all_consider_all_alive(), "the member does not rejoin in its next incarnation");
}

#[test]
fn entries_reach_other_directors_and_a_restarted_one() {
    for (loss, within_s) in [(0.0, 1.0), (0.1, 1.5), (0.3, 3.0)] {
        for seed in 0..5 {
            let mut network = Network::new(2, seed);
            network.loss_ratio = loss;
            let failing = BTreeMap::from([(0, vec![2, 5])]);
            network.run(20.0, &failing);
            let director_1_has_advice = |network: &Network| {
                let advice: Vec<&PeerAdvice> = network.advice.get(&1).into_iter().flatten().collect();
                [2, 5].iter().all(|number| advice.iter().any(|advice| advice.host == host(*number)))
            };
            assert!(director_1_has_advice(&network), "loss {loss}, seed {seed}");
            network.start(1, 2);
            assert!(!director_1_has_advice(&network));
            network.run(within_s, &failing);
            assert!(
                director_1_has_advice(&network),
                "loss {loss}, seed {seed}: no advice within {within_s} s of the restart"
            );
        }
    }
}

#[test]
fn traffic_per_director_is_bounded_for_2_to_50_directors() {
    for (count, max_bytes_per_s) in [(2u16, 700.0), (6, 1300.0), (50, 2300.0)] {
        let mut network = Network::new(count, 3);
        network.run(10.0, &no_failures());
        (network.sent_bytes, network.sent_datagrams) = (0, 0);
        network.run(20.0, &no_failures());
        assert!(network.all_consider_all_alive() || count == 50, "{count}");
        let bytes_per_s = network.sent_bytes as f64 / 20.0 / f64::from(count);
        let datagrams_per_s = network.sent_datagrams as f64 / 20.0 / f64::from(count);
        println!(
            "{count} directors: {bytes_per_s:.0} bytes/s and {datagrams_per_s:.1} datagrams/s per director"
        );
        assert!(bytes_per_s < max_bytes_per_s, "{count} directors: {bytes_per_s} bytes/s per director");
    }
}

#[test]
fn key_replacement_rejects_only_datagrams_of_a_removed_key() {
    let mut network = Network::new(3, 6);
    network.keys = vec![b"first".to_vec()];
    (0..3).for_each(|id| network.start(id, 2));
    network.run(8.0, &no_failures());
    assert!(network.all_consider_all_alive());
    for keys in [vec!["first", "second"], vec!["second", "first"], vec!["second"]] {
        let keys: Vec<Vec<u8>> = keys.into_iter().map(|key| key.as_bytes().to_vec()).collect();
        for id in 0..3 {
            network.nodes.get_mut(&id).unwrap().0.replace_keys(keys.clone());
            network.run(1.0, &no_failures());
            assert!(network.all_consider_all_alive());
        }
    }
    let unauthenticated = |network: &Network| {
        network.nodes.values().map(|(gossip, _)| gossip.rejections().unauthenticated).sum::<u64>()
    };
    assert_eq!(unauthenticated(&network), 0);
    // Datagrams signed with a key that has been removed are sent again.
    let replayed = network.early_datagrams.clone();
    let received_before = network.nodes[&0].0.counts.datagrams_received;
    for (_, bytes) in replayed.iter().take(50) {
        network.nodes.get_mut(&0).unwrap().0.handle_datagram(
            Timestamp(network.now_us),
            bytes,
            &mut GossipOutput::default(),
        );
    }
    assert_eq!(network.nodes[&0].0.counts.datagrams_received, received_before);
    assert!({
        let Rejections { unauthenticated, replayed } = network.nodes[&0].0.rejections();
        unauthenticated + replayed >= 50
    });
}

#[test]
fn single_director_sends_no_datagram() {
    let mut network = Network::new(1, 0);
    network.run(30.0, &BTreeMap::from([(0, vec![1])]));
    assert_eq!(network.sent_datagrams, 0);
}

#[test]
fn fifty_directors_started_at_once_find_each_other() {
    let mut network = Network::new(50, 8);
    network.loss_ratio = 0.05;
    network.run(60.0, &no_failures());
    let ids = || network.nodes.keys().copied();
    let pairs = || ids().flat_map(|observer| ids().map(move |member| (observer, member)));
    let is_seen_in =
        |observer, member, state| observer != member && network.state_seen_by(observer, member) == state;
    let count_seen =
        |state| pairs().filter(|(observer, member)| is_seen_in(*observer, *member, state)).count();
    assert_eq!(count_seen(MemberState::Dead), 0);
    // A suspicion spreads to many members before the suspect member refutes it.
    let alive_pairs = count_seen(MemberState::Alive);
    assert!(alive_pairs >= 50 * 49 * 95 / 100, "{alive_pairs} pairs alive");
}
