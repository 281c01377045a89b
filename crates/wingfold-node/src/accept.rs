//! Accepts connections and identifies their clients: the first four bytes distinguish frames from HTTP, and
//! the first message names the client.

use crate::admission::{Admission, ConnectionSlot, NoFreeSlot, UnidentifiedSlot};
use crate::incoming::{CloseReason, MessageReader};
use crate::message::{CollectorHello, Inbound, InvalidReason, ProxyHello};
use crate::turn_budget::{BudgetAccount, SlicedReader, Work};
use crate::{collector, frame, log, ops, stream};
use futures_util::SinkExt;
use std::io::{self, Cursor};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at, Instant};
use tokio_util::codec::FramedWrite;

/// Pause after a failed accept. When file descriptors have run out, an immediate retry would spin until one
/// is closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until this task is aborted. Each connection is served by its own task.
pub async fn serve(listener: TcpListener, admission: Arc<Admission>) {
    tokio::select! {
        () = accept_connections(listener, &admission) => {}
        () = admission.unidentified_budget.refill() => {}
        () = admission.client_budget.refill() => {}
    }
}

async fn accept_connections(listener: TcpListener, admission: &Arc<Admission>) {
    let failure_log = log::RateLimitedLog::default();
    loop {
        // The tasks of the connections accepted last have not run yet, and the first message of a proxy among
        // them may have arrived. Yielding lets those tasks identify their clients before one is evicted, so
        // that many silent connections evict only each other.
        if admission.is_full() {
            yield_now().await;
        }
        match listener.accept().await {
            Ok((connection, address)) => admit(connection, address, admission),
            Err(error) if concerns_one_connection(&error) => {
                tracing::debug!(%error, "connection failed before it was accepted")
            }
            Err(error) => {
                if let Some(suppressed) = failure_log.allow_line() {
                    tracing::warn!(%error, suppressed, "accept failed");
                }
                // If file descriptors ran out, closing a connection that nobody needs frees one.
                admission.make_room();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Spawns the task that serves a connection, or closes the connection if there is no free slot.
fn admit(connection: TcpStream, address: SocketAddr, admission: &Arc<Admission>) {
    admission.metrics.connections_total.increment();
    match admission.admit() {
        Ok((slot, unidentified)) => {
            tokio::spawn(handle_connection(connection, address, slot, unidentified, admission.clone()));
        }
        Err(NoFreeSlot) => admission.metrics.connections_refused_total.increment(),
    }
}

/// Whether an accept failed because of the connection being accepted, not because the process lacks a
/// resource.
fn concerns_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(
        error.kind(),
        ConnectionAborted
            | ConnectionRefused
            | ConnectionReset
            | HostUnreachable
            | NetworkDown
            | NetworkUnreachable
            | Interrupted
    )
}

/// Serves one connection from its first byte to its end, then counts and logs why it ended.
///
/// Runs in its own task, which nothing awaits; the task ends with the connection, or when the runtime shuts
/// down.
async fn handle_connection(
    connection: TcpStream,
    address: SocketAddr,
    _slot: ConnectionSlot,
    unidentified: UnidentifiedSlot,
    admission: Arc<Admission>,
) {
    // Connections of one proxy are ordered by when they were accepted, not by when their first messages were
    // read.
    let connection_id = unidentified.connection_id();
    let (client, reason) = match identify(connection, unidentified, &admission).await {
        Ok(Identified::Http) => return,
        Ok(Identified::Proxy(hello, reader, writer)) => {
            let client = format!("proxy {}", hello.proxy);
            let reason = stream::serve(hello, *reader, writer, connection_id, admission.clone()).await;
            (Some(client), reason)
        }
        Ok(Identified::Collector(hello, reader, writer)) => {
            let client = format!("collector of {}", log::sanitize(&hello.zone));
            let reason = collector::serve(hello, *reader, writer, connection_id, admission.clone()).await;
            (Some(client), reason)
        }
        Err(reason) => (None, reason),
    };
    count_close(client.is_some(), &reason, &admission);
    log_close(client.as_deref(), address, &reason, &admission);
}

/// Counts the end of a connection by its reason.
fn count_close(is_identified: bool, reason: &CloseReason, admission: &Admission) {
    let metrics = &admission.metrics;
    match reason {
        CloseReason::IdleTimeout if is_identified => metrics.clients_silent_total.increment(),
        CloseReason::IdleTimeout => metrics.unidentified_expired_total.increment(),
        CloseReason::SlowReader => metrics.readers_slow_total.increment(),
        reason if reason.is_protocol_error() => metrics.messages_bad_total.increment(),
        _ => {}
    }
}

/// Logs the end of a connection.
fn log_close(client: Option<&str>, address: SocketAddr, reason: &CloseReason, admission: &Admission) {
    let Some(name) = client else {
        if reason.is_protocol_error() {
            log_protocol_error("unidentified", address, reason, admission.unidentified_log.allow_line());
        } else {
            tracing::debug!(%address, %reason, "unidentified connection closed");
        }
        return;
    };
    if !reason.is_protocol_error() {
        tracing::info!(client = name, %address, %reason, "connection closed");
    } else if matches!(reason, CloseReason::InvalidMessage(_)) {
        // The first message named a proxy or zone that does not exist. Any peer can send many of those, so
        // these lines share the rate limit of unidentified connections.
        log_protocol_error(name, address, reason, admission.unidentified_log.allow_line());
    } else {
        log_protocol_error(name, address, reason, Some(0));
    }
}

/// Logs a protocol error. `suppressed` is the number of lines suppressed before this one; `None` suppresses
/// this one as well.
fn log_protocol_error(client: &str, address: SocketAddr, reason: &CloseReason, suppressed: Option<u64>) {
    if let Some(suppressed) = suppressed {
        tracing::warn!(client, %address, %reason, suppressed, "connection closed");
    }
}

/// The client of a connection, with its first message and both halves of the connection.
enum Identified {
    /// A proxy.
    Proxy(ProxyHello, Box<MessageReader>, OwnedWriteHalf),
    /// A collector.
    Collector(CollectorHello, Box<MessageReader>, OwnedWriteHalf),
    /// An HTTP client, whose requests have already been served.
    Http,
}

/// Identifies the client of a connection. Fails when the identification timeout expires or the unidentified
/// slot is needed for another connection. The timeout runs from the accept, and bytes of an incomplete
/// message, `PING`s and HTTP requests do not extend it.
async fn identify(
    connection: TcpStream,
    unidentified: UnidentifiedSlot,
    admission: &Arc<Admission>,
) -> Result<Identified, CloseReason> {
    let deadline = Instant::now() + admission.bounds.identification_timeout;
    connection.set_nodelay(true)?;
    let (read_half, write_half) = connection.into_split();
    let account = admission.unidentified_budget.open_account(Some(deadline));
    let read_half = SlicedReader::new(read_half, account.clone());
    // Bytes that are ready to be read take precedence over an eviction or an expired deadline: a proxy whose
    // first message has arrived completely must be identified, not closed.
    let evicted = async {
        unidentified.evicted().await;
        yield_now().await;
    };
    tokio::select! {
        biased;
        identified = timeout_at(deadline, read_hello(read_half, write_half, account, &unidentified, admission)) => {
            identified.unwrap_or(Err(CloseReason::IdleTimeout))
        }
        () = evicted => Err(CloseReason::ClosedByDirector),
    }
}

/// Serves HTTP, or reads messages up to the one that names the client.
async fn read_hello(
    mut read_half: SlicedReader<OwnedReadHalf>,
    mut write_half: OwnedWriteHalf,
    account: BudgetAccount,
    unidentified: &UnidentifiedSlot,
    admission: &Arc<Admission>,
) -> Result<Identified, CloseReason> {
    let first_bytes = read_first_bytes(&mut read_half).await?;
    unidentified.mark_as_sending();
    if frame::is_http(&first_bytes) {
        let request = tokio::io::join(Cursor::new(first_bytes).chain(read_half), write_half);
        ops::serve(request, &account, admission).await;
        return Ok(Identified::Http);
    }
    let mut reader =
        MessageReader::new(first_bytes, read_half, admission.bounds.idle_timeout, admission.metrics.clone());
    loop {
        match reader.next().await?? {
            Inbound::Ping => {
                account.spend(Work::Pong).await;
                let mut writer = FramedWrite::new(&mut write_half, frame::codec());
                writer.send(admission.pong.clone()).await?;
            }
            Inbound::ProxyHello(hello) => {
                reader.identify(admission.client_budget.open_account(None));
                return Ok(Identified::Proxy(hello, Box::new(reader), write_half));
            }
            Inbound::CollectorHello(hello) => {
                reader.identify(admission.client_budget.open_account(None));
                return Ok(Identified::Collector(hello, Box::new(reader), write_half));
            }
            _ => return Err(CloseReason::InvalidMessage(InvalidReason::Turn)),
        }
    }
}

/// Reads the bytes that distinguish frames from HTTP.
async fn read_first_bytes(
    read_half: &mut SlicedReader<OwnedReadHalf>,
) -> Result<[u8; frame::LENGTH_BYTES], CloseReason> {
    let mut first_bytes = [0; frame::LENGTH_BYTES];
    match read_half.read_exact(&mut first_bytes).await {
        Ok(_) => Ok(first_bytes),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Err(CloseReason::ClosedByClient),
        Err(error) => Err(CloseReason::ConnectionError(error)),
    }
}

#[cfg(test)]
pub(crate) mod tests;
