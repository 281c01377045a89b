//! The frames of the client protocol: a length of four bytes, most significant first, then that many bytes of
//! JSON.

/// Number of bytes in which a frame states its length.
pub const HEADER_BYTES: usize = 4;

/// Appends a frame with this body.
pub fn append(buffer: &mut Vec<u8>, body: &[u8]) {
    buffer.extend_from_slice(&(body.len() as u32).to_be_bytes());
    buffer.extend_from_slice(body);
}
