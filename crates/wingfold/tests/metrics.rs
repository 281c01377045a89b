//! The program with receivers of metrics: what they get, and that those that stall, vanish or misbehave hold up no table.

mod common;

use common::messages::{entries, load_report, usage_report, DRAINING, READY};
use common::{
    three_host_deployment, unique_loopback_ip, wait_until, wingfold, Client, Director, DirectorSetup,
    Discovery,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use wingfold_metrics::collectd::{self, Credentials, PacketSecurity, TypedValue, ValueList};
use wingfold_test_support::receivers::{self, DatagramReceiver, GraphiteReceiver, ReceiverBehaviour, Sample};

/// A folder of this test's own, gone when it ends.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Place(path)
    }

    /// Writes own settings; gives the variable that names them.
    fn own(&self, text: &str) -> (&'static str, String) {
        let (path, new) = (self.0.join("own.hcl"), self.0.join("own.new"));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &path).unwrap();
        ("WINGFOLD_OWN", path.display().to_string())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const ON: &str = "figures {\n  enabled = true\n  interval = \"1s\"\n  causes = true\n}\n";

fn graphite(name: &str, addresses: &[&GraphiteReceiver], more: &str) -> String {
    let addresses: Vec<String> = addresses.iter().map(|receiver| format!("\"{}\"", receiver.addr)).collect();
    format!("graphite \"{name}\" {{\n  addresses = [{}]\n{more}}}\n", addresses.join(", "))
}

fn start(setup: &DirectorSetup, place: &Place, own: &str) -> Director {
    setup.start_with_variables(&setup.config.to_string(), &[place.own(own)])
}

/// So many proxies that have joined and heard their first orders: all join before the first one is heard.
fn joined(director: &Director, count: u32) -> Vec<Client> {
    let mut proxies: Vec<_> = (0..count).map(|id| director.connect_proxy(id, "a")).collect();
    proxies.iter_mut().for_each(|proxy| drop(proxy.receive_update()));
    proxies
}

fn names(receiver: &GraphiteReceiver) -> BTreeSet<String> {
    receiver.samples().into_iter().map(|sample| sample.path).collect()
}

#[test]
fn metrics_arrive_under_names_that_hold_over_a_restart_in_the_middle_of_an_interval() {
    let place = Place::new("names");
    let (_discovery, setup) = three_host_deployment();
    let receiver = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    let own = format!("{ON}{}", graphite("halls", &[&receiver], ""));
    let mut director = start(&setup, &place, &own);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    for _ in 0..3 {
        collector.send(&load_report("a", "s-1", 9, 1));
        collector.send(&usage_report(0, "lookup", 20, 2));
        let before = receiver.samples().len();
        wait_until("another interval", || receiver.samples().len() > before + 40);
    }
    let tries = || receiver.series("wingfold.n0.tries.total.a").values().sum::<f64>();
    wait_until("all tries are told", || tries() == 27.0);
    assert_eq!(receiver.series("wingfold.n0.tries.lost.a").values().sum::<f64>(), 3.0);
    assert_eq!(receiver.series("wingfold.n0.service.asked.a.lookup").values().sum::<f64>(), 60.0);
    assert_eq!(receiver.series("wingfold.n0.service.lost.a.lookup").values().sum::<f64>(), 6.0);
    let starts = |at: usize| receiver.series("wingfold.n0.director.start").values().copied().nth(at).unwrap();
    let (first, before, began) = (names(&receiver), tries(), starts(0));
    director.send_signal("KILL");
    director.wait_for_exit();

    // The same address and name again, in the middle of an interval.
    let director = start(&setup, &place, &own);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    let restarted = |start: &f64| *start > began;
    wait_until("the new life tells its start", || {
        receiver.series("wingfold.n0.director.start").values().any(restarted)
    });
    collector.send(&load_report("a", "s-1", 5, 0));
    wait_until("its tries are told", || tries() == before + 5.0);
    wait_until("every name is there again", || names(&receiver).is_superset(&first));
    let new: Vec<String> = names(&receiver).difference(&first).cloned().collect();
    assert!(new.is_empty(), "no name is new: {new:?}");
    assert!(receiver.samples().iter().all(|sample| sample.value >= 0.0), "no figure is below 0");
    // Nothing of the zone without proxies is told as a zero.
    assert!(!first.iter().any(|name| name.starts_with("wingfold.n0.tries.total.b")), "{first:?}");
    assert!(first.contains("wingfold.n0.news.zone.age.b"));
}

