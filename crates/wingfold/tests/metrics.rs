//! Metrics of the running program: what receivers get, that faulty receivers delay no table update, and load
//! reports that arrive through collectd.

mod common;

use common::messages::{entries, load_report, usage_report, DRAINING, READY};
use common::{
    run_wingfold, three_host_deployment, unique_loopback_ip, wait_until, Client, Director, DirectorSetup,
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

/// A directory for one test, removed when dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TestDirectory(path)
    }

    /// Writes the file of local settings, and returns the environment variable that names the file.
    fn write_settings(&self, text: &str) -> (&'static str, String) {
        let (path, new) = (self.0.join("own.hcl"), self.0.join("own.new"));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &path).unwrap();
        ("WINGFOLD_OWN", path.display().to_string())
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Local settings that send metrics every second.
const METRICS_ENABLED: &str = "figures {\n  enabled = true\n  interval = \"1s\"\n  causes = true\n}\n";

/// The path of a metric that is sent once in every interval.
const PATH_IN_EVERY_INTERVAL: &str = "wingfold.n0.director.up";

/// The settings of a Graphite sink with these receivers, and with further lines of settings.
fn graphite_settings(name: &str, receivers: &[&GraphiteReceiver], further_lines: &str) -> String {
    let addresses: Vec<String> = receivers.iter().map(|receiver| format!("\"{}\"", receiver.addr)).collect();
    format!("graphite \"{name}\" {{\n  addresses = [{}]\n{further_lines}}}\n", addresses.join(", "))
}

/// Starts the program with these local settings.
fn start(setup: &DirectorSetup, directory: &TestDirectory, local_settings: &str) -> Director {
    setup.start_with_environment(&setup.config.to_string(), &[directory.write_settings(local_settings)])
}

/// Connects this many proxies and receives the first update of each. All of them join before any update is
/// read.
fn connect_proxies(director: &Director, count: u32) -> Vec<Client> {
    let mut proxies: Vec<_> = (0..count).map(|id| director.connect_proxy(id, "a")).collect();
    proxies.iter_mut().for_each(|proxy| drop(proxy.receive_update()));
    proxies
}

/// The paths of all samples received so far.
fn sample_paths(receiver: &GraphiteReceiver) -> BTreeSet<String> {
    receiver.samples().into_iter().map(|sample| sample.path).collect()
}

/// The times of the intervals that a receiver got, in the order of their arrival.
fn interval_times(receiver: &GraphiteReceiver) -> Vec<u64> {
    let samples = receiver.samples().into_iter();
    samples.filter(|sample| sample.path == PATH_IN_EVERY_INTERVAL).map(|sample| sample.timestamp_s).collect()
}

#[test]
fn metric_paths_are_the_same_after_a_restart_inside_an_interval() {
    let directory = TestDirectory::new("names");
    let (_discovery, setup) = three_host_deployment();
    let receiver = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    let local_settings = format!("{METRICS_ENABLED}{}", graphite_settings("main", &[&receiver], ""));
    let mut director = start(&setup, &directory, &local_settings);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    for _ in 0..3 {
        collector.send(&load_report("a", "s-1", 9, 1));
        collector.send(&usage_report(0, "lookup", 20, 2));
        let samples_before = receiver.samples().len();
        wait_until("the samples of another interval arrive", || {
            receiver.samples().len() > samples_before + 40
        });
    }
    let attempts = || receiver.series("wingfold.n0.tries.total.a").values().sum::<f64>();
    wait_until("all 27 attempts arrive", || attempts() == 27.0);
    assert_eq!(receiver.series("wingfold.n0.tries.lost.a").values().sum::<f64>(), 3.0);
    assert_eq!(receiver.series("wingfold.n0.service.asked.a.lookup").values().sum::<f64>(), 60.0);
    assert_eq!(receiver.series("wingfold.n0.service.lost.a.lookup").values().sum::<f64>(), 6.0);
    let first_start = receiver.series("wingfold.n0.director.start").values().copied().next().unwrap();
    let (paths_before, attempts_before) = (sample_paths(&receiver), attempts());
    director.send_signal("KILL");
    director.wait_for_exit();

    // Restart with the same address and name, inside an interval.
    let director = start(&setup, &directory, &local_settings);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    let is_later_start = |start: &f64| *start > first_start;
    wait_until("the start time of the restarted director arrives", || {
        receiver.series("wingfold.n0.director.start").values().any(is_later_start)
    });
    collector.send(&load_report("a", "s-1", 5, 0));
    wait_until("its attempts arrive", || attempts() == attempts_before + 5.0);
    wait_until("every path is there again", || sample_paths(&receiver).is_superset(&paths_before));
    let new_paths: Vec<String> = sample_paths(&receiver).difference(&paths_before).cloned().collect();
    assert!(new_paths.is_empty(), "paths that did not exist before: {new_paths:?}");
    assert!(receiver.samples().iter().all(|sample| sample.value >= 0.0), "a sample has a negative value");
    // Zone b has no proxies: its attempts are left out, not sent as zeros.
    assert!(
        !paths_before.iter().any(|path| path.starts_with("wingfold.n0.tries.total.b")),
        "{paths_before:?}"
    );
    assert!(paths_before.contains("wingfold.n0.news.zone.age.b"));
}

