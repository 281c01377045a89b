//! Reads the messages of one connection, each decoded once, and says why there are no more.

use crate::book::Book;
use crate::frame;
use crate::message::{self, Inbound};
use futures_util::StreamExt;
use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Chain};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// A connection's bytes: those that were read to tell frames from HTTP, and the rest.
pub type Bytes = Chain<Cursor<[u8; frame::HEAD]>, OwnedReadHalf>;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum Ending {
    /// The other end closed it.
    #[error("closed")]
    Closed,
    /// It broke, or a frame was too long.
    #[error("broken: {0}")]
    Broken(#[from] std::io::Error),
    /// A message cannot be read.
    #[error("unreadable message: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A message that this party may not send, or that names what the settings do not have.
    #[error("wrong message: {0}")]
    Wrong(&'static str),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The director ended it: too much was left unread, or a newer connection took its place.
    #[error("ended by the director")]
    Ended,
}

impl Ending {
    /// Whether the party sent what it must not.
    pub fn is_fault(&self) -> bool {
        let long = |e: &std::io::Error| e.kind() == std::io::ErrorKind::InvalidData;
        match self {
            Ending::Unreadable(_) | Ending::Wrong(_) => true,
            Ending::Broken(error) => long(error),
            _ => false,
        }
    }
}

/// The messages of one connection.
#[derive(Debug)]
pub struct Incoming {
    frames: FramedRead<Bytes, LengthDelimitedCodec>,
    silence: Duration,
    book: Arc<Book>,
}

impl Incoming {
    /// Messages of a connection whose first bytes were read already; `silence` may lie between two of them.
    pub fn new(first: [u8; frame::HEAD], rest: OwnedReadHalf, silence: Duration, book: Arc<Book>) -> Self {
        let frames = FramedRead::new(Cursor::new(first).chain(rest), frame::codec());
        Incoming { frames, silence, book }
    }

    /// From now on so much time may lie between two messages.
    pub fn allow(&mut self, silence: Duration) {
        self.silence = silence;
    }

    /// The next message.
    pub async fn next(&mut self) -> Result<Inbound, Ending> {
        let frame = timeout(self.silence, self.frames.next()).await.map_err(|_| Ending::Silent)?;
        let bytes = frame.ok_or(Ending::Closed)??;
        let message = message::decode(&bytes)?;
        self.book.messages_in_total.one();
        Ok(message)
    }
}
