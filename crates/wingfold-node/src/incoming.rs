//! Reads and decodes the messages of one connection, and tells why reading ended.

use crate::frame::{self, FrameDecoder, FrameError};
use crate::message::{self, DecodeError, Inbound, InvalidReason};
use crate::metrics::Metrics;
use crate::turn_budget::{BudgetAccount, SlicedReader};
use futures_util::StreamExt;
use std::io::{Cursor, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Chain};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// The bytes of a connection: first those already read to distinguish frames from HTTP, then the rest.
type ConnectionBytes = Chain<Cursor<[u8; frame::LENGTH_BYTES]>, SlicedReader<OwnedReadHalf>>;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    /// The client closed it.
    #[error("closed by the client")]
    ClosedByClient,
    /// The connection failed, or a frame was too long.
    #[error("connection error: {0}")]
    ConnectionError(#[from] std::io::Error),
    /// A frame did not hold a JSON object, so the frames after it cannot be relied on either.
    #[error("unreadable message: {0}")]
    Unreadable(String),
    /// The client was not identified yet and sent an invalid message, or its first message named a proxy or
    /// zone that does not exist. Later invalid messages are dropped, and the connection stays open.
    #[error("invalid message: {0}")]
    InvalidMessage(#[from] InvalidReason),
    /// The client did not identify itself in time, or sent no message for the idle timeout.
    #[error("idle timeout")]
    IdleTimeout,
    /// The director closed the connection: a newer connection replaced it or needed its slot.
    #[error("closed by the director")]
    ClosedByDirector,
    /// The director closed the connection because the client left too many bytes unread.
    #[error("slow reader")]
    SlowReader,
}

impl CloseReason {
    /// Whether the connection ended because the client violated the protocol.
    pub fn is_protocol_error(&self) -> bool {
        match self {
            CloseReason::Unreadable(_) | CloseReason::InvalidMessage(_) => true,
            CloseReason::ConnectionError(error) => error.kind() == ErrorKind::InvalidData,
            _ => false,
        }
    }
}

impl From<FrameError> for CloseReason {
    fn from(error: FrameError) -> CloseReason {
        match error {
            FrameError::Connection(error) => CloseReason::ConnectionError(error),
            FrameError::Syntax(error) => CloseReason::Unreadable(error.to_string()),
        }
    }
}

/// Reads the messages of one connection.
#[derive(Debug)]
pub struct MessageReader {
    frames: FramedRead<ConnectionBytes, FrameDecoder>,
    idle_timeout: Duration,
    metrics: Arc<Metrics>,
}

impl MessageReader {
    /// Creates the reader of a connection whose first bytes have already been read. At most `idle_timeout`
    /// may pass between two messages.
    pub fn new(
        first_bytes: [u8; frame::LENGTH_BYTES],
        rest: SlicedReader<OwnedReadHalf>,
        idle_timeout: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        let decoder = FrameDecoder::new(Some(rest.account().clone()));
        let bytes = Cursor::new(first_bytes).chain(rest);
        let frames = FramedRead::new(bytes, decoder);
        MessageReader { frames, idle_timeout, metrics }
    }

    /// Shares the turn budget of clients from now on: the connection has named its client.
    pub fn identify(&mut self, account: BudgetAccount) {
        self.frames.get_mut().get_mut().1.identify(account);
    }

    /// Reads the next message; the inner error says why a message is invalid, the outer one why the
    /// connection ended.
    ///
    /// Cancel safe: a partly read frame stays in the buffer.
    pub async fn next(&mut self) -> Result<Result<Inbound, InvalidReason>, CloseReason> {
        let frame = timeout(self.idle_timeout, self.frames.next()).await;
        let frame = frame.map_err(|_| CloseReason::IdleTimeout)?;
        let bytes = frame.ok_or(CloseReason::ClosedByClient)??;
        self.metrics.messages_in_total.increment();
        match message::decode(&bytes) {
            Ok(message) => Ok(Ok(message)),
            Err(DecodeError::Invalid(reason)) => Ok(Err(reason)),
            Err(DecodeError::NotJsonObject(problem)) => Err(CloseReason::Unreadable(problem)),
        }
    }
}
