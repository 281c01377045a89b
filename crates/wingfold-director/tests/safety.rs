//! The five rules, health, return, levels and restarts.
mod common;
use common::*;
use wingfold_director::interface::*;

fn changes(entries: Vec<Endpoint>) -> Event {
    Event::EndpointList { kind: EndpointListKind::Changes, endpoints: entries }
}

#[test]
fn a_draining_host_leaves_every_table_at_once() {
    let mut world = World::running(settings(), 6);
    world.wait(1.0);
    let out = world.send(&[changes(vec![entry("h2", "east", Readiness::Draining, None)])]);
    let gone = out.iter().filter(
        |a| matches!(a, Action::SetEntry { host: id, weight: w, .. } if *id == host("h2") && *w == 0.0),
    );
    assert_eq!(gone.count(), 2, "one line in each zone's table: {out:?}");
}

#[test]
fn a_host_missing_from_a_whole_list_leaves() {
    let mut world = World::running(settings(), 6);
    world.wait(1.0);
    world.send(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: fleet(5) }]);
    assert_eq!(world.weight("east", "h5"), 0.0);
    assert_eq!(world.lines("west").len(), 5);
}

#[test]
fn a_dead_host_is_out_fast_and_tried_again_lightly() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    let dead = |_: &str, id: &str| if id == "h2" { DEAD } else { FINE };
    world.play(2.0, 10, dead);
    assert_eq!(world.weight("east", "h2"), 0.0, "no confirmation for what answers nothing");
    let before = world.actions.len();
    world.play(20.0, 10, dead);
    let tried = |a: &Action| match a {
        Action::SetEntry { host: id, weight, .. } if *id == host("h2") && *weight > 0.0 => Some(*weight),
        _ => None,
    };
    let tried: Vec<f64> = world.actions[before..].iter().filter_map(|(_, a)| tried(a)).collect();
    assert!(!tried.is_empty(), "it must be tried again");
    assert!(tried.iter().all(|w| *w <= 0.125), "and lightly: {tried:?}");
    assert_eq!(world.weight("east", "h2"), 0.0);
}

#[test]
fn a_host_that_answers_again_returns_at_a_quarter_and_climbs() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    world.play(2.0, 10, |_, id| if id == "h2" { DEAD } else { FINE });
    world.play(8.0, 10, |_, _| FINE);
    assert_eq!(world.weight("east", "h2"), 0.25);
    world.play(40.0, 10, |_, _| FINE);
    assert_eq!(world.weight("east", "h2"), 1.0);
}

#[test]
fn a_host_that_swallows_its_requests_without_a_line_is_out() {
    // Guards against: a hung host produces no sums at all, which must not read as all being well.
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    for _ in 0..5 {
        world.wait(1.0);
        let lines = world.lines("east").into_keys().filter(|id| *id != host("h2"));
        let events: Vec<Event> = lines.map(|id| heard("east", id, 5, 0.1, HostLoad::default())).collect();
        world.send(&events);
    }
    assert_eq!(world.weight("east", "h2"), 0.0);
}

#[test]
fn sums_that_are_late_for_all_are_silence_of_none() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    let before = world.lines("east");
    world.wait(30.0);
    assert_eq!(world.lines("east"), before);
}

#[test]
fn lines_that_wait_their_turn_are_not_silence() {
    // Guards against: sums limited to few lines a second; each line then holds many tries, and a host whose
    // turn comes last looks as if it had missed them all.
    let mut world = World::running(settings(), 8);
    for turn in 0..80 {
        world.wait(0.25);
        let id = host(&format!("h{}", turn % 8));
        let sums = AttemptCounts { total: 30, failed: 0, period: length(2.0) };
        world.send(&[Event::LoadReport {
            zone: zone("east"),
            host: id,
            attempts: sums,
            mean_latency: length(0.1),
            load: HostLoad::default(),
        }]);
    }
    assert_eq!(world.lines("east").len(), 8);
}