/// Own settings of a receiver that works, of these that do not, of one without an address and of a dead one.
fn settings_of_bad_receivers(good: &GraphiteReceiver, bad: &[&GraphiteReceiver]) -> String {
    let rules =
        "  queue_kb = 16\n  write_timeout = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"400ms\"\n";
    let mut own = format!("{ON}{}", graphite("well", &[good], rules));
    for (number, receiver) in bad.iter().enumerate() {
        own.push_str(&graphite(&format!("bad-{number}"), &[receiver], rules));
    }
    own.push_str(&format!("graphite \"nowhere\" {{\n  addresses = [\"name.invalid:2003\"]\n{rules}}}\n"));
    own.push_str("collectd \"dead\" {\n  address = \"127.0.0.1:9\"\n}\n");
    own
}

/// Lets a director have 400 proxies and send them as much as it likes.
fn allow_400_proxies(setup: &mut DirectorSetup, memory_mb: u64) {
    let info = &mut setup.config["settings"]["family_info"];
    info["proxy_count"] = json!(400);
    info["egress_per_s"] = json!(1e6);
    info["pending_max"] = json!(1e6);
    setup.config["limits"] = json!({"memory_mb": memory_mb, "sockets": 1024});
}

/// Checks that drains, and the end of one, reach all proxies as ever.
fn assert_changes_reach_all(discovery: &Discovery, proxies: &mut [Client]) {
    for (host, state) in [("s-2", DRAINING), ("s-2", READY), ("s-3", DRAINING)] {
        let begun = Instant::now();
        discovery.set_host_state(host, state);
        for proxy in &mut *proxies {
            let orders = proxy.receive_update();
            assert!(!orders.is_empty());
        }
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    }
}

