//! Identification of clients while connections are evicted, over real sockets.

use super::*;
use crate::inbox::{self, InboundEvent, InboundReceiver};
use crate::{metrics::Metrics, ops, Config, Precedence};
use serde_json::json;
use std::io::Write;
use tokio::io::AsyncWriteExt;
use wingfold_test_support as support;

/// Creates an admission with the given number of connections, and the receiver of its events.
pub(crate) fn admission(max_connections: usize) -> (Arc<Admission>, InboundReceiver) {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let text = support::director_config(nowhere, nowhere, json!(null)).to_string();
    let mut config = Config::read(&text, Precedence::File, |_| None).unwrap();
    config.bounds.max_connections = max_connections;
    let metrics = Arc::new(Metrics::default());
    let (inbox, receiver) = inbox::channel(100_000, metrics.clone());
    let router = ops::router(metrics.clone(), None, None);
    (Arc::new(Admission::new(&config, inbox, metrics, router, None, Default::default())), receiver)
}

/// Opens a connection; returns the client's end, the director's end and the client's address.
pub(crate) async fn connection_pair() -> (std::net::TcpStream, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, address) = listener.accept().await.unwrap();
    (client, accepted, address)
}

#[tokio::test]
async fn proxy_with_complete_hello_is_not_evicted() {
    let (admission, mut receiver) = admission(16);
    let mut clients = Vec::new();
    for id in 0..8 {
        let (mut client, accepted, address) = connection_pair().await;
        let (slot, unidentified) = admission.admit().unwrap();
        // The eviction is requested after the hello has arrived and before the director reads it. Repeated
        // for eight connections, because a `select!` that is not biased would pick either branch at random.
        let hello = json!({"type": "SUBSCRIBE", "id": id, "site": "a", "rps": 1.0, "new": true});
        client.write_all(&support::Client::encode_frame(&hello)).unwrap();
        assert!(admission.evict_unidentified());
        tokio::spawn(handle_connection(accepted, address, slot, unidentified, admission.clone()));
        clients.push(client);
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
        assert_eq!(admission.metrics.connections_open.get(), 8, "no connection is evicted");
    }
}

#[tokio::test]
async fn connection_with_incomplete_hello_is_evicted() {
    let (admission, _receiver) = admission(16);
    let (mut client, accepted, address) = connection_pair().await;
    let (slot, unidentified) = admission.admit().unwrap();
    client.write_all(&[0, 0, 0, 60, b'{']).unwrap();
    assert!(admission.evict_unidentified());
    handle_connection(accepted, address, slot, unidentified, admission.clone()).await;
    assert_eq!(admission.metrics.connections_open.get(), 0);
}

/// Sends an HTTP request and returns the first bytes of the response.
async fn request_health(client: &mut TcpStream) -> [u8; 8] {
    client.write_all(b"GET /healthz HTTP/1.1\r\nhost: d\r\n\r\n").await.unwrap();
    let mut response = [0; 4 << 10];
    let length = client.read(&mut response).await.unwrap();
    assert!(length >= 8, "the connection was closed");
    *response.first_chunk().unwrap()
}

/// Guards against a fault of the limit on work: an operator whose request waited for its turn was evicted like
/// a connection that has sent nothing.
#[tokio::test]
async fn http_client_is_evicted_after_connections_that_have_sent_nothing() {
    let (admission, _receiver) = admission(16);
    let (client, accepted, address) = connection_pair().await;
    client.set_nonblocking(true).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let (slot, unidentified) = admission.admit().unwrap();
    tokio::spawn(handle_connection(accepted, address, slot, unidentified, admission.clone()));
    assert_eq!(&request_health(&mut client).await, b"HTTP/1.1");
    let (_silent_slot, silent) = admission.admit().unwrap();
    assert!(admission.evict_unidentified());
    let evicted = timeout_at(Instant::now() + Duration::from_secs(5), silent.evicted()).await;
    evicted.expect("the HTTP client was evicted before the silent connection");
    assert_eq!(&request_health(&mut client).await, b"HTTP/1.1");
}

#[test]
fn only_resource_errors_of_accept_evict_connections() {
    use io::ErrorKind::*;
    for kind in [ConnectionAborted, ConnectionReset, ConnectionRefused, HostUnreachable, NetworkUnreachable] {
        assert!(concerns_one_connection(&kind.into()), "{kind:?}");
    }
    // ENFILE, EMFILE, ENOMEM and ENOBUFS affect all connections, so unidentified ones are evicted.
    for code in [23, 24, 12, 105] {
        assert!(!concerns_one_connection(&io::Error::from_raw_os_error(code)), "{code}");
    }
}
