//! Reads the messages of one connection, each decoded once, and says why there are no more.

use crate::frame::{self, FrameBudget, FrameDecoder};
use crate::message::{self, DecodeError, Inbound, InvalidReason};
use crate::metrics::Metrics;
use futures_util::StreamExt;
use std::io::{Cursor, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Chain};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// The bytes of a connection: those already read to distinguish frames from HTTP, then the rest.
type ConnectionBytes = Chain<Cursor<[u8; frame::LENGTH_BYTES]>, OwnedReadHalf>;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    /// The client closed it.
    #[error("closed by the client")]
    ClosedByClient,
    /// It broke, or a frame was too long.
    #[error("connection error: {0}")]
    ConnectionError(#[from] std::io::Error),
    /// Bytes could not be decoded, so nothing after them can be relied on.
    #[error("unreadable message: {0}")]
    Unreadable(String),
    /// An unidentified connection sent an invalid message. Those of identified clients are dropped instead, and the
    /// connection goes on.
    #[error("invalid message: {0}")]
    InvalidMessage(#[from] InvalidReason),
    /// The client sent nothing for too long.
    #[error("idle timeout")]
    IdleTimeout,
    /// The director closed it: a newer connection replaced it or needed its slot.
    #[error("closed by the director")]
    ClosedByDirector,
    /// The director closed it, because the client left too much unread.
    #[error("slow reader")]
    SlowReader,
}

impl CloseReason {
    /// Whether the client sent what the protocol does not allow.
    pub fn is_protocol_error(&self) -> bool {
        match self {
            CloseReason::Unreadable(_) | CloseReason::InvalidMessage(_) => true,
            CloseReason::ConnectionError(error) => {
                matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::OutOfMemory)
            }
            _ => false,
        }
    }
}

/// Reads the messages of one connection.
#[derive(Debug)]
pub struct MessageReader {
    frames: FramedRead<ConnectionBytes, FrameDecoder>,
    max_silence: Duration,
    metrics: Arc<Metrics>,
}

impl MessageReader {
    /// Creates the reader of a connection whose first bytes were read already; at most `max_silence` may pass between
    /// two messages.
    pub fn new(
        first_bytes: [u8; frame::LENGTH_BYTES],
        rest: OwnedReadHalf,
        budget: FrameBudget,
        max_silence: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        let bytes = Cursor::new(first_bytes).chain(rest);
        let frames = FramedRead::new(bytes, FrameDecoder::new(budget));
        MessageReader { frames, max_silence, metrics }
    }

    /// Reads the next message, or says what is wrong with it; fails once there can be no more.
    ///
    /// Cancel safe: a frame that is read in part stays in the buffer.
    pub async fn next(&mut self) -> Result<Result<Inbound, InvalidReason>, CloseReason> {
        let frame = timeout(self.max_silence, self.frames.next()).await;
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
