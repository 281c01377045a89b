//! The program with receivers of figures: what they get, and that those that stall, vanish or misbehave hold up no table.

mod common;

use common::{endpoint, unique_loopback_ip, until, Director, Discovery, Host, Plan};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
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

fn deployment() -> (Discovery, Plan) {
    let ip = unique_loopback_ip();
    let hosts = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, Some("{}")).addr, "a"));
    let discovery = Discovery::start(ip, hosts.to_vec());
    let plan = Plan::new(ip, discovery.addr, discovery.known_list());
    (discovery, plan)
}

const ON: &str = "figures {\n  enabled = true\n  interval = \"1s\"\n  causes = true\n}\n";

fn graphite(name: &str, addresses: &[&GraphiteReceiver], more: &str) -> String {
    let addresses: Vec<String> = addresses.iter().map(|carbon| format!("\"{}\"", carbon.addr)).collect();
    format!("graphite \"{name}\" {{\n  addresses = [{}]\n{more}}}\n", addresses.join(", "))
}

fn start(plan: &Plan, place: &Place, own: &str) -> Director {
    plan.launch_with(&plan.config.to_string(), &[place.own(own)])
}

fn load(target: &str, count: u64, fail: u64) -> Value {
    json!({"type": "LOAD", "site": "a", "target": target, "count": count, "fail": fail, "mean": 40.0, "over": 1000.0})
}

fn wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// So many proxies that have joined and heard their first orders: all join before the first one is heard.
fn joined(director: &Director, count: u32) -> Vec<common::Client> {
    let mut proxies: Vec<_> = (0..count).map(|id| director.proxy(id, "a")).collect();
    proxies.iter_mut().for_each(|proxy| drop(proxy.receive_update()));
    proxies
}

fn names(carbon: &GraphiteReceiver) -> BTreeSet<String> {
    carbon.samples().into_iter().map(|sample| sample.path).collect()
}

#[test]
fn figures_arrive_under_names_that_hold_over_a_restart_in_the_middle_of_an_interval() {
    let place = Place::new("names");
    let (_discovery, plan) = deployment();
    let carbon = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    let own = format!("{ON}{}", graphite("halls", &[&carbon], ""));
    let mut director = start(&plan, &place, &own);
    let _proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    for _ in 0..3 {
        collector.send(&load("s-1", 9, 1));
        collector.send(
            &json!({"type": "RATE", "id": 0, "lane": "lookup", "count": 20, "fail": 2, "over": 1000.0}),
        );
        let before = carbon.samples().len();
        until("another interval", || carbon.samples().len() > before + 40);
    }
    let tries = || carbon.series("wingfold.n0.tries.total.a").values().sum::<f64>();
    until("all tries are told", || tries() == 27.0);
    assert_eq!(carbon.series("wingfold.n0.tries.lost.a").values().sum::<f64>(), 3.0);
    assert_eq!(carbon.series("wingfold.n0.service.asked.a.lookup").values().sum::<f64>(), 60.0);
    assert_eq!(carbon.series("wingfold.n0.service.lost.a.lookup").values().sum::<f64>(), 6.0);
    let starts = |at: usize| carbon.series("wingfold.n0.director.start").values().copied().nth(at).unwrap();
    let (first, before, began) = (names(&carbon), tries(), starts(0));
    director.signal("KILL");
    director.end();

    // The same address and name again, in the middle of an interval.
    let director = start(&plan, &place, &own);
    let _proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    let restarted = |start: &f64| *start > began;
    until("the new life tells its start", || {
        carbon.series("wingfold.n0.director.start").values().any(restarted)
    });
    collector.send(&load("s-1", 5, 0));
    until("its tries are told", || tries() == before + 5.0);
    until("every name is there again", || names(&carbon).is_superset(&first));
    let new: Vec<String> = names(&carbon).difference(&first).cloned().collect();
    assert!(new.is_empty(), "no name is new: {new:?}");
    assert!(carbon.samples().iter().all(|sample| sample.value >= 0.0), "no figure is below 0");
    // Nothing of the zone without proxies is told as a zero.
    assert!(!first.iter().any(|name| name.starts_with("wingfold.n0.tries.total.b")), "{first:?}");
    assert!(first.contains("wingfold.n0.news.zone.age.b"));
}

