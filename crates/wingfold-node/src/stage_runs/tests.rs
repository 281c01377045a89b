use super::*;
use tracing_subscriber::prelude::*;

#[test]
fn slowest_and_latest_failed_runs_are_kept_within_bounds() {
    let stage_runs = StageRuns::default();
    let layer = stage_runs.clone().with_filter(tracing_subscriber::filter::filter_fn(is_stage));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || {
        for call in 0..100u64 {
            let span = crate::stage!("route", call = call, failed = tracing::field::Empty);
            let _entered = span.enter();
            if call % 10 == 3 {
                span.record("failed", tracing::field::display("no room"));
            }
            if call == 50 {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        tracing::debug_span!("other").in_scope(|| ());
    });
    let list = stage_runs.list();
    let (failed, slow): (Vec<_>, Vec<_>) = list.iter().partition(|run| run.failed.is_some());
    assert_eq!((failed.len(), slow.len()), (MAX_RUNS_PER_LIST, MAX_RUNS_PER_LIST));
    assert_eq!((slow[0].call, slow[0].stage), (Some(50), "route"));
    assert!(slow[0].took_us >= 20_000 && slow.windows(2).all(|pair| pair[0].took_us >= pair[1].took_us));
    assert_eq!((failed[0].call, failed[0].failed.as_deref()), (Some(93), Some("no room")), "newest first");
}
