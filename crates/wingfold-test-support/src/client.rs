//! Clients of the director: proxies, collectors and clients that do not identify themselves.

use crate::{frame, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A client's connection to the director.
pub struct Client {
    /// The TCP connection, for tests that set its options or break it.
    pub stream: TcpStream,
}

impl Client {
    /// Connects to a director; `None` if the connection attempt fails.
    pub fn connect(director: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(director).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Some(Client { stream })
    }

    /// Encodes a message as a frame: the length of its JSON, then the JSON.
    pub fn encode_frame(message: &Value) -> Vec<u8> {
        let mut bytes = Vec::new();
        frame::append(&mut bytes, message.to_string().as_bytes());
        bytes
    }

    /// Sends a message.
    pub fn send(&mut self, message: &Value) {
        self.stream.write_all(&Self::encode_frame(message)).unwrap();
    }

    /// Sends bytes without framing them.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends the `SUBSCRIBE` of a proxy that holds no table.
    pub fn subscribe(&mut self, proxy: u32, zone: &str) {
        self.send(&json!({"type": "SUBSCRIBE", "id": proxy, "site": zone, "rps": 5.0, "new": true}));
    }

    /// Receives the next message; `None` once the connection has ended.
    pub fn receive(&mut self) -> Option<Value> {
        let mut length = [0; frame::HEADER_BYTES];
        self.stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some(serde_json::from_slice(&body).unwrap())
    }

    /// Returns whether the director answers a `PING`. Updates that arrive before the answer are dropped.
    pub fn ping(&mut self) -> bool {
        self.send(&json!({"type": "PING"}));
        loop {
            match self.receive() {
                Some(message) if message["type"] == "PONG" => return true,
                Some(_) => continue,
                None => return false,
            }
        }
    }

    /// Receives the next update for a proxy: all `CONFIG` parts of one message.
    pub fn receive_update(&mut self) -> Vec<Value> {
        collect_parts(|| {
            let part = self.receive().expect("the stream ended before a complete update");
            assert_eq!(part["type"], "CONFIG");
            part
        })
    }

    /// Receives the next update for a proxy, reading one byte per system call.
    pub fn receive_update_bytewise(&mut self) -> Vec<Value> {
        collect_parts(|| {
            let length = u32::from_be_bytes(self.read_bytewise(frame::HEADER_BYTES).try_into().unwrap());
            serde_json::from_slice(&self.read_bytewise(length as usize)).unwrap()
        })
    }

    /// Reads `length` bytes, one byte per system call.
    fn read_bytewise(&mut self, length: usize) -> Vec<u8> {
        let mut byte = [0];
        let read = |_| {
            self.stream.read_exact(&mut byte).map(|()| byte[0]).expect("the stream ended inside an update")
        };
        (0..length).map(read).collect()
    }

    /// Returns whether the director closes the connection within [`TEST_TIMEOUT`]. Messages that arrive
    /// before are dropped.
    pub fn is_closed_in_time(&mut self) -> bool {
        let started = Instant::now();
        while self.receive().is_some() {}
        started.elapsed() < TEST_TIMEOUT
    }
}

/// Collects the parts of one update, up to the first part whose field `more` is not true.
fn collect_parts(mut next_part: impl FnMut() -> Value) -> Vec<Value> {
    let mut parts = Vec::new();
    loop {
        let part = next_part();
        let more = part["more"] == true;
        parts.push(part);
        if !more {
            return parts;
        }
    }
}
