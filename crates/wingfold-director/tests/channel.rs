//! The channel: what the module takes to wait there is never less than what waits, however slow it is, and limits on
//! messages outlast streams.
mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A channel as the protocol page has it: messages leave one after the other, at a pace that is not told, and reach
/// their proxies some time later, in order.
struct Channel {
    set: Settings,
    director: Director,
    tables: BTreeMap<TableId, (BTreeMap<HostId, f64>, BTreeSet<u64>)>,
    bound: BTreeMap<ProxyId, BTreeSet<TableId>>,
    /// Lines, proxy, marks, and when it was ordered.
    waiting: VecDeque<(f64, ProxyId, Vec<u64>, f64)>,
    under_way: Vec<(f64, ProxyId, u64, f64)>,
    sent: BTreeMap<ProxyId, Vec<f64>>,
    now: f64,
    chance: u64,
    lost: f64,
    most: f64,
}

impl Channel {
    fn new(set: Settings, seed: u64, lost: f64) -> Channel {
        let director = Director::new(set.clone(), seed);
        let (tables, bound, sent) = Default::default();
        let (waiting, under_way) = Default::default();
        Channel {
            set,
            director,
            tables,
            bound,
            waiting,
            under_way,
            sent,
            now: 0.0,
            chance: seed,
            lost,
            most: 0.0,
        }
    }

    fn chance(&mut self) -> f64 {
        self.chance = self.chance.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }

    fn lines(&self) -> f64 {
        self.waiting.iter().map(|message| message.0).sum()
    }

    /// One answer of the module: what each proxy is sent is one message. It lands now, late or not.
    fn call(&mut self, events: &[Event]) {
        for event in events {
            if let Event::ProxyConnected { proxy: id, .. } | Event::ProxyDisconnected(id) = event {
                self.bound.remove(id);
            }
        }
        let mut out = Vec::new();
        self.director.handle(at(self.now), events, &mut out);
        let mut cost: BTreeMap<ProxyId, f64> = BTreeMap::new();
        let users = |bound: &BTreeMap<ProxyId, BTreeSet<TableId>>, table: &TableId| -> Vec<ProxyId> {
            bound.iter().filter(|(_, tables)| tables.contains(table)).map(|(id, _)| *id).collect()
        };
        let mut marks = Vec::new();
        for action in &out {
            match action {
                Action::SetEntry { table, host, weight } => {
                    let lines = &mut self.tables.entry(*table).or_default().0;
                    let had =
                        if *weight > 0.0 { lines.insert(host.clone(), *weight) } else { lines.remove(host) };
                    assert!(had.is_some() || *weight > 0.0, "a line taken out that is not there");
                    users(&self.bound, table).iter().for_each(|id| *cost.entry(*id).or_default() += 1.0);
                }
                Action::ClearTable(table) => {
                    self.tables.entry(*table).or_default().0.clear();
                    users(&self.bound, table).iter().for_each(|id| *cost.entry(*id).or_default() += 1.0);
                }
                Action::SetAdmission { table: Some(table), classes: mask, .. } => {
                    self.tables.entry(*table).or_default().1.insert(mask.0);
                    users(&self.bound, table).iter().for_each(|id| *cost.entry(*id).or_default() += 1.0);
                }
                Action::AssignTable { proxy: id, table, .. } => {
                    let (lines, levels) = self.tables.get(table).cloned().unwrap_or_default();
                    *cost.entry(*id).or_default() += 1.0 + (lines.len() + levels.len()) as f64;
                    self.bound.entry(*id).or_default().insert(*table);
                }
                Action::Barrier { number, .. } => marks.push(*number),
                _ => {}
            }
        }
        for (id, lines) in cost {
            let lines = lines + marks.len() as f64 + self.set.message_overhead_lines;
            self.waiting.push_back((lines, id, marks.clone(), self.now));
            self.sent.entry(id).or_default().push(self.now);
        }
        let (waits, counted) = (self.lines(), self.director.fleet_view().queued_lines);
        assert!(
            waits <= counted + 1e-6,
            "{waits:.0} lines wait at {:.2}, {counted:.0} are counted",
            self.now
        );
        assert!(waits <= self.set.max_queued_lines, "{waits:.0} lines wait at {:.2}", self.now);
        self.most = self.most.max(waits);
    }

    /// Lets a quarter second pass at a pace; gives the words of proxies that arrive meanwhile.
    fn pass(&mut self, pace: f64) -> Vec<Event> {
        let (begun, mut left) = (self.now, 0.25 * pace);
        self.now += 0.25;
        while let Some(first) = self.waiting.front_mut() {
            if first.0 > left {
                first.0 -= left;
                break;
            }
            left -= first.0;
            let Some((_, id, marks, ordered)) = self.waiting.pop_front() else { break };
            let way = self.set.max_push_delay.secs() * self.chance();
            for mark in marks {
                if self.chance() >= self.lost {
                    self.under_way.push((begun + way, id, mark, ordered));
                }
            }
        }
        let (arrived, rest) = self.under_way.drain(..).partition(|word| word.0 <= self.now);
        self.under_way = rest;
        let arrived: Vec<(f64, ProxyId, u64, f64)> = arrived;
        arrived
            .into_iter()
            .map(|(_, id, mark, ordered)| Event::Acknowledged {
                proxy: id,
                barrier: mark,
                elapsed: length(self.now - ordered),
            })
            .collect()
    }
}

