//! An HTTP server whose every byte the test writes: it reads requests and answers nothing until it is told to. A test
//! brings both sides to an instant (so much of a response written, and read by the other end) and lets them go on in
//! the order it wants.

use crate::http::{encode_response, read_request_target};
use crate::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How often the kernel's socket table is read while a test waits for it.
const SOCKET_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A server that stands for discovery or for a host.
pub struct ScriptedServer {
    /// The address it listens on.
    pub addr: SocketAddr,
    requests: Receiver<PendingRequest>,
}

/// A request that waits for its response.
pub struct PendingRequest {
    /// The request target: path and query.
    pub target: String,
    /// When it arrived.
    pub received_at: Instant,
    connection: TcpStream,
}

impl ScriptedServer {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr) -> ScriptedServer {
        ScriptedServer::from_listener(TcpListener::bind((ip, 0)).unwrap())
    }

    /// Accepts the connections of this listener from now on.
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
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives")
    }
}

/// Passes on the requests of one connection until it ends.
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
    /// Writes some bytes of the response.
    pub fn write(&mut self, bytes: &[u8]) {
        self.connection.write_all(bytes).unwrap();
    }

    /// Writes some bytes of the response where the other end may have gone.
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

    /// Closes the connection in good order.
    pub fn close(self) {
        let _ = self.connection.shutdown(Shutdown::Both);
    }

    /// Resets the connection at once, with what was not read yet.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.connection);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        // The reading thread's handle shares the socket: this ends both.
        let _ = self.connection.shutdown(Shutdown::Read);
        drop(self.connection);
    }

    /// Waits until the other end has read all that was written.
    pub fn wait_until_read(&self) {
        wait_until_read(&self.connection);
    }
}

/// Waits until the other end of a loopback connection has read all that was written here: nothing waits in this
/// socket's send queue, nor in the other's receive queue, as the kernel lists them.
pub fn wait_until_read(connection: &TcpStream) {
    let (local, remote) = (connection.local_addr().unwrap(), connection.peer_addr().unwrap());
    let begun = Instant::now();
    loop {
        let (ours, theirs) = (socket_queues(local, remote), socket_queues(remote, local));
        let is_sent = ours.as_ref().is_none_or(|queues| queues.send_bytes == 0);
        let is_received = theirs.as_ref().is_none_or(|queues| queues.receive_bytes == 0);
        if is_sent && is_received {
            return;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "the other end does not read: {ours:?} {theirs:?}");
        thread::sleep(SOCKET_POLL_INTERVAL);
    }
}

/// Returns whether a connection to this loopback address is being attempted and has had no answer.
pub fn is_being_dialled(address: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(kernel_notation(address).as_str()) && fields.next() == Some(SYN_SENT)
    })
}

/// An address as `/proc/net/tcp` lists it.
fn kernel_notation(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()),
        IpAddr::V6(_) => unreachable!("tests use IPv4"),
    }
}

/// What waits in a socket.
#[derive(Debug)]
struct SocketQueues {
    send_bytes: u64,
    receive_bytes: u64,
}

/// The queues of the socket between these addresses, if the kernel lists one.
fn socket_queues(local: SocketAddr, remote: SocketAddr) -> Option<SocketQueues> {
    let (local, remote) = (kernel_notation(local), kernel_notation(remote));
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
