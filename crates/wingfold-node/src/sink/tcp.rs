//! The task of one receiver over TCP: carries out the actions of the receiver's core, and reports events to
//! it.

use super::resolve::Resolver;
use super::{ReceiverHealth, RenderedInterval, SinkClock, SinkContext};
use crate::or_never;
use crate::reporting::SinkStats;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use wingfold_metrics::{DropReason, Sink, SinkAction, SinkEvent};

/// Size of the socket's send buffer. It is small because no counter covers the bytes in it, and because a
/// receiver that has stopped reading is noticed only when the buffer is full.
const SEND_BUFFER_BYTES: u32 = 16 << 10;
/// Size of the buffer for bytes that a receiver sends, which are discarded.
const READ_BUFFER_BYTES: usize = 256;

type PendingConnection = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Bytes that are being written.
struct PendingWrite {
    bytes: Arc<[u8]>,
    /// How many of the bytes have been written.
    offset: usize,
}

impl PendingWrite {
    fn remaining(&self) -> &[u8] {
        &self.bytes[self.offset..]
    }
}

/// One receiver over TCP.
pub(super) struct TcpSink {
    label: Arc<str>,
    address: String,
    queue: mpsc::Receiver<RenderedInterval>,
    core: Sink,
    clock: SinkClock,
    stats: Arc<SinkStats>,
    health: Arc<ReceiverHealth>,
    resolver: Resolver,
    connecting: Option<PendingConnection>,
    connection: Option<TcpStream>,
    writing: Option<PendingWrite>,
}

impl TcpSink {
    pub(super) fn new(
        label: Arc<str>,
        address: String,
        queue: mpsc::Receiver<RenderedInterval>,
        core: Sink,
        context: &SinkContext,
        health: Arc<ReceiverHealth>,
    ) -> Self {
        TcpSink {
            label,
            address,
            queue,
            core,
            clock: context.clock,
            stats: context.stats.clone(),
            health,
            resolver: Resolver::default(),
            connecting: None,
            connection: None,
            writing: None,
        }
    }

    /// Serves the receiver until the queue is closed.
    pub(super) async fn run(mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.next_event().await {
            self.core.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.health.update(&self.core);
            self.update_stats();
        }
    }

    /// Waits for the next event for the core; returns `None` when the queue is closed.
    async fn next_event(&mut self) -> Option<SinkEvent> {
        loop {
            let deadline = self.core.next_deadline().map(|at| self.clock.instant(at));
            tokio::select! {
                work = self.queue.recv() => match work {
                    Some(RenderedInterval::Bytes(bytes)) => return Some(SinkEvent::Interval(bytes)),
                    Some(RenderedInterval::Datagrams(_)) => {}
                    None => return None,
                },
                connected = or_never(self.connecting.as_mut()) => {
                    return Some(self.finish_connecting(connected));
                }
                written = or_never(self.connection.as_mut().map(|connection| {
                    write_or_wait(connection, self.writing.as_ref())
                })) => return Some(self.finish_write(written)),
                () = or_never(deadline.map(sleep_until)) => return Some(SinkEvent::Tick),
            }
        }
    }

    fn finish_connecting(&mut self, connected: io::Result<TcpStream>) -> SinkEvent {
        self.connecting = None;
        match connected {
            Ok(connection) => {
                self.connection = Some(connection);
                SinkEvent::Connected
            }
            Err(error) => {
                tracing::debug!(receiver = &*self.label, %error, "sink failed to connect");
                SinkEvent::Disconnected
            }
        }
    }

    fn finish_write(&mut self, written: io::Result<usize>) -> SinkEvent {
        match written {
            Ok(count) => {
                self.advance_write(count);
                SinkEvent::Written(count)
            }
            Err(error) => {
                tracing::debug!(receiver = &*self.label, %error, "sink connection ended");
                self.connection = None;
                self.writing = None;
                SinkEvent::Disconnected
            }
        }
    }

    fn advance_write(&mut self, count: usize) {
        let Some(write) = &mut self.writing else { return };
        write.offset += count;
        if write.remaining().is_empty() {
            self.writing = None;
        }
    }

    fn execute(&mut self, action: SinkAction) {
        match action {
            SinkAction::Connect => {
                self.connecting = Some(Box::pin(connect(self.address.clone(), self.resolver.clone())));
            }
            SinkAction::Write { bytes, offset } => self.writing = Some(PendingWrite { bytes, offset }),
            SinkAction::Disconnect => {
                self.connecting = None;
                self.connection = None;
                self.writing = None;
            }
        }
    }

    fn update_stats(&self) {
        let core = &self.core;
        self.stats.update(&self.label, |counters| {
            for reason in [DropReason::QueueFull, DropReason::TooLarge] {
                let count = core.counts.dropped(reason);
                if count > 0 {
                    counters.dropped.insert(reason.label(), count);
                }
            }
            counters.queued_bytes = core.queued_bytes() as u64;
            counters.sent_bytes = core.counts.written_bytes;
            counters.failed_connections = core.counts.failed_connections;
        });
    }
}

async fn connect(address: String, resolver: Resolver) -> io::Result<TcpStream> {
    let address = resolver.resolve(&address).await?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    let connection = socket.connect(address).await?;
    connection.set_nodelay(true)?;
    Ok(connection)
}

/// Writes some of the remaining bytes and returns their number. If there is nothing to write, waits for the
/// end of the connection.
async fn write_or_wait(connection: &mut TcpStream, writing: Option<&PendingWrite>) -> io::Result<usize> {
    let Some(write) = writing else { return Err(wait_for_end(connection).await) };
    match connection.write(write.remaining()).await? {
        0 => Err(ended_by_receiver()),
        count => Ok(count),
    }
}

/// Waits for the end of the connection. Receivers are not expected to send anything; bytes from them are
/// discarded.
async fn wait_for_end(connection: &TcpStream) -> io::Error {
    loop {
        if let Err(error) = connection.readable().await {
            return error;
        }
        match connection.try_read(&mut [0; READ_BUFFER_BYTES]) {
            Ok(0) => return ended_by_receiver(),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return error,
        }
    }
}

fn ended_by_receiver() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the receiver closed the connection")
}
