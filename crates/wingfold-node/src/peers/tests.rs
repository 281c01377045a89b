use super::*;
use crate::inbox::{self, InboundEvent};
use std::net::SocketAddr;

async fn peer_socket(each: &[SocketAddr], at: usize, metrics: &Arc<Metrics>) -> PeerSocket {
    // The second one stands for the address that reaches all.
    let peers = PeerAddresses { listen: each[at], by_index: each.to_vec(), broadcast: each[1] };
    PeerSocket::new(UdpSocket::bind(peers.listen).await.unwrap(), peers, metrics.clone())
}

#[tokio::test]
async fn messages_go_to_one_director_or_to_all_and_name_their_sender() {
    let free = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let (one, two) = (free(), free());
    let each = [one.local_addr().unwrap(), two.local_addr().unwrap()];
    drop((one, two));
    let metrics = Arc::new(Metrics::default());
    let (first, second) = (peer_socket(&each, 0, &metrics).await, peer_socket(&each, 1, &metrics).await);
    let (inbox, mut receiver) = inbox::channel(1, metrics.clone());
    first.socket.writable().await.unwrap();
    first.send(Some(1), b"to you");
    first.send(None, b"to all");
    first.send(Some(9), b"to nobody");
    let mut events = Vec::new();
    tokio::select! {
        () = second.receive(inbox) => unreachable!("it receives for good"),
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
