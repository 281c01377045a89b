//! The HTTP/1.1 that discovery and hosts speak: requests without a body, responses with a length.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use wingfold_test_support::http;

/// The longest line of a header that is read.
const MAX_LINE_BYTES: u64 = 8 << 10;

/// A request as it arrived.
#[derive(Debug)]
pub struct Request {
    /// The request target: path and query.
    pub target: String,
    /// The size of the request in bytes.
    pub bytes: u64,
}

impl Request {
    /// Returns the number that a key has in the query, if it has one.
    pub fn query_number(&self, key: &str) -> Option<u64> {
        http::query_number(&self.target, key)
    }
}

/// A response as it arrived.
#[derive(Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A connection, of the client or the server.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Connection {
        // Without the option the connection is slower, but works.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Connection { reader: BufReader::new(reader), writer }
    }

    /// Reads the next request; `None` once the other end has closed.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(first) = self.read_line().await? else { return Ok(None) };
        let target = first.split(' ').nth(1).ok_or(io::ErrorKind::InvalidData)?.to_string();
        let mut bytes = first.len() as u64;
        loop {
            let line = self.read_line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            bytes += line.len() as u64;
            if line == "\r\n" {
                return Ok(Some(Request { target, bytes }));
            }
        }
    }

    /// Writes a response; returns its size in bytes.
    pub async fn write_response(&mut self, status: &str, body: &str) -> io::Result<u64> {
        let bytes = http::encode_response(status, body);
        self.writer.write_all(&bytes).await?;
        Ok(bytes.len() as u64)
    }

    /// Sends a GET request and reads its response.
    pub async fn get(&mut self, target: &str, host: &str) -> io::Result<Response> {
        let request = format!("GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n");
        self.writer.write_all(request.as_bytes()).await?;
        let first = self.read_line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut body = vec![0; self.content_length().await?];
        self.reader.read_exact(&mut body).await?;
        Ok(Response { status, body })
    }

    /// Waits until the other end closes, or sends something, which stays to be read.
    pub async fn wait_until_closed(&mut self) {
        let _ = self.reader.fill_buf().await;
    }

    /// Discards what arrives until the other end closes.
    pub async fn discard_until_closed(&mut self) {
        let _ = tokio::io::copy(&mut self.reader, &mut tokio::io::sink()).await;
    }

    /// Resets the connection, so that its address is free at once.
    pub fn reset(self) {
        if let Ok(stream) = self.reader.into_inner().reunite(self.writer) {
            let _ = stream.set_zero_linger();
        }
    }

    async fn content_length(&mut self) -> io::Result<usize> {
        let mut length = 0;
        loop {
            let line = self.read_line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line == "\r\n" {
                return Ok(length);
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
        }
    }

    /// Reads a line with its end; `None` at the end of the connection.
    async fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        let read = (&mut self.reader).take(MAX_LINE_BYTES).read_line(&mut line).await?;
        match line.ends_with("\r\n") {
            true => Ok(Some(line)),
            false if read == 0 => Ok(None),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Connects within a time.
pub async fn connect_within(
    socket: tokio::net::TcpSocket,
    to: std::net::SocketAddr,
    within: Duration,
) -> io::Result<TcpStream> {
    tokio::time::timeout(within, socket.connect(to)).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
