//! Names of load fields, and key paths in JSON errors.

use super::*;
use serde::Deserialize;
use wingfold_director::interface as api;

#[test]
fn load_fields_are_set_by_platform_names_and_by_message_names() {
    for names in
        [["busy_reqs", "pending", "cpu_share", "svc_ms"], ["inflight", "queue", "util", "latency_ms"]]
    {
        let mut load = api::HostLoad::default();
        for (name, value) in names.iter().zip(1..) {
            assert!(set_load_field(&mut load, name, Some(f64::from(value))));
        }
        assert!(!set_load_field(&mut load, "served_ps", Some(9.0)));
        let expected = api::HostLoad {
            in_flight: Some(1.0),
            queued: Some(2.0),
            utilization: Some(3.0),
            service_ms: Some(4.0),
        };
        assert_eq!(load, expected);
    }
}

#[test]
fn json_error_gives_the_path_of_the_key() {
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    struct Outer {
        inner: Vec<Inner>,
    }
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    struct Inner {
        peers: bool,
    }
    let error = parse_json::<Outer>(r#"{"inner":[{"peers":true},{"peers":3}]}"#).unwrap_err();
    assert_eq!(error.path, "inner[1].peers");
    assert!(parse_json::<Outer>(r#"{"inner":[]} x"#).is_err(), "text after the object is invalid");
}
