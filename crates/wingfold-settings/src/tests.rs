//! Load fields, and paths in errors.

use super::*;
use serde::Deserialize;
use wingfold_director::interface as api;

#[test]
fn a_load_report_is_read_by_the_settings_words_and_by_the_plain_ones() {
    for words in
        [["busy_reqs", "pending", "cpu_share", "svc_ms"], ["inflight", "queue", "util", "latency_ms"]]
    {
        let mut load = api::HostLoad::default();
        for (word, value) in words.iter().zip(1..) {
            assert!(set_load_field(&mut load, word, Some(f64::from(value))));
        }
        assert!(!set_load_field(&mut load, "served_ps", Some(9.0)));
        let whole = api::HostLoad {
            in_flight: Some(1.0),
            queued: Some(2.0),
            utilization: Some(3.0),
            service_ms: Some(4.0),
        };
        assert_eq!(load, whole);
    }
}

#[test]
fn an_error_names_the_path_of_the_key() {
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    struct Outer {
        inner: Vec<Transported>,
    }
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    struct Transported {
        peers: bool,
    }
    let wrong = parse_json::<Outer>(r#"{"inner":[{"peers":true},{"peers":3}]}"#).unwrap_err();
    assert_eq!(wrong.path, "inner[1].peers");
    assert!(parse_json::<Outer>(r#"{"inner":[]} x"#).is_err(), "what follows the object is no part of it");
}
