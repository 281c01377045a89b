use super::*;
use crate::Precedence;
use serde_json::json;
use wingfold_director::interface::Event;
use wingfold_director::Director;

#[tokio::test]
async fn failed_invariants_dump_capture_at_most_once_per_interval() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let text = wingfold_test_support::director_config(nowhere, nowhere, json!(null)).to_string();
    let config = Config::read(&text, Precedence::File, |_| None).unwrap();
    let root = std::env::temp_dir().join(format!("wingfold-dump-{}", std::process::id()));
    let own = format!(
        "capture {{\n  enabled = true\n  memory_mb = 1\n  dump_directory = \"{}\"\n}}\n",
        root.display()
    );
    let capture = wingfold_settings::local::LocalSettings::parse("own", &own).unwrap().capture.unwrap();
    let metrics = Arc::new(Metrics::default());
    let Recording { mut recorder, dumper } = start(capture, &config, Timestamp(0), metrics.clone()).unwrap();
    assert!(!dumper.accepts_requests(), "no dumps over HTTP without a token");
    let mut director = Director::new(config.settings, config.seed);
    let mut actions = Vec::new();
    recorder.before_call(Timestamp(1), &director);
    director.handle(Timestamp(1), &[Event::TimerFired(0)], &mut actions);
    recorder.after_call(Timestamp(1), &[Event::TimerFired(0)], &actions, director.digest());
    dumper.dump_after_invariant();
    dumper.dump_after_invariant();
    let begun = Instant::now();
    while metrics.capture_dumps_total.get() == 0 {
        assert!(begun.elapsed() < Duration::from_secs(60), "the dump is not written");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(dumper.dump("again").is_none());
    let folders: Vec<_> = std::fs::read_dir(&root).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert_eq!(folders.len(), 1);
    let archive = wingfold_archive::Archive::open(&folders[0]).unwrap();
    assert_eq!(
        archive.segments[0].meta.last.number, 1,
        "the dump holds the call before the invariant failed"
    );
    std::fs::remove_dir_all(root).unwrap();
}
