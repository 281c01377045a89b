use super::*;

#[tokio::test]
async fn reports_are_bounded_and_nothing_else_is_lost() {
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
    assert_eq!(events.len(), 1, "room again once received");
}
