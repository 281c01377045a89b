//! A tier in virtual time over a network that loses, duplicates and delays datagrams, and cuts paths in one
//! direction.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use wingfold_director::interface::*;
use wingfold_director::Director;
use wingfold_gossip::authentication::Rejections;
use wingfold_gossip::gossip::OutgoingDatagram;
use wingfold_gossip::membership::MemberState;
use wingfold_gossip::{Gossip, GossipConfig, GossipOutput};

const TICK: u64 = 100_000;

/// When it lands, its number, to whom, and what.
type InFlight = (u64, u64, u16, Vec<u8>);

/// Directors with a little to say, and the network between them.
struct Network {
    now: u64,
    rng: ChaCha8Rng,
    loss: f64,
    duplication: f64,
    delay: (u64, u64),
    /// Paths that carry nothing, from whom to whom.
    cut: BTreeSet<(u16, u16)>,
    nodes: BTreeMap<u16, (Gossip, Director)>,
    in_flight: BinaryHeap<std::cmp::Reverse<InFlight>>,
    number: u64,
    advice: BTreeMap<u16, Vec<PeerAdvice>>,
    bytes: u64,
    datagrams: u64,
    largest: usize,
    old: Vec<(u16, Vec<u8>)>,
    keys: Vec<Vec<u8>>,
    count: u16,
}