#[test]
fn a_zone_that_is_cut_off_withdraws_hosts_only_for_itself() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    let odd = |id: &str| id[1..].parse::<u32>().unwrap() % 2 == 1;
    world.play(4.0, 10, |place, id| if (place == "east") == odd(id) { DEAD } else { FINE });
    for n in 0..8 {
        let name = format!("h{n}");
        let (east, west) = (world.weight("east", &name), world.weight("west", &name));
        assert_eq!(east > 0.0, n % 2 == 0, "{name} for east");
        assert_eq!(west > 0.0, n % 2 == 1, "{name} for west");
    }
}

/// Each second both zones hear two tries of each host; how they ended, and whether a host is out somewhere then.
fn few_tries(secs: u32, manner: impl Fn(&str, &str) -> Manner, name: &str) -> [bool; 2] {
    few_tries_where(AdmissionMode::Share, secs, manner, name)
}

fn few_tries_where(
    levels: AdmissionMode,
    secs: u32,
    manner: impl Fn(&str, &str) -> Manner,
    name: &str,
) -> [bool; 2] {
    let mut set = settings();
    (set.report_period, set.admission_mode) = (length(2.0), levels);
    let mut world = World::running(set, 12);
    world.play(8.0, 2, |_, _| FINE);
    world.play(f64::from(secs), 2, manner);
    world.wait(0.25);
    ["east", "west"].map(|place| world.weight(place, name) == 0.0)
}

#[test]
fn few_tries_of_each_zone_tell_of_a_host_that_all_find_useless() {
    // Guards against: many proxies and few tries of each zone, which need round after round to judge alone.
    let dead = |_: &str, id: &str| if id == "h2" { DEAD } else { FINE };
    assert_eq!(few_tries(2, dead, "h2"), [true, true], "eight tries of both");
    let late = |_: &str, id: &str| Manner { ms: if id == "h2" { 1500.0 } else { 100.0 }, loss: 0.0 };
    assert_eq!(few_tries(2, late, "h2"), [true, true], "answers past every aim earn nothing");
    let ignored = few_tries_where(AdmissionMode::Ignored, 4, late, "h2");
    assert_eq!(ignored, [false, false], "where nothing can be refused the others would jam");
    let slow = |_: &str, id: &str| Manner { ms: if id == "h2" { 900.0 } else { 100.0 }, loss: 0.0 };
    assert_eq!(few_tries(4, slow, "h2"), [false, false], "inside an aim: the ranking's affair");
    let all_late = |_: &str, _: &str| Manner { ms: 1500.0, loss: 0.0 };
    assert_eq!(few_tries(8, all_late, "h2"), [false, false], "late for all: overload, no outlier");
}

#[test]
fn a_zone_that_is_cut_off_lets_go_of_all_hosts_behind_the_cut_at_once_and_no_other_does() {
    // Guards against: each host behind a cut being judged by its own few tries, seconds apart.
    let cut = |place: &str, id: &str| {
        let odd = id[1..].parse::<u32>().unwrap() % 2 == 1;
        if place == "east" && odd {
            DEAD
        } else {
            FINE
        }
    };
    for host in ["h1", "h5", "h11"] {
        assert_eq!(few_tries(1, cut, host), [true, false], "{host} lies behind the cut for the east alone");
    }
    assert_eq!(few_tries(1, cut, "h4"), [false, false]);
    let part = |place: &str, id: &str| if ["h1", "h5"].contains(&id) { cut(place, id) } else { FINE };
    assert_eq!(few_tries(1, part, "h1"), [false, false], "others there answer: no cut");
}

#[test]
fn when_nearly_all_look_dead_none_is_taken_out() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    world.play(10.0, 10, |_, id| if id == "h0" { FINE } else { DEAD });
    assert_eq!(world.lines("east").len(), 8);
}