#[test]
#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn receivers_of_all_bad_manners_at_once_hold_up_no_table() {
    let place = Place::new("manners");
    let (discovery, plan) = deployment();
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
    let rules =
        "  queue_kb = 16\n  write_timeout = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"400ms\"\n";
    let mut own = format!("{ON}{}", graphite("well", &[&well], rules));
    for (at, carbon) in bad.iter().chain([&refusing]).enumerate() {
        own.push_str(&graphite(&format!("bad-{at}"), &[carbon], rules));
    }
    own.push_str(&format!("graphite \"nowhere\" {{\n  addresses = [\"name.invalid:2003\"]\n{rules}}}\n"));
    own.push_str("collectd \"dead\" {\n  address = \"127.0.0.1:9\"\n}\n");
    let mut plan = plan;
    plan.config["settings"]["family_info"]["proxy_count"] = json!(400);
    plan.config["settings"]["family_info"]["egress_per_s"] = json!(1e6);
    plan.config["settings"]["family_info"]["pending_max"] = json!(1e6);
    plan.config["limits"] = json!({"memory_mb": 64, "sockets": 1024});
    let director = start(&plan, &place, &own);
    let mut proxies = joined(&director, 400);
    until("the frozen one is cut off, and not only once", || {
        well.series("wingfold.n0.sink.cuts.bad-0").values().sum::<f64>() >= 2.0
    });
    // Drains reach all proxies meanwhile as ever.
    for (host, state) in [("s-2", "leaving"), ("s-2", "active"), ("s-3", "leaving")] {
        let begun = Instant::now();
        discovery.set_host_state(host, state);
        for proxy in &mut proxies {
            let orders = proxy.receive_update();
            assert!(!orders.is_empty());
        }
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    }
    let sum = |name: &str| well.series(name).values().sum::<f64>();
    until("the slow one is cut off", || sum("wingfold.n0.sink.cuts.bad-1") >= 1.0);
    until("the refusing one loses whole intervals", || sum("wingfold.n0.sink.dropped.bad-4.full") >= 1.0);
    for waiting in well.samples().iter().filter(|sample| sample.path.contains(".sink.waiting.")) {
        assert!(waiting.value <= 16.0 * 1024.0, "{waiting:?}");
    }
    assert!(director.memory() < 40 * 1024, "{} KiB", director.memory());
    assert_eq!(director.figure("invariants_broken_total"), 0);
    assert_eq!(director.figure("intervals_dropped_total"), 0);
    // Well again, each gets whole intervals, and every line of them is one.
    bad.iter().for_each(|carbon| carbon.set_behaviour(ReceiverBehaviour::Normal));
    for carbon in &bad {
        let before = carbon.series("wingfold.n0.director.up").len();
        until("it is served again", || carbon.series("wingfold.n0.director.up").len() > before + 1);
    }
    let known = names(&well);
    let strange: Vec<String> = names(&bad[0]).difference(&known).cloned().collect();
    assert!(strange.is_empty(), "{strange:?}");
}

#[test]
fn a_reload_replaces_receivers_without_a_gap_or_a_doubled_interval() {
    let place = Place::new("reload");
    let (_discovery, plan) = deployment();
    let ip = unique_loopback_ip();
    let [stays, goes, comes] = [(); 3].map(|()| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal));
    let own = |second: &GraphiteReceiver| {
        format!("{ON}{}{}", graphite("stays", &[&stays], ""), graphite("second", &[second], ""))
    };
    let director = start(&plan, &place, &own(&goes));
    let up = "wingfold.n0.director.up";
    until("both are served", || stays.series(up).len() > 1 && goes.series(up).len() > 1);
    place.own(&own(&comes));
    director.signal("HUP");
    until("the new one is served", || comes.series(up).len() > 1);
    let times = |carbon: &GraphiteReceiver| {
        carbon
            .samples()
            .into_iter()
            .filter(|sample| sample.path == up)
            .map(|sample| sample.timestamp_s)
            .collect::<Vec<u64>>()
    };
    let last = *times(&comes).last().unwrap();
    until("so far for the one that stays too", || times(&stays).contains(&last));
    let upto = |carbon: &GraphiteReceiver| {
        times(carbon).into_iter().filter(|time| *time <= last).collect::<Vec<u64>>()
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
    director.signal("HUP");
    until("both faults are told", || {
        let log = director.log();
        log.contains("key `figures.enabled`") && log.contains("key `graphite[x].addresses`: is missing")
    });
    let before = times(&comes).len();
    until("the old ones go on", || times(&comes).len() > before);
    // More than was set aside at the start waits for a restart.
    place.own(&format!("{}{}", own(&comes), graphite("third", &[&goes], "")));
    director.signal("HUP");
    until("it is told", || director.log().contains("need more than was set aside"));
}

