use super::*;
use std::sync::mpsc;
use std::time::Duration;

#[tokio::test]
async fn a_look_up_that_hangs_holds_up_nothing_and_is_not_asked_again_meanwhile() {
    let resolver = Resolver::default();
    let (free, wait) = mpsc::channel::<()>();
    let hangs = move |_: String| {
        let _ = wait.recv();
        Ok(Some(SocketAddr::from(([127, 0, 0, 1], 9))))
    };
    let first = resolver.resolve_with("graphite.example:2003", hangs);
    let first = tokio::time::timeout(Duration::from_millis(50), first).await;
    assert!(first.is_err(), "the core gives the connection up after its own time");
    for _ in 0..100 {
        let never = |_: String| -> io::Result<Option<SocketAddr>> { panic!("a second look-up") };
        let again = resolver.resolve_with("graphite.example:2003", never).await.unwrap_err();
        assert!(again.to_string().contains("has not ended"), "{again}");
    }
    // An address needs none.
    assert!(resolver.resolve("127.0.0.1:9").await.is_ok());
    free.send(()).unwrap();
    while resolver.is_looking_up.load(Ordering::Relaxed) {
        tokio::task::yield_now().await;
    }
    let back = resolver.resolve_with("graphite.example:2003", |_| Ok(None)).await.unwrap_err();
    assert!(back.to_string().contains("no address"), "{back}");
}
