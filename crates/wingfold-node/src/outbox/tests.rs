use super::*;
use tokio::io::AsyncReadExt;

#[tokio::test]
async fn send_fails_if_queued_bytes_would_exceed_the_limit() {
    let (sender, writer) = channel(1, 100, None);
    let frame = || vec![Bytes::from(vec![b'x'; 46])];
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Err(SlowReader));
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 100];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(read[..5], [0, 0, 0, 46, b'x']);
    assert_eq!(sender.send(frame()), Ok(()), "written bytes make room for another message");
    drop(sender);
    near.read_exact(&mut read[..50]).await.unwrap();
    write_task.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_message_over_the_limit_is_queued_if_the_queue_is_empty() {
    let (sender, _writer) = channel(1, 10, None);
    assert_eq!(sender.send(vec![Bytes::from(vec![0; 500])]), Ok(()));
    assert_eq!(sender.send(vec![Bytes::new()]), Err(SlowReader));
}

#[tokio::test]
async fn messages_sent_after_a_close_are_discarded() {
    let (sender, writer) = channel(1, 100, None);
    let frame = || vec![Bytes::from(vec![b'x'; 46])];
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Err(SlowReader), "this message is not queued");
    sender.close();
    // The client now reads all queued bytes: without the close, the next message would be queued and read.
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 100];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(sender.send(frame()), Ok(()));
    drop(sender);
    write_task.await.unwrap().unwrap();
    assert_eq!(near.read(&mut read).await.unwrap(), 0);
}
