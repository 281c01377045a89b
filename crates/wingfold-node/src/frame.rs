//! Frames: a length of four bytes in network byte order, followed by one message of that length.
//!
//! A message may be up to 1 MiB long, and partly received messages on hundreds of connections would exceed
//! the director's memory. So only a frame of up to [`SMALL_FRAME_BYTES`] is kept until it is complete; a
//! longer one is read while it arrives (see [`LongMessage`]).

use crate::json_scanner::SyntaxError;
use crate::long_message::LongMessage;
use crate::turn_budget::BudgetAccount;
use bytes::{Buf, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Size of a frame's header, which holds the length of the message.
pub const LENGTH_BYTES: usize = 4;
/// Length of the longest message that the protocol allows.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Frames up to this length are kept until they are complete. Valid messages to a director are far shorter.
pub const SMALL_FRAME_BYTES: usize = 4 << 10;

/// The codec of frames in both directions; [`FrameDecoder`] reads long frames without it.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Why the frames of a connection cannot be read any further.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame was too long.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// A long frame does not hold a JSON object.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
}

/// Decodes the frames of one connection. The message of a long frame is reduced to the fields that the
/// director knows.
#[derive(Debug)]
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    is_at_header: bool,
    long: Option<LongFrame>,
    /// Is told where a long message ends, so that the turn budget knows how much work the connection needs.
    account: Option<BudgetAccount>,
    /// Bytes of the frames before the one under way, and of that one if it is long.
    decoded_bytes: u64,
}

/// A long frame of which some bytes have arrived.
#[derive(Debug)]
struct LongFrame {
    missing_bytes: usize,
    message: Box<LongMessage>,
}

impl FrameDecoder {
    /// Creates the decoder of one connection.
    pub fn new(account: Option<BudgetAccount>) -> Self {
        FrameDecoder { codec: codec(), is_at_header: true, long: None, account, decoded_bytes: 0 }
    }

    /// Reads the header of the next frame once it has arrived; takes it from the buffer if the frame is long.
    fn read_header(&mut self, buffer: &mut BytesMut) {
        let Some(header) = buffer.first_chunk::<LENGTH_BYTES>() else { return };
        self.is_at_header = false;
        let length = u32::from_be_bytes(*header) as usize;
        // The codec returns its own error for a frame that exceeds the limit.
        if length > SMALL_FRAME_BYTES && length <= MAX_FRAME_BYTES {
            buffer.advance(LENGTH_BYTES);
            self.decoded_bytes += (LENGTH_BYTES + length) as u64;
            if let Some(account) = &self.account {
                account.set_message_end(self.decoded_bytes);
            }
            self.long = Some(LongFrame { missing_bytes: length, message: Box::new(LongMessage::new()) });
        }
    }

    fn read_small_frame(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        let message = self.codec.decode(buffer)?;
        if let Some(message) = &message {
            self.decoded_bytes += (LENGTH_BYTES + message.len()) as u64;
        }
        Ok(message)
    }

    /// Reads what has arrived of a frame; returns its message once it is complete.
    fn read_frame(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        let Some(mut frame) = self.long.take() else { return self.read_small_frame(buffer) };
        let arrived = frame.missing_bytes.min(buffer.len());
        frame.message.push(&buffer[..arrived])?;
        buffer.advance(arrived);
        frame.missing_bytes -= arrived;
        if frame.missing_bytes == 0 {
            return Ok(Some(frame.message.finish()?));
        }
        self.long = Some(frame);
        Ok(None)
    }
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        if self.is_at_header {
            self.read_header(buffer);
        }
        let message = self.read_frame(buffer)?;
        if message.is_some() {
            self.is_at_header = true;
        }
        Ok(message)
    }
}

/// Whether the first bytes of a connection begin an HTTP request. Read as a length, each of these byte
/// strings exceeds [`MAX_FRAME_BYTES`], so no valid frame is taken for a request.
pub fn is_http(first_bytes: &[u8; LENGTH_BYTES]) -> bool {
    matches!(first_bytes, b"GET " | b"HEAD" | b"POST" | b"PUT " | b"DELE" | b"OPTI" | b"PATC")
}

#[cfg(test)]
mod tests;
