//! The frames at a director's address: a length of four bytes, most significant first, and that many bytes of JSON.

/// Length of the header that holds a frame's length.
pub const HEADER_BYTES: usize = 4;

/// Appends a frame with this body.
pub fn append(buffer: &mut Vec<u8>, body: &[u8]) {
    buffer.extend_from_slice(&(body.len() as u32).to_be_bytes());
    buffer.extend_from_slice(body);
}
