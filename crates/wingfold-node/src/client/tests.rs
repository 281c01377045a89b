//! Fairness between one client and other tasks.

use crate::accept::tests::{admission, connection_pair};
use crate::client::MESSAGES_BETWEEN_YIELDS;
use crate::frame::LENGTH_BYTES;
use crate::inbox::InboundEvent;
use crate::incoming::MessageReader;
use crate::message::ProxyHello;
use crate::stream;
use crate::turn_budget::SlicedReader;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use wingfold_test_support::Client;

#[tokio::test]
async fn client_that_sends_continuously_yields_to_other_tasks() {
    let (admission, mut receiver) = admission(16);
    let (mut client, mut accepted, _) = connection_pair().await;
    let acknowledgement = Client::encode_frame(&json!({"type": "ACK", "id": 3, "seq": 9, "ms": 1.0}));
    let sent = 20 * MESSAGES_BETWEEN_YIELDS;
    let messages = acknowledgement.repeat(sent);
    let writer = std::thread::spawn(move || client.write_all(&messages).map(|()| client));
    let mut first_bytes = [0; LENGTH_BYTES];
    accepted.read_exact(&mut first_bytes).await.unwrap();
    let (read_half, write_half) = accepted.into_split();
    let account = admission.client_budget.open_account(None);
    let mut read_half = SlicedReader::new(read_half, account.clone());
    read_half.identify(account);
    let bounds = &admission.bounds;
    let reader = MessageReader::new(first_bytes, read_half, bounds.idle_timeout, admission.metrics.clone());
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
    // This task acts as the engine. Between two of its polls the client's task is polled once, so each batch
    // holds the messages that the client's task read before it yielded.
    let mut received = 0;
    let mut largest_batch = 0;
    while received < sent {
        let mut events = Vec::new();
        assert!(receiver.receive_all(&mut events).await);
        let acknowledgements = events.iter().filter(|event| matches!(event, InboundEvent::Required(_)));
        let acknowledgements = acknowledgements.count();
        received += acknowledgements;
        largest_batch = largest_batch.max(acknowledgements);
        assert!(!has_ended.load(Ordering::Relaxed), "the connection stays open");
    }
    let _client = writer.join().unwrap().unwrap();
    assert!(largest_batch <= MESSAGES_BETWEEN_YIELDS, "{largest_batch} messages without a yield");
}
