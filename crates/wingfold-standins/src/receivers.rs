//! Stand-ins for receivers of figures: well, frozen, slow, closing, resetting, vanished.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a receiver behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// Takes what comes.
    Well,
    /// Accepts, and reads nothing.
    Frozen,
    /// Reads a few bytes a second.
    Slow,
    /// Resets each connection at its first bytes.
    Resetting,
    /// Ends each connection in the middle of a line.
    Closing,
}

/// A stand-in for a Graphite receiver over TCP.
#[derive(Clone)]
pub struct Carbon {
    pub addr: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    bytes: Arc<Mutex<Vec<u8>>>,
    pub connections: Arc<AtomicUsize>,
    gone: Arc<AtomicBool>,
}

impl Carbon {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr, manner: Manner) -> Carbon {
        Carbon::at(SocketAddr::new(ip, 0), manner)
    }

    /// Listens here.
    pub fn at(addr: SocketAddr, manner: Manner) -> Carbon {
        // A small buffer, so that one that reads nothing is full soon.
        let socket =
            socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&addr.into()).unwrap();
        socket.listen(64).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let carbon = Carbon {
            addr,
            manner: Arc::new(Mutex::new(manner)),
            bytes: Arc::default(),
            connections: Arc::default(),
            gone: Arc::default(),
        };
        let serving = carbon.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                if serving.gone.load(Ordering::Relaxed) {
                    return;
                }
                serving.connections.fetch_add(1, Ordering::Relaxed);
                let serving = serving.clone();
                thread::spawn(move || serving.serve(connection));
            }
        });
        carbon
    }

    fn serve(&self, mut connection: TcpStream) {
        let mut some = [0; 4096];
        connection.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut pending: Vec<u8> = Vec::new();
        while !self.gone.load(Ordering::Relaxed) {
            let manner = *self.manner.lock().unwrap();
            let most = match manner {
                Manner::Frozen => {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                Manner::Slow => {
                    thread::sleep(Duration::from_millis(200));
                    2
                }
                _ => some.len(),
            };
            match connection.read(&mut some[..most]) {
                Ok(0) => return,
                // What was read is thrown away; what was not read makes the end a reset.
                Ok(_) if manner == Manner::Resetting => return,
                Ok(count) => {
                    pending.extend(&some[..count]);
                    if manner == Manner::Closing && pending.len() > 30 {
                        return;
                    }
                    // A line that its connection does not end is none.
                    let whole = pending.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
                    self.bytes.lock().unwrap().extend(pending.drain(..whole));
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// Behaves otherwise from now on.
    pub fn turn(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Goes away: connections end, and none is taken any more.
    pub fn vanish(&self) {
        self.gone.store(true, Ordering::Relaxed);
        // The listener is let go of once it has been woken.
        let _ = TcpStream::connect(self.addr);
    }

    /// All whole lines so far: path, value, time.
    pub fn lines(&self) -> Vec<(String, f64, u64)> {
        let bytes = self.bytes.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let line = |line: &str| {
            let mut parts = line.split(' ');
            let line = (parts.next()?.to_string(), parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
            parts.next().is_none().then_some(line)
        };
        whole.lines().filter_map(line).collect()
    }

    /// The last value of a path at each time.
    pub fn series(&self, path: &str) -> BTreeMap<u64, f64> {
        let lines = self.lines().into_iter().filter(|(of, ..)| of == path);
        lines.map(|(_, value, time)| (time, value)).collect()
    }
}

/// A stand-in that takes datagrams.
#[derive(Clone)]
pub struct Packets {
    pub addr: SocketAddr,
    taken: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Packets {
    /// Listens at a free port of this address.
    pub fn start(ip: IpAddr) -> Packets {
        let socket = UdpSocket::bind((ip, 0)).unwrap();
        let packets = Packets { addr: socket.local_addr().unwrap(), taken: Arc::default() };
        let taken = packets.taken.clone();
        thread::spawn(move || {
            let mut bytes = [0; 65_535];
            while let Ok((length, _)) = socket.recv_from(&mut bytes) {
                taken.lock().unwrap().push(bytes[..length].to_vec());
            }
        });
        packets
    }

    /// All so far.
    pub fn taken(&self) -> Vec<Vec<u8>> {
        self.taken.lock().unwrap().clone()
    }
}

/// Sends a datagram from an address of its own.
pub fn send(to: SocketAddr, bytes: &[u8]) {
    let socket = UdpSocket::bind((to.ip(), 0)).unwrap();
    socket.send_to(bytes, to).unwrap();
}