fn join(n: u32) -> Event {
    Event::ProxyConnected {
        proxy: ProxyId(n),
        zone: zone(if n.is_multiple_of(2) { "east" } else { "west" }),
        requests_per_s: 1.0 + f64::from(n % 3),
    }
}

fn fleet_settings() -> Settings {
    let mut set = settings();
    (set.directors, set.proxies) = (5, 400);
    (set.send_rate_lines_per_s, set.max_queued_lines, set.connection_idle_timeout) =
        (600.0, 9000.0, length(15.0));
    (set.warm_up, set.drain_grace, set.max_time_without_entry) = (length(18.0), length(19.0), length(28.0));
    set
}

/// Half of the hosts are replaced while crowds of proxies join and others dial again.
fn rough_day(seed: u64, lost: f64, pace: impl Fn(f64) -> f64) -> Channel {
    let mut channel = Channel::new(fleet_settings(), seed, lost);
    let mut list = fleet(60);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: list.clone() }]);
    channel.call(&(0..80).map(join).collect::<Vec<_>>());
    let (mut next, mut joined) = (60, 80);
    for step in 0..160 {
        let mut events = channel.pass(pace(channel.now));
        if step % 12 == 4 && step < 90 {
            let old: Vec<Endpoint> = list.drain(..5).collect();
            let drains = old.into_iter().map(|e| Endpoint { readiness: Readiness::Draining, ..e });
            let fresh = (next..next + 5).map(|n| {
                entry(
                    &format!("h{n}"),
                    if n % 2 == 0 { "east" } else { "west" },
                    Readiness::Ready,
                    Some(channel.now),
                )
            });
            let fresh: Vec<Endpoint> = fresh.collect();
            list.extend(fresh.iter().cloned());
            next += 5;
            events.push(Event::EndpointList {
                kind: EndpointListKind::Changes,
                endpoints: drains.chain(fresh).collect(),
            });
        }
        if step % 40 == 20 && joined < 320 {
            events.extend((joined..joined + 80).map(join));
            joined += 80;
        }
        // Streams break, or are replaced by newer ones with lines still waiting for the old.
        let one = (channel.chance() * f64::from(joined)) as u32;
        match step % 7 {
            0 => events.push(Event::ProxyDisconnected(ProxyId(one))),
            3 => events.push(join(one)),
            _ => {}
        }
        // Half of the time the process is busy, and what comes lands together.
        let calls = if channel.chance() < 0.5 { 1 } else { events.len().max(1) };
        let each = events.len().div_ceil(calls).max(1);
        let chunks: Vec<Vec<Event>> = events.chunks(each).map(<[Event]>::to_vec).collect();
        chunks.iter().for_each(|chunk| channel.call(chunk));
        if chunks.is_empty() {
            channel.call(&[Event::TimerFired(0)]);
        }
    }
    channel
}

#[test]
fn no_fewer_lines_are_counted_than_wait_however_slow_the_channel_is() {
    // In debug builds each day takes most of a second.
    for seed in 1..=2 {
        for (slow, lost) in [(1.0, 0.0), (0.3, 0.3), (0.1, 0.0), (0.03, 0.3)] {
            let pace = |now: f64| if (8.0..30.0).contains(&now) { 600.0 * slow } else { 600.0 };
            let day = rough_day(seed, lost, pace);
            assert!(day.most > 300.0, "the channel was used: {:.0}", day.most);
        }
    }
}

#[test]
fn no_fewer_lines_are_counted_than_wait_at_a_crawl_where_three_in_ten_words_are_lost() {
    // Guards against: a mark given up while its lines wait, after two or three answers in a row were lost. These seeds of
    // 1 to 40 broke it.
    for seed in [6, 11, 18, 23, 24, 25, 32, 35] {
        rough_day(seed, 0.3, |now| if (8.0..30.0).contains(&now) { 18.0 } else { 600.0 });
    }
}

#[test]
fn orders_wait_in_the_director_where_urgent_ones_overtake() {
    // The queue may hold fifteen seconds of lines; what is ordered must not lie there for as long.
    let day = rough_day(3, 0.0, |_| 600.0);
    assert!(day.most <= 2.0 * 600.0 + 400.0, "{:.0} lines waited at most", day.most);
    assert!(day.director.fleet_view().proxies > 250);
    assert!(day.bound.len() > 250, "{} are bound", day.bound.len());
}

