use super::*;
use std::sync::mpsc;
use std::time::Duration;

#[tokio::test]
async fn no_second_lookup_starts_while_one_hangs() {
    let resolver = Resolver::default();
    let (release, released) = mpsc::channel::<()>();
    let hangs = move |_: String| {
        let _ = released.recv();
        Ok(Some(SocketAddr::from(([127, 0, 0, 1], 9))))
    };
    let first = resolver.resolve_with("graphite.example:2003", hangs);
    let first = tokio::time::timeout(Duration::from_millis(50), first).await;
    assert!(first.is_err(), "the lookup hangs until the caller's timeout");
    for _ in 0..100 {
        let must_not_run = |_: String| -> io::Result<Option<SocketAddr>> { panic!("a second lookup") };
        let again = resolver.resolve_with("graphite.example:2003", must_not_run).await.unwrap_err();
        assert!(again.to_string().contains("has not ended"), "{again}");
    }
    // An IP address needs no lookup.
    assert!(resolver.resolve("127.0.0.1:9").await.is_ok());
    release.send(()).unwrap();
    while resolver.is_looking_up.load(Ordering::Relaxed) {
        tokio::task::yield_now().await;
    }
    let failed = resolver.resolve_with("graphite.example:2003", |_| Ok(None)).await.unwrap_err();
    assert!(failed.to_string().contains("no address"), "{failed}");
}