#[test]
fn receivers_of_all_faulty_behaviours_at_once_hold_up_no_table() {
    let place = Place::new("manners");
    let (discovery, setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let well = GraphiteReceiver::start(ip, ReceiverBehaviour::Normal);
    let bad = [
        ReceiverBehaviour::Frozen,
        ReceiverBehaviour::Slow,
        ReceiverBehaviour::Resetting,
        ReceiverBehaviour::Closing,
    ]
    .map(|behaviour| GraphiteReceiver::start(ip, behaviour));
    let refusing = GraphiteReceiver::start(ip, ReceiverBehaviour::Normal);
    refusing.stop();
    let own = settings_of_bad_receivers(&well, &bad.iter().chain([&refusing]).collect::<Vec<_>>());
    let mut setup = setup;
    allow_400_proxies(&mut setup, 64);
    let director = start(&setup, &place, &own);
    let mut proxies = joined(&director, 400);
    wait_until("the frozen one is cut off, and not only once", || {
        well.series("wingfold.n0.sink.cuts.bad-0").values().sum::<f64>() >= 2.0
    });
    assert_changes_reach_all(&discovery, &mut proxies);
    let sum = |name: &str| well.series(name).values().sum::<f64>();
    wait_until("the slow one is cut off", || sum("wingfold.n0.sink.cuts.bad-1") >= 1.0);
    wait_until("the refusing one loses whole intervals", || {
        sum("wingfold.n0.sink.dropped.bad-4.full") >= 1.0
    });
    for waiting in well.samples().iter().filter(|sample| sample.path.contains(".sink.waiting.")) {
        assert!(waiting.value <= 16.0 * 1024.0, "{waiting:?}");
    }
    assert!(director.resident_memory_kib() < 40 * 1024, "{} KiB", director.resident_memory_kib());
    assert_eq!(director.metric("invariants_broken_total"), 0);
    assert_eq!(director.metric("intervals_dropped_total"), 0);
    // Well again, each gets whole intervals, and every line of them is one.
    bad.iter().for_each(|receiver| receiver.set_behaviour(ReceiverBehaviour::Normal));
    for receiver in &bad {
        let before = receiver.series("wingfold.n0.director.up").len();
        wait_until("it is served again", || receiver.series("wingfold.n0.director.up").len() > before + 1);
    }
    let known = names(&well);
    let strange: Vec<String> = names(&bad[0]).difference(&known).cloned().collect();
    assert!(strange.is_empty(), "{strange:?}");
}

#[test]
fn a_reload_replaces_receivers_without_a_gap_or_a_doubled_interval() {
    let place = Place::new("reload");
    let (_discovery, setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let [stays, goes, comes] = [(); 3].map(|()| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal));
    let own = |second: &GraphiteReceiver| {
        format!("{ON}{}{}", graphite("stays", &[&stays], ""), graphite("second", &[second], ""))
    };
    let director = start(&setup, &place, &own(&goes));
    let up = "wingfold.n0.director.up";
    wait_until("both are served", || stays.series(up).len() > 1 && goes.series(up).len() > 1);
    place.own(&own(&comes));
    director.send_signal("HUP");
    wait_until("the new one is served", || comes.series(up).len() > 1);
    let times = |receiver: &GraphiteReceiver| {
        receiver
            .samples()
            .into_iter()
            .filter(|sample| sample.path == up)
            .map(|sample| sample.timestamp_s)
            .collect::<Vec<u64>>()
    };
    let last = *times(&comes).last().unwrap();
    wait_until("so far for the one that stays too", || times(&stays).contains(&last));
    let upto = |receiver: &GraphiteReceiver| {
        times(receiver).into_iter().filter(|time| *time <= last).collect::<Vec<u64>>()
    };
    let together = [upto(&goes), upto(&comes)].concat();
    assert_eq!(together, upto(&stays), "each interval went to the old one or to the new one, once");
    assert_eq!(
        stays.connections.load(std::sync::atomic::Ordering::Relaxed),
        1,
        "the one that stays kept its connection"
    );
    // A file that is wrong changes nothing, and is told.
    place.own("figures {\n  enabled = maybe\n}\ngraphite \"x\" {\n}\n");
    director.send_signal("HUP");
    wait_until("both faults are told", || {
        let log = director.log();
        log.contains("key `figures.enabled`") && log.contains("key `graphite[x].addresses`: is missing")
    });
    let before = times(&comes).len();
    wait_until("the old ones go on", || times(&comes).len() > before);
    // Settings that need more than was reserved at the start wait for a restart.
    place.own(&format!("{}{}", own(&comes), graphite("third", &[&goes], "")));
    director.send_signal("HUP");
    wait_until("it is told", || {
        director
            .log()
            .contains("local settings need more memory or descriptors than were reserved at the start")
    });
}

#[test]
fn names_are_hashed_to_receivers_and_only_a_lost_ones_move() {
    let place = Place::new("deal");
    let (_discovery, setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let all: Vec<GraphiteReceiver> =
        (0..3).map(|_| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal)).collect();
    let rules =
        "  deal = \"hash\"\n  settle = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"300ms\"\n";
    let own = format!("{ON}{}", graphite("halls", &all.iter().collect::<Vec<_>>(), rules));
    let director = start(&setup, &place, &own);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    // Names of figures that every interval has: some are sent only when something happened.
    let steady = |receiver: &GraphiteReceiver, since: u64| {
        let is_steady = |sample: &Sample| sample.timestamp_s > since && !sample.path.contains(".sink.");
        let samples = receiver.samples().into_iter().filter(is_steady);
        let mut times: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for sample in samples {
            times.entry(sample.path).or_default().insert(sample.timestamp_s);
        }
        let most = times.values().map(BTreeSet::len).max().unwrap_or(0);
        times
            .into_iter()
            .filter(|(_, at)| at.len() + 1 >= most)
            .map(|(path, _)| path)
            .collect::<BTreeSet<String>>()
    };
    let served = |receiver: &GraphiteReceiver| {
        receiver.samples().iter().map(|sample| sample.timestamp_s).max().unwrap_or(0)
    };
    wait_until("each has its names", || all.iter().all(|receiver| names(receiver).len() > 5));
    let since = served(&all[0]) + 1;
    wait_until("some intervals", || all.iter().all(|receiver| served(receiver) > since + 2));
    let before: Vec<BTreeSet<String>> = all.iter().map(|receiver| steady(receiver, since)).collect();
    assert!(before.iter().all(|names| names.len() > 5), "{before:?}");
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let both: Vec<&String> = before[one].intersection(&before[other]).collect();
        assert!(both.is_empty(), "a name goes to one of them: {both:?}");
    }
    all[1].stop();
    wait_until("the lost one's names arrive elsewhere", || {
        let taken: BTreeSet<String> = names(&all[0]).union(&names(&all[2])).cloned().collect();
        before[1].is_subset(&taken)
    });
    for at in [0, 2] {
        let moved = names(&all[at]).into_iter().filter(|name| before[2 - at].contains(name)).count();
        assert_eq!(moved, 0, "no name moved between those that were well");
    }
}

