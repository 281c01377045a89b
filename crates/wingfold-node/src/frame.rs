//! Frames: a length of four bytes, most significant first, and that many bytes of one message.
//!
//! A message may hold 1 MiB, and hundreds of connections half-way through one would hold more than the director's
//! memory. So a connection whose frames are longer than [`SMALL`] takes its part of a budget that all share; when
//! that is used up, the connection that asks for more ends.

use bytes::BytesMut;
use std::io;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Bytes of the length that comes first.
pub const HEAD: usize = 4;
/// No message holds more.
pub const LARGEST: usize = 1 << 20;
/// Frames up to this length are free: the protocol's messages to a director are far shorter.
pub const SMALL: usize = 4 << 10;

/// The codec of what is written.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(HEAD).max_frame_length(LARGEST).new_codec()
}

/// The budget that all connections share, in bytes.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Semaphore>);

impl Budget {
    /// So many bytes for frames that are not small.
    pub fn new(bytes: usize) -> Self {
        Budget(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }
}

/// The codec of what is read.
#[derive(Debug)]
pub struct Reader {
    codec: LengthDelimitedCodec,
    budget: Budget,
    at_head: bool,
    /// Kept as long as the connection: its buffer never shrinks.
    held: Option<OwnedSemaphorePermit>,
}

impl Reader {
    /// Frames of one connection.
    pub fn new(budget: Budget) -> Self {
        Reader { codec: codec(), budget, at_head: true, held: None }
    }

    /// Takes what a frame of this length needs beyond what the connection has.
    fn afford(&mut self, length: usize) -> io::Result<()> {
        let held = self.held.as_ref().map_or(SMALL, OwnedSemaphorePermit::num_permits);
        // What is over the limit is refused by the codec, with its own words.
        if length <= held || length > LARGEST {
            return Ok(());
        }
        self.held = None;
        let permit = self.budget.0.clone().try_acquire_many_owned(length as u32);
        let none = |_| io::Error::new(io::ErrorKind::OutOfMemory, "no memory left for long messages");
        self.held = Some(permit.map_err(none)?);
        Ok(())
    }
}

impl Decoder for Reader {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if let Some(head) = from.first_chunk::<HEAD>().filter(|_| self.at_head) {
            self.afford(u32::from_be_bytes(*head) as usize)?;
            self.at_head = false;
        }
        let frame = self.codec.decode(from)?;
        self.at_head |= frame.is_some();
        Ok(frame)
    }
}

/// Whether the first bytes of a connection begin an HTTP request. Read as a length, each of these would be
/// far more than [`LARGEST`], so no frame can be taken for a request.
pub fn is_http(first: &[u8; HEAD]) -> bool {
    matches!(first, b"GET " | b"HEAD" | b"POST" | b"PUT " | b"DELE" | b"OPTI" | b"PATC")
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use tokio_util::codec::Encoder;

    fn reader() -> Reader {
        Reader::new(Budget::new(LARGEST))
    }

    #[test]
    fn frames_come_out_whole_however_their_bytes_arrive() {
        let mut wire = BytesMut::new();
        codec().encode(Bytes::from_static(b"one"), &mut wire).unwrap();
        codec().encode(Bytes::from_static(b"three"), &mut wire).unwrap();
        assert_eq!(&wire[..7], b"\0\0\0\x03one");
        let (mut reader, mut arrived, mut frames) = (reader(), BytesMut::new(), Vec::new());
        for byte in wire {
            arrived.extend_from_slice(&[byte]);
            frames.extend(reader.decode(&mut arrived).unwrap());
        }
        assert_eq!(frames, ["one", "three"]);
    }

    #[test]
    fn a_frame_over_the_limit_is_refused_by_its_head_alone() {
        let mut wire = BytesMut::from(&(LARGEST as u32 + 1).to_be_bytes()[..]);
        assert!(reader().decode(&mut wire).is_err());
        let mut wire = BytesMut::from(&(LARGEST as u32).to_be_bytes()[..]);
        assert!(reader().decode(&mut wire).unwrap().is_none());
    }

    #[test]
    fn long_frames_share_a_budget_and_short_ones_need_none() {
        let head = |length: usize| BytesMut::from(&(length as u32).to_be_bytes()[..]);
        let budget = Budget::new(100_000);
        let begin = |length| {
            let mut reader = Reader::new(budget.clone());
            reader.decode(&mut head(length)).map(|_| reader)
        };
        let first = begin(60_000).unwrap();
        assert!(begin(60_000).is_err(), "not both at once");
        let second = begin(40_000).unwrap();
        assert!(begin(SMALL + 1).is_err() && begin(SMALL).is_ok());
        drop((first, second));
        let mut reader = begin(60_000).unwrap();
        let mut wire = BytesMut::from(&vec![0; 60_000][..]);
        assert_eq!(reader.decode(&mut wire).unwrap().map(|frame| frame.len()), Some(60_000));
        wire.extend_from_slice(&90_000u32.to_be_bytes());
        assert!(reader.decode(&mut wire).unwrap().is_none(), "a longer one takes what it needs in all");
        assert!(begin(20_000).is_err(), "and a connection keeps what its buffer has grown to");
    }

    #[test]
    fn what_begins_a_request_is_no_length_of_a_frame() {
        for method in [b"GET ", b"HEAD", b"POST", b"PUT ", b"DELE", b"OPTI", b"PATC"] {
            assert!(is_http(method) && u32::from_be_bytes(*method) as usize > LARGEST);
        }
        assert!(!is_http(&[0, 0, 0, 15]));
    }
}
