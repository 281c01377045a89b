//! Local settings: defaults, diagnostics, and changes that need a restart.

use super::*;
use wingfold_metrics::collectd::{Credentials, MappedHost, PacketSecurity};
use wingfold_metrics::SinkLimits;

#[test]
fn empty_file_and_disabled_capture_give_defaults() {
    assert_eq!(LocalSettings::parse("f", "").unwrap(), LocalSettings::default());
    let off = LocalSettings::parse("f", "capture {\n enabled = false\n directory = \"/d\"\n}\n").unwrap();
    assert_eq!((off.capture, off.log), (None, LogSettings::default()));
}

#[test]
fn example_file_gives_defaults_and_its_keys_are_known() {
    let text = include_str!("../../../../deploy/wingfold.hcl");
    let types = include_str!("../../../../deploy/wingfold.types.db");
    assert_eq!(types, wingfold_metrics::collectd::TYPES_DB);
    assert_eq!(LocalSettings::parse("deploy/wingfold.hcl", text).unwrap(), LocalSettings::default());
    // Uncomments all keys and blocks, and enables every block: each key must be known.
    let uncomment = |line: &str| {
        let is_block_line = |text: &str| text.starts_with("  ") || text == "}" || text.ends_with('{');
        let key = line.strip_prefix("  # ").filter(|key| key.contains(" = ")).map(|key| format!("  {key}"));
        let key = key.or(line.strip_prefix("# ").filter(|text| is_block_line(text)).map(str::to_string));
        key.unwrap_or(line.to_string()) + "\n"
    };
    let text: String = text.lines().map(uncomment).collect();
    let text = text.replace("enabled = false", "enabled = true").replace("  memory_mb", "  # memory_mb");
    let text = text.replace("security = \"none\"", "security = \"sign\"");
    let settings = LocalSettings::parse_with_secret_reader("on", &text, |_| {
        Ok::<_, SecretError>("wingfold: a key".into())
    })
    .unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
    let metrics = settings.metrics.as_ref().unwrap();
    assert_eq!((metrics.sinks.graphite.len(), metrics.sinks.collectd.len()), (1, 1));
    assert_eq!(metrics.sinks.graphite[0].limits, SinkLimits::default(), "the example shows the defaults");
    assert!(metrics.load_receiver.is_some());
    let capture = settings.capture.unwrap();
    assert_eq!(capture.target, CaptureTarget::Directory("/var/lib/wingfold/capture".into()));
    assert_eq!((capture.max_segments, capture.max_bytes, capture.queue_bytes), (144, 1 << 30, 4 << 20));
}