fn settings(me: u32, directors: u32) -> Settings {
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
        director_index: me,
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

fn host(at: u32) -> HostId {
    HostId(format!("10.0.0.{at}:8443").into())
}

/// A director with ten hosts and a proxy in zone a.
fn director(me: u32, count: u32, now: u64) -> Director {
    let mut director = Director::new(settings(me, count), 1);
    let entry = |at: u32| Endpoint {
        host: host(at),
        machine_type: "box".into(),
        zone: ZoneId(if at.is_multiple_of(2) { "a" } else { "b" }.into()),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: None,
    };
    let events = [
        Event::EndpointList { kind: EndpointListKind::Complete, endpoints: (0..10).map(entry).collect() },
        Event::ProxyConnected { proxy: ProxyId(me), zone: ZoneId("a".into()), requests_per_s: 20.0 },
    ];
    director.handle(Timestamp(now), &events, &mut Vec::new());
    director
}

impl Network {
    fn new(count: u16, seed: u64) -> Network {
        let mut net = Network {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            delay: (1_000, 20_000),
            cut: BTreeSet::new(),
            nodes: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            number: 0,
            advice: BTreeMap::new(),
            bytes: 0,
            datagrams: 0,
            largest: 0,
            old: Vec::new(),
            keys: Vec::new(),
            count,
        };
        (0..count).for_each(|at| net.start(at, 1));
        net
    }

    fn start(&mut self, at: u16, incarnation: u32) {
        let keys = self.keys.clone();
        let config = GossipConfig {
            own_id: at,
            member_count: self.count,
            incarnation,
            seed: u64::from(at) * 7 + u64::from(incarnation),
            tier_hash: 5,
            keys,
        };
        let gossip = Gossip::new(config, Timestamp(self.now));
        let director = director(u32::from(at), u32::from(self.count), self.now);
        self.advice.remove(&at);
        self.nodes.insert(at, (gossip, director));
    }

    fn send(&mut self, from: u16, out: GossipOutput) {
        for OutgoingDatagram { to, bytes } in out.datagrams {
            self.bytes += bytes.len() as u64;
            self.datagrams += 1;
            self.largest = self.largest.max(bytes.len());
            if self.old.len() < 200 {
                self.old.push((to, bytes.clone()));
            }
            if self.cut.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            let times = if self.rng.random::<f64>() < self.duplication { 2 } else { 1 };
            for _ in 0..times {
                self.number += 1;
                let at = self.now + self.rng.random_range(self.delay.0..=self.delay.1);
                self.in_flight.push(std::cmp::Reverse((at, self.number, to, bytes.clone())));
            }
        }
    }

    /// Time passes; every second each director gets load reports in which the hosts of `dead` fail every
    /// attempt.
    fn run(&mut self, secs: f64, dead: &BTreeMap<u16, Vec<u32>>) {
        let end = self.now + (secs * 1e6) as u64;
        while self.now < end {
            self.now += TICK;
            while self.in_flight.peek().is_some_and(|next| next.0 .0 <= self.now) {
                let Some(std::cmp::Reverse((_, _, to, bytes))) = self.in_flight.pop() else { break };
                let mut out = GossipOutput::default();
                if let Some((gossip, _)) = self.nodes.get_mut(&to) {
                    gossip.handle_datagram(Timestamp(self.now), &bytes, &mut out);
                }
                self.send(to, out);
            }
            let ids: Vec<u16> = self.nodes.keys().copied().collect();
            for at in ids {
                let mut out = GossipOutput::default();
                let now = Timestamp(self.now);
                let Some((gossip, director)) = self.nodes.get_mut(&at) else { continue };
                if self.now.is_multiple_of(1_000_000) {
                    let lost = dead.get(&at).cloned().unwrap_or_default();
                    let reports = (0..10).map(|one| {
                        let total = 8;
                        let lost = if lost.contains(&one) { total } else { 0 };
                        let sums = AttemptCounts { total, failed: lost, period: Micros(1_000_000) };
                        Event::LoadReport {
                            zone: ZoneId("a".into()),
                            host: host(one),
                            attempts: sums,
                            mean_latency: Micros(90_000),
                            load: HostLoad::default(),
                        }
                    });
                    director.handle(now, &reports.collect::<Vec<_>>(), &mut Vec::new());
                } else {
                    director.handle(now, &[Event::TimerFired(0)], &mut Vec::new());
                }
                gossip.tick(now, director, &mut out);
                let advice = gossip.advice(now, director);
                self.advice.entry(at).or_default().extend(advice);
                self.send(at, out);
            }
        }
    }

    fn standing(&self, of: u16, at: u16) -> MemberState {
        self.nodes[&of].0.membership().state(at)
    }

    /// All directors that run agree on how this one stands.
    fn all_see(&self, at: u16, standing: MemberState) -> bool {
        self.nodes.keys().filter(|of| **of != at).all(|of| self.standing(*of, at) == standing)
    }

    fn all_are_alive(&self) -> bool {
        self.nodes.keys().all(|at| self.all_see(*at, MemberState::Alive))
    }

    /// All know each other's entries up to the last.
    fn converged(&self) -> bool {
        let known = |of: &u16| self.nodes[of].0.entries().known_versions().collect::<BTreeMap<_, _>>();
        self.nodes.keys().all(|of| {
            let mine = known(of);
            self.nodes.keys().all(|at| {
                known(at).get(at).is_none_or(|theirs| theirs.version == 0 || mine.get(at) == Some(theirs))
            })
        })
    }
}

fn none() -> BTreeMap<u16, Vec<u32>> {
    BTreeMap::new()
}

#[test]
fn members_find_each_other_and_one_that_dies_is_dead_for_all_under_loss() {
    for (loss, within) in [(0.0, 12.0), (0.1, 15.0), (0.3, 25.0), (0.6, 90.0)] {
        for seed in 0..3 {
            let mut net = Network::new(6, seed);
            (net.loss, net.duplication) = (loss, 0.1);
            net.run(if loss > 0.5 { 40.0 } else { 15.0 }, &none());
            // At such losses somebody is always suspect for a moment, and says so himself.
            if loss < 0.2 {
                assert!(net.all_are_alive(), "loss {loss}, seed {seed}");
            }
            net.nodes.remove(&3);
            net.run(within, &none());
            let is_doubted = |of: &u16| net.standing(*of, 3) >= MemberState::Suspect;
            assert!(net.nodes.keys().all(is_doubted), "loss {loss}, seed {seed}");
            net.loss = 0.0;
            net.run(30.0, &none());
            assert!(net.all_see(3, MemberState::Dead), "loss {loss}, seed {seed}");
            let live: Vec<u16> = net.nodes.keys().copied().collect();
            for at in live {
                assert!(
                    net.all_see(at, MemberState::Alive),
                    "no live one is held dead for good: {at}, seed {seed}"
                );
            }
            assert!(net.largest <= 256);
        }
    }
}

#[test]
fn a_path_cut_in_one_direction_kills_nobody() {
    let mut net = Network::new(5, 4);
    net.run(10.0, &none());
    // Nothing from 0 reaches 1; all else goes on.
    net.cut.insert((0, 1));
    for _ in 0..40 {
        net.run(1.0, &none());
        assert_ne!(net.standing(0, 1), MemberState::Dead, "1 is asked after through others");
        assert_ne!(net.standing(1, 0), MemberState::Dead);
    }
}

#[test]
fn halves_that_were_partitioned_for_a_minute_find_each_other_and_exchange_what_they_learned() {
    for seed in 0..3 {
        let mut net = Network::new(4, seed);
        net.run(8.0, &none());
        for (one, other) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            net.cut.extend([(one, other), (other, one)]);
        }
        // Each half learns something else meanwhile: contradicting pictures.
        let dead = BTreeMap::from([(0, vec![1]), (1, vec![1]), (2, vec![4]), (3, vec![4])]);
        net.run(60.0, &dead);
        assert_eq!((net.standing(0, 2), net.standing(3, 1)), (MemberState::Dead, MemberState::Dead));
        net.cut.clear();
        net.run(30.0, &dead);
        assert!(net.all_are_alive(), "seed {seed}");
        assert!(net.converged(), "seed {seed}");
        let out = |at: u16, of: u32| net.advice[&at].iter().any(|a| a.host == host(of) && a.ejected);
        assert!(out(0, 4) && out(2, 1), "seed {seed}: each knows what the other half saw");
    }
}