fn credentials(user: &str, key: &str) -> Credentials {
    Credentials { user: user.into(), key: key.into() }
}

#[test]
fn packets_of_collectd_hold_every_metric_and_are_signed() {
    let place = Place::new("collectd");
    let (_discovery, setup) = three_host_deployment();
    let packets = DatagramReceiver::start(unique_loopback_ip());
    let keys = place.0.join("keys");
    std::fs::write(&keys, "lines: a key of some length\n").unwrap();
    let modes =
        |mode| std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(mode)).unwrap();
    modes(0o600);
    let own = format!(
        "{ON}collectd \"all\" {{\n  address = \"{}\"\n  packet = 600\n  security = \"sign\"\n  user = \"lines\"\n  keys = \"{}\"\n}}\n",
        packets.addr,
        keys.display()
    );
    let director = start(&setup, &place, &own);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    collector.send(&load_report("a", "s-1", 9, 1));
    // A signed packet begins with its signature, of 36 bytes and the user's name.
    let lists = || {
        let bodies = packets.datagrams().into_iter().map(|packet| {
            assert!(packet.len() <= 600 && packet[..4] == [2, 0, 0, 41] && packet[36..41] == *b"lines");
            collectd::decode_packet(&packet[41..]).unwrap()
        });
        bodies.flatten().collect::<Vec<ValueList>>()
    };
    let tries =
        |list: &ValueList| list.type_instance == "tries.total" && list.values == [TypedValue::Absolute(9)];
    wait_until("the tries arrive", || lists().iter().any(tries));
    let list = lists().into_iter().find(tries).unwrap();
    assert_eq!(
        (&*list.host, &*list.plugin, &*list.plugin_instance, &*list.type_name),
        ("n0", "wingfold", "a", "wingfold_count")
    );
    assert!(lists().iter().any(|list| list.type_name == "wingfold_spread" && list.values.len() == 5));
    drop(director);
    // Keys that others may read start nothing.
    modes(0o644);
    let refused = wingfold(&["settings", "check", &place.own(&own).1]);
    let text = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(!refused.status.success() && text.contains("may be read by others (mode 644)"), "{text}");
}

/// Own settings that capture, and take load from collectd: db1 is s-1, db9 is a host that discovery never listed.
fn settings_with_collectd_input(place: &Place, listen: SocketAddr, keys: &Path) -> String {
    format!(
        "{ON}capture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\ncollectd_in {{\n  enabled = true\n  listen = \"{listen}\"\n  \
         keys = \"{}\"\n  host \"db1\" {{\n    is = \"s-1\"\n    cores = 4\n  }}\n  host \"db9\" {{\n    is = \"s-9\"\n    cores = 4\n  }}\n}}\n",
        place.0.join("captures").display(),
        keys.display()
    )
}

/// A packet of collectd with the load of a machine, as of now.
fn load_packet(host: &str, load: f64, security: &PacketSecurity, random: &mut ChaCha8Rng) -> Vec<u8> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let list = ValueList {
        host: host.into(),
        plugin: "load".into(),
        type_name: "load".into(),
        time: collectd::high_resolution(now.as_micros() as u64),
        interval: 10 << 30,
        values: vec![TypedValue::Gauge(load), TypedValue::Gauge(0.0), TypedValue::Gauge(0.0)],
        ..ValueList::default()
    };
    collectd::encode_packets(&[list], 1452, security, random).remove(0)
}