#[test]
fn a_channel_whose_words_are_all_lost_does_not_stop_the_director() {
    let mut channel = Channel::new(fleet_settings(), 1, 1.0);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(60) }]);
    channel.call(&(0..300).map(join).collect::<Vec<_>>());
    for _ in 0..400 {
        let events = channel.pass(600.0);
        channel.call(&events);
    }
    assert_eq!(channel.bound.len(), 300, "all are bound in the end");
}

#[test]
fn a_slow_channel_whose_answers_are_all_lost_from_then_on_does_not_stop_the_director() {
    let mut channel = Channel::new(fleet_settings(), 1, 0.0);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(60) }]);
    channel.call(&(0..300).map(join).collect::<Vec<_>>());
    for _ in 0..80 {
        let events = channel.pass(18.0);
        channel.call(&events);
    }
    channel.lost = 1.0;
    while channel.now < 200.0 && channel.bound.len() < 300 {
        let events = channel.pass(600.0);
        channel.call(&events);
    }
    assert_eq!(channel.bound.len(), 300, "all are bound in the end");
}

/// Seconds until fewer lines are counted, after some were answered, a crowd was sent its tables and no more answers come.
fn first_given_up_after(events: &[Event]) -> f64 {
    let mut channel = Channel::new(fleet_settings(), 1, 0.0);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(60) }, join(40)]);
    for _ in 0..8 {
        let events = channel.pass(600.0);
        channel.call(&events);
    }
    channel.lost = 1.0;
    channel.call(&(0..40).map(join).collect::<Vec<_>>());
    channel.call(events);
    let (begun, counted) = (channel.now, channel.director.fleet_view().queued_lines);
    assert!(counted > 300.0, "{counted} lines are counted");
    while channel.director.fleet_view().queued_lines >= counted {
        assert!(channel.now < 60.0, "{counted} lines are still counted");
        channel.pass(600.0);
        channel.call(&[Event::TimerFired(0)]);
    }
    channel.now - begun
}

#[test]
fn lines_of_proxies_that_have_left_are_given_up_sooner_than_those_that_may_be_answered() {
    let stayed = first_given_up_after(&[]);
    let left =
        first_given_up_after(&(0..=40).map(|id| Event::ProxyDisconnected(ProxyId(id))).collect::<Vec<_>>());
    assert!(left <= stayed - 4.0, "{left} s after they left, {stayed} s where they stayed");
}

#[test]
fn messages_to_a_proxy_are_limited_across_its_streams() {
    let mut set = settings();
    (set.max_messages_per_proxy, set.message_window) = (3, length(10.0));
    let mut channel = Channel::new(set, 1, 0.0);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(6) }, join(0)]);
    for step in 0..120 {
        let mut events = channel.pass(10_000.0);
        // It dials again all the time: sometimes the end of the old stream is seen first, sometimes not at all.
        if step % 2 == 0 {
            events.extend((step % 4 == 0).then_some(Event::ProxyDisconnected(ProxyId(0))));
            events.push(join(0));
        }
        channel.call(&events);
    }
    let sent = &channel.sent[&ProxyId(0)];
    for (n, first) in sent.iter().enumerate() {
        let within = sent[n..].iter().filter(|time| **time - first <= 10.0).count();
        assert!(within <= 3, "{within} messages from {first} on");
    }
    assert!(sent.len() >= 6, "it is bound anew when it may: {}", sent.len());
}

#[test]
fn a_crowd_of_joins_and_the_tables_in_use_go_on_side_by_side() {
    let mut channel = Channel::new(fleet_settings(), 5, 0.0);
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(60) }]);
    channel.call(&(0..80).map(join).collect::<Vec<_>>());
    for _ in 0..40 {
        let events = channel.pass(600.0);
        channel.call(&events);
    }
    // New hosts warm up while four times as many proxies come as are here.
    let fresh = (0..12).map(|n| {
        let place = if n % 2 == 0 { "east" } else { "west" };
        entry(&format!("n{n}"), place, Readiness::Ready, Some(channel.now))
    });
    let fresh = fresh.collect();
    channel.call(&[Event::EndpointList { kind: EndpointListKind::Changes, endpoints: fresh }]);
    channel.call(&(80..400).map(join).collect::<Vec<_>>());
    let (begun, mut all_bound) = (channel.now, f64::MAX);
    while channel.now < begun + 16.0 {
        let mut events = channel.pass(600.0);
        events.push(Event::TimerFired(0));
        channel.call(&events);
        if channel.bound.len() == 400 {
            all_bound = all_bound.min(channel.now - begun);
        }
    }
    assert!(all_bound < 0.7 * 19.0, "all are bound well inside the grace: {all_bound:.1} s");
    // Those that were here before got their tables' changes meanwhile.
    let within = |time: &&f64| **time > begun && **time < begun + all_bound;
    let told = (0..80).filter(|n| channel.sent[&ProxyId(*n)].iter().any(|time| within(&time)));
    let told = told.count();
    assert!(told > 40, "{told} of 80 were told anything while the crowd came in");
}