#[test]
fn a_restart_is_told_from_a_recovery_and_old_datagrams_revive_nobody() {
    let mut net = Network::new(3, 1);
    net.run(8.0, &BTreeMap::from([(2, vec![4])]));
    let old = net.old.clone();
    // Twice within a second, the second time with a clock that went back.
    net.start(2, 5);
    net.run(0.4, &none());
    net.start(2, 3);
    net.run(12.0, &BTreeMap::from([(2, vec![6])]));
    assert!(net.all_are_alive() && net.converged());
    let incarnation = net.nodes[&2].0.membership().incarnation();
    assert!(incarnation > 5, "it went beyond its own last incarnation: {incarnation}");
    net.nodes.remove(&2);
    net.run(25.0, &none());
    assert!(net.all_see(2, MemberState::Dead));
    for (to, bytes) in old {
        if let Some((gossip, _)) = net.nodes.get_mut(&to) {
            gossip.handle_datagram(Timestamp(net.now), &bytes, &mut GossipOutput::default());
        }
    }
    assert!(net.all_see(2, MemberState::Dead), "datagrams of an earlier incarnation");
}

#[test]
fn a_graceful_shutdown_is_known_at_once() {
    let mut net = Network::new(4, 2);
    net.run(8.0, &none());
    let mut out = GossipOutput::default();
    let now = Timestamp(net.now);
    net.nodes.get_mut(&1).unwrap().0.leave(now, &mut out);
    net.send(1, out);
    net.nodes.remove(&1);
    net.run(0.3, &none());
    assert!(net.all_see(1, MemberState::Left));
    net.start(1, 2);
    net.run(8.0, &none());
    assert!(net.all_are_alive(), "and back in its next incarnation");
}