#[test]
fn loads_of_hosts_from_collectd_reach_the_module_and_wrong_senders_are_counted() {
    let place = Place::new("intake");
    let (_discovery, mut setup) = three_host_deployment();
    setup.config["settings"]["report"]["how"] = json!("silent");
    let listen = common::free_address(setup.listen.ip());
    let keys = place.0.join("keys");
    std::fs::write(&keys, "lines: a key of some length\n").unwrap();
    std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600)).unwrap();
    let own = settings_with_collectd_input(&place, listen, &keys);
    let mut director = start(&setup, &place, &own);
    let security = PacketSecurity::Encrypted(credentials("lines", "a key of some length"));
    let mut random = ChaCha8Rng::from_seed([7; 32]);
    let mut packet =
        |host: &str, load: f64, security: &PacketSecurity| load_packet(host, load, security, &mut random);
    let first = packet("db1", 3.0, &security);
    receivers::send_datagram(listen, &first);
    wait_until("it is taken", || director.metric("collectd_in_total") == 1);
    for (bytes, reason) in [
        (first.clone(), "replayed"),
        (packet("db1", 1.0, &PacketSecurity::None), "open"),
        (packet("db1", 1.0, &PacketSecurity::Signed(credentials("nobody", "x"))), "user"),
        (packet("db1", 1.0, &PacketSecurity::Signed(credentials("lines", "another key"))), "key"),
        (packet("other", 1.0, &security), "host"),
        (vec![0, 6, 0], "form"),
    ] {
        receivers::send_datagram(listen, &bytes);
        let name = format!("collectd_refused_{reason}_total");
        wait_until(&name, || director.metric(&name) == 1);
    }
    // A machine that is mapped to a host which discovery never listed goes no further than the door.
    receivers::send_datagram(listen, &packet("db9", 1.0, &security));
    wait_until("it is dropped by its name", || director.metric("messages_invalid_name_total") == 1);
    director.send_signal("TERM");
    director.wait_for_exit();
    let explained = wingfold(&[
        "explain",
        &place.0.join("captures").display().to_string(),
        "--host",
        "s-1",
        "--zone",
        "a",
    ]);
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(text.contains("its cores were 75 % busy"), "{text}");
}

#[test]
fn watch_and_list_show_a_directors_metrics() {
    let place = Place::new("watch");
    let (_discovery, setup) = three_host_deployment();
    let director = start(&setup, &place, ON);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    collector.send(&load_report("a", "s-1", 9, 1));
    let address = setup.listen.to_string();
    let watch = || wingfold(&["metrics", "watch", &address]);
    let shown = || String::from_utf8_lossy(&watch().stdout).into_owned();
    wait_until("an interval has ended", || shown().contains("tables written p50"));
    let text = shown();
    for part in ["n0 at ", "zone", "collector", "heard", "lookup: ", "route in call "] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains('\u{1b}'), "plain when it is piped");
    drop(director);
    assert_eq!(watch().status.code(), Some(2), "nobody is there");
    let (_discovery, off) = three_host_deployment();
    let director = off.start();
    let output = wingfold(&["metrics", "watch", &off.listen.to_string()]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("figures are switched off there"));
    assert!(director.http_get("/figures").starts_with("HTTP/1.1 404"));
    let list = wingfold(&["metrics", "list"]);
    let list = String::from_utf8_lossy(&list.stdout).into_owned();
    assert!(list.lines().count() > 45 && list.contains("news.zone.state"), "{list}");
}

#[test]
fn with_too_few_descriptors_for_all_proxies_no_metrics_are_sent() {
    let place = Place::new("few");
    let (_discovery, mut setup) = three_host_deployment();
    let receiver = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    // Enough for all that may join, and for nobody else: an eighth goes to probes, 24 are always open.
    setup.config["settings"]["family_info"]["proxy_count"] = json!(60);
    let named = 60 + 4 * setup.config["settings"]["dcs"].as_array().unwrap().len();
    let sockets = (named..).find(|sockets| sockets - sockets / 8 - 24 == named).unwrap();
    setup.config["limits"]["sockets"] = json!(sockets);
    let director = start(&setup, &place, &format!("{ON}{}", graphite("halls", &[&receiver], "")));
    wait_until("it is told", || {
        director.log().contains("too low for all proxies, collectors and sinks; metrics are switched off")
    });
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    assert!(proxy.ping());
    assert_eq!(receiver.connections.load(std::sync::atomic::Ordering::Relaxed), 0);
}

