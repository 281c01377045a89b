//! A small deployment to try the director with: discovery and three hosts on 127.0.0.1, and a proxy that
//! joins and prints every message it receives. `cargo run --example local_deployment` prints the command that
//! starts the director.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingfold_test_support::{director_config, endpoint, Client, Discovery, Host};

fn main() -> std::io::Result<()> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let host =
        |id: &str, zone: &str| endpoint(id, Host::start(ip, Some(r#"{"inflight":1,"util":0.2}"#)).addr, zone);
    let entries = vec![host("s-1", "a"), host("s-2", "a"), host("s-3", "b")];
    let discovery = Discovery::start_at(SocketAddr::new(ip, 8500), entries);
    let listen = SocketAddr::new(ip, 8443);
    let path = std::env::args().nth(1).unwrap_or("target/local-deployment.json".into());
    std::fs::write(
        &path,
        format!("{:#}\n", director_config(listen, discovery.addr, discovery.known_list())),
    )?;
    println!("discovery and three hosts are running; start the director with");
    println!("    GW_CONFIG={path} target/release/wingfold");
    loop {
        if let Err(error) = run_proxy(listen) {
            println!("proxy 0: {error}; connecting again in 1 s");
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Joins as proxy 0 and prints each message received, until the stream ends.
fn run_proxy(listen: SocketAddr) -> std::io::Result<()> {
    let mut client = Client::connect(listen).ok_or(std::io::ErrorKind::ConnectionRefused)?;
    client.stream.set_read_timeout(None)?;
    client.subscribe(0, "a");
    while let Some(message) = client.receive() {
        println!("proxy 0: {message}");
    }
    Err(std::io::ErrorKind::ConnectionReset.into())
}
