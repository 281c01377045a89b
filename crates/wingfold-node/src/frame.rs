//! Frames: a length of four bytes in network byte order, followed by one message of that length.
//!
//! A message may be up to 1 MiB long, and partly received messages on hundreds of connections would exceed
//! the director's memory. So a connection with a frame longer than [`SMALL_FRAME_BYTES`] takes permits from a
//! budget that all connections share. When the budget is used up, a connection that needs more permits is
//! closed.

use bytes::BytesMut;
use std::io;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Size of a frame's header, which holds the length of the message.
pub const LENGTH_BYTES: usize = 4;
/// Length of the longest message that the protocol allows.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Frames up to this length need no permits. Valid messages to a director are far shorter.
pub const SMALL_FRAME_BYTES: usize = 4 << 10;

/// The codec of frames in both directions; [`FrameDecoder`] adds the memory budget to it.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Memory for long frames that all connections share; one permit is one byte.
#[derive(Clone, Debug)]
pub struct FrameBudget(Arc<Semaphore>);

impl FrameBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        FrameBudget(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }
}

/// Decodes the frames of one connection within a [`FrameBudget`].
#[derive(Debug)]
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    budget: FrameBudget,
    is_at_header: bool,
    /// Held until the connection ends, because its read buffer never shrinks.
    permit: Option<OwnedSemaphorePermit>,
}

impl FrameDecoder {
    /// Creates the decoder of one connection.
    pub fn new(budget: FrameBudget) -> Self {
        FrameDecoder { codec: codec(), budget, is_at_header: true, permit: None }
    }

    /// Raises the reservation of the connection to `length` bytes if it is lower.
    fn reserve(&mut self, length: usize) -> io::Result<()> {
        let reserved = self.permit.as_ref().map_or(SMALL_FRAME_BYTES, OwnedSemaphorePermit::num_permits);
        // The codec returns its own error for a frame that exceeds the limit.
        if length <= reserved || length > MAX_FRAME_BYTES {
            return Ok(());
        }
        self.permit = None;
        let permit = self.budget.0.clone().try_acquire_many_owned(length as u32);
        let out_of_memory =
            |_| io::Error::new(io::ErrorKind::OutOfMemory, "the memory budget for long messages is used up");
        self.permit = Some(permit.map_err(out_of_memory)?);
        Ok(())
    }
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if self.is_at_header {
            if let Some(header) = buffer.first_chunk::<LENGTH_BYTES>() {
                self.reserve(u32::from_be_bytes(*header) as usize)?;
                self.is_at_header = false;
            }
        }
        let frame = self.codec.decode(buffer)?;
        if frame.is_some() {
            self.is_at_header = true;
        }
        Ok(frame)
    }
}

/// Whether the first bytes of a connection begin an HTTP request. Read as a length, each of these byte
/// strings exceeds [`MAX_FRAME_BYTES`], so no valid frame is taken for a request.
pub fn is_http(first_bytes: &[u8; LENGTH_BYTES]) -> bool {
    matches!(first_bytes, b"GET " | b"HEAD" | b"POST" | b"PUT " | b"DELE" | b"OPTI" | b"PATC")
}

#[cfg(test)]
mod tests;