#[test]
fn no_table_is_ever_empty_while_a_warm_host_is_ready() {
    let mut world = World::running(settings(), 4);
    world.play(4.0, 10, |_, _| FINE);
    world.play(3.0, 10, |_, id| if id == "h0" { DEAD } else { FINE });
    assert_eq!(world.weight("east", "h0"), 0.0);
    let gone = (1..4).map(|n| entry(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    world.send(&[changes(gone)]);
    assert!(world.weight("east", "h0") > 0.0, "the last host stays, whatever it looked like");
    world.play(20.0, 10, |_, _| DEAD);
    assert!(world.weight("east", "h0") > 0.0);
}

#[test]
fn a_started_host_is_held_to_its_warmth() {
    let mut world = World::running(settings(), 8);
    world.play(4.0, 10, |_, _| FINE);
    world.send(&[changes(vec![entry("h2", "east", Readiness::Ready, Some(world.now - 1.0))])]);
    let set = settings();
    let started = world.now - 1.0;
    while world.now - started < 16.0 {
        let sure = set.initial_capacity_ratio
            + (1.0 - set.initial_capacity_ratio) * (world.now - started) / set.warm_up.secs();
        assert!(world.weight("east", "h2") <= sure + 1e-9, "at {}", world.now);
        assert!(world.weight("east", "h2") > 0.0);
        world.play(1.0, 10, |_, _| FINE);
    }
    world.play(3.0, 10, |_, _| FINE);
    assert_eq!(world.weight("east", "h2"), 1.0);
}

#[test]
fn few_hosts_left_do_not_push_a_cold_one_over() {
    let mut world = World::running(settings(), 10);
    world.play(4.0, 10, |_, _| FINE);
    let mut news: Vec<Endpoint> =
        (3..10).map(|n| entry(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    news.push(entry("h2", "east", Readiness::Ready, Some(world.now)));
    world.send(&[changes(news)]);
    let lines = world.lines("east");
    let share = lines[&host("h2")] / lines.values().sum::<f64>();
    // Ten hosts at a load of 0.75: its share of that against what it is sure to do, times the factor.
    assert!(share * 10.0 * 0.75 <= 0.2 * 3.0, "share {share} of {lines:?}");
}

#[test]
fn cold_hosts_wait_while_losses_are_common() {
    // Guards against: proxies that avoid most lines by their own count send everything to the newcomer.
    let mut world = World::running(settings(), 10);
    world.play(6.0, 10, |_, _| Manner { ms: 900.0, loss: 0.6 });
    world.send(&[changes(vec![entry("h2", "east", Readiness::Ready, Some(world.now - 0.5))])]);
    assert_eq!(world.weight("east", "h2"), 0.0);
    world.play(20.0, 10, |_, _| FINE);
    assert!(world.weight("east", "h2") > 0.0);
}

#[test]
fn cold_hosts_wait_also_when_a_long_strain_has_thinned_the_tables() {
    // Guards against: weight that a strain took from warm hosts read as too few of them to wait for.
    let mut world = World::running(settings(), 10);
    let worse = |_: &str, id: &str| match id {
        "h3" | "h4" => Manner { ms: 900.0, loss: 0.0 },
        "h5" | "h6" | "h7" | "h8" | "h9" => DEAD,
        _ => FINE,
    };
    world.play(40.0, 10, worse);
    assert!(world.lines("east").values().sum::<f64>() < 4.0, "{:?}", world.lines("east"));
    world.play(6.0, 10, |_, _| Manner { ms: 900.0, loss: 0.6 });
    world.send(&[changes(vec![entry("h2", "east", Readiness::Ready, Some(world.now - 0.5))])]);
    assert_eq!(world.weight("east", "h2"), 0.0);
}

#[test]
fn a_host_is_cold_for_the_whole_cold_time_whatever_its_ramp_says() {
    // Guards against: a machine that is slow besides cold, let in under strain when its ramp looks done.
    let mut world = World::running(settings(), 10);
    world.play(20.0, 10, |_, _| Manner { ms: 900.0, loss: 0.6 });
    world.send(&[changes(vec![entry("h2", "east", Readiness::Ready, Some(world.now - 14.0))])]);
    assert_eq!(world.weight("east", "h2"), 0.0, "14 s of 16 have passed");
    world.play(4.0, 10, |_, _| Manner { ms: 900.0, loss: 0.6 });
    assert!(world.weight("east", "h2") > 0.0, "the cold time is over");
}

#[test]
fn a_level_recovers_when_hosts_stop_reporting() {
    // Guards against: hosts that get nothing report nothing, and their last busy share holds levels down.
    let mut world = World::running(settings(), 6);
    let reports = |world: &World, only: Option<&str>, busy: f64| -> Vec<Event> {
        let load = HostLoad { utilization: Some(busy), ..HostLoad::default() };
        let lines = world.lines("east").into_keys().filter(|id| only.is_none_or(|o| *id.0 == *o));
        let mut events: Vec<Event> = lines.map(|id| heard("east", id, 10, 0.1, load)).collect();
        events.push(Event::Usage {
            proxy: ProxyId(0),
            class: ClassId(0),
            requests: AttemptCounts { total: 90, failed: 0, period: length(1.0) },
        });
        events.push(Event::Usage {
            proxy: ProxyId(0),
            class: ClassId(1),
            requests: AttemptCounts { total: 10, failed: 0, period: length(1.0) },
        });
        events
    };
    for _ in 0..12 {
        world.wait(1.0);
        let events = reports(&world, None, 1.0);
        world.send(&events);
    }
    let table = world.table("east");
    assert!(world.levels[&(table, 1)].0 < 1.0, "saturated: the class worth least is cut");
    assert_eq!(world.levels[&(table, 2)].0, 1.0, "the class worth most is not");
    for _ in 0..30 {
        world.wait(1.0);
        let events = reports(&world, Some("h0"), 0.1);
        world.send(&events);
    }
    assert_eq!(world.levels[&(table, 1)].0, 1.0);
}

#[test]
fn further_tries_follow_the_effect() {
    let mut set = settings();
    set.classes.push(class(RepeatSafety::Deduplicated, 1.0, 2.0));
    let world = World::running(set, 6);
    let retries = |bit: u64| world.levels[&(world.table("east"), bit)].1;
    // Guards against: second tries after the aim, which double the work of hosts that are short of it.
    assert_eq!(retries(1), Retry::OnProof, "safe to repeat, but no worth is left after the aim");
    assert_eq!(retries(2), Retry::OnProof, "at most once: only on proof that it never ran");
    assert_eq!(retries(4), Retry::OnProof, "its group is not surely kept in a table of all hosts");
    for (_, action) in &world.actions {
        if let Action::SetAdmission { classes: mask, retry, .. } = action {
            assert!(mask.0 != 0, "an order for all classes would reach those that must not repeat");
            assert!(mask.0 & 0b110 == 0 || *retry <= Retry::OnProof, "{action:?}");
        }
    }
}

#[test]
fn a_class_limited_to_zones_has_tables_of_its_own() {
    let mut set = settings();
    set.classes[1].allowed_zones = vec![zone("west")];
    let mut world = World::running(set, 6);
    world.play(4.0, 10, |_, _| FINE);
    let bind = world.binds.iter().copied().find(|b| b.0 == ProxyId(0) && b.2 .0 == 2);
    let bind = bind.expect("bound by class");
    let names: Vec<String> = world.tables[&bind.1].keys().map(|id| id.0.to_string()).collect();
    assert_eq!(names, ["h1", "h3", "h5"]);
    let gone = [1, 3].map(|n| entry(&format!("h{n}"), "west", Readiness::Draining, None)).to_vec();
    world.send(&[changes(gone)]);
    world.play(10.0, 10, |_, id| if id == "h5" { DEAD } else { FINE });
    assert!(world.tables[&bind.1].contains_key(&host("h5")), "the last open host stays");
    assert!(!world.lines("east").contains_key(&host("h5")), "where others are open it goes");
}

#[test]
fn a_proxy_is_bound_once_a_join() {
    let mut world = World::running(settings(), 6);
    world.play(20.0, 10, |_, _| FINE);
    assert_eq!(world.binds.len(), 2);
    world.send(&[Event::ProxyDisconnected(ProxyId(0))]);
    world.send(&[Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 }]);
    world.wait(0.25);
    assert_eq!(world.binds.len(), 3);
}

#[test]
fn the_channel_never_holds_more_than_its_limit() {
    let mut set = settings();
    (set.send_rate_lines_per_s, set.max_queued_lines) = (100.0, 300.0);
    let mut world = World::new(set.clone());
    world.wordless = true;
    world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(20) }]);
    let join = |n: u32| Event::ProxyConnected {
        proxy: ProxyId(n),
        zone: zone(if n.is_multiple_of(2) { "east" } else { "west" }),
        requests_per_s: 1.0,
    };
    world.send(&(0..40).map(join).collect::<Vec<_>>());
    let (mut queued, mut last) = (0.0f64, 0.0);
    for _ in 0..400 {
        world.wait(0.25);
    }
    let mut orders = world.actions.iter().peekable();
    while let Some((time, _)) = orders.peek().copied() {
        let mut lines: std::collections::BTreeMap<ProxyId, f64> = Default::default();
        while let Some((_, action)) = orders.next_if(|(t, _)| t == time) {
            if let Action::AssignTable { proxy, .. } = action {
                *lines.entry(*proxy).or_default() += 1.0 + 20.0 + 2.0;
            }
        }
        queued = (queued - (time - last) * set.send_rate_lines_per_s).max(0.0);
        queued += lines.values().map(|l| l + set.message_overhead_lines).sum::<f64>();
        last = *time;
        assert!(queued <= set.max_queued_lines, "{queued} lines wait at {time}");
    }
    assert_eq!(world.binds.len(), 40, "and all are bound in the end");
}