/// Local settings with a healthy receiver, with faulty ones, with one whose name does not resolve and with a
/// collectd address where nobody listens.
fn settings_of_faulty_receivers(healthy: &GraphiteReceiver, faulty: &[&GraphiteReceiver]) -> String {
    let sink_settings =
        "  queue_kb = 16\n  write_timeout = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"400ms\"\n";
    let mut local_settings =
        format!("{METRICS_ENABLED}{}", graphite_settings("healthy", &[healthy], sink_settings));
    for (number, receiver) in faulty.iter().enumerate() {
        local_settings.push_str(&graphite_settings(&format!("faulty-{number}"), &[receiver], sink_settings));
    }
    local_settings.push_str(&format!(
        "graphite \"unresolvable\" {{\n  addresses = [\"name.invalid:2003\"]\n{sink_settings}}}\n"
    ));
    local_settings.push_str("collectd \"closed\" {\n  address = \"127.0.0.1:9\"\n}\n");
    local_settings
}

/// Configures a director for 400 proxies, with practically unlimited sending.
fn allow_400_proxies(setup: &mut DirectorSetup, memory_mb: u64) {
    let info = &mut setup.config["settings"]["family_info"];
    info["proxy_count"] = json!(400);
    info["egress_per_s"] = json!(1e6);
    info["pending_max"] = json!(1e6);
    setup.config["limits"] = json!({"memory_mb": memory_mb, "sockets": 1024});
}

