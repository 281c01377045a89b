//! Loopback addresses that concurrent tests do not share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a loopback address that no other test uses.
pub fn unique_loopback_ip() -> IpAddr {
    static NEXT_TEST: AtomicU32 = AtomicU32::new(0);
    let (pid, test) = (std::process::id(), NEXT_TEST.fetch_add(1, Ordering::Relaxed));
    IpAddr::V4(Ipv4Addr::new(127, (10 + pid % 200) as u8, (1 + pid / 200 % 250) as u8, (1 + test) as u8))
}

/// Returns a port of this address that is free now. It stays free: clients of the tests connect from
/// 127.0.0.1, so the kernel does not assign the port to any of them.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}
