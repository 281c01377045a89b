use super::*;
use tokio::io::AsyncReadExt;

fn send(sender: &ConnectionSender, frames: Vec<Bytes>) -> Result<(), SlowReader> {
    sender.send_decision(frames, Instant::now())
}

#[tokio::test]
async fn send_fails_if_queued_bytes_would_exceed_the_limit() {
    let (sender, writer) = channel(1, 100, Bytes::new(), None);
    let frame = || vec![Bytes::from(vec![b'x'; 46])];
    assert_eq!(send(&sender, frame()), Ok(()));
    assert_eq!(send(&sender, frame()), Ok(()));
    assert_eq!(send(&sender, frame()), Err(SlowReader));
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 100];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(read[..5], [0, 0, 0, 46, b'x']);
    assert_eq!(send(&sender, frame()), Ok(()), "written bytes make room for another message");
    drop(sender);
    near.read_exact(&mut read[..50]).await.unwrap();
    write_task.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_message_over_the_limit_is_queued_if_the_queue_is_empty() {
    let (sender, _writer) = channel(1, 10, Bytes::new(), None);
    assert_eq!(send(&sender, vec![Bytes::from(vec![0; 500])]), Ok(()));
    assert_eq!(send(&sender, vec![Bytes::new()]), Err(SlowReader));
}

#[tokio::test]
async fn messages_sent_after_a_close_are_discarded() {
    let (sender, writer) = channel(1, 100, Bytes::new(), None);
    let frame = || vec![Bytes::from(vec![b'x'; 46])];
    assert_eq!(send(&sender, frame()), Ok(()));
    assert_eq!(send(&sender, frame()), Ok(()));
    assert_eq!(send(&sender, frame()), Err(SlowReader), "this message is not queued");
    sender.close();
    // The client now reads all queued bytes: without the close, the next message would be queued and read.
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 100];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(send(&sender, frame()), Ok(()));
    drop(sender);
    write_task.await.unwrap().unwrap();
    assert_eq!(near.read(&mut read).await.unwrap(), 0);
}

#[tokio::test]
async fn pongs_count_as_queued_bytes_and_take_one_place_in_the_queue() {
    let (sender, writer) = channel(1, 100, Bytes::from_static(b"pong"), None);
    for _ in 0..100 / 8 {
        assert_eq!(sender.send_pong(), Ok(()));
    }
    assert_eq!(sender.send_pong(), Err(SlowReader));
    assert_eq!(writer.queue.len(), 1);
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 96];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(read[88..], *b"\0\0\0\x04pong");
    assert_eq!(sender.send_pong(), Ok(()), "written bytes make room for another answer");
    drop(sender);
    near.read_exact(&mut read[..8]).await.unwrap();
    write_task.await.unwrap().unwrap();
    assert_eq!(near.read(&mut read).await.unwrap(), 0);
}