/// Checks that two drains and the end of one reach every proxy within 10 s each.
fn assert_changes_reach_all(discovery: &Discovery, proxies: &mut [Client]) {
    for (host, state) in [("s-2", DRAINING), ("s-2", READY), ("s-3", DRAINING)] {
        let started = Instant::now();
        discovery.set_host_state(host, state);
        for proxy in &mut *proxies {
            let update = proxy.receive_update();
            assert!(!update.is_empty());
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    }
}

#[test]
fn faulty_receivers_of_every_kind_delay_no_table() {
    let directory = TestDirectory::new("faulty-receivers");
    let (discovery, mut setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let healthy = GraphiteReceiver::start(ip, ReceiverBehaviour::Normal);
    let faulty = [
        ReceiverBehaviour::Frozen,
        ReceiverBehaviour::Slow,
        ReceiverBehaviour::Resetting,
        ReceiverBehaviour::Closing,
    ]
    .map(|behaviour| GraphiteReceiver::start(ip, behaviour));
    let stopped = GraphiteReceiver::start(ip, ReceiverBehaviour::Normal);
    stopped.stop();
    let local_settings =
        settings_of_faulty_receivers(&healthy, &faulty.iter().chain([&stopped]).collect::<Vec<_>>());
    allow_400_proxies(&mut setup, 64);
    let director = start(&setup, &directory, &local_settings);
    let mut proxies = connect_proxies(&director, 400);
    wait_until("the connection to the frozen receiver is cut at least twice", || {
        healthy.series("wingfold.n0.sink.cuts.faulty-0").values().sum::<f64>() >= 2.0
    });
    assert_changes_reach_all(&discovery, &mut proxies);
    let sum = |name: &str| healthy.series(name).values().sum::<f64>();
    wait_until("the connection to the slow receiver is cut", || sum("wingfold.n0.sink.cuts.faulty-1") >= 1.0);
    wait_until("whole intervals for the stopped receiver are dropped", || {
        sum("wingfold.n0.sink.dropped.faulty-4.full") >= 1.0
    });
    for sample in healthy.samples().iter().filter(|sample| sample.path.contains(".sink.waiting.")) {
        assert!(sample.value <= 16.0 * 1024.0, "{sample:?}");
    }
    assert!(director.resident_memory_kib() < 40 * 1024, "{} KiB", director.resident_memory_kib());
    assert_eq!(director.metric("invariants_broken_total"), 0);
    assert_eq!(director.metric("intervals_dropped_total"), 0);
    // Once they read normally, the faulty receivers get complete intervals again, and every line is a valid
    // sample.
    faulty.iter().for_each(|receiver| receiver.set_behaviour(ReceiverBehaviour::Normal));
    for receiver in &faulty {
        let samples_before = receiver.series(PATH_IN_EVERY_INTERVAL).len();
        wait_until("samples arrive again", || {
            receiver.series(PATH_IN_EVERY_INTERVAL).len() > samples_before + 1
        });
    }
    let valid_paths = sample_paths(&healthy);
    let invalid: Vec<String> = sample_paths(&faulty[0]).difference(&valid_paths).cloned().collect();
    assert!(invalid.is_empty(), "paths that the healthy receiver did not get: {invalid:?}");
}

#[test]
fn reload_replaces_a_receiver_without_lost_or_repeated_intervals() {
    let directory = TestDirectory::new("reload");
    let (_discovery, setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let [kept, removed, added] = [(); 3].map(|()| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal));
    let settings_with = |second: &GraphiteReceiver| {
        format!(
            "{METRICS_ENABLED}{}{}",
            graphite_settings("kept", &[&kept], ""),
            graphite_settings("second", &[second], "")
        )
    };
    let director = start(&setup, &directory, &settings_with(&removed));
    wait_until("both receivers get samples", || {
        kept.series(PATH_IN_EVERY_INTERVAL).len() > 1 && removed.series(PATH_IN_EVERY_INTERVAL).len() > 1
    });
    directory.write_settings(&settings_with(&added));
    director.send_signal("HUP");
    wait_until("the added receiver gets samples", || added.series(PATH_IN_EVERY_INTERVAL).len() > 1);
    let last = *interval_times(&added).last().unwrap();
    wait_until("the kept receiver has the same intervals", || interval_times(&kept).contains(&last));
    let up_to_last = |receiver: &GraphiteReceiver| {
        interval_times(receiver).into_iter().filter(|time| *time <= last).collect::<Vec<u64>>()
    };
    let old_and_new = [up_to_last(&removed), up_to_last(&added)].concat();
    assert_eq!(old_and_new, up_to_last(&kept), "an interval went to neither or to both of the receivers");
    assert_eq!(
        kept.connections.load(std::sync::atomic::Ordering::Relaxed),
        1,
        "the reload closed the connection to the kept receiver"
    );
    // Invalid settings change nothing, and both faults are logged.
    directory.write_settings("figures {\n  enabled = maybe\n}\ngraphite \"x\" {\n}\n");
    director.send_signal("HUP");
    wait_until("both faults are logged", || {
        let log = director.log();
        log.contains("key `figures.enabled`") && log.contains("key `graphite[x].addresses`: is missing")
    });
    let intervals_before = interval_times(&added).len();
    wait_until("the receivers still get samples", || interval_times(&added).len() > intervals_before);
    // A sink that needs more memory than was reserved at the start requires a restart.
    directory.write_settings(&format!(
        "{}{}",
        settings_with(&added),
        graphite_settings("third", &[&removed], "")
    ));
    director.send_signal("HUP");
    wait_until("the required restart is logged", || {
        director
            .log()
            .contains("local settings need more memory or descriptors than were reserved at the start")
    });
}

/// The paths that are in all intervals after this time, or in all but one. Other metrics are sent only after
/// an event.
fn regular_paths(receiver: &GraphiteReceiver, after_s: u64) -> BTreeSet<String> {
    let is_counted = |sample: &Sample| sample.timestamp_s > after_s && !sample.path.contains(".sink.");
    let mut times: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for sample in receiver.samples().into_iter().filter(is_counted) {
        times.entry(sample.path).or_default().insert(sample.timestamp_s);
    }
    let max_intervals = times.values().map(BTreeSet::len).max().unwrap_or(0);
    times.into_iter().filter(|(_, at)| at.len() + 1 >= max_intervals).map(|(path, _)| path).collect()
}

#[test]
fn only_the_paths_of_a_stopped_receiver_move_to_others() {
    let directory = TestDirectory::new("distribution");
    let (_discovery, setup) = three_host_deployment();
    let ip = unique_loopback_ip();
    let receivers: Vec<GraphiteReceiver> =
        (0..3).map(|_| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal)).collect();
    let sink_settings =
        "  deal = \"hash\"\n  settle = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"300ms\"\n";
    let local_settings = format!(
        "{METRICS_ENABLED}{}",
        graphite_settings("main", &receivers.iter().collect::<Vec<_>>(), sink_settings)
    );
    let director = start(&setup, &directory, &local_settings);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let last_time_s = |receiver: &GraphiteReceiver| {
        receiver.samples().iter().map(|sample| sample.timestamp_s).max().unwrap_or(0)
    };
    wait_until("each receiver has paths", || {
        receivers.iter().all(|receiver| sample_paths(receiver).len() > 5)
    });
    let start_s = last_time_s(&receivers[0]) + 1;
    wait_until("more than two intervals pass", || {
        receivers.iter().all(|receiver| last_time_s(receiver) > start_s + 2)
    });
    let paths_before: Vec<BTreeSet<String>> =
        receivers.iter().map(|receiver| regular_paths(receiver, start_s)).collect();
    assert!(paths_before.iter().all(|paths| paths.len() > 5), "{paths_before:?}");
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let both: Vec<&String> = paths_before[one].intersection(&paths_before[other]).collect();
        assert!(both.is_empty(), "paths sent to two receivers: {both:?}");
    }
    receivers[1].stop();
    wait_until("the paths of the stopped receiver arrive at the others", || {
        let remaining: BTreeSet<String> =
            sample_paths(&receivers[0]).union(&sample_paths(&receivers[2])).cloned().collect();
        paths_before[1].is_subset(&remaining)
    });
    for at in [0, 2] {
        let moved = sample_paths(&receivers[at])
            .into_iter()
            .filter(|path| paths_before[2 - at].contains(path))
            .count();
        assert_eq!(moved, 0, "a path moved between the remaining receivers");
    }
}

