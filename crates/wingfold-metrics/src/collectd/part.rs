//! The parts of a packet. Each part has a type, a length and contents.

use super::PacketRejection;

/// Types of parts, as the protocol numbers them.
pub(super) mod part_type {
    pub(crate) const HOST: u16 = 0x0000;
    pub(crate) const TIME: u16 = 0x0001;
    pub(crate) const PLUGIN: u16 = 0x0002;
    pub(crate) const PLUGIN_INSTANCE: u16 = 0x0003;
    pub(crate) const TYPE: u16 = 0x0004;
    pub(crate) const TYPE_INSTANCE: u16 = 0x0005;
    pub(crate) const VALUES: u16 = 0x0006;
    pub(crate) const INTERVAL: u16 = 0x0007;
    pub(crate) const TIME_HR: u16 = 0x0008;
    pub(crate) const INTERVAL_HR: u16 = 0x0009;
    pub(crate) const SIGNED: u16 = 0x0200;
    pub(crate) const ENCRYPTED: u16 = 0x0210;
}

/// Bytes of a part's type and length.
pub(super) const HEADER_BYTES: usize = 4;

/// One part of a packet.
pub(super) struct Part<'a> {
    pub(super) part_type: u16,
    pub(super) contents: &'a [u8],
}

/// Appends a part.
pub(super) fn write_part(out: &mut Vec<u8>, part_type: u16, contents: &[u8]) {
    let length = (contents.len() + HEADER_BYTES) as u16;
    out.extend(part_type.to_be_bytes());
    out.extend(length.to_be_bytes());
    out.extend(contents);
}

/// Appends a part that is a string, with its terminating zero byte.
pub(super) fn write_text(out: &mut Vec<u8>, part_type: u16, text: &str) {
    let mut contents = text.as_bytes().to_vec();
    contents.push(0);
    write_part(out, part_type, &contents);
}

/// Splits off the first part; returns it and the bytes after it.
pub(super) fn split_part(bytes: &[u8]) -> Result<(Part<'_>, &[u8]), PacketRejection> {
    let (part_type, after_type) = split_u16(bytes)?;
    let (length, _) = split_u16(after_type)?;
    let length = usize::from(length);
    if length < HEADER_BYTES || length > bytes.len() {
        return Err(PacketRejection::Malformed);
    }
    let (part, rest) = bytes.split_at(length);
    Ok((Part { part_type, contents: &part[HEADER_BYTES..] }, rest))
}

/// Splits off a big-endian number of two bytes; returns it and the bytes after it.
pub(super) fn split_u16(bytes: &[u8]) -> Result<(u16, &[u8]), PacketRejection> {
    let (number, rest) = bytes.split_first_chunk().ok_or(PacketRejection::Malformed)?;
    Ok((u16::from_be_bytes(*number), rest))
}

impl Part<'_> {
    /// The contents as a string, which must end with a zero byte and have no other.
    pub(super) fn text(&self) -> Result<String, PacketRejection> {
        let (last, text) = self.contents.split_last().ok_or(PacketRejection::Malformed)?;
        let text = std::str::from_utf8(text).map_err(|_| PacketRejection::Malformed)?;
        if *last == 0 && !text.contains('\0') {
            Ok(text.to_string())
        } else {
            Err(PacketRejection::Malformed)
        }
    }

    /// The contents as a big-endian number.
    pub(super) fn number(&self) -> Result<u64, PacketRejection> {
        self.contents.try_into().map(u64::from_be_bytes).map_err(|_| PacketRejection::Malformed)
    }
}
