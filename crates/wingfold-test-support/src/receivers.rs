//! Receivers of metrics: a Graphite server that behaves well or in one of several bad ways, and a datagram socket.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The receive buffer of a Graphite receiver: small, so that one that reads nothing is soon full.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 64;
/// How long a read blocks before the behaviour is checked again.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// How often a frozen receiver checks its behaviour.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often a slow receiver reads, and how much.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(200);
const SLOW_READ_BYTES: usize = 2;
/// A closing receiver closes once more than this of a line is pending.
const CLOSE_AFTER_BYTES: usize = 30;

/// How a receiver treats its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReceiverBehaviour {
    /// Reads what arrives.
    Normal,
    /// Accepts, and reads nothing.
    Frozen,
    /// Reads a few bytes a second.
    Slow,
    /// Resets each connection at its first bytes.
    Resetting,
    /// Closes each connection in the middle of a line.
    Closing,
}

/// A sample as a Graphite receiver gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The metric's path.
    pub path: String,
    /// The metric's value.
    pub value: f64,
    /// The Unix time it stands for.
    pub timestamp_s: u64,
}

impl Sample {
    /// Parses a line of Graphite's plaintext protocol.
    fn parse(line: &str) -> Option<Sample> {
        let mut fields = line.split(' ');
        let sample = Sample {
            path: fields.next()?.to_string(),
            value: fields.next()?.parse().ok()?,
            timestamp_s: fields.next()?.parse().ok()?,
        };
        fields.next().is_none().then_some(sample)
    }
}

/// A Graphite receiver over TCP.
#[derive(Clone)]
pub struct GraphiteReceiver {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// How many connections it has accepted.
    pub connections: Arc<AtomicUsize>,
    behaviour: Arc<Mutex<ReceiverBehaviour>>,
    /// The complete lines of all connections.
    received: Arc<Mutex<Vec<u8>>>,
    is_stopped: Arc<AtomicBool>,
}

impl GraphiteReceiver {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr, behaviour: ReceiverBehaviour) -> GraphiteReceiver {
        GraphiteReceiver::start_at(SocketAddr::new(ip, 0), behaviour)
    }

    /// Listens at this address.
    pub fn start_at(addr: SocketAddr, behaviour: ReceiverBehaviour) -> GraphiteReceiver {
        let listener = listen_with_small_buffer(addr);
        let receiver = GraphiteReceiver {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            received: Arc::default(),
            is_stopped: Arc::default(),
        };
        let accepting = receiver.clone();
        thread::spawn(move || accepting.accept(listener));
        receiver
    }

    /// Changes the behaviour, also on connections that are open.
    pub fn set_behaviour(&self, behaviour: ReceiverBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Ends its connections and accepts no more.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // The listener is dropped once it has been woken.
        let _ = TcpStream::connect(self.addr);
    }

    /// Returns all samples so far, in the order of their arrival.
    pub fn samples(&self) -> Vec<Sample> {
        let bytes = self.received.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        complete.lines().filter_map(Sample::parse).collect()
    }

    /// Returns the last value of a path at each time.
    pub fn series(&self, path: &str) -> BTreeMap<u64, f64> {
        let samples = self.samples().into_iter().filter(|sample| sample.path == path);
        samples.map(|sample| (sample.timestamp_s, sample.value)).collect()
    }

    /// Accepts connections, each on a thread of its own.
    fn accept(self, listener: TcpListener) {
        for connection in listener.incoming().flatten() {
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            self.connections.fetch_add(1, Ordering::Relaxed);
            let serving = self.clone();
            thread::spawn(move || serving.serve(connection));
        }
    }

    /// Reads one connection as the behaviour says, until it or the receiver ends.
    fn serve(&self, mut connection: TcpStream) {
        let mut buffer = [0; 4096];
        connection.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let mut pending: Vec<u8> = Vec::new();
        while !self.is_stopped.load(Ordering::Relaxed) {
            let behaviour = *self.behaviour.lock().unwrap();
            let read_bytes = match behaviour {
                ReceiverBehaviour::Frozen => {
                    thread::sleep(FROZEN_POLL_INTERVAL);
                    continue;
                }
                ReceiverBehaviour::Slow => {
                    thread::sleep(SLOW_READ_INTERVAL);
                    SLOW_READ_BYTES
                }
                _ => buffer.len(),
            };
            match connection.read(&mut buffer[..read_bytes]) {
                Ok(0) => return,
                // What was read is dropped; what was not read makes the end a reset.
                Ok(_) if behaviour == ReceiverBehaviour::Resetting => return,
                Ok(count) => {
                    pending.extend(&buffer[..count]);
                    if behaviour == ReceiverBehaviour::Closing && pending.len() > CLOSE_AFTER_BYTES {
                        return;
                    }
                    self.take_complete_lines(&mut pending);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        }
    }

    /// Moves complete lines out of what is pending: a line that its connection does not end is not received.
    fn take_complete_lines(&self, pending: &mut Vec<u8>) {
        let complete_bytes = pending.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        self.received.lock().unwrap().extend(pending.drain(..complete_bytes));
    }
}

fn listen_with_small_buffer(addr: SocketAddr) -> TcpListener {
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(LISTEN_BACKLOG).unwrap();
    TcpListener::from(socket)
}

/// A receiver of datagrams.
#[derive(Clone)]
pub struct DatagramReceiver {
    /// The address it listens on.
    pub addr: SocketAddr,
    datagrams: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl DatagramReceiver {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr) -> DatagramReceiver {
        let socket = UdpSocket::bind((ip, 0)).unwrap();
        let receiver = DatagramReceiver { addr: socket.local_addr().unwrap(), datagrams: Arc::default() };
        let datagrams = receiver.datagrams.clone();
        thread::spawn(move || {
            let mut buffer = [0; 65_535];
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                datagrams.lock().unwrap().push(buffer[..length].to_vec());
            }
        });
        receiver
    }

    /// Returns all datagrams so far.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.datagrams.lock().unwrap().clone()
    }
}

/// Sends a datagram from an address of its own.
pub fn send_datagram(to: SocketAddr, bytes: &[u8]) {
    let socket = UdpSocket::bind((to.ip(), 0)).unwrap();
    socket.send_to(bytes, to).unwrap();
}
