use super::*;
use crate::inbox::{self, InboundEvent};
use std::net::SocketAddr;

async fn peer_socket(each: &[SocketAddr], number: usize, metrics: &Arc<Metrics>) -> PeerSocket {
    // The address of the second director serves as the address of all directors.
    let peers = PeerAddresses { listen: each[number], by_index: each.to_vec(), broadcast: each[1] };
    PeerSocket::new(UdpSocket::bind(peers.listen).await.unwrap(), peers, metrics.clone())
}

#[tokio::test]
async fn messages_reach_one_or_all_directors_with_the_sender_number() {
    let bind_free_port = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let (first, second) = (bind_free_port(), bind_free_port());
    let each = [first.local_addr().unwrap(), second.local_addr().unwrap()];
    drop((first, second));
    let metrics = Arc::new(Metrics::default());
    let (first, second) = (peer_socket(&each, 0, &metrics).await, peer_socket(&each, 1, &metrics).await);
    let (inbox, mut receiver) = inbox::channel(1, metrics.clone());
    first.socket.writable().await.unwrap();
    first.send(Some(1), b"to you");
    first.send(None, b"to all");
    first.send(Some(9), b"to nobody");
    let mut events = Vec::new();
    tokio::select! {
        () = second.receive(inbox) => unreachable!("receiving never ends"),
        () = async { while events.len() < 2 { assert!(receiver.receive_all(&mut events).await) } } => {}
        () = tokio::time::sleep(std::time::Duration::from_secs(20)) => panic!("not received: {events:?}"),
    }
    let messages = events.iter().map(|event| match event {
        InboundEvent::Required(Event::PeerMessage { from, message: bytes }) => (*from, bytes.as_slice()),
        other => panic!("{other:?}"),
    });
    assert_eq!(messages.collect::<Vec<_>>(), [(0, &b"to you"[..]), (0, b"to all")]);
    assert_eq!(metrics.datagrams_out_total.get(), 2);
}