#[test]
fn all_invalid_keys_are_reported_with_their_positions() {
    let text = "log {\n  form = \"xml\"\n  levle = \"info\"\n}\n\
                capture {\n  enabled = 1\n  keep = 1\n  flush = \"2h\"\n  segment_mb = 3.5\n}\n\
                captrue {\n  x = 1\n}\n";
    let diagnostics = LocalSettings::parse("w.hcl", text).unwrap_err().to_string();
    let expected = [
        "w.hcl:2:3: key `log.form`: one of \"text\", \"json\" is expected, `\"xml\"` was found",
        "w.hcl:3:3: key `log.levle`: is not known; did you mean `level`?",
        "w.hcl:6:3: key `capture.enabled`: true or false is expected, `1` was found",
        "w.hcl:7:3: key `capture.keep`: a whole number from 2 to 100000 is expected, `1` was found",
        "w.hcl:8:3: key `capture.flush`: a duration from \"50ms\" to \"1m\", such as \"250ms\", \"10s\" or \
         \"5m\" is expected, `\"2h\"` was found",
        "w.hcl:9:3: key `capture.segment_mb`: a whole number from 1 to 256 is expected, `3.5` was found",
        "w.hcl:11:1: key `captrue`: is not known; did you mean `capture`?",
    ];
    assert_eq!(diagnostics.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn contradictory_keys_are_reported() {
    let diagnostics_of =
        |body: &str| LocalSettings::parse("f", &format!("capture {{\n{body}\n}}\n")).unwrap_err().to_string();
    assert!(diagnostics_of("enabled = true").contains("needs `directory`"));
    assert!(diagnostics_of("directory = \"/d\"\nmemory_mb = 8").contains("exclude each other"));
    assert!(diagnostics_of("dump_token = \"short\"\ndump_directory = \"/d\"")
        .contains("at least 16 are required"));
    assert!(diagnostics_of("dump_token = \"0123456789abcdef\"").contains("key `capture.dump_directory`"));
    assert!(diagnostics_of("keep = 5\nkeep = 6").starts_with("f:3:1: "), "a key that is set twice");
    let diagnostics_of_file = |text: &str| LocalSettings::parse("f", text).unwrap_err().to_string();
    assert!(
        diagnostics_of_file("capture {\n").starts_with("f:1:11: "),
        "unclosed block: {}",
        diagnostics_of_file("capture {\n")
    );
    assert_eq!(diagnostics_of_file("log {}\nlog {}\n"), "f:2:1: key `log`: is defined twice");
}

#[test]
fn sinks_and_load_receiver_are_read_and_counted_in_limits() {
    let text = "figures {\n  enabled = true\n  interval = \"5s\"\n}\n\
                graphite \"regions\" {\n  addresses = [\"10.0.0.9:2003\", \"g.example:2003\"]\n  \
                deal = \"hash\"\n  protocol = \"pickle\"\n  queue_kb = 512\n}\n\
                collectd \"all\" {\n  address = \"10.0.0.8:25826\"\n  security = \"encrypt\"\n  \
                user = \"alice\"\n  keys = \"k\"\n}\n\
                collectd_in {\n  enabled = true\n  listen = \"10.0.0.4:25826\"\n  keys = \"k\"\n  \
                host \"db1\" {\n    is = \"s-1\"\n    cores = 3\n  }\n}\n";
    let secret = |path: &str| if path == "k" { Ok("alice: a long key".to_string()) } else { Err("no") };
    let settings = LocalSettings::parse_with_secret_reader("f", text, secret).unwrap();
    let metrics = settings.metrics.clone().unwrap();
    assert_eq!(metrics.sinks.graphite[0].limits.write_timeout.0, 5_000_000, "the default is the interval");
    assert_eq!(
        metrics.sinks.collectd[0].security,
        PacketSecurity::Encrypted(Credentials { user: "alice".into(), key: "a long key".into() })
    );
    assert_eq!(
        metrics.load_receiver.as_ref().unwrap().hosts["db1"],
        MappedHost { host: "s-1".into(), cores: 3.0 }
    );
    assert_eq!((settings.reserved_memory_bytes(), settings.file_descriptors()), (2 << 20, 6));
    let other =
        LocalSettings::parse_with_secret_reader("f", &text.replace("10.0.0.8", "10.0.0.7"), secret).unwrap();
    assert_eq!(settings.changes_that_need_restart(&other), Vec::<&str>::new(), "a reload replaces sinks");
    let other =
        LocalSettings::parse_with_secret_reader("f", &text.replace("\"5s\"", "\"6s\""), secret).unwrap();
    assert_eq!(settings.changes_that_need_restart(&other), ["figures"]);
    let error_after = |from: &str, to: &str| {
        LocalSettings::parse_with_secret_reader("f", &text.replace(from, to), secret).unwrap_err().to_string()
    };
    assert!(error_after("g.example:2003", "g.example")
        .contains("`g.example` is not an address of the form host:port"));
    assert!(error_after("\"g.example:2003\"", "\"10.0.0.9:2003\"").contains("has the same address twice"));
    let unknown_user = error_after("user = \"alice\"", "user = \"nobody\"");
    assert!(unknown_user.contains("`k` has no key for user `nobody`"));
    assert!(error_after("keys = \"k\"", "keys = \"x\"").contains("key `collectd[all].keys`: no"));
    assert!(
        error_after("security = \"encrypt\"", "security = \"none\"").contains("packets would not be secured")
    );
    assert!(error_after("is = \"s-1\"", "").contains("key `collectd_in.host[db1].is`: is missing"));
    assert!(error_after("\"all\"", "\"regions\"").contains("two sinks have the name `regions`"));
    assert!(error_after("\"5s\"", "\"1500ms\"").contains("whole seconds"));
}

#[test]
fn key_file_accessible_by_other_users_is_rejected() {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("wingfold-keys-{}", std::process::id()));
    std::fs::write(&path, "u: a key\n").unwrap();
    let read_with_mode = |mode: u32| {
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        secret::read_secret_file(path.to_str().unwrap())
    };
    assert!(read_with_mode(0o644)
        .unwrap_err()
        .to_string()
        .contains("is accessible by other users (mode 644)"));
    assert!(read_with_mode(0o640).is_err());
    assert_eq!(read_with_mode(0o600).unwrap(), "u: a key\n");
    std::fs::remove_file(&path).unwrap();
    assert!(secret::read_secret_file(path.to_str().unwrap()).is_err());
}

#[test]
fn ring_buffer_counts_as_memory_and_holds_four_segments() {
    let settings =
        LocalSettings::parse("f", "capture {\n enabled = true\n memory_mb = 8\n queue_kb = 1024\n}\n")
            .unwrap();
    assert_eq!(settings.reserved_memory_bytes(), 9 << 20);
    assert_eq!(settings.capture.unwrap().segment_bytes, 2 << 20);
}
