//! The subset of HTTP/1.1 between director, discovery and hosts: requests without a body, responses with a
//! `content-length`.

use std::io::{BufRead, Write};
use std::net::TcpStream;

/// Reads a request and returns its target; `None` at the end of the connection.
pub(crate) fn read_request_target(reader: &mut impl BufRead) -> Option<String> {
    let (mut request_line, mut header) = (String::new(), String::new());
    reader.read_line(&mut request_line).ok().filter(|read| *read > 0)?;
    while header != "\r\n" {
        header.clear();
        reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
    }
    request_line.split(' ').nth(1).map(str::to_string)
}

/// Returns the number at this key in the query of a request target; `None` without the key or a valid number.
pub fn query_number(target: &str, key: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    value?.parse().ok()
}

/// Encodes a response; `status` is the status code and the reason phrase.
pub fn encode_response(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Writes a response, at most `chunk_bytes` bytes per write.
pub(crate) fn write_response(
    stream: &mut TcpStream,
    status: &str,
    body: &str,
    chunk_bytes: usize,
) -> std::io::Result<()> {
    for chunk in encode_response(status, body).chunks(chunk_bytes) {
        stream.write_all(chunk)?;
        stream.flush()?;
    }
    Ok(())
}