fn credentials(user: &str, key: &str) -> Credentials {
    Credentials { user: user.into(), key: key.into() }
}

#[test]
fn collectd_packets_are_signed_and_hold_the_metrics() {
    let directory = TestDirectory::new("collectd");
    let (_discovery, setup) = three_host_deployment();
    let packets = DatagramReceiver::start(unique_loopback_ip());
    let keys = directory.0.join("keys");
    std::fs::write(&keys, "lines: a key of some length\n").unwrap();
    let set_mode =
        |mode| std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(mode)).unwrap();
    set_mode(0o600);
    let local_settings = format!(
        "{METRICS_ENABLED}collectd \"all\" {{\n  address = \"{}\"\n  packet = 600\n  security = \"sign\"\n  \
         user = \"lines\"\n  keys = \"{}\"\n}}\n",
        packets.addr,
        keys.display()
    );
    let director = start(&setup, &directory, &local_settings);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    collector.send(&load_report("a", "s-1", 9, 1));
    // A signed packet begins with its signature: 36 bytes, then the user's name.
    let lists = || {
        let bodies = packets.datagrams().into_iter().map(|packet| {
            assert!(packet.len() <= 600 && packet[..4] == [2, 0, 0, 41] && packet[36..41] == *b"lines");
            collectd::decode_packet(&packet[41..]).unwrap()
        });
        bodies.flatten().collect::<Vec<ValueList>>()
    };
    let is_attempts =
        |list: &ValueList| list.type_instance == "tries.total" && list.values == [TypedValue::Absolute(9)];
    wait_until("the attempts arrive", || lists().iter().any(is_attempts));
    let list = lists().into_iter().find(is_attempts).unwrap();
    assert_eq!(
        (&*list.host, &*list.plugin, &*list.plugin_instance, &*list.type_name),
        ("n0", "wingfold", "a", "wingfold_count")
    );
    assert!(lists().iter().any(|list| list.type_name == "wingfold_spread" && list.values.len() == 5));
    drop(director);
    // A key file that other users may read is rejected.
    set_mode(0o644);
    let rejected = run_wingfold(&["settings", "check", &directory.write_settings(&local_settings).1]);
    let text = String::from_utf8_lossy(&rejected.stderr).into_owned();
    assert!(!rejected.status.success() && text.contains("is accessible by other users (mode 644)"), "{text}");
}