/// Times from a change of the list until each of 400 proxies has its order, in ms, over some changes.
fn deliveries(own: &str, place: &Path, changes: u32) -> Vec<f64> {
    let (discovery, mut setup) = three_host_deployment();
    allow_400_proxies(&mut setup, 192);
    let path = place.join("own.hcl");
    std::fs::write(&path, own).unwrap();
    let director = setup
        .start_with_variables(&setup.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())]);
    let proxies = joined(&director, 400);
    // Each proxy reads on a thread of its own and notes when an order came that names s-2.
    let (to, from) = std::sync::mpsc::channel();
    for mut proxy in proxies {
        let to = to.clone();
        std::thread::spawn(move || {
            proxy.stream.set_read_timeout(None).unwrap();
            while let Some(message) = proxy.receive() {
                if entries(&[message]).iter().any(|entry| entry[0] == "s-2") {
                    let _ = to.send(Instant::now());
                }
            }
        });
    }
    std::thread::sleep(Duration::from_millis(1500));
    while from.try_recv().is_ok() {}
    let mut times = Vec::new();
    for change in 0..changes {
        let begun = Instant::now();
        discovery.set_host_state("s-2", if change % 2 == 0 { DRAINING } else { READY });
        for _ in 0..400 {
            let at = from.recv_timeout(Duration::from_secs(20)).expect("every proxy has its order");
            times.push(at.duration_since(begun).as_secs_f64() * 1e3);
        }
        std::thread::sleep(Duration::from_millis(400));
        while from.try_recv().is_ok() {}
    }
    times.sort_by(f64::total_cmp);
    times
}

#[test]
#[ignore = "a measurement: table delivery to 400 proxies without sinks, with healthy, stalled and dead ones"]
fn measure_table_deliveries() {
    let place = Place::new("measure");
    let mut ratios: BTreeMap<&str, Vec<[f64; 3]>> = BTreeMap::new();
    for round in 0..5 {
        let ip = unique_loopback_ip();
        let frozen = start_pair(ip, [ReceiverBehaviour::Frozen, ReceiverBehaviour::Slow]);
        let well = start_pair(ip, [ReceiverBehaviour::Normal; 2]);
        let dead = start_pair(ip, [ReceiverBehaviour::Normal; 2]);
        dead.iter().for_each(GraphiteReceiver::stop);
        let mut kinds = [
            ("none", String::new()),
            ("healthy", settings_of_pair(&well)),
            ("frozen and slow", settings_of_pair(&frozen)),
            ("dead", settings_of_pair(&dead)),
        ];
        kinds.rotate_left(round % 4);
        let measured: BTreeMap<&str, [f64; 3]> = kinds
            .iter()
            .map(|(kind, own)| {
                let times = deliveries(own, &place.0, 10);
                let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
                (*kind, [at(0.5), at(0.99), at(1.0)])
            })
            .collect();
        for (kind, times) in &measured {
            println!("round {round} {kind}: p50 {:.1} p99 {:.1} max {:.1} ms", times[0], times[1], times[2]);
            let base = measured["none"];
            ratios.entry(kind).or_default().push([0, 1, 2].map(|at| times[at] / base[at]));
        }
    }
    for (kind, ratios) in ratios {
        print_medians(kind, &ratios);
    }
}

fn start_pair(ip: IpAddr, behaviours: [ReceiverBehaviour; 2]) -> [GraphiteReceiver; 2] {
    behaviours.map(|behaviour| GraphiteReceiver::start(ip, behaviour))
}

fn settings_of_pair(receivers: &[GraphiteReceiver; 2]) -> String {
    let [one, two] = receivers;
    format!("{ON}{}{}", graphite("one", &[one], ""), graphite("two", &[two], ""))
}

/// Prints the medians of the ratios of p50, p99 and max.
fn print_medians(kind: &str, ratios: &[[f64; 3]]) {
    let median = |at: usize| {
        let mut all: Vec<f64> = ratios.iter().map(|ratio| ratio[at]).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    println!(
        "{kind}: p50 {:.3} p99 {:.3} max {:.3} of those without sinks (medians of pairs)",
        median(0),
        median(1),
        median(2)
    );
}
