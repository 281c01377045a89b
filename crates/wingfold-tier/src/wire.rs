//! Datagrams: a head, and parts each with its kind and length, so that parts of a later version are passed over.

/// No datagram between directors is longer.
pub const LARGEST: usize = 256;
/// The version of the head; another one is passed over whole.
pub const VERSION: u8 = 1;
const MAGIC: u8 = 0xD7;

/// What a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Are you there?
    Ping,
    /// Yes.
    Ack,
    /// Ask another one whether it is there, for me.
    PingFor,
    /// Only parts.
    News,
}

/// The head of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// What it is.
    pub kind: Kind,
    /// Who sent it, and in which life.
    pub from: u16,
    /// The sender's life.
    pub life: u32,
    /// Which ping it is, or answers.
    pub number: u16,
    /// The member asked about or answered for; the sender itself in all other cases.
    pub about: u16,
}

/// A part's kind.
pub mod part {
    /// What is known of members.
    pub const MEMBERS: u8 = 1;
    /// Up to where notes of each owner are known.
    pub const DIGEST: u8 = 2;
    /// Notes of one owner, in the order of their numbers.
    pub const NOTES: u8 = 3;
    /// Notes that cannot wait, out of their order.
    pub const URGENT: u8 = 4;
    /// Behind all others: the sender's seal.
    pub const SEAL: u8 = 9;
}

/// Writes a datagram.
#[derive(Clone, Debug)]
pub struct Writer {
    bytes: Vec<u8>,
    most: usize,
}

impl Writer {
    /// Begins one; `spare` bytes are kept for what comes behind all parts.
    pub fn new(head: Head, spare: usize) -> Writer {
        let mut bytes = vec![MAGIC, VERSION, head.kind as u8];
        bytes.extend(head.from.to_be_bytes());
        bytes.extend(head.life.to_be_bytes());
        bytes.extend(head.number.to_be_bytes());
        bytes.extend(head.about.to_be_bytes());
        Writer { bytes, most: LARGEST - spare }
    }

    /// Bytes that a part's contents may still have.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.bytes.len() + 2).min(255)
    }

    /// Adds a part, if it has contents and fits.
    pub fn part(&mut self, kind: u8, contents: &[u8]) {
        if !contents.is_empty() && contents.len() <= self.room() {
            self.bytes.extend([kind, contents.len() as u8]);
            self.bytes.extend(contents);
        }
    }

    /// The datagram.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// A record of a datagram: its kind and its bytes.
pub type Record<'a> = (u8, &'a [u8]);

/// Reads a datagram's head and parts; `None` if it is none of this version.
pub fn read(bytes: &[u8]) -> Option<(Head, Vec<Record<'_>>)> {
    if bytes.len() > LARGEST || bytes.len() < HEAD || bytes[0] != MAGIC || bytes[1] != VERSION {
        return None;
    }
    let kind = [Kind::Ping, Kind::Ack, Kind::PingFor, Kind::News]
        .into_iter()
        .find(|kind| *kind as u8 == bytes[2])?;
    let two = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let life = u32::from_be_bytes(bytes[5..9].try_into().ok()?);
    let head = Head { kind, from: two(3), life, number: two(9), about: two(11) };
    let (mut parts, mut rest) = (Vec::new(), &bytes[HEAD..]);
    while let [kind, length, more @ ..] = rest {
        let contents = more.get(..usize::from(*length))?;
        parts.push((*kind, contents));
        rest = &more[contents.len()..];
    }
    rest.is_empty().then_some((head, parts))
}

/// Bytes of a head.
pub const HEAD: usize = 13;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_written_is_read_and_nothing_else_does_harm(
            from in any::<u16>(), life in any::<u32>(), number in any::<u16>(), about in any::<u16>(),
            parts in prop::collection::vec((1..20u8, prop::collection::vec(any::<u8>(), 1..90)), 0..5), noise in prop::collection::vec(any::<u8>(), 0..300),
        ) {
            let head = Head { kind: Kind::PingFor, from, life, number, about };
            let mut writer = Writer::new(head, 20);
            let mut written = Vec::new();
            for (kind, contents) in &parts {
                if contents.len() <= writer.room() {
                    written.push((*kind, &contents[..]));
                }
                writer.part(*kind, contents);
            }
            let bytes = writer.finish();
            prop_assert!(bytes.len() <= LARGEST - 20);
            prop_assert_eq!(read(&bytes), Some((head, written)));
            let _ = read(&noise);
            let mut spoilt = bytes.clone();
            for (at, byte) in noise.iter().enumerate().take(3) {
                let length = spoilt.len();
                spoilt[(at * 37 + usize::from(*byte)) % length] = *byte;
            }
            let _ = read(&spoilt);
            let _ = read(&bytes[..bytes.len() - 1]);
        }
    }
}
