use super::*;
use crate::inbox::{self, InboundEvent};
use std::net::SocketAddr;

async fn post(each: &[SocketAddr], at: usize, metrics: &Arc<Metrics>) -> Post {
    // The second one stands for the address that reaches all.
    let peers = Peers { listen: each[at], each: each.to_vec(), all: each[1] };
    Post::new(UdpSocket::bind(peers.listen).await.unwrap(), peers, metrics.clone())
}

#[tokio::test]
async fn words_go_to_one_director_or_to_all_and_name_their_sender() {
    let free = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let (one, two) = (free(), free());
    let each = [one.local_addr().unwrap(), two.local_addr().unwrap()];
    drop((one, two));
    let metrics = Arc::new(Metrics::default());
    let (first, second) = (post(&each, 0, &metrics).await, post(&each, 1, &metrics).await);
    let (inbox, mut receiver) = inbox::channel(1, metrics.clone());
    first.socket.writable().await.unwrap();
    first.send(Some(1), b"to you");
    first.send(None, b"to all");
    first.send(Some(9), b"to nobody");
    let mut news = Vec::new();
    tokio::select! {
        () = second.receive(inbox) => unreachable!("it receives for good"),
        () = async { while news.len() < 2 { assert!(receiver.receive_all(&mut news).await) } } => {}
        () = tokio::time::sleep(std::time::Duration::from_secs(20)) => panic!("not received: {news:?}"),
    }
    let words = news.iter().map(|news| match news {
        InboundEvent::Required(Event::PeerMessage { from, message: bytes }) => (*from, bytes.as_slice()),
        other => panic!("{other:?}"),
    });
    assert_eq!(words.collect::<Vec<_>>(), [(0, &b"to you"[..]), (0, b"to all")]);
    assert_eq!(metrics.datagrams_out_total.get(), 2);
}
