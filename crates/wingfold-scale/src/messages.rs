//! The messages at a director's address, as its clients write and read them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// What a client writes.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "UPPERCASE")]
pub enum ClientMessage<'a> {
    /// Asks for an answer.
    Ping,
    /// A collector names its zone.
    Source {
        /// The zone.
        site: &'a str,
    },
    /// What a zone's proxies met at a host.
    Load {
        /// The zone.
        site: &'a str,
        /// The host.
        target: &'a str,
        /// Tries.
        count: u64,
        /// Of these, failed ones.
        fail: u64,
        /// Mean time of the rest, in milliseconds.
        mean: f64,
        /// In so many milliseconds.
        over: f64,
    },
    /// A proxy joins.
    Subscribe {
        /// Its number.
        id: u32,
        /// Its zone.
        site: &'a str,
        /// Its requests a second.
        rps: f64,
        /// Whether it holds no table.
        new: bool,
    },
    /// A proxy has applied a mark.
    Ack {
        /// Its number.
        id: u32,
        /// The mark.
        seq: u64,
        /// What that took, in milliseconds.
        ms: f64,
    },
    /// What came to a proxy of a class.
    Rate {
        /// Its number.
        id: u32,
        /// The class.
        lane: &'a str,
        /// Requests.
        count: u64,
        /// Of these, ones that could not be served.
        fail: u64,
        /// In so many milliseconds.
        over: f64,
    },
}

/// What a director writes.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "UPPERCASE")]
pub enum DirectorMessage<'a> {
    /// The answer to [`ClientMessage::Ping`].
    Pong,
    /// A part of an order.
    #[serde(borrow)]
    Config(Order<'a>),
}

/// A part of an order.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Order<'a> {
    /// The classes meant; all of them where none is named.
    #[serde(borrow)]
    pub classes: Vec<Cow<'a, str>>,
    /// The lines are the whole table.
    pub whole: bool,
    /// Hosts and their weights.
    #[serde(borrow)]
    pub lines: Vec<(Cow<'a, str>, f64)>,
    /// Hosts to shut out.
    #[serde(borrow)]
    pub out: Vec<Cow<'a, str>>,
    /// Hosts to let back.
    #[serde(borrow)]
    pub back: Vec<Cow<'a, str>>,
    /// The level of the classes; a hollow proxy only counts it.
    pub level: Option<f64>,
    /// A mark to be answered.
    pub ticket: Option<u64>,
    /// A further part of the same message follows.
    pub more: bool,
}

impl Order<'_> {
    /// What the part counts in the channel: every line, host shut out or let back, level, mark and `whole`.
    pub fn count(&self) -> usize {
        let flags = [self.level.is_some(), self.ticket.is_some(), self.whole];
        let flags = flags.into_iter().filter(|is_set| *is_set).count();
        self.lines.len() + self.out.len() + self.back.len() + flags
    }
}

/// Bytes of the length before a message.
pub const HEAD: usize = 4;
/// No message is longer.
const LONGEST: usize = 1 << 20;

/// Appends a message with its length.
pub fn write_frame(to: &mut Vec<u8>, message: &ClientMessage) {
    let text = serde_json::to_vec(message).expect("a message is plain JSON");
    to.extend_from_slice(&(text.len() as u32).to_be_bytes());
    to.extend_from_slice(&text);
}

/// A message with its length.
pub fn frame(message: &ClientMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, message);
    bytes
}

/// Reads the next message's text into `body`.
pub async fn read_frame(from: &mut (impl AsyncRead + Unpin), body: &mut Vec<u8>) -> io::Result<()> {
    let mut head = [0; HEAD];
    from.read_exact(&mut head).await?;
    let length = u32::from_be_bytes(head) as usize;
    if length > LONGEST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    body.resize(length, 0);
    from.read_exact(body).await.map(|_| ())
}
