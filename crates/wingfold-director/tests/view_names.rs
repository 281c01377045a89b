//! Commands print views as JSON: the JSON names of their fields and statuses must not change.
mod common;
use common::*;
use serde::Serialize;
use serde_json::{json, Value};
use wingfold_director::inspect::{HostCounts, HostStatus};
use wingfold_director::interface::*;

/// The JSON names of a view's fields, in their order.
fn field_names(view: &impl Serialize) -> Vec<String> {
    let text = serde_json::to_string(view).unwrap();
    let Value::Object(fields) = serde_json::from_str(&text).unwrap() else {
        panic!("the view is not a JSON object: {text}")
    };
    let mut names: Vec<String> = fields.keys().cloned().collect();
    names.sort_by_key(|name| text.find(&format!("\"{name}\":")));
    names
}

#[test]
fn json_field_names_of_views_do_not_change() {
    let mut harness = Harness::with_proxies(settings(), 4);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let director = &harness.director;
    let host_view = director.host_view(&zone("east"), &host("h1")).unwrap();
    assert_eq!(
        field_names(&host_view).join(" "),
        "host zone home kind readiness doubted listed standing score lead latency_ms loss confirmed \
         lost_in_row useless_in_row missed busy started warmth cold near weights"
    );
    assert_eq!(
        field_names(&director.zone_views()[0]).join(" "),
        "zone usual_loss lead moved_at proxies levels"
    );
    assert_eq!(field_names(&director.table_views()[0]).join(" "), "table zone classes lines levels proxies");
    assert_eq!(
        field_names(&director.fleet_view()).join(" "),
        "now loss latency_ms load admitted queued hosts proxies"
    );
    assert_eq!(
        field_names(&HostCounts::default()).join(" "),
        "leading halved quartered out trial cold draining"
    );
}

#[test]
fn json_names_of_host_statuses_do_not_change() {
    let statuses = [
        HostStatus::Leading,
        HostStatus::WeightHalved(2),
        HostStatus::Ejected(Timestamp(5)),
        HostStatus::Probation(Timestamp(6)),
        HostStatus::NotReady,
    ];
    let expected = json!(["leading", {"halved": 2}, {"out": 5}, {"trial": 6}, "leaving"]);
    assert_eq!(serde_json::to_value(statuses).unwrap(), expected);
}
