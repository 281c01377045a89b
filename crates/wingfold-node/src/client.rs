//! Serves a connection whose client is identified. Reading and writing run concurrently, so that neither
//! blocks the other.

use crate::admission::{Admission, CollectorSlot};
use crate::inbox::InboundEvent;
use crate::incoming::{CloseReason, MessageReader};
use crate::message::{Inbound, InvalidReason};
use crate::outbox::{ConnectionSender, ConnectionWriter, SlowReader};
use crate::stage;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::yield_now;

/// Messages read from one client before its task yields: the load reports of one period in a large zone.
/// Without yielding, a client that sends continuously would delay the engine and the other clients.
pub const MESSAGES_BETWEEN_YIELDS: usize = 256;

/// A connection whose client is identified.
pub struct ClientConnection<'a> {
    /// The limits, slots and state that all connections share.
    pub admission: &'a Admission,
    /// Reads the client's messages.
    pub reader: MessageReader,
    /// The half of the connection that messages are written to.
    pub write_half: OwnedWriteHalf,
    /// Queues messages for the client, and closes the connection.
    pub sender: &'a ConnectionSender,
    /// Writes the messages that `sender` queues.
    pub writer: ConnectionWriter,
    /// The slot of the client if it is a collector. Each of its messages is recorded there.
    pub collector: Option<&'a CollectorSlot<'a>>,
}

/// Serves a connection until it ends, and returns why.
///
/// `translate` turns a message into an event for the engine, or returns why the message is invalid. An
/// invalid message is dropped and counted; the connection stays open.
pub async fn serve(
    connection: ClientConnection<'_>,
    translate: impl Fn(Inbound) -> Result<InboundEvent, InvalidReason>,
) -> CloseReason {
    let ClientConnection { admission, reader, write_half, sender, writer, collector } = connection;
    tokio::select! {
        // Once a close is requested, nothing more is read or written: the branches are polled in this order.
        biased;
        () = sender.close_requested() => CloseReason::ClosedByDirector,
        reason = read_messages(admission, reader, sender, collector, translate) => reason,
        written = writer.write_to(write_half) => match written {
            Ok(()) => CloseReason::ClosedByDirector,
            Err(error) => CloseReason::ConnectionError(error),
        },
    }
}

/// Reads messages until the connection must end, and returns the reason.
async fn read_messages(
    admission: &Admission,
    mut reader: MessageReader,
    sender: &ConnectionSender,
    collector: Option<&CollectorSlot<'_>>,
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
        // An invalid message also shows that the collector is alive.
        if let Some(collector) = collector {
            collector.record_activity();
        }
        if let Ok(Inbound::Ping) = message {
            match sender.send_pong() {
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

/// Translates a message within the span of the stage `admit`, which records why a message is invalid.
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
