use super::*;
use tokio::io::AsyncReadExt;

#[tokio::test]
async fn a_reader_that_leaves_too_much_unread_is_bounded() {
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
    assert_eq!(sender.send(frame()), Ok(()), "room again once written");
    drop(sender);
    near.read_exact(&mut read[..50]).await.unwrap();
    write_task.await.unwrap().unwrap();
}

#[tokio::test]
async fn one_message_longer_than_the_bound_goes_when_nothing_waits() {
    let (sender, _writer) = channel(1, 10, None);
    assert_eq!(sender.send(vec![Bytes::from(vec![0; 500])]), Ok(()));
    assert_eq!(sender.send(vec![Bytes::new()]), Err(SlowReader));
}

#[tokio::test]
async fn nothing_is_written_after_the_close_was_requested() {
    let (sender, writer) = channel(1, 100, None);
    let frame = || vec![Bytes::from(vec![b'x'; 46])];
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Ok(()));
    assert_eq!(sender.send(frame()), Err(SlowReader), "a message is lost here");
    sender.close();
    // The reader catches up in this instant: what comes next would be read as if nothing were missing.
    let (mut near, far) = tokio::io::duplex(1024);
    let write_task = tokio::spawn(writer.write_to(far));
    let mut read = [0; 100];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(sender.send(frame()), Ok(()));
    drop(sender);
    write_task.await.unwrap().unwrap();
    assert_eq!(near.read(&mut read).await.unwrap(), 0);
}