#[test]
fn no_proxy_gets_more_messages_than_the_limit() {
    let mut set = settings();
    set.max_messages_per_proxy = 6;
    let mut world = World::running(set, 12);
    for round in 0..80 {
        let n = round % 11;
        let started = Some(world.now);
        world.send(&[changes(vec![entry(&format!("h{n}"), "east", Readiness::Ready, started)])]);
        world.play(1.0, 10, |_, id| if id == "h11" { DEAD } else { FINE });
    }
    let table = world.table("east");
    let mut times: Vec<f64> = Vec::new();
    for (time, action) in &world.actions {
        let mine = matches!(action, Action::SetEntry { table: t, .. } | Action::SetAdmission { table: Some(t), .. } if *t == table)
            || matches!(action, Action::AssignTable { proxy: ProxyId(0), .. });
        if mine && times.last() != Some(time) && *time > 0.0 {
            times.push(*time);
        }
    }
    assert!(times.len() > 20, "there must be something to limit");
    for window in times.windows(7) {
        assert!(window[6] - window[0] > 10.0 - 1e-9, "seven messages within 10 s: {window:?}");
    }
}

#[test]
fn the_list_is_asked_for_again_with_growing_pauses_inside_the_allowed_time() {
    let mut set = settings();
    set.endpoint_list_on_request = true;
    let mut world = World::new(set);
    world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(4) }]);
    let asked = |world: &World| -> Vec<f64> {
        world.actions.iter().filter(|(_, a)| *a == Action::WatchEndpoints(true)).map(|(t, _)| *t).collect()
    };
    assert_eq!(asked(&world).len(), 1);
    for _ in 0..200 {
        let before = asked(&world).len();
        world.wait(0.25);
        if asked(&world).len() > before || world.now <= 0.25 {
            world.send(&[Event::EndpointListFailed]);
        }
    }
    let times = asked(&world);
    assert!(times.len() >= 6, "{times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] <= 10.0), "{times:?}");
    assert!(times[times.len() - 1] - times[times.len() - 2] > times[1] - times[0]);
}

