//! The subset of HTTP/1.1 that discovery, hosts and simulated directors use: requests without a body, and
//! responses with a content length.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use wingfold_test_support::http;

/// Limit on the length of a line of a request or a response header; a longer line is an error.
const MAX_LINE_BYTES: u64 = 8 << 10;

/// A received request.
#[derive(Debug)]
pub struct Request {
    /// The request target: path and query.
    pub target: String,
    /// The size of the request, in bytes.
    pub bytes: u64,
}

impl Request {
    /// Returns the value of a key in the query, if it is a number.
    pub fn query_number(&self, key: &str) -> Option<u64> {
        http::query_number(&self.target, key)
    }
}

/// A received response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// One end of a connection, on the side of the client or of the server.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Connection {
        // If the option cannot be set, the connection works with higher latency.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Connection { reader: BufReader::new(reader), writer }
    }

    /// Reads the next request; returns `None` if the client has closed the connection between two requests.
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

    /// Writes a response and returns the size of the response in bytes.
    pub async fn write_response(&mut self, status: &str, body: &str) -> io::Result<u64> {
        let bytes = http::encode_response(status, body);
        self.writer.write_all(&bytes).await?;
        Ok(bytes.len() as u64)
    }

    /// Sends a GET request and reads the response.
    pub async fn get(&mut self, target: &str, host: &str) -> io::Result<Response> {
        let request = format!("GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n");
        self.writer.write_all(request.as_bytes()).await?;
        let first = self.read_line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut body = vec![0; self.read_content_length().await?];
        self.reader.read_exact(&mut body).await?;
        Ok(Response { status, body })
    }

    /// Waits until the peer closes the connection or sends data. The data is not consumed.
    pub async fn wait_until_closed(&mut self) {
        let _ = self.reader.fill_buf().await;
    }

    /// Reads and discards data until the peer closes the connection.
    pub async fn discard_until_closed(&mut self) {
        let _ = tokio::io::copy(&mut self.reader, &mut tokio::io::sink()).await;
    }

    /// Closes the connection with a reset, so that its port is free at once.
    pub fn reset(self) {
        if let Ok(stream) = self.reader.into_inner().reunite(self.writer) {
            let _ = stream.set_zero_linger();
        }
    }

    /// Reads the rest of a response header and returns the content length; 0 if the header has none.
    async fn read_content_length(&mut self) -> io::Result<usize> {
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

    /// Reads a line, its CRLF included; returns `None` at the end of the connection.
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

/// Connects a socket; fails with `TimedOut` at the timeout.
pub async fn connect_with_timeout(
    socket: tokio::net::TcpSocket,
    to: std::net::SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    tokio::time::timeout(timeout, socket.connect(to)).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
