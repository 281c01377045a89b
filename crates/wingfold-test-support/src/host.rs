//! A host that answers health checks.

use crate::http::{read_request_target, write_response};
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// A host that receives health checks and answers them if the test gave it a load report.
pub struct Host {
    /// The listening address.
    pub addr: SocketAddr,
    /// Number of health checks received.
    pub health_checks: Arc<AtomicUsize>,
}

impl Host {
    /// Starts a host at a free port of this address. Without a load report, health checks are read and never
    /// answered.
    pub fn start(ip: IpAddr, load_report: Option<&'static str>) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let host =
            Host { addr: listener.local_addr().unwrap(), health_checks: Arc::new(AtomicUsize::new(0)) };
        let health_checks = host.health_checks.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let health_checks = health_checks.clone();
                thread::spawn(move || serve(connection, &health_checks, load_report));
            }
        });
        host
    }
}

/// Answers the health checks of one connection until the connection ends.
fn serve(connection: TcpStream, health_checks: &AtomicUsize, load_report: Option<&str>) {
    let mut reader = BufReader::new(connection.try_clone().unwrap());
    let mut writer = connection;
    while let Some(target) = read_request_target(&mut reader) {
        assert_eq!(target, "/status/load");
        health_checks.fetch_add(1, Ordering::Relaxed);
        if let Some(report) = load_report {
            let _ = write_response(&mut writer, "200 OK", report, usize::MAX);
        }
    }
}