#[test]
fn after_a_restart_a_remembered_list_serves_until_news_comes() {
    let mut world = World::new(settings());
    let mut remembered = fleet(6);
    remembered[0].started_at = Some(at(95.0));
    world.now = 100.0;
    let out = world.send(&[
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: remembered },
        Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
    ]);
    assert!(out.contains(&Action::FetchEndpoints), "it may be old");
    assert!(world.weight("east", "h0") < 1.0, "a recent start is still cold");
    assert_eq!(world.weight("east", "h1"), 1.0, "others start at their listed weight");
    world.send(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: fleet(5) }]);
    assert_eq!(world.weight("east", "h5"), 0.0);
}

#[test]
fn the_same_events_give_the_same_actions_alone_or_beside_another() {
    let run = |beside: bool| {
        let mut other = World::running(settings(), 5);
        let mut world = World::running(settings(), 8);
        for step in 0..20 {
            if beside {
                other.play(1.0, 3, |_, id| if id == "h1" { DEAD } else { FINE });
            }
            world.play(1.0, 10, |_, id| Manner {
                ms: 100.0 + (step * 10) as f64,
                loss: if id == "h3" { 0.9 } else { 0.0 },
            });
        }
        world.actions
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn nonsense_is_dropped_without_harm() {
    let mut world = World::running(settings(), 4);
    world.wait(1.0);
    let sums = AttemptCounts { total: 3, failed: 9, period: length(0.0) };
    let before = world.tables.clone();
    world.send(&[
        Event::LoadReport {
            zone: zone("nowhere"),
            host: host("h0"),
            attempts: sums,
            mean_latency: length(0.1),
            load: HostLoad::default(),
        },
        Event::LoadReport {
            zone: zone("east"),
            host: host("unknown"),
            attempts: sums,
            mean_latency: length(0.1),
            load: HostLoad::default(),
        },
        Event::Usage { proxy: ProxyId(99), class: ClassId(0), requests: sums },
        Event::Usage { proxy: ProxyId(0), class: ClassId(77), requests: sums },
        Event::ProxyDisconnected(ProxyId(99)),
        Event::Acknowledged { proxy: ProxyId(99), barrier: 5, elapsed: length(0.1) },
        Event::HealthChecked {
            host: host("unknown"),
            outcome: HealthCheckOutcome::Failed,
            load: HostLoad::default(),
        },
        Event::TimerFired(12345),
        Event::PeerMessage { from: 3, message: vec![1, 2, 3] },
        Event::Shard,
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints: Vec::new() },
    ]);
    assert_eq!(world.tables, before);
}

#[test]
fn slices_get_one_log_line_and_no_orders() {
    let mut set = settings();
    set.shards = 64;
    let mut world = World::new(set);
    world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(4) }, Event::Shard]);
    world.send(&[
        Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 5.0 },
        Event::Shard,
    ]);
    world.wait(5.0);
    let logs = world.actions.iter().filter(|(_, a)| matches!(a, Action::Notice(_))).count();
    assert_eq!(logs, 1);
    assert!(world.actions.iter().all(|(_, a)| matches!(a, Action::Notice(_) | Action::SetTimer { .. })));
}

