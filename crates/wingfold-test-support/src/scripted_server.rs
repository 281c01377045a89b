//! An HTTP server whose responses the test writes byte by byte: the server only reads requests and hands them
//! to the test. So a test can force an order of events, such as a reload after the director has read half a
//! response.

use crate::http::{encode_response, read_request_target};
use crate::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between reads of the kernel's socket table while a test waits for a socket's queues to empty.
const SOCKET_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A server that takes the place of discovery or of a host.
pub struct ScriptedServer {
    /// The listening address.
    pub addr: SocketAddr,
    requests: Receiver<PendingRequest>,
}

/// A request that waits for its response.
pub struct PendingRequest {
    /// The request target: path and query.
    pub target: String,
    /// When the request arrived.
    pub received_at: Instant,
    connection: TcpStream,
}

impl ScriptedServer {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr) -> ScriptedServer {
        ScriptedServer::from_listener(TcpListener::bind((ip, 0)).unwrap())
    }

    /// Starts a server that accepts the connections of this listener.
    pub fn from_listener(listener: TcpListener) -> ScriptedServer {
        let addr = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let sender = sender.clone();
                thread::spawn(move || read_requests(connection, &sender));
            }
        });
        ScriptedServer { addr, requests }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> PendingRequest {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("no request arrived in time")
    }
}

/// Hands the requests of one connection to the test until the connection ends.
fn read_requests(connection: TcpStream, sender: &Sender<PendingRequest>) {
    connection.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(connection.try_clone().unwrap());
    while let Some(target) = read_request_target(&mut reader) {
        let connection = connection.try_clone().unwrap();
        let request = PendingRequest { target, received_at: Instant::now(), connection };
        if sender.send(request).is_err() {
            return;
        }
    }
}

/// Encodes a response of status 200.
pub fn ok_response(body: &str) -> Vec<u8> {
    encode_response("200 OK", body)
}

impl PendingRequest {
    /// Writes bytes of the response.
    pub fn write(&mut self, bytes: &[u8]) {
        self.connection.write_all(bytes).unwrap();
    }

    /// Writes bytes of the response; fails if the director has closed the connection.
    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.connection.write_all(bytes)
    }

    /// Writes a complete response of status 200.
    pub fn respond(mut self, body: &str) {
        self.write(&ok_response(body));
    }

    /// Writes these bytes and closes the connection.
    pub fn write_and_close(mut self, bytes: &[u8]) {
        self.write(bytes);
        self.close();
    }

    /// Closes the connection without a reset.
    pub fn close(self) {
        let _ = self.connection.shutdown(Shutdown::Both);
    }

    /// Resets the connection at once; unread bytes are dropped.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.connection);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        // The reading thread holds a handle of the same socket; the shutdown ends its read, so both handles
        // close.
        let _ = self.connection.shutdown(Shutdown::Read);
        drop(self.connection);
    }

    /// Waits until the other end has read everything that was written to this connection.
    pub fn wait_until_read(&self) {
        wait_until_read(&self.connection);
    }
}

/// Waits until the other end of a loopback connection has read everything that was written here: until, in
/// the kernel's socket table, the send queue of this end and the receive queue of the other end are empty.
pub fn wait_until_read(connection: &TcpStream) {
    let (local, remote) = (connection.local_addr().unwrap(), connection.peer_addr().unwrap());
    let started = Instant::now();
    loop {
        let (ours, theirs) = (socket_queues(local, remote), socket_queues(remote, local));
        let is_sent = ours.as_ref().is_none_or(|queues| queues.send_bytes == 0);
        let is_received = theirs.as_ref().is_none_or(|queues| queues.receive_bytes == 0);
        if is_sent && is_received {
            return;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the other end has unread bytes: {ours:?} {theirs:?}");
        thread::sleep(SOCKET_POLL_INTERVAL);
    }
}

/// Returns whether a connection attempt to this loopback address is waiting for an answer (state SYN_SENT).
pub fn is_connection_attempt_pending(address: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(proc_net_tcp_notation(address).as_str()) && fields.next() == Some(SYN_SENT)
    })
}

/// An address as `/proc/net/tcp` lists it.
fn proc_net_tcp_notation(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()),
        IpAddr::V6(_) => unreachable!("tests use IPv4"),
    }
}

/// The bytes that wait in a socket's queues.
#[derive(Debug)]
struct SocketQueues {
    send_bytes: u64,
    receive_bytes: u64,
}

/// The queues of the socket between these addresses, if the kernel's table holds such a socket.
fn socket_queues(local: SocketAddr, remote: SocketAddr) -> Option<SocketQueues> {
    let (local, remote) = (proc_net_tcp_notation(local), proc_net_tcp_notation(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        (fields.next()? == local && fields.next()? == remote).then_some(())?;
        let (send, receive) = fields.nth(1)?.split_once(':')?;
        Some(SocketQueues {
            send_bytes: u64::from_str_radix(send, 16).ok()?,
            receive_bytes: u64::from_str_radix(receive, 16).ok()?,
        })
    })
}
