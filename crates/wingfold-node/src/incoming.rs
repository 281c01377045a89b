//! Reads the messages of one connection, each decoded once, and says why there are no more.

use crate::book::Book;
use crate::frame::{self, Budget};
use crate::log;
use crate::message::{self, Inbound};
use futures_util::StreamExt;
use std::io::{Cursor, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Chain};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// A connection's bytes: those that were read to tell frames from HTTP, and the rest.
type Bytes = Chain<Cursor<[u8; frame::HEAD]>, OwnedReadHalf>;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum Ending {
    /// The other end closed it.
    #[error("closed")]
    Closed,
    /// It broke, or a frame was too long.
    #[error("broken: {0}")]
    Broken(#[from] std::io::Error),
    /// A message cannot be read. What was sent may stand in the reason, at any length.
    #[error("unreadable message: {}", log::plain(&.0.to_string()))]
    Unreadable(#[from] serde_json::Error),
    /// A message that this party may not send, or that names what the settings do not have.
    #[error("wrong message: {0}")]
    Wrong(&'static str),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The director ended it: a newer connection took its place, or needed it.
    #[error("ended by the director")]
    Ended,
    /// The director ended it: too much was left unread.
    #[error("left too much unread")]
    Slow,
}

impl Ending {
    /// Whether the party sent what it must not.
    pub fn is_fault(&self) -> bool {
        match self {
            Ending::Unreadable(_) | Ending::Wrong(_) => true,
            Ending::Broken(error) => matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::OutOfMemory),
            _ => false,
        }
    }
}

/// The messages of one connection.
#[derive(Debug)]
pub struct Incoming {
    frames: FramedRead<Bytes, frame::Reader>,
    silence: Duration,
    book: Arc<Book>,
}

impl Incoming {
    /// Messages of a connection whose first bytes were read already; `silence` may lie between two of them.
    pub fn new(
        first: [u8; frame::HEAD],
        rest: OwnedReadHalf,
        budget: Budget,
        silence: Duration,
        book: Arc<Book>,
    ) -> Self {
        let frames = FramedRead::new(Cursor::new(first).chain(rest), frame::Reader::new(budget));
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
