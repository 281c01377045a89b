//! Identification that races with eviction, over real sockets.

use super::*;
use crate::inbox::{self, InboundEvent, InboundReceiver};
use crate::{metrics::Metrics, ops, Config, Precedence};
use serde_json::json;
use std::io::Write;
use wingfold_test_support as support;

/// An admission with so many slots, and the receiver of its events.
pub(crate) fn admission(connections: usize, unidentified: usize) -> (Arc<Admission>, InboundReceiver) {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let text = support::director_config(nowhere, nowhere, json!(null)).to_string();
    let mut config = Config::read(&text, Precedence::File, |_| None).unwrap();
    (config.bounds.max_connections, config.bounds.max_unidentified) = (connections, unidentified);
    let metrics = Arc::new(Metrics::default());
    let (inbox, receiver) = inbox::channel(100_000, metrics.clone());
    let router = ops::router(metrics.clone(), None, None);
    (Arc::new(Admission::new(&config, inbox, metrics, router, None, Default::default())), receiver)
}

/// Both ends of a connection: the client's, and the director's.
pub(crate) async fn pair() -> (std::net::TcpStream, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (near, address) = listener.accept().await.unwrap();
    (far, near, address)
}

#[tokio::test]
async fn proxies_whose_first_messages_are_complete_are_never_evicted() {
    let (admission, mut receiver) = admission(16, 16);
    let mut clients = Vec::new();
    for id in 0..8 {
        let (mut far, near, address) = pair().await;
        let (slot, unidentified) = admission.admit().unwrap();
        // The slot is needed for another connection before the first message, which is ready, was read: eight times,
        // since an unfair choice between the two would go either way.
        let hello = json!({"type": "SUBSCRIBE", "id": id, "site": "a", "rps": 1.0, "new": true});
        far.write_all(&support::Client::encode_frame(&hello)).unwrap();
        assert!(admission.evict_unidentified());
        tokio::spawn(handle_connection(near, address, slot, unidentified, admission.clone()));
        clients.push(far);
    }
    let mut connected = std::collections::BTreeSet::new();
    while connected.len() < 8 {
        let mut events = Vec::new();
        assert!(receiver.receive_all(&mut events).await);
        for event in events {
            match event {
                InboundEvent::ProxyConnected { proxy, .. } => assert!(connected.insert(proxy)),
                other => panic!("evicted: {other:?}"),
            }
        }
        assert_eq!(admission.metrics.connections_open.get(), 8, "none is evicted");
    }
}

#[tokio::test]
async fn a_connection_half_way_through_its_first_message_is_evicted() {
    let (admission, _receiver) = admission(16, 16);
    let (mut far, near, address) = pair().await;
    let (slot, unidentified) = admission.admit().unwrap();
    far.write_all(&[0, 0, 0, 60, b'{']).unwrap();
    assert!(admission.evict_unidentified());
    handle_connection(near, address, slot, unidentified, admission.clone()).await;
    assert_eq!(admission.metrics.connections_open.get(), 0);
}

#[test]
fn a_connection_that_broke_before_it_was_taken_evicts_nobody() {
    use io::ErrorKind::*;
    for kind in [ConnectionAborted, ConnectionReset, ConnectionRefused, HostUnreachable, NetworkUnreachable] {
        assert!(concerns_one_connection(&kind.into()), "{kind:?}");
    }
    // No descriptors or no memory concerns every connection, so unidentified ones are evicted.
    for code in [23, 24, 12, 105] {
        assert!(!concerns_one_connection(&io::Error::from_raw_os_error(code)), "{code}");
    }
}