/// Local settings that write a capture and receive load from collectd, where machine db1 is host s-1 and
/// machine db9 is host s-9, which discovery never lists.
fn settings_with_collectd_input(directory: &TestDirectory, listen: SocketAddr, keys: &Path) -> String {
    format!(
        "{METRICS_ENABLED}capture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\n\
         collectd_in {{\n  enabled = true\n  listen = \"{listen}\"\n  keys = \"{}\"\n  \
         host \"db1\" {{\n    is = \"s-1\"\n    cores = 4\n  }}\n  \
         host \"db9\" {{\n    is = \"s-9\"\n    cores = 4\n  }}\n}}\n",
        directory.0.join("captures").display(),
        keys.display()
    )
}

/// A collectd packet with the current load of a machine.
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
fn collectd_load_is_applied_and_invalid_packets_are_counted() {
    let directory = TestDirectory::new("collectd-input");
    let (_discovery, mut setup) = three_host_deployment();
    setup.config["settings"]["report"]["how"] = json!("silent");
    let listen = common::free_address(setup.listen.ip());
    let keys = directory.0.join("keys");
    std::fs::write(&keys, "lines: a key of some length\n").unwrap();
    std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600)).unwrap();
    let local_settings = settings_with_collectd_input(&directory, listen, &keys);
    let mut director = start(&setup, &directory, &local_settings);
    let security = PacketSecurity::Encrypted(credentials("lines", "a key of some length"));
    let mut random = ChaCha8Rng::from_seed([7; 32]);
    let mut packet =
        |host: &str, load: f64, security: &PacketSecurity| load_packet(host, load, security, &mut random);
    let valid = packet("db1", 3.0, &security);
    receivers::send_datagram(listen, &valid);
    wait_until("the valid packet is counted", || director.metric("collectd_in_total") == 1);
    for (bytes, reason) in [
        (valid.clone(), "replayed"),
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
    // The load of a machine whose host discovery never listed is dropped before it reaches the decision
    // module.
    receivers::send_datagram(listen, &packet("db9", 1.0, &security));
    wait_until("the report of the unlisted host is counted", || {
        director.metric("messages_invalid_name_total") == 1
    });
    let captures = directory.0.join("captures").display().to_string();
    let explain = || {
        let explained = run_wingfold(&["explain", &captures, "--host", "s-1", "--zone", "a"]);
        String::from_utf8_lossy(&explained.stdout).into_owned()
    };
    let applied_load = "utilization 75 %, reported at";
    // The calls of the last flush interval are lost if the end of the capture cannot be written in time, so the
    // applied load must be in the capture before the director stops.
    wait_until("the applied load is in the capture", || explain().contains(applied_load));
    director.send_signal("TERM");
    director.wait_for_exit();
    let text = explain();
    assert!(text.contains(applied_load), "{text}");
}

#[test]
fn metrics_watch_and_list_show_the_metrics() {
    let directory = TestDirectory::new("watch");
    let (_discovery, setup) = three_host_deployment();
    let director = start(&setup, &directory, METRICS_ENABLED);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    collector.send(&load_report("a", "s-1", 9, 1));
    let address = setup.listen.to_string();
    let watch = || run_wingfold(&["metrics", "watch", &address]);
    let watch_output = || String::from_utf8_lossy(&watch().stdout).into_owned();
    wait_until("an interval has ended", || watch_output().contains("table write delay p50"));
    let text = watch_output();
    for part in ["n0 at ", "zone", "collector", "heard", "lookup: ", "route in call "] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains('\u{1b}'), "escape sequences in piped output");
    drop(director);
    assert_eq!(watch().status.code(), Some(2), "watching a stopped director must exit with 2");
    let (_discovery, setup_without_metrics) = three_host_deployment();
    let director = setup_without_metrics.start();
    let output = run_wingfold(&["metrics", "watch", &setup_without_metrics.listen.to_string()]);
    assert!(String::from_utf8_lossy(&output.stderr)
        .contains("metrics are disabled; `figures { enabled = true }`"));
    assert!(director.http_get("/figures").starts_with("HTTP/1.1 404"));
    let list = run_wingfold(&["metrics", "list"]);
    let list = String::from_utf8_lossy(&list.stdout).into_owned();
    assert!(list.lines().count() > 45 && list.contains("news.zone.state"), "{list}");
}

