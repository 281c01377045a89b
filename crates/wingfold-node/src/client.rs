//! Serves a connection whose client is identified: reads and writes side by side, so that neither waits for the other.

use crate::admission::Admission;
use crate::inbox::InboundEvent;
use crate::incoming::{CloseReason, MessageReader};
use crate::message::{Inbound, InvalidReason};
use crate::outbox::{ConnectionSender, ConnectionWriter, SlowReader};
use crate::stage;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::yield_now;

/// Messages of one client that are read before its task yields: a period's load reports of a large zone. A client that
/// sends without a pause is slowed down, and delays neither the engine nor other clients.
pub const MESSAGES_BETWEEN_YIELDS: usize = 256;

/// A connection whose client is identified.
pub struct ClientConnection<'a> {
    /// What all connections share.
    pub admission: &'a Admission,
    /// Reads its messages.
    pub reader: MessageReader,
    /// The socket's end to write to.
    pub write_half: OwnedWriteHalf,
    /// Queues messages for it, and closes it.
    pub sender: &'a ConnectionSender,
    /// Writes what `sender` queues.
    pub writer: ConnectionWriter,
    /// The zone that it collects from, if it is a collector: each of its messages counts as a sign of life of that zone.
    pub collects_from: Option<&'a str>,
}

/// Serves a connection until it ends, and returns why.
///
/// `translate` turns a message into an event for the engine, or says why it is invalid. An invalid message is dropped
/// and counted; the ones around it are valid.
pub async fn serve(
    connection: ClientConnection<'_>,
    translate: impl Fn(Inbound) -> Result<InboundEvent, InvalidReason>,
) -> CloseReason {
    let ClientConnection { admission, reader, write_half, sender, writer, collects_from } = connection;
    tokio::select! {
        // After a requested close, nothing more is read or written.
        biased;
        () = sender.close_requested() => CloseReason::ClosedByDirector,
        reason = read_messages(admission, reader, sender, collects_from, translate) => reason,
        written = writer.write_to(write_half) => match written {
            Ok(()) => CloseReason::ClosedByDirector,
            Err(error) => CloseReason::ConnectionError(error),
        },
    }
}

/// Reads messages until there can be no more, and returns why.
async fn read_messages(
    admission: &Admission,
    mut reader: MessageReader,
    sender: &ConnectionSender,
    collects_from: Option<&str>,
    translate: impl Fn(Inbound) -> Result<InboundEvent, InvalidReason>,
) -> CloseReason {
    let mut read_since_yield = 0;
    loop {
        if read_since_yield == MESSAGES_BETWEEN_YIELDS {
            read_since_yield = 0;
            yield_now().await;
        }
        read_since_yield += 1;
        let message = match reader.next().await {
            Ok(message) => message,
            Err(reason) => return reason,
        };
        // Any message shows that the collector is alive, also an invalid one.
        if let Some(zone) = collects_from {
            admission.collector_activity.record(zone);
        }
        if let Ok(Inbound::Ping) = message {
            match sender.send(vec![admission.pong.clone()]) {
                Ok(()) => continue,
                Err(SlowReader) => return CloseReason::SlowReader,
            }
        }
        match translate_in_stage(message, &translate) {
            Ok(event) => admission.inbox.send(event),
            Err(reason) => admission.metrics.count_invalid(reason),
        }
    }
}

/// Translates a message inside the span of its stage, which records why it is invalid.
fn translate_in_stage(
    message: Result<Inbound, InvalidReason>,
    translate: impl Fn(Inbound) -> Result<InboundEvent, InvalidReason>,
) -> Result<InboundEvent, InvalidReason> {
    let stage = stage!("admit", failed = tracing::field::Empty).entered();
    let event = message.and_then(translate);
    if let Err(reason) = &event {
        stage.record("failed", tracing::field::debug(reason));
    }
    event
}

#[cfg(test)]
mod tests;
