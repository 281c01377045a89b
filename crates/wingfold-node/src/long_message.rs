//! Messages that are too long to be kept until they are complete.
//!
//! A valid message has a few short fields that matter; a client may surround them with up to 1 MiB of
//! whitespace and of fields that the director does not know. [`LongMessage`] checks the syntax of such a
//! message while it arrives and keeps only the known fields, so that it takes a few KiB however long it is
//! and whatever it contains. What is kept is again a JSON object, which is decoded like a short message.

use crate::json_scanner::{Container, JsonScanner, Part, SyntaxError};
use crate::message;
use bytes::{BufMut, BytesMut};
use std::borrow::Cow;

/// Limit on the bytes of a key that may be a known field; longer keys are unknown.
const MAX_KEY_BYTES: usize = 64;
/// Limit on the bytes of a string, number or literal of a known field. A longer one is replaced by
/// [`REPLACEMENT`]: no name has so many bytes.
const MAX_SCALAR_BYTES: usize = 1 << 10;
/// Limit on the bytes that are kept. Only a message that repeats its fields exceeds it.
const MAX_KEPT_BYTES: usize = 4 << 10;
/// Stands for a value that is too long to be kept: a value of the wrong type for every field.
const REPLACEMENT: &[u8] = b"[]";
/// Depth of the fields of a message.
const FIELD_DEPTH: usize = 1;
/// Depth of the fields of a host's load, which is a field of a message.
const LOAD_FIELD_DEPTH: usize = 2;

/// A long message of which some bytes have arrived.
#[derive(Debug)]
pub struct LongMessage {
    scanner: JsonScanner,
    kept: BytesMut,
    key: Vec<u8>,
    /// Whether the value of the field under way is kept, at each depth up to [`LOAD_FIELD_DEPTH`].
    keeps: [bool; LOAD_FIELD_DEPTH + 1],
    /// Where in `kept` the value under way begins.
    value_start: usize,
    /// Whether the fields that are kept exceed [`MAX_KEPT_BYTES`].
    has_overflowed: bool,
}

impl LongMessage {
    /// Creates a message of which nothing has arrived.
    pub fn new() -> LongMessage {
        LongMessage {
            scanner: JsonScanner::new(),
            kept: BytesMut::new(),
            key: Vec::new(),
            keeps: [true, false, false],
            value_start: 0,
            has_overflowed: false,
        }
    }

