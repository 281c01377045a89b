//! How many messages of one client are read in a turn.

use crate::accept::tests::{admission, pair};
use crate::client::MESSAGES_BETWEEN_YIELDS;
use crate::frame::LENGTH_BYTES;
use crate::inbox::InboundEvent;
use crate::incoming::MessageReader;
use crate::message::ProxyHello;
use crate::stream;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use wingfold_test_support::Client;

#[tokio::test]
async fn a_client_that_sends_without_a_pause_gets_one_turn_after_another() {
    let (admission, mut receiver) = admission(16, 16);
    let (mut far, mut near, _) = pair().await;
    let acknowledgement = Client::encode_frame(&json!({"type": "ACK", "id": 3, "seq": 9, "ms": 1.0}));
    let sent = 20 * MESSAGES_BETWEEN_YIELDS;
    let flood = acknowledgement.repeat(sent);
    let writer = std::thread::spawn(move || far.write_all(&flood).map(|()| far));
    let mut first_bytes = [0; LENGTH_BYTES];
    near.read_exact(&mut first_bytes).await.unwrap();
    let (read_half, write_half) = near.into_split();
    let bounds = &admission.bounds;
    let reader = MessageReader::new(
        first_bytes,
        read_half,
        admission.budget.clone(),
        bounds.idle_timeout,
        admission.metrics.clone(),
    );
    let hello = ProxyHello { proxy: 3, zone: "a".into(), requests_per_s: 1.0 };
    let has_ended = Arc::new(AtomicBool::new(false));
    let served = {
        let admission = admission.clone();
        let has_ended = has_ended.clone();
        async move {
            stream::serve(hello, reader, write_half, 0, admission).await;
            has_ended.store(true, Ordering::Relaxed);
        }
    };
    tokio::spawn(served);
    // This task stands for the engine: between two of its turns the client has had one.
    let mut received = 0;
    let mut most_in_turn = 0;
    while received < sent {
        let mut events = Vec::new();
        assert!(receiver.receive_all(&mut events).await);
        let acknowledgements = events.iter().filter(|event| matches!(event, InboundEvent::Required(_)));
        let acknowledgements = acknowledgements.count();
        received += acknowledgements;
        most_in_turn = most_in_turn.max(acknowledgements);
        assert!(!has_ended.load(Ordering::Relaxed), "it is slowed down, not ended");
    }
    let _far = writer.join().unwrap().unwrap();
    assert!(most_in_turn <= MESSAGES_BETWEEN_YIELDS, "{most_in_turn} in a turn");
}