#[test]
fn what_one_director_learned_reaches_the_others_and_a_restarted_one_soon() {
    for (loss, soon) in [(0.0, 1.0), (0.1, 1.5), (0.3, 3.0)] {
        for seed in 0..5 {
            let mut net = Network::new(2, seed);
            net.loss = loss;
            let dead = BTreeMap::from([(0, vec![2, 5])]);
            net.run(20.0, &dead);
            let knows = |net: &Network, at: u16| {
                [2, 5].iter().all(|of| net.advice.get(&at).into_iter().flatten().any(|a| a.host == host(*of)))
            };
            assert!(knows(&net, 1), "loss {loss}, seed {seed}");
            net.start(1, 2);
            assert!(!knows(&net, 1));
            net.run(soon, &dead);
            assert!(knows(&net, 1), "loss {loss}, seed {seed}: within {soon} s");
        }
    }
}

#[test]
fn traffic_is_bounded_whatever_the_size() {
    for (count, most) in [(2u16, 700.0), (6, 1300.0), (50, 2300.0)] {
        let mut net = Network::new(count, 3);
        net.run(10.0, &none());
        (net.bytes, net.datagrams) = (0, 0);
        net.run(20.0, &none());
        assert!(net.all_are_alive() || count == 50, "{count}");
        let bytes = net.bytes as f64 / 20.0 / f64::from(count);
        let datagrams = net.datagrams as f64 / 20.0 / f64::from(count);
        println!("{count} directors: {bytes:.0} bytes and {datagrams:.1} datagrams a second and director");
        assert!(bytes < most, "{count}: {bytes}");
    }
}

#[test]
fn tiers_with_keys_reject_other_senders_and_change_keys_without_a_gap() {
    let mut net = Network::new(3, 6);
    net.keys = vec![b"first".to_vec()];
    (0..3).for_each(|at| net.start(at, 2));
    net.run(8.0, &none());
    assert!(net.all_are_alive());
    for keys in [vec!["first", "second"], vec!["second", "first"], vec!["second"]] {
        let keys: Vec<Vec<u8>> = keys.into_iter().map(|key| key.as_bytes().to_vec()).collect();
        for at in 0..3 {
            net.nodes.get_mut(&at).unwrap().0.replace_keys(keys.clone());
            net.run(1.0, &none());
            assert!(net.all_are_alive());
        }
    }
    let refused = |net: &Network| {
        net.nodes.values().map(|(gossip, _)| gossip.rejections().unauthenticated).sum::<u64>()
    };
    assert_eq!(refused(&net), 0);
    // Directors without the key, and one that repeats what it overheard.
    let replayed = net.old.clone();
    let taken = net.nodes[&0].0.counts.datagrams_received;
    for (_, bytes) in replayed.iter().take(50) {
        net.nodes.get_mut(&0).unwrap().0.handle_datagram(
            Timestamp(net.now),
            bytes,
            &mut GossipOutput::default(),
        );
    }
    assert_eq!(net.nodes[&0].0.counts.datagrams_received, taken);
    assert!({
        let Rejections { unauthenticated, replayed } = net.nodes[&0].0.rejections();
        unauthenticated + replayed >= 50
    });
}

#[test]
fn a_director_alone_sends_nothing() {
    let mut net = Network::new(1, 0);
    net.run(30.0, &BTreeMap::from([(0, vec![1])]));
    assert_eq!(net.datagrams, 0);
}

#[test]
fn fifty_directors_that_start_at_once_find_each_other() {
    let mut net = Network::new(50, 8);
    net.loss = 0.05;
    net.run(60.0, &none());
    let pairs = || net.nodes.keys().flat_map(|of| net.nodes.keys().map(move |at| (*of, *at)));
    let seen = |standing| pairs().filter(|(of, at)| of != at && net.standing(*of, *at) == standing).count();
    assert_eq!(seen(MemberState::Dead), 0);
    // A suspicion told by one is with many for a moment before it is denied.
    assert!(seen(MemberState::Alive) >= 50 * 49 * 95 / 100, "{}", seen(MemberState::Alive));
}