#[test]
fn names_are_dealt_among_receivers_and_only_a_lost_ones_move() {
    let place = Place::new("deal");
    let (_discovery, plan) = deployment();
    let ip = unique_loopback_ip();
    let all: Vec<GraphiteReceiver> =
        (0..3).map(|_| GraphiteReceiver::start(ip, ReceiverBehaviour::Normal)).collect();
    let rules =
        "  deal = \"hash\"\n  settle = \"1s\"\n  retry_first = \"100ms\"\n  retry_longest = \"300ms\"\n";
    let own = format!("{ON}{}", graphite("halls", &all.iter().collect::<Vec<_>>(), rules));
    let director = start(&plan, &place, &own);
    let _proxy = director.bound(0, "a");
    // Names of figures that every interval has: some are sent only when something happened.
    let steady = |carbon: &GraphiteReceiver, since: u64| {
        let is_steady = |sample: &Sample| sample.timestamp_s > since && !sample.path.contains(".sink.");
        let samples = carbon.samples().into_iter().filter(is_steady);
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
    let served = |carbon: &GraphiteReceiver| {
        carbon.samples().iter().map(|sample| sample.timestamp_s).max().unwrap_or(0)
    };
    until("each has its names", || all.iter().all(|carbon| names(carbon).len() > 5));
    let since = served(&all[0]) + 1;
    until("some intervals", || all.iter().all(|carbon| served(carbon) > since + 2));
    let before: Vec<BTreeSet<String>> = all.iter().map(|carbon| steady(carbon, since)).collect();
    assert!(before.iter().all(|names| names.len() > 5), "{before:?}");
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let both: Vec<&String> = before[one].intersection(&before[other]).collect();
        assert!(both.is_empty(), "a name goes to one of them: {both:?}");
    }
    all[1].stop();
    until("the lost one's names arrive elsewhere", || {
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
fn packets_of_collectd_hold_every_figure_and_are_signed() {
    let place = Place::new("collectd");
    let (_discovery, plan) = deployment();
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
    let director = start(&plan, &place, &own);
    let _proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    collector.send(&load("s-1", 9, 1));
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
    until("the tries arrive", || lists().iter().any(tries));
    let list = lists().into_iter().find(tries).unwrap();
    assert_eq!(
        (&*list.host, &*list.plugin, &*list.plugin_instance, &*list.type_name),
        ("n0", "wingfold", "a", "wingfold_count")
    );
    assert!(lists().iter().any(|list| list.type_name == "wingfold_spread" && list.values.len() == 5));
    drop(director);
    // Keys that others may read start nothing.
    modes(0o644);
    let refused = wingfold(&["own", "check", &place.own(&own).1]);
    let text = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(!refused.status.success() && text.contains("may be read by others (mode 644)"), "{text}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn loads_of_hosts_from_collectd_reach_the_module_and_wrong_senders_cost_a_count() {
    let place = Place::new("intake");
    let (_discovery, mut plan) = deployment();
    plan.config["settings"]["report"]["how"] = json!("silent");
    let listen = common::free_address(plan.listen.ip());
    let keys = place.0.join("keys");
    std::fs::write(&keys, "lines: a key of some length\n").unwrap();
    std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600)).unwrap();
    let own = format!(
        "{ON}capture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\ncollectd_in {{\n  enabled = true\n  listen = \"{listen}\"\n  \
         keys = \"{}\"\n  host \"db1\" {{\n    is = \"s-1\"\n    cores = 4\n  }}\n  host \"db9\" {{\n    is = \"s-9\"\n    cores = 4\n  }}\n}}\n",
        place.0.join("captures").display(),
        keys.display()
    );
    let mut director = start(&plan, &place, &own);
    let security = PacketSecurity::Encrypted(credentials("lines", "a key of some length"));
    let mut chance = rand_chacha::ChaCha8Rng::from_seed([7; 32]);
    use rand::SeedableRng;
    let mut packet = |host: &str, value: f64, security: &PacketSecurity| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let list = ValueList {
            host: host.into(),
            plugin: "load".into(),
            type_name: "load".into(),
            time: collectd::high_resolution(now.as_micros() as u64),
            interval: 10 << 30,
            values: vec![TypedValue::Gauge(value), TypedValue::Gauge(0.0), TypedValue::Gauge(0.0)],
            ..ValueList::default()
        };
        collectd::encode_packets(&[list], 1452, security, &mut chance).remove(0)
    };
    let first = packet("db1", 3.0, &security);
    receivers::send_datagram(listen, &first);
    until("it is taken", || director.figure("collectd_in_total") == 1);
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
        until(&name, || director.figure(&name) == 1);
    }
    // A machine that is mapped to a host which discovery never listed goes no further than the door.
    receivers::send_datagram(listen, &packet("db9", 1.0, &security));
    until("it is dropped by its name", || director.figure("messages_invalid_name_total") == 1);
    director.signal("TERM");
    director.end();
    let why =
        wingfold(&["why", &place.0.join("captures").display().to_string(), "--host", "s-1", "--zone", "a"]);
    let text = String::from_utf8_lossy(&why.stdout).into_owned();
    assert!(text.contains("its cores were 75 % busy"), "{text}");
}

