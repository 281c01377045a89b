//! Datagrams: a header, and parts each with a kind and a length, so that parts of a later version can be skipped.

/// Largest datagram between directors, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the header; datagrams of another version are ignored.
pub const VERSION: u8 = 1;
/// Bytes of a header.
pub const HEADER_BYTES: usize = 13;
const MAGIC: u8 = 0xD7;
/// Bytes of a part's kind and length.
const PART_PREFIX_BYTES: usize = 2;
/// Longest contents of a part, in bytes: its length is one byte.
const MAX_PART_BYTES: usize = 255;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Asks whether the receiver is alive.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to ping another member for the sender.
    PingRequest,
    /// Carries parts only.
    Gossip,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<DatagramKind> {
        use DatagramKind::{Ack, Gossip, Ping, PingRequest};
        [Ping, Ack, PingRequest, Gossip].into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// What the datagram is for.
    pub kind: DatagramKind,
    /// The sender's number.
    pub from: u16,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Number of the ping that the datagram is, or answers.
    pub sequence: u16,
    /// The member that a ping request or its answer is about; the sender itself in all other cases.
    pub about: u16,
}

impl Header {
    fn parse(bytes: &[u8]) -> Option<Header> {
        let two = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        Some(Header {
            kind: DatagramKind::from_byte(bytes[2])?,
            from: two(3),
            incarnation: u32::from_be_bytes(bytes[5..9].try_into().ok()?),
            sequence: two(9),
            about: two(11),
        })
    }
}

/// Kinds of parts.
pub mod part {
    /// States of members.
    pub const MEMBERS: u8 = 1;
    /// Up to which number the entries of each owner are known.
    pub const DIGEST: u8 = 2;
    /// Entries of one owner, in the order of their numbers.
    pub const ENTRIES: u8 = 3;
    /// Entries of one owner that cannot wait, out of their order.
    pub const URGENT_ENTRIES: u8 = 4;
}

/// A part of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part<'a> {
    /// One of [`part`], or a kind of a later version.
    pub kind: u8,
    /// Its contents.
    pub contents: &'a [u8],
}

/// Writes a datagram.
#[derive(Clone, Debug)]
pub struct DatagramWriter {
    bytes: Vec<u8>,
    limit: usize,
}

impl DatagramWriter {
    /// Begins a datagram; `reserved` bytes are kept free behind all parts.
    pub fn new(header: Header, reserved: usize) -> DatagramWriter {
        let mut bytes = vec![MAGIC, VERSION, header.kind as u8];
        bytes.extend(header.from.to_be_bytes());
        bytes.extend(header.incarnation.to_be_bytes());
        bytes.extend(header.sequence.to_be_bytes());
        bytes.extend(header.about.to_be_bytes());
        DatagramWriter { bytes, limit: MAX_DATAGRAM_BYTES - reserved }
    }

    /// Bytes that the contents of one more part may have.
    pub fn remaining(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len() + PART_PREFIX_BYTES).min(MAX_PART_BYTES)
    }

    /// Adds a part if it has contents and fits.
    pub fn add_part(&mut self, kind: u8, contents: &[u8]) {
        if contents.is_empty() || contents.len() > self.remaining() {
            return;
        }
        self.bytes.extend([kind, contents.len() as u8]);
        self.bytes.extend(contents);
    }

    /// The bytes of the datagram.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads the header and the parts of a datagram; `None` if it is malformed or of another version.
pub fn parse(bytes: &[u8]) -> Option<(Header, Vec<Part<'_>>)> {
    let has_sound_length = (HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !has_sound_length || bytes[0] != MAGIC || bytes[1] != VERSION {
        return None;
    }
    let header = Header::parse(bytes)?;
    let mut parts = Vec::new();
    let mut rest = &bytes[HEADER_BYTES..];
    while let [kind, length, behind @ ..] = rest {
        let contents = behind.get(..usize::from(*length))?;
        parts.push(Part { kind: *kind, contents });
        rest = &behind[contents.len()..];
    }
    rest.is_empty().then_some((header, parts))
}

#[cfg(test)]
mod tests;