#[test]
fn no_metrics_are_sent_when_descriptors_only_suffice_for_clients() {
    let directory = TestDirectory::new("few");
    let (_discovery, mut setup) = three_host_deployment();
    let receiver = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    // Enough for every proxy and collector that may join, and for nothing else: an eighth is reserved for
    // health checks, and 24 descriptors are always open.
    setup.config["settings"]["family_info"]["proxy_count"] = json!(60);
    let clients = 60 + 4 * setup.config["settings"]["dcs"].as_array().unwrap().len();
    let sockets = (clients..).find(|sockets| sockets - sockets / 8 - 24 == clients).unwrap();
    setup.config["limits"]["sockets"] = json!(sockets);
    let director = start(
        &setup,
        &directory,
        &format!("{METRICS_ENABLED}{}", graphite_settings("main", &[&receiver], "")),
    );
    wait_until("the lack of descriptors is logged", || {
        director.log().contains("too low for all proxies, collectors and sinks; metrics are switched off")
    });
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    assert!(proxy.ping());
    assert_eq!(receiver.connections.load(std::sync::atomic::Ordering::Relaxed), 0);
}

/// The sorted times in ms, over this many changes of the list, from the change until each of 400 proxies has
/// received the update for it.
fn update_delivery_times_ms(local_settings: &str, directory: &Path, changes: u32) -> Vec<f64> {
    let (discovery, mut setup) = three_host_deployment();
    allow_400_proxies(&mut setup, 192);
    let path = directory.join("own.hcl");
    std::fs::write(&path, local_settings).unwrap();
    let director = setup
        .start_with_environment(&setup.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())]);
    let proxies = connect_proxies(&director, 400);
    // Each proxy reads on a separate thread, which sends the time of every message with an entry for s-2.
    let (sender, receiver) = std::sync::mpsc::channel();
    for mut proxy in proxies {
        let sender = sender.clone();
        std::thread::spawn(move || {
            proxy.stream.set_read_timeout(None).unwrap();
            while let Some(message) = proxy.receive() {
                if entries(&[message]).iter().any(|entry| entry[0] == "s-2") {
                    let _ = sender.send(Instant::now());
                }
            }
        });
    }
    std::thread::sleep(Duration::from_millis(1500));
    while receiver.try_recv().is_ok() {}
    let mut times = Vec::new();
    for change in 0..changes {
        let started = Instant::now();
        discovery.set_host_state("s-2", if change % 2 == 0 { DRAINING } else { READY });
        for _ in 0..400 {
            let received_at =
                receiver.recv_timeout(Duration::from_secs(20)).expect("a proxy received no update in time");
            times.push(received_at.duration_since(started).as_secs_f64() * 1e3);
        }
        std::thread::sleep(Duration::from_millis(400));
        while receiver.try_recv().is_ok() {}
    }
    times.sort_by(f64::total_cmp);
    times
}

#[test]
#[ignore = "a measurement: update delivery to 400 proxies without sinks, and with healthy and faulty ones"]
fn measure_update_delivery_times() {
    let directory = TestDirectory::new("measure");
    let mut ratios: BTreeMap<&str, Vec<[f64; 3]>> = BTreeMap::new();
    for round in 0..5 {
        let ip = unique_loopback_ip();
        let frozen = start_pair(ip, [ReceiverBehaviour::Frozen, ReceiverBehaviour::Slow]);
        let healthy = start_pair(ip, [ReceiverBehaviour::Normal; 2]);
        let stopped = start_pair(ip, [ReceiverBehaviour::Normal; 2]);
        stopped.iter().for_each(GraphiteReceiver::stop);
        let mut kinds = [
            ("none", String::new()),
            ("healthy", settings_of_pair(&healthy)),
            ("frozen and slow", settings_of_pair(&frozen)),
            ("stopped", settings_of_pair(&stopped)),
        ];
        kinds.rotate_left(round % 4);
        let measured: BTreeMap<&str, [f64; 3]> = kinds
            .iter()
            .map(|(kind, local_settings)| {
                let times = update_delivery_times_ms(local_settings, &directory.0, 10);
                let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
                (*kind, [quantile(0.5), quantile(0.99), quantile(1.0)])
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

/// Starts two receivers with these behaviours.
fn start_pair(ip: IpAddr, behaviours: [ReceiverBehaviour; 2]) -> [GraphiteReceiver; 2] {
    behaviours.map(|behaviour| GraphiteReceiver::start(ip, behaviour))
}

/// Local settings with two receivers, each in a sink of its own.
fn settings_of_pair(receivers: &[GraphiteReceiver; 2]) -> String {
    let [first, second] = receivers;
    format!(
        "{METRICS_ENABLED}{}{}",
        graphite_settings("first", &[first], ""),
        graphite_settings("second", &[second], "")
    )
}

/// Prints the medians over all rounds of the ratios of p50, p99 and maximum to those without sinks.
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