/// Seconds in which every host tells this busy share, and as many requests of both classes come.
fn told_busy(world: &mut World, busy: f64, secs: usize) {
    for _ in 0..secs {
        world.wait(1.0);
        let load = HostLoad { utilization: Some(busy), ..HostLoad::default() };
        let sums = AttemptCounts { total: 50, failed: 0, period: length(1.0) };
        let usage = |class| Event::Usage { proxy: ProxyId(0), class: ClassId(class), requests: sums };
        let mut events: Vec<Event> = vec![usage(0), usage(1)];
        for place in ["east", "west"] {
            let lines = world.lines(place).into_keys();
            events.extend(lines.map(|id| heard(place, id, 10, 0.1, load)));
        }
        world.send(&events);
    }
}

fn lowest_level(world: &World) -> f64 {
    world.levels.values().map(|(level, _)| *level).fold(1.0, f64::min)
}

#[test]
fn a_level_falls_at_once_when_demand_rises() {
    // Guards against: seconds of small cuts while queues grow, because demand is smoothed on its way up.
    let mut set = settings();
    set.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut world = World::running(set, 8);
    told_busy(&mut world, 0.5, 10);
    told_busy(&mut world, 1.0, 3);
    let level = lowest_level(&world);
    assert!(level < 0.45, "the class worth least lets in {level} after three seconds");
}