#[test]
fn watch_and_list_show_a_directors_figures() {
    let place = Place::new("watch");
    let (_discovery, plan) = deployment();
    let director = start(&plan, &place, ON);
    let _proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    collector.send(&load("s-1", 9, 1));
    let address = plan.listen.to_string();
    let watch = || wingfold(&["figures", "watch", &address]);
    let shown = || String::from_utf8_lossy(&watch().stdout).into_owned();
    until("an interval has ended", || shown().contains("tables written p50"));
    let text = shown();
    for part in ["n0 at ", "zone", "collector", "heard", "lookup: ", "route in call "] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains('\u{1b}'), "plain when it is piped");
    drop(director);
    assert_eq!(watch().status.code(), Some(2), "nobody is there");
    let (_discovery, off) = deployment();
    let director = off.start();
    let output = wingfold(&["figures", "watch", &off.listen.to_string()]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("figures are switched off there"));
    assert!(director.page("/figures").starts_with("HTTP/1.1 404"));
    let list = wingfold(&["figures", "list"]);
    let list = String::from_utf8_lossy(&list.stdout).into_owned();
    assert!(list.lines().count() > 45 && list.contains("news.zone.state"), "{list}");
}

#[test]
fn with_too_few_descriptors_for_all_proxies_no_figures_are_sent() {
    let place = Place::new("few");
    let (_discovery, mut plan) = deployment();
    let carbon = GraphiteReceiver::start(unique_loopback_ip(), ReceiverBehaviour::Normal);
    // Enough for all that may join, and for nobody else: an eighth goes to probes, 24 are always open.
    plan.config["settings"]["family_info"]["proxy_count"] = json!(60);
    let named = 60 + 4 * plan.config["settings"]["dcs"].as_array().unwrap().len();
    let sockets = (named..).find(|sockets| sockets - sockets / 8 - 24 == named).unwrap();
    plan.config["limits"]["sockets"] = json!(sockets);
    let director = start(&plan, &place, &format!("{ON}{}", graphite("halls", &[&carbon], "")));
    until("it is told", || director.log().contains("too few for all that may join and for figures"));
    let mut proxy = director.bound(0, "a");
    assert!(proxy.ping());
    assert_eq!(carbon.connections.load(std::sync::atomic::Ordering::Relaxed), 0);
}

/// Times from a change of the list until each of 400 proxies has its order, in ms, over some changes.
fn deliveries(own: &str, place: &Path, changes: u32) -> Vec<f64> {
    let (discovery, mut plan) = deployment();
    plan.config["settings"]["family_info"]["proxy_count"] = json!(400);
    plan.config["settings"]["family_info"]["egress_per_s"] = json!(1e6);
    plan.config["settings"]["family_info"]["pending_max"] = json!(1e6);
    plan.config["limits"] = json!({"memory_mb": 192, "sockets": 1024});
    let path = place.join("own.hcl");
    std::fs::write(&path, own).unwrap();
    let director =
        plan.launch_with(&plan.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())]);
    let proxies = joined(&director, 400);
    // Each proxy reads on a thread of its own and notes when an order came that names s-2.
    let (to, from) = std::sync::mpsc::channel();
    for mut proxy in proxies {
        let to = to.clone();
        std::thread::spawn(move || {
            proxy.stream.set_read_timeout(None).unwrap();
            while let Some(message) = proxy.receive() {
                if message["lines"].as_array().is_some_and(|lines| lines.iter().any(|line| line[0] == "s-2"))
                {
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
        discovery.set_host_state("s-2", if change % 2 == 0 { "leaving" } else { "active" });
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
#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn measure_table_deliveries() {
    let place = Place::new("measure");
    let mut ratios: BTreeMap<&str, Vec<[f64; 3]>> = BTreeMap::new();
    for round in 0..5 {
        let ip = unique_loopback_ip();
        let frozen = [
            GraphiteReceiver::start(ip, ReceiverBehaviour::Frozen),
            GraphiteReceiver::start(ip, ReceiverBehaviour::Slow),
        ];
        let well = [
            GraphiteReceiver::start(ip, ReceiverBehaviour::Normal),
            GraphiteReceiver::start(ip, ReceiverBehaviour::Normal),
        ];
        let dead = [
            GraphiteReceiver::start(ip, ReceiverBehaviour::Normal),
            GraphiteReceiver::start(ip, ReceiverBehaviour::Normal),
        ];
        dead.iter().for_each(GraphiteReceiver::stop);
        let with = |some: &[GraphiteReceiver; 2]| {
            format!("{ON}{}{}", graphite("one", &[&some[0]], ""), graphite("two", &[&some[1]], ""))
        };
        let mut kinds = [
            ("none", String::new()),
            ("healthy", with(&well)),
            ("frozen and slow", with(&frozen)),
            ("dead", with(&dead)),
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
}
