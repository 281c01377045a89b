use super::*;

#[test]
fn figures_page_has_its_outer_field_names() {
    let page = IntervalPage {
        director: "n0".into(),
        ended_at_s: 1_700_000_000.5,
        length_s: 10.0,
        samples: vec![PageSample("latency".into(), vec!["a".into()], vec![3.0, 1.5, 2.0, 2.5, 4.0])],
        stage_runs: vec![StageRun {
            stage: "route",
            call: Some(7),
            took_us: 1200,
            ended_at_s: 1_700_000_000.25,
            failed: Some("Turn".into()),
        }],
    };
    let json = concat!(
        r#"{"director":"n0","at":1700000000.5,"length":10.0,"#,
        r#""figures":[["latency",["a"],[3.0,1.5,2.0,2.5,4.0]]],"#,
        r#""causes":[{"stage":"route","call":7,"took_us":1200,"at":1700000000.25,"failed":"Turn"}]}"#,
    );
    assert_eq!(serde_json::to_string(&page).unwrap(), json);
}