#[test]
fn work_of_hosts_that_leave_still_counts_as_asked_for() {
    // Guards against: a load that was met with all hosts, multiplied by the capacity of those that are left. It
    // reads as less work the more hosts a release takes, and levels open just when there is no room.
    let mut set = settings();
    set.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut world = World::running(set, 8);
    told_busy(&mut world, 0.65, 10);
    assert_eq!(lowest_level(&world), 1.0, "what the hosts can do is let in");
    let half = (0..4).map(|n| entry(&format!("h{n}"), "east", Readiness::Draining, None)).collect();
    world.send(&[changes(half)]);
    told_busy(&mut world, 0.65, 2);
    let level = lowest_level(&world);
    assert!(level < 0.45, "half of the capacity is left, and the class worth least lets in {level}");
}

#[test]
fn a_director_that_has_heard_of_few_hosts_takes_their_losses_for_nobody_elses() {
    let mut world = World::new(settings());
    world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(30) }]);
    let join = |n| Event::ProxyConnected { proxy: ProxyId(n), zone: zone("east"), requests_per_s: 50.0 };
    world.send(&[join(0), join(1)]);
    // Just after a start the first sums that come are those of the hosts that fail.
    for _ in 0..8 {
        world.wait(0.5);
        let sums = AttemptCounts { total: 4, failed: 2, period: length(1.0) };
        let heard = |n: u32| Event::LoadReport {
            zone: zone("east"),
            host: host(&format!("h{n}")),
            attempts: sums,
            mean_latency: length(0.1),
            load: HostLoad::default(),
        };
        world.send(&[heard(0), heard(2)]);
    }
    let logs = world.actions.iter().filter_map(|(_, action)| match action {
        Action::Notice(notice @ Notice::SubsetSizeChanged { .. }) => Some(notice),
        _ => None,
    });
    let moved: Vec<&Notice> = logs.collect();
    assert!(moved.is_empty(), "{moved:?}");
}

#[test]
fn many_directors_together_probe_no_host_more_than_two_would() {
    let probes = |directors: u32| {
        let mut set = settings();
        (set.directors, set.health_checks_allowed, set.load_report_source) =
            (directors, true, LoadReportSource::WithHealthChecks);
        let mut world = World::new(set);
        world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(400) }]);
        (0..80).for_each(|_| world.wait(0.25));
        let probes = world.actions.iter().filter(|(_, action)| matches!(action, Action::CheckHealth(_)));
        probes.count() as f64 / 20.0
    };
    let (two, five, many) = (probes(2), probes(5), probes(350));
    assert!((360.0..=440.0).contains(&two), "{two} a second");
    assert!((120.0..=200.0).contains(&five), "{five} a second, of 160");
    assert!((8.0..=24.0).contains(&many), "{many} a second: enough for a mean, no more");
}

#[test]
fn many_directors_spread_their_calls_to_a_list_that_fails() {
    let gaps = |directors: u32| {
        let mut set = settings();
        (set.directors, set.endpoint_list_on_request) = (directors, true);
        let mut world = World::new(set);
        world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(10) }]);
        let calls =
            |world: &World| world.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).count();
        let mut failed = 0;
        for _ in 0..800 {
            if calls(&world) > failed {
                failed += 1;
                world.send(&[Event::EndpointListFailed]);
            }
            world.wait(0.25);
        }
        let asked = world.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).map(|a| a.0);
        let asked: Vec<f64> = asked.collect();
        asked.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    };
    let (two, many) = (gaps(2), gaps(350));
    assert!(two > 3.0 && two <= 7.0, "two ask within half of the time that is left them: {two}");
    assert!(many > 12.0 && many < 40.0, "many stay away longer, inside four times that time: {many}");
}
