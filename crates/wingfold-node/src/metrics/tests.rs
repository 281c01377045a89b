use super::*;

#[test]
fn exported_text_has_type_and_value_of_metrics() {
    let metrics = Metrics::default();
    metrics.list_calls_total.add(3);
    metrics.channel_lines_most.raise_to(7);
    metrics.channel_lines_most.raise_to(5);
    let text = metrics.text();
    assert!(text.contains("# TYPE wingfold_list_calls_total counter\nwingfold_list_calls_total 3\n"));
    assert!(text.contains("# TYPE wingfold_channel_lines_most gauge\nwingfold_channel_lines_most 7\n"));
}

#[test]
#[cfg_attr(debug_assertions, should_panic(expected = "two is 3"))]
fn broken_invariant_panics_in_debug_and_is_counted_in_release() {
    let metrics = Metrics::default();
    invariant!(metrics, 1 + 1 == 2, "never shown");
    assert_eq!(metrics.invariants_broken_total.get(), 0);
    invariant!(metrics, 2 == 3, "two is {}", 3);
    assert_eq!(metrics.invariants_broken_total.get(), 1);
}