    /// Adds the next bytes. Fails at the first byte that no JSON object can have there.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SyntaxError> {
        let mut rest = bytes;
        while let Some(&byte) = rest.first() {
            let skipped = self.skip(rest)?;
            if skipped == 0 {
                self.push_byte(byte)?;
            }
            rest = &rest[skipped.max(1)..];
        }
        Ok(())
    }

    /// Ends the message and returns the object that holds its known fields. If they are too many, the object
    /// is empty, which no valid message is.
    pub fn finish(self) -> Result<BytesMut, SyntaxError> {
        if !self.scanner.is_complete() {
            return Err(SyntaxError::Incomplete);
        }
        if self.has_overflowed {
            return Ok(BytesMut::from(&b"{}"[..]));
        }
        Ok(self.kept)
    }

    /// Scans leading bytes of which none is kept; returns how many they are.
    fn skip(&mut self, bytes: &[u8]) -> Result<usize, SyntaxError> {
        let kept_depth = if self.keeps[FIELD_DEPTH] { LOAD_FIELD_DEPTH } else { FIELD_DEPTH };
        if self.scanner.depth() > kept_depth {
            return self.skip_nested(bytes, kept_depth);
        }
        let may_be_known_key = !self.key.is_empty() && self.key.len() <= MAX_KEY_BYTES;
        if may_be_known_key || self.keeps_at(self.scanner.depth()) {
            return Ok(0);
        }
        Ok(self.scanner.plain_string_bytes(bytes))
    }

    /// Scans bytes up to the end of the container whose content is not kept.
    fn skip_nested(&mut self, bytes: &[u8], kept_depth: usize) -> Result<usize, SyntaxError> {
        let mut skipped = 0;
        while let Some(&byte) = bytes.get(skipped) {
            let part = self.scanner.advance(byte)?;
            skipped += 1;
            match part {
                Part::Close if self.scanner.depth() == kept_depth => {
                    self.close(byte);
                    break;
                }
                Part::Key | Part::Scalar => skipped += self.scanner.plain_string_bytes(&bytes[skipped..]),
                _ => {}
            }
        }
        Ok(skipped)
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), SyntaxError> {
        let depth_before = self.scanner.depth();
        let part = self.scanner.advance(byte)?;
        if depth_before == 0 && !matches!(part, Part::Open(Container::Object) | Part::Whitespace) {
            return Err(SyntaxError::UnexpectedByte(byte));
        }
        match part {
            Part::Whitespace | Part::Comma => {}
            Part::Open(_) => self.open(byte, depth_before),
            Part::Close => self.close(byte),
            Part::Key => self.push_key_byte(byte),
            Part::Colon => self.begin_field(depth_before),
            Part::Scalar => self.push_scalar_byte(byte, depth_before),
        }
        Ok(())
    }

    /// Whether the bytes of values at this depth are kept.
    fn keeps_at(&self, depth: usize) -> bool {
        self.keeps.get(depth).is_some_and(|keeps| *keeps)
    }

    /// Begins a container whose bracket stands at `depth`; nothing in it is kept before its first field.
    fn open(&mut self, bracket: u8, depth: usize) {
        if self.keeps_at(depth) {
            self.keep(&[bracket]);
        }
        if let Some(keeps) = self.keeps.get_mut(depth + 1) {
            *keeps = false;
        }
    }

    fn close(&mut self, bracket: u8) {
        let depth = self.scanner.depth();
        if self.keeps_at(depth) {
            self.keep(&[bracket]);
        }
    }

    fn push_key_byte(&mut self, byte: u8) {
        if self.key.len() <= MAX_KEY_BYTES {
            self.key.push(byte);
        }
    }

    /// Begins the value of a field; keeps it if its key is known.
    fn begin_field(&mut self, depth: usize) {
        let key = std::mem::take(&mut self.key);
        if (FIELD_DEPTH..=LOAD_FIELD_DEPTH).contains(&depth) {
            self.keeps[depth] = self.keeps_at(depth - 1) && is_known_field(depth, &key);
            if self.keeps[depth] {
                self.keep_key(&key);
            }
        }
        // The buffer serves the next key as well.
        self.key = key;
        self.key.clear();
    }

    fn keep_key(&mut self, key: &[u8]) {
        if !self.kept.ends_with(b"{") {
            self.keep(b",");
        }
        self.keep(key);
        self.keep(b":");
        self.value_start = self.kept.len();
    }

    fn push_scalar_byte(&mut self, byte: u8, depth: usize) {
        if !self.keeps_at(depth) {
            return;
        }
        self.keep(&[byte]);
        if self.kept.len() > self.value_start + MAX_SCALAR_BYTES {
            self.kept.truncate(self.value_start);
            self.keep(REPLACEMENT);
            self.keeps[depth] = false;
        }
    }

    fn keep(&mut self, bytes: &[u8]) {
        if self.kept.len() + bytes.len() > MAX_KEPT_BYTES {
            self.has_overflowed = true;
        } else {
            self.kept.put_slice(bytes);
        }
    }
}

/// Whether a key, with its quotes, names a field of a message or of a host's load.
fn is_known_field(depth: usize, key: &[u8]) -> bool {
    unquoted(key).is_some_and(|name| match depth {
        FIELD_DEPTH => message::is_field(&name),
        _ => message::is_load_field(&name),
    })
}

/// The text of a key, without its quotes and escapes.
fn unquoted(key: &[u8]) -> Option<Cow<'_, str>> {
    if key.contains(&b'\\') {
        let name: String = serde_json::from_slice(key).ok()?;
        return Some(Cow::Owned(name));
    }
    let name = key.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    std::str::from_utf8(name).ok().map(Cow::Borrowed)
}

#[cfg(test)]
mod tests;
