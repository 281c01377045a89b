//! Receivers of metrics: a Graphite server that reads normally or shows a scripted fault, and a datagram
//! receiver.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The receive buffer of a Graphite receiver: small, so that the buffer of a frozen receiver fills soon.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 64;
/// How long a read blocks before the behaviour is checked again.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// How often a frozen receiver checks its behaviour.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the reads of a slow receiver.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Number of bytes in each read of a slow receiver.
const SLOW_READ_BYTES: usize = 2;
/// A closing receiver closes the connection once it has read more than this many bytes of an unfinished line.
const CLOSE_AFTER_BYTES: usize = 30;

/// How a Graphite receiver treats its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReceiverBehaviour {
    /// Reads everything that arrives.
    Normal,
    /// Accepts connections and reads nothing.
    Frozen,
    /// Reads 10 bytes a second from each connection.
    Slow,
    /// Resets each connection when its first bytes arrive.
    Resetting,
    /// Closes each connection in the middle of a line.
    Closing,
}

/// A sample received by a Graphite receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The metric's path.
    pub path: String,
    /// The metric's value.
    pub value: f64,
    /// The Unix time of the sample.
    pub timestamp_s: u64,
}

impl Sample {
    /// Parses a line of Graphite's plaintext protocol: path, value and time.
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
    /// The listening address.
    pub addr: SocketAddr,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    behaviour: Arc<Mutex<ReceiverBehaviour>>,
    /// The complete lines of all connections.
    received: Arc<Mutex<Vec<u8>>>,
    is_stopped: Arc<AtomicBool>,
}

impl GraphiteReceiver {
    /// Starts a receiver at a free port of this address.
    pub fn start(ip: IpAddr, behaviour: ReceiverBehaviour) -> GraphiteReceiver {
        GraphiteReceiver::start_at(SocketAddr::new(ip, 0), behaviour)
    }

    /// Starts a receiver at this address.
    pub fn start_at(addr: SocketAddr, behaviour: ReceiverBehaviour) -> GraphiteReceiver {
        let listener = listen_with_small_buffer(addr);
        let receiver = GraphiteReceiver {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            received: Arc::default(),
            is_stopped: Arc::default(),
        };
        let accepting_receiver = receiver.clone();
        thread::spawn(move || accepting_receiver.accept(listener));
        receiver
    }

    /// Changes the behaviour, on open connections as well.
    pub fn set_behaviour(&self, behaviour: ReceiverBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Closes all connections and accepts no more.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // This connection wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.addr);
    }

    /// Returns all samples received so far, in the order of their arrival.
    pub fn samples(&self) -> Vec<Sample> {
        let bytes = self.received.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        complete.lines().filter_map(Sample::parse).collect()
    }

    /// Returns the samples of a path by their time; of several at one time, the last received.
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
            let receiver = self.clone();
            thread::spawn(move || receiver.serve(connection));
        }
    }

    /// Reads one connection as the current behaviour requires, until the connection ends or the receiver is
    /// stopped.
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
                // The bytes just read are dropped. Closing a socket with unread bytes sends a reset.
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

    /// Moves the complete lines from `pending` to the received ones. A line that the connection leaves
    /// unfinished is not received.
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

/// A UDP receiver that keeps every datagram.
#[derive(Clone)]
pub struct DatagramReceiver {
    /// The listening address.
    pub addr: SocketAddr,
    datagrams: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl DatagramReceiver {
    /// Starts a receiver at a free port of this address.
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

    /// Returns all datagrams received so far.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.datagrams.lock().unwrap().clone()
    }
}

/// Sends a datagram from a newly bound port.
pub fn send_datagram(to: SocketAddr, bytes: &[u8]) {
    let socket = UdpSocket::bind((to.ip(), 0)).unwrap();
    socket.send_to(bytes, to).unwrap();
}
