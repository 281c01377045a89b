//! Encoding of datagrams: a header, then parts. Each part begins with its kind and its length, so that a
//! receiver can skip parts of an unknown kind.

/// Largest datagram between directors, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the datagram header; datagrams of another version are ignored.
pub const VERSION: u8 = 1;
/// Size of a header, in bytes.
pub const HEADER_BYTES: usize = 13;
/// First byte of every datagram.
const MAGIC: u8 = 0xD7;
/// Size of the kind and the length before the contents of a part, in bytes.
const PART_PREFIX_BYTES: usize = 2;
/// Largest contents of a part, in bytes: the length of a part is stored in one byte.
const MAX_PART_BYTES: usize = 255;

/// The purpose of a datagram. The order of the variants is their value in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Asks whether the receiver is alive.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to ping another member on behalf of the sender.
    PingRequest,
    /// Only carries parts. The receiver answers a digest among them.
    Gossip,
}

impl DatagramKind {
    /// The kind that a byte in a datagram stands for; `None` for an unknown byte.
    fn from_byte(byte: u8) -> Option<DatagramKind> {
        use DatagramKind::{Ack, Gossip, Ping, PingRequest};
        [Ping, Ack, PingRequest, Gossip].into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The purpose of the datagram.
    pub kind: DatagramKind,
    /// The number of the member that sends the datagram.
    pub from: u16,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The sequence number of a ping. An ack and a ping request repeat the number of the ping that they refer
    /// to; in datagrams of kind [`DatagramKind::Gossip`] the number has no meaning.
    pub sequence: u16,
    /// The member that a ping request, or the ack to one, refers to; in all other datagrams the sender.
    pub target: u16,
}

impl Header {
    /// Decodes the header at the start of a datagram; `None` if its kind is unknown.
    fn parse(bytes: &[u8]) -> Option<Header> {
        let read_u16 = |offset: usize| u16::from_be_bytes([bytes[offset], bytes[offset + 1]]);
        Some(Header {
            kind: DatagramKind::from_byte(bytes[2])?,
            from: read_u16(3),
            incarnation: u32::from_be_bytes(bytes[5..9].try_into().ok()?),
            sequence: read_u16(9),
            target: read_u16(11),
        })
    }
}

/// Kinds of parts.
pub mod part {
    /// Statements about the states of members.
    pub const MEMBERS: u8 = 1;
    /// For each owner, the version up to which the sender knows the owner's entries.
    pub const DIGEST: u8 = 2;
    /// Entries of one owner, in ascending order of their versions.
    pub const ENTRIES: u8 = 3;
    /// Urgent entries of one owner, each with its version, sent ahead of older entries.
    pub const URGENT_ENTRIES: u8 = 4;
}

/// A part of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part<'a> {
    /// One of the constants in [`part`], or a kind that only later builds know.
    pub kind: u8,
    /// The bytes after the kind and the length.
    pub contents: &'a [u8],
}

/// Encodes a datagram part by part.
#[derive(Clone, Debug)]
pub struct DatagramWriter {
    bytes: Vec<u8>,
    /// Largest size of the header and all parts, in bytes.
    max_bytes: usize,
}

impl DatagramWriter {
    /// Begins a datagram whose parts leave room for a trailer of `trailer_bytes`.
    pub fn new(header: Header, trailer_bytes: usize) -> DatagramWriter {
        let mut bytes = vec![MAGIC, VERSION, header.kind as u8];
        bytes.extend(header.from.to_be_bytes());
        bytes.extend(header.incarnation.to_be_bytes());
        bytes.extend(header.sequence.to_be_bytes());
        bytes.extend(header.target.to_be_bytes());
        DatagramWriter { bytes, max_bytes: MAX_DATAGRAM_BYTES - trailer_bytes }
    }

    /// Largest contents of the next part, in bytes.
    pub fn remaining(&self) -> usize {
        self.max_bytes.saturating_sub(self.bytes.len() + PART_PREFIX_BYTES).min(MAX_PART_BYTES)
    }

    /// Adds a part; does nothing if the contents are empty or larger than [`DatagramWriter::remaining`].
    pub fn add_part(&mut self, kind: u8, contents: &[u8]) {
        if contents.is_empty() || contents.len() > self.remaining() {
            return;
        }
        self.bytes.extend([kind, contents.len() as u8]);
        self.bytes.extend(contents);
    }

    /// The encoded datagram.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Decodes the header and the parts of a datagram; `None` if the datagram is malformed or of another version.
pub fn parse(bytes: &[u8]) -> Option<(Header, Vec<Part<'_>>)> {
    let has_valid_length = (HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !has_valid_length || bytes[0] != MAGIC || bytes[1] != VERSION {
        return None;
    }
    let header = Header::parse(bytes)?;
    let mut parts = Vec::new();
    let mut rest = &bytes[HEADER_BYTES..];
    while let [kind, length, after_prefix @ ..] = rest {
        let contents = after_prefix.get(..usize::from(*length))?;
        parts.push(Part { kind: *kind, contents });
        rest = &after_prefix[contents.len()..];
    }
    rest.is_empty().then_some((header, parts))
}

#[cfg(test)]
mod tests;
