use super::*;

#[tokio::test]
async fn reports_over_the_limit_are_dropped_and_other_events_kept() {
    let metrics = Arc::new(Metrics::default());
    let (sender, mut receiver) = channel(3, metrics.clone());
    for _ in 0..10 {
        sender.send(InboundEvent::Report(Event::Shard));
        sender.send(InboundEvent::Required(Event::EndpointListFailed));
    }
    let mut events = Vec::new();
    assert!(receiver.receive_all(&mut events).await);
    let reports = events.iter().filter(|event| event.is_report()).count();
    assert_eq!((reports, events.len()), (3, 13));
    assert_eq!(metrics.reports_dropped_total.get(), 7);
    sender.send(InboundEvent::Report(Event::Shard));
    events.clear();
    assert!(receiver.receive_all(&mut events).await);
    assert_eq!(events.len(), 1, "a received report makes room for another one");
}
